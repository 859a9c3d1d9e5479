package wire

import (
	"errors"
	"fmt"

	yw "yarrowwalk"
)

type rawSetup struct {
	Me         int    `json:"me"`
	Balancers  int    `json:"balancers"`
	Zone       string `json:"zone"`
	Period     int64  `json:"period_us"`
	Membership string `json:"membership_mode"`
	Classes    []struct {
		Name         string  `json:"name"`
		Aim          int64   `json:"aim_us"`
		AimStretch   float64 `json:"aim_stretch"`
		HardLimit    int64   `json:"hard_limit_us"`
		Worth        float64 `json:"worth"`
		LateWorth    float64 `json:"late_worth"`
		Effect       string  `json:"effect"`
		RepeatWindow int64   `json:"repeat_window_us"`
	} `json:"classes"`
	Family *struct {
		Fetch     []int     `json:"class_fetch"`
		Partial   []float64 `json:"class_partial"`
		Floor     []float64 `json:"floor_by_class"`
		Whole     []float64 `json:"whole_at"`
		Overhead  int64     `json:"overhead_us"`
		PartsCall int       `json:"parts_a_call"`
		Positions int       `json:"positions"`
		Reach     int       `json:"reach"`
		Shards    int       `json:"shards"`
	} `json:"family_info"`
	Permissions struct {
		MayCancel     bool  `json:"may_cancel"`
		Peers         bool  `json:"peers"`
		MostTries     int   `json:"most_tries"`
		RetryAfter    bool  `json:"retry_after"`
		MaxRetryAfter int64 `json:"max_retry_after_us"`
		SecondCopies  bool  `json:"second_copies"`
	} `json:"permissions"`
	Parties []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"parties"`
	OverShareWorth float64 `json:"over_share_worth"`
	Prices         struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"prices"`
	Rules struct {
		AskWithin    int64    `json:"ask_within_us"`
		ColdShare    float64  `json:"cold_share"`
		FallMultiple float64  `json:"fall_multiple"`
		FallWindow   int64    `json:"fall_us"`
		AnswerGrace  int64    `json:"grace_to_answer_us"`
		DrainGrace   int64    `json:"stop_sending_within_us"`
		WarmWithin   int64    `json:"warm_within_us"`
		FreeResends  float64  `json:"free_resends"`
		ExtraRatio   *float64 `json:"extra_ratio"`
		ExtraWindow  int64    `json:"extra_window_us"`
	} `json:"rules"`
}

var effects = map[string]yw.Effect{"free": yw.Repeatable, "guarded": yw.Deduped, "single_shot": yw.AtMostOnce}

// settings turns the wire's setup into the library's settings; what they say is judged by yarrowwalk.New.
func (r *rawSetup) settings() (yw.Settings, error) {
	if r.Family == nil {
		return yw.Settings{}, errors.New(`missing field "family_info"`)
	}
	f := r.Family
	n := len(r.Classes)
	if len(f.Fetch) != n || len(f.Partial) != n || len(f.Floor) != n || len(f.Whole) != n {
		return yw.Settings{}, fmt.Errorf("family_info does not have one figure for each of %d classes", n)
	}
	s := yw.Settings{
		Self: r.Me, Aggregators: r.Balancers, Zone: r.Zone, Period: r.Period,
		Shards: f.Shards, Cells: f.Positions, Reach: f.Reach,
		CallOverhead: f.Overhead, PartsPerCall: f.PartsCall,
		AskMembership: r.Membership == "ask", OverShareWorth: r.OverShareWorth,
		Limits: yw.Limits{MaxTries: r.Permissions.MostTries, SecondCopies: r.Permissions.SecondCopies,
			MayCancel: r.Permissions.MayCancel, Peers: r.Permissions.Peers,
			RetryAfter: r.Permissions.RetryAfter, MaxRetryAfter: r.Permissions.MaxRetryAfter},
		Prices: yw.Prices{CrossZone: r.Prices.CrossZone},
		Rules: yw.Rules{AnswerGrace: r.Rules.AnswerGrace, DrainGrace: r.Rules.DrainGrace,
			ColdShare: r.Rules.ColdShare, WarmWithin: r.Rules.WarmWithin, FallMultiple: r.Rules.FallMultiple,
			FallWindow: r.Rules.FallWindow, AskWithin: r.Rules.AskWithin, FreeExtras: r.Rules.FreeResends,
			ExtraWindow: r.Rules.ExtraWindow},
	}
	if r.Rules.ExtraRatio != nil {
		s.Rules.Budgeted, s.Rules.ExtraRatio = true, *r.Rules.ExtraRatio
	}
	for _, p := range r.Parties {
		s.Tenants = append(s.Tenants, yw.Tenant{Name: p.Name, Quota: p.Quota})
	}
	for i, c := range r.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return yw.Settings{}, fmt.Errorf("class %q: unknown effect %q", c.Name, c.Effect)
		}
		s.Classes = append(s.Classes, yw.Class{Name: c.Name, Aim: c.Aim, AimStretch: c.AimStretch,
			HardLimit: c.HardLimit, Worth: c.Worth, LateWorth: c.LateWorth, Effect: effect,
			RepeatWindow: c.RepeatWindow, Need: f.Whole[i], Floor: f.Floor[i], Partial: f.Partial[i],
			Fetch: f.Fetch[i]})
	}
	return s, nil
}
