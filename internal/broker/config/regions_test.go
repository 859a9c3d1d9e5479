package config_test

import (
	"os"
	"saffronquay/internal/broker/config"
	"slices"
	"strings"
	"testing"
)

// The regions of the example are parsed. Each fault in them is reported with the full name of its
// key, and all faults of a file are reported together.
func TestParseOperator_Regions(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/regions.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := config.ParseOperator(text)
	if err != nil {
		t.Fatal(err)
	}
	if r := o.Rollout; r.Region != "oeste" || len(r.Regions) != 6 || r.Regions["rosario-3"] != "este" || len(r.Voters) != 6 ||
		!slices.Equal(r.Global, []string{"cordoba-1", "cordoba-2", "cordoba-3", "rosario-1", "rosario-2"}) || r.MaxPause != 0 {
		t.Fatalf("%+v", r)
	}
	third := `{"name": "cordoba-3", "address": "127.0.0.1:9470", "region": "oeste", "voter": true, "global": true}`
	last := `{"name": "rosario-3", "address": "127.0.0.1:9570", "region": "este", "voter": true}`
	var many []string
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		many = append(many, strings.NewReplacer("cordoba-3", name, "este", "oeste", "rosario-3", name).Replace(last))
	}
	for _, c := range []struct{ from, to, want string }{
		{`"region": "oeste",
  "lease_ms"`, `"lease_ms"`, "rollout.region: missing: the members have regions"},
		{`"region": "oeste",
  "lease_ms"`, `"region": "este",
  "lease_ms"`, `rollout.region: "este" here, but "oeste" among the members`},
		{third, strings.Replace(third, `"region": "oeste", `, "", 1), "rollout.members[2].region: missing: either every member"},
		{third, strings.Replace(third, `"oeste"`, `"o este"`, 1), "rollout.members[2].region: "},
		{third, strings.Replace(third, `"oeste"`, `""`, 1), "rollout.members[2].region: "},
		{third, strings.Replace(third, `"oeste"`, `"sur"`, 1), ""},
		{third, strings.Replace(third, `"oeste", "voter": true`, `"sur"`, 1), ""}, // a witness: no member serves in that region
		{third, strings.Replace(third, `"oeste", "voter": true, "global": true`, `"sur"`, 1), `rollout.members: want 1 to 7 voters in region "sur", not 0`},
		{last, last + "," + strings.Join(many, ","), `rollout.members: want 1 to 7 voters in region "oeste", not 8`},
		{`, "global": true`, "", ""},
		{`, "global": true`, `, "global": 1`, "rollout.members[0].global: want true or false"},
		{`"region": "este"`, `"region": 1`, "rollout.members[3].region: want string"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := config.ParseOperator([]byte(changed)); (c.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
	// More voters than one agreement allows, without a choice of global voters; then all regions
	// removed, but not the key global of the members.
	unnamed := strings.ReplaceAll(string(text), `, "global": true`, "")
	if _, err := config.ParseOperator([]byte(unnamed)); err != nil {
		t.Errorf("six voters in all: %v", err)
	}
	if _, err := config.ParseOperator([]byte(strings.Replace(unnamed, last, last+","+strings.Join(many[:2], ","), 1))); err == nil ||
		!strings.Contains(err.Error(), "rollout.members: all 8 voters would vote in the global agreement") {
		t.Errorf("eight voters in all: %v", err)
	}
	plain := strings.NewReplacer(`"region": "oeste", `, "", `"region": "este", `, "", `"region": "oeste",`, "").Replace(string(text))
	for _, want := range []string{"rollout.members[0].global: there are no regions", "rollout.members[4].global: there are no regions", "rollout.members: want 3, 5 or 7 voters"} {
		if _, err := config.ParseOperator([]byte(plain)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q in %v", want, err)
		}
	}
	// The region is local to each file, so that a policy does not contain it. Changing it needs a restart.
	policy, err := config.ExtractPolicy(text)
	if err != nil || strings.Contains(string(policy), "este") {
		t.Errorf("%s %v", policy, err)
	}
	moved := strings.NewReplacer(`"region": "oeste",`, `"region": "este",`, `"region": "este",`, `"region": "oeste",`).Replace(string(text))
	if now, err := config.ParseOperator([]byte(moved)); err != nil || o.CheckReload(now) == nil {
		t.Errorf("changed region: parse error %v, and CheckReload accepts it", err)
	}
}
