package config

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	sq "saffronquay"
)

// sites are settings that correspond to the site files in deploy/sites, and the values expected
// after parsing. Each differs from all operators' files in another way. They are written by hand in
// the form of the simulator's first message.
var sites = []struct {
	name, settings string
	classes        []sq.Class
	limits         sq.Limits
	rules          sq.Rules
	asks           bool
	tenants        int
}{
	{
		"paso-freight", `{"me":1,"balancers":3,"areas":["north-quay","south-quay"],"zone":"south-quay","period_us":4000,"membership_mode":"ask",
	"over_share_worth":0.2,"telemetry":{"how":"pull","fields":["outstanding"]},"counted_by":"request","unheard_of":{"a":[1,null]},
	"classes":[
	 {"name":"track","effect":"free","aim_us":700000,"hard_limit_us":1600000,"worth":1,"late_worth":0.2},
	 {"name":"manifest","effect":"free","aim_us":1200000,"hard_limit_us":2500000,"worth":2,"late_worth":0},
	 {"name":"amend","effect":"guarded","repeat_window_us":1500000,"key_scope":"all","aim_us":900000,"hard_limit_us":2500000,"worth":2,"late_worth":0.4},
	 {"name":"release-hold","effect":"single_shot","aim_us":900000,"hard_limit_us":3000000,"worth":4,"late_worth":0.5},
	 {"name":"yard-count","effect":"free","aim_us":1500000,"hard_limit_us":4000000,"worth":3,"late_worth":0.3}],
	"family_info":{"shards":24,"positions":12,"reach":3,"overhead_us":0,"parts_a_call":1,"class_fetch":[0,0,0,0,0],
	 "class_partial":[0.9,0.9,0.9,0.9,0.8],"floor_by_class":[1,1,1,1,0.5],"whole_at":[1,1,1,1,0.8]},
	"permissions":{"most_tries":3,"second_copies":true,"may_cancel":false,"probing":true,"retry_after":true,"max_retry_after_us":800000,
	 "max_open":90,"connect_timeout_us":300000,"idle_close_us":12000000,"streams_per_conn":16},
	"prices":{"cross_zone":0.03},"parties":[{"name":"line-one","quota_per_s":20},{"name":"line-two","quota_per_s":10},{"name":"customs","quota_per_s":3}],
	"rules":{"ask_within_us":10000000,"cold_share":0.25,"warm_within_us":12000000,"fall_multiple":3,"fall_us":2000000,"grace_to_answer_us":20000,
	 "stop_sending_within_us":400000,"extra_ratio":0.15,"free_resends":8,"extra_window_us":8000000}}`,
		[]sq.Class{
			{Name: "track", LatencyTarget: 700_000, HardLimit: 1_600_000, Value: 1, LateValue: 0.2, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9},
			{Name: "manifest", LatencyTarget: 1_200_000, HardLimit: 2_500_000, Value: 2, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9},
			{Name: "amend", LatencyTarget: 900_000, HardLimit: 2_500_000, Value: 2, LateValue: 0.4, Effect: sq.Deduplicated, DedupWindow: 1_500_000, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9},
			{Name: "release-hold", LatencyTarget: 900_000, HardLimit: 3_000_000, Value: 4, LateValue: 0.5, Effect: sq.AtMostOnce, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9},
			{Name: "yard-count", LatencyTarget: 1_500_000, HardLimit: 4_000_000, Value: 3, LateValue: 0.3, CompleteWeight: 0.8, MinWeight: 0.5, PartialValue: 0.8},
		},
		sq.Limits{MaxAttempts: 3, Hedging: true, RetryAfter: true, MaxRetryAfter: 800_000},
		sq.Rules{
			AnswerGrace: 20_000, DrainGrace: 400_000, SlowStartFraction: 0.25, WarmUp: 12_000_000, OverloadMultiple: 3, OverloadWindow: 2_000_000,
			MembershipWithin: 10_000_000, Budgeted: true, FreeExtraAttempts: 8, ExtraAttemptRatio: 0.15, ExtraAttemptWindow: 8_000_000,
		},
		true, 3,
	},
	{
		"delta-clinics", `{"me":0,"balancers":2,"areas":["levee"],"zone":"levee","period_us":10000,"membership_mode":"push","over_share_worth":0.3,
	"telemetry":{"how":"silent","fields":[]},"classes":[
	 {"name":"prescribe","effect":"single_shot","aim_us":5000000,"hard_limit_us":12000000,"worth":3,"late_worth":0.6},
	 {"name":"lookup","effect":"guarded","repeat_window_us":4000000,"aim_us":3500000,"hard_limit_us":9000000,"worth":1,"late_worth":0.1}],
	"family_info":{"shards":12,"positions":4,"reach":1,"overhead_us":0,"parts_a_call":1,"class_fetch":[0,0],"class_partial":[0.9,0.9],
	 "floor_by_class":[1,1],"whole_at":[1,1]},
	"permissions":{"most_tries":2,"second_copies":false,"may_cancel":true,"retry_after":true,"max_retry_after_us":1500000,"max_open":40,
	 "connect_timeout_us":400000,"idle_close_us":20000000,"streams_per_conn":8},
	"parties":[{"name":"clinics","quota_per_s":9},{"name":"audit","quota_per_s":1}],
	"rules":{"cold_share":0.3,"warm_within_us":11000000,"fall_multiple":2,"fall_us":2500000,"grace_to_answer_us":20000,"stop_sending_within_us":600000}}`,
		[]sq.Class{
			{Name: "prescribe", LatencyTarget: 5_000_000, HardLimit: 12_000_000, Value: 3, LateValue: 0.6, Effect: sq.AtMostOnce, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9},
			{Name: "lookup", LatencyTarget: 3_500_000, HardLimit: 9_000_000, Value: 1, LateValue: 0.1, Effect: sq.Deduplicated, DedupWindow: 4_000_000, CompleteWeight: 1, MinWeight: 1, PartialValue: 0.9},
		},
		sq.Limits{MaxAttempts: 2, MayCancel: true, RetryAfter: true, MaxRetryAfter: 1_500_000},
		sq.Rules{AnswerGrace: 20_000, DrainGrace: 600_000, SlowStartFraction: 0.3, WarmUp: 11_000_000, OverloadMultiple: 2, OverloadWindow: 2_500_000},
		false, 2,
	},
}

// Settings of other sites are parsed to the expected values and can be served. Parsing is
// independent of previous calls: no value of one site appears in the settings of another.
func TestParseSettings_Sites(t *testing.T) {
	for range 2 { // the second round parses each site after the other one
		for _, site := range sites {
			s, err := ParseSettings([]byte(site.settings))
			if err != nil {
				t.Fatalf("%s: %v", site.name, err)
			}
			m := s.Module
			if fmt.Sprint(m.Classes) != fmt.Sprint(site.classes) {
				t.Errorf("%s: classes %+v, want %+v", site.name, m.Classes, site.classes)
			}
			if m.Limits != site.limits || m.Rules != site.rules || m.WatchMembership != site.asks || len(m.Tenants) != site.tenants {
				t.Errorf("%s: %+v %+v asks %t, %d tenants", site.name, m.Limits, m.Rules, m.WatchMembership, len(m.Tenants))
			}
			r, err := newReader([]byte(site.settings))
			if err != nil {
				t.Fatal(err)
			}
			readSettings(r).checkServing(r)
			if err := r.err(); err != nil {
				t.Errorf("%s: %v", site.name, err)
			}
			if _, err := sq.New(m, 1); err != nil {
				t.Errorf("%s: %v", site.name, err)
			}
			for _, other := range []struct{ key, was, is string }{
				{"effect", `"effect":"single_shot"`, `"effect":"once"`},
				{"hard_limit_us", `"hard_limit_us":9000000`, `"hard_limit_us":0`},
				{"hard_limit_us", `"hard_limit_us":1600000`, `"hard_limit_us":"soon"`},
				{"floor_by_class", `"floor_by_class":[1,`, `"floor_by_class":[`},
			} {
				if !strings.Contains(site.settings, other.was) {
					continue
				}
				bad := strings.Replace(site.settings, other.was, other.is, 1)
				r, err := newReader([]byte(bad))
				if err != nil {
					t.Fatal(err)
				}
				readSettings(r).checkServing(r)
				if err := r.err(); err == nil || !strings.Contains(err.Error(), other.key) {
					t.Errorf("%s with %s: %v, want a fault that names %s", site.name, other.is, err, other.key)
				}
			}
		}
	}
}

// No source file contains a name of a site: names of classes, tenants and zones must come from settings
// only.
func TestSource_ContainsNoSiteNames(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatal(files, err)
	}
	named := regexp.MustCompile(`(?m)^name = "([a-z-]{5,})"`)
	words := map[string]bool{
		"ledger-cordoba": true, "santander-central": true, "rio-cobre": true, "filing-submit": true, "invoice-search": true,
		"annual-summary": true, "meter-history": true, "gate-order": true, "usage-summary": true, "ad-booking": true, "network-report": true,
		"show-lookup": true, "estudio-": true,
	}
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range named.FindAllStringSubmatch(string(text), -1) {
			words[m[1]] = true
		}
	}
	for _, w := range []string{"pauses", "shared_slow", "neighbour", "crash", "balancer_crash", "lookup", "amend", "track", "manifest", "audit", "customs"} {
		delete(words, w) // ordinary words, and words of the benchmark
	}
	err = filepath.WalkDir("../../..", func(path string, d os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && (d.Name() == ".git" || d.Name() == "journal" || d.Name() == "docs" || d.Name() == "sites" || d.Name() == "bin") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for w := range words {
			if strings.Contains(string(text), w) {
				t.Errorf("%s contains %q, a name of a site", path, w)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
