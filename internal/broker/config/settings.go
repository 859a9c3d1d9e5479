package config

import (
	"fmt"

	sq "saffronquay"
)

// Settings is the settings object of one gatherer: the decision module's part, and the part that only the program needs.
type Settings struct {
	Module         sq.Settings
	MaxOpen        int   // queries and parts open at a time; 0: no limit
	ConnectTimeout int64 // microseconds, as all times here
	IdleClose      int64 // an idle connection is closed by the worker's machine at the latest then
	StreamsPerConn int
}

var effects = map[string]sq.Effect{"free": sq.Idempotent, "guarded": sq.Deduplicated, "single_shot": sq.AtMostOnce}

// ParseSettings reads the settings object, in the form that the simulator's first message and a gatherer's
// configuration have in common. What the figures mean is judged by saffronquay.New; form is judged here.
func ParseSettings(text []byte) (Settings, error) {
	r, err := newReader(text)
	if err != nil {
		return Settings{}, err
	}
	s := readSettings(r)
	return s, r.err()
}

func readSettings(r reader) Settings {
	r.require("family_info", "classes")
	r.has("areas") // the platform lists all zones there; the servers' own zones are used
	fam, perm, rules := r.object("family_info"), r.object("permissions"), r.object("rules")
	classes := r.array("classes")
	n := len(classes)
	s := Settings{
		MaxOpen:        perm.count("max_open", 0),
		ConnectTimeout: perm.integer("connect_timeout_us", 250_000),
		IdleClose:      perm.integer("idle_close_us", 15_000_000),
		StreamsPerConn: perm.count("streams_per_conn", 32),
	}
	m := &s.Module
	*m = sq.Settings{
		Self: r.count("me", 0), Aggregators: r.count("balancers", 0), Zone: r.str("zone", ""),
		Period: r.integer("period_us", 0),
		Shards: fam.count("shards", 0), Cells: fam.count("positions", 0), CellsPerShard: fam.count("reach", 0),
		CallOverhead: fam.integer("overhead_us", 0), PartsPerCall: fam.count("parts_a_call", 0),
		WatchMembership: r.str("membership_mode", "") == "ask",
		OverQuotaValue:  r.float("over_share_worth", 0),
		Limits: sq.Limits{
			MaxAttempts: perm.count("most_tries", 0), Hedging: perm.boolean("second_copies"),
			MayCancel: perm.boolean("may_cancel"), PeerMessages: perm.boolean("peers"),
			RetryAfter: perm.boolean("retry_after"), MaxRetryAfter: perm.integer("max_retry_after_us", 0),
		},
		Prices: sq.Prices{CrossZone: r.object("prices").float("cross_zone", 0)},
		Rules: sq.Rules{
			AnswerGrace: rules.integer("grace_to_answer_us", 0),
			DrainGrace:  rules.integer("stop_sending_within_us", 0), SlowStartFraction: rules.float("cold_share", 0),
			WarmUp: rules.integer("warm_within_us", 0), OverloadMultiple: rules.float("fall_multiple", 0),
			OverloadWindow: rules.integer("fall_us", 0), MembershipWithin: rules.integer("ask_within_us", 0),
			FreeExtraAttempts: rules.float("free_resends", 0), ExtraAttemptWindow: rules.integer("extra_window_us", 0),
		},
	}
	if rules.has("extra_ratio") {
		m.Rules.Budgeted, m.Rules.ExtraAttemptRatio = true, rules.float("extra_ratio", 0)
	}
	for _, p := range r.array("parties") {
		m.Tenants = append(m.Tenants, sq.Tenant{Name: p.str("name", ""), Quota: p.float("quota_per_s", 0)})
	}
	if !r.has("family_info") {
		return s
	}
	fetch, partial := fam.floats("class_fetch", n), fam.floats("class_partial", n)
	floor, whole := fam.floats("floor_by_class", n), fam.floats("whole_at", n)
	for i, c := range classes {
		effect, ok := effects[c.str("effect", "")]
		if !ok {
			c.fault("effect", "unknown effect %q of class %q", c.str("effect", ""), c.str("name", ""))
		}
		m.Classes = append(m.Classes, sq.Class{
			Name: c.str("name", ""), LatencyTarget: c.integer("aim_us", 0),
			LatencyTargetStretch: c.float("aim_stretch", 0), HardLimit: c.integer("hard_limit_us", 0),
			Value: c.float("worth", 0), LateValue: c.float("late_worth", 0), Effect: effect,
			DedupWindow: c.integer("repeat_window_us", 0), CompleteWeight: whole[i], MinWeight: floor[i],
			PartialValue: partial[i], SecondStepParts: int(fetch[i]),
		})
	}
	return s
}

// checkServing reports settings that the program, unlike the simulator's adapter, can't serve, and settings that are out of range.
func (s Settings) checkServing(r reader) {
	above := func(key string, v int64) {
		if v <= 0 {
			r.fault(key, "want a number above nought, not %d", v)
		}
	}
	for i, c := range s.Module.Classes {
		if c.SecondStepParts > 0 {
			r.fault("family_info.class_fetch", "class %q has a second step, which is not served on sockets", c.Name)
		}
		if s.Module.Classes[i].Name == "" {
			r.fault(fmt.Sprintf("classes[%d].name", i), "missing")
		}
		above(fmt.Sprintf("classes[%d].hard_limit_us", i), c.HardLimit)
		above(fmt.Sprintf("classes[%d].aim_us", i), c.LatencyTarget)
	}
	if r.object("permissions").has("most_tries") {
		above("permissions.most_tries", int64(s.Module.Limits.MaxAttempts))
	}
	above("permissions.connect_timeout_us", s.ConnectTimeout)
	above("permissions.idle_close_us", s.IdleClose)
	above("permissions.streams_per_conn", int64(s.StreamsPerConn))
	if s.MaxOpen < 0 {
		r.fault("permissions.max_open", "want nought or more, not %d", s.MaxOpen)
	}
	if len(r.doc.faults) > 0 {
		return // Validate would report the same faults in other words
	}
	if err := s.Module.Validate(); err != nil {
		r.fault("", "%v", err)
	}
}

// checkLayout returns why other settings need a restart: where the shards are can't change while the program runs.
func (s Settings) checkLayout(now Settings) error {
	a, b := s.Module, now.Module
	switch {
	case a.Shards != b.Shards:
		return fmt.Errorf("settings.family_info.shards: %d now, %d needs a restart", a.Shards, b.Shards)
	case a.Cells != b.Cells:
		return fmt.Errorf("settings.family_info.positions: %d now, %d needs a restart", a.Cells, b.Cells)
	case a.CellsPerShard != b.CellsPerShard:
		return fmt.Errorf("settings.family_info.reach: %d now, %d needs a restart", a.CellsPerShard, b.CellsPerShard)
	case a.WatchMembership != b.WatchMembership:
		return fmt.Errorf("settings.membership_mode: another one needs a restart")
	}
	return nil
}
