package config

import (
	"fmt"

	sq "saffronquay"
)

// Settings is the settings object of one gatherer: the part for the decision module, and the part
// that only the program uses.
type Settings struct {
	Module         sq.Settings
	MaxOpen        int   // maximum number of open queries and parts; 0: no limit
	ConnectTimeout int64 // microseconds, like all times in Settings
	IdleClose      int64 // time after which the worker's machine closes an idle connection
	StreamsPerConn int   // maximum number of concurrent requests on one connection
}

var effects = map[string]sq.Effect{"free": sq.Idempotent, "guarded": sq.Deduplicated, "single_shot": sq.AtMostOnce}

// ParseSettings parses a settings object. Its form is the same in the simulator's first message and
// in a gatherer's configuration file. ParseSettings checks the syntax and types; saffronquay.New
// checks the meaning of the values.
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
	r.has("areas") // a known key, not used: the zones come from the servers
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
	minWeight, completeWeight := fam.floats("floor_by_class", n), fam.floats("whole_at", n)
	for i, c := range classes {
		effect, ok := effects[c.str("effect", "")]
		if !ok {
			c.fault("effect", "unknown effect %q of class %q", c.str("effect", ""), c.str("name", ""))
		}
		m.Classes = append(m.Classes, sq.Class{
			Name: c.str("name", ""), LatencyTarget: c.integer("aim_us", 0),
			LatencyTargetStretch: c.float("aim_stretch", 0), HardLimit: c.integer("hard_limit_us", 0),
			Value: c.float("worth", 0), LateValue: c.float("late_worth", 0), Effect: effect,
			DedupWindow: c.integer("repeat_window_us", 0), CompleteWeight: completeWeight[i], MinWeight: minWeight[i],
			PartialValue: partial[i], SecondStepParts: int(fetch[i]),
		})
	}
	return s
}

// checkServing reports settings that are out of range, and those that only the simulator's adapter
// supports and the program does not.
func (s Settings) checkServing(r reader) {
	requirePositive := func(key string, v int64) {
		if v <= 0 {
			r.fault(key, "want a number above 0, not %d", v)
		}
	}
	for i, c := range s.Module.Classes {
		if c.SecondStepParts > 0 {
			r.fault("family_info.class_fetch", "class %q has a second step, which only the simulator supports", c.Name)
		}
		if s.Module.Classes[i].Name == "" {
			r.fault(fmt.Sprintf("classes[%d].name", i), "missing")
		}
		requirePositive(fmt.Sprintf("classes[%d].hard_limit_us", i), c.HardLimit)
		requirePositive(fmt.Sprintf("classes[%d].aim_us", i), c.LatencyTarget)
	}
	if r.object("permissions").has("most_tries") {
		requirePositive("permissions.most_tries", int64(s.Module.Limits.MaxAttempts))
	}
	requirePositive("permissions.connect_timeout_us", s.ConnectTimeout)
	requirePositive("permissions.idle_close_us", s.IdleClose)
	requirePositive("permissions.streams_per_conn", int64(s.StreamsPerConn))
	if s.MaxOpen < 0 {
		r.fault("permissions.max_open", "want 0 or more, not %d", s.MaxOpen)
	}
	if len(r.doc.faults) > 0 {
		return // Validate would report the same faults again with other texts
	}
	if err := s.Module.Validate(); err != nil {
		r.fault("", "%v", err)
	}
}

// checkLayout returns an error if changing to the settings now needs a restart, which applies to the
// placement of shards and the membership mode.
func (s Settings) checkLayout(now Settings) error {
	a, b := s.Module, now.Module
	switch {
	case a.Shards != b.Shards:
		return fmt.Errorf("settings.family_info.shards: changing %d to %d needs a restart", a.Shards, b.Shards)
	case a.Cells != b.Cells:
		return fmt.Errorf("settings.family_info.positions: changing %d to %d needs a restart", a.Cells, b.Cells)
	case a.CellsPerShard != b.CellsPerShard:
		return fmt.Errorf("settings.family_info.reach: changing %d to %d needs a restart", a.CellsPerShard, b.CellsPerShard)
	case a.WatchMembership != b.WatchMembership:
		return fmt.Errorf("settings.membership_mode: a change needs a restart")
	}
	return nil
}
