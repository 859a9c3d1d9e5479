package config_test

import (
	"os"
	"saffronquay/internal/broker/config"
	"strings"
	"testing"

	sq "saffronquay"
)

// The section rollout of the example is parsed, and each fault in it is reported with the full name
// of its key. A policy replaces the policy keys of the file, and no others.
func TestParseOperator_Rollout(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/rollout.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := config.ParseOperator(text)
	if err != nil || len(o.Rollout.Voters) != 3 {
		t.Fatalf("%+v %v", o.Rollout, err)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"listen": "127.0.0.1:9450"`, `"listen": "x"`, "rollout.listen: "},
		{`"lease_ms": 2000`, `"lease_ms": 20`, "rollout.lease_ms: want 200"},
		{`"drift": 0.01`, `"drift": 1`, "rollout.drift: "},
		{`"name": "cordoba-2", "address": "127.0.0.1:9460", "voter": true`, `"name": "cordoba-2", "address": "127.0.0.1:9460"`, "rollout.members: want 3, 5 or 7 voters"},
		{`"name": "cordoba-2"`, `"name": "cordoba-3"`, "rollout.members[2].name"},
		{` "name": "cordoba-1",
 "listen"`, ` "name": "cordoba-9",
 "listen"`, `rollout.members: this gatherer, "cordoba-9", is not among them`},
		{` "store": {"directory": "/var/lib/saffronquay/cordoba-1"},`, ``, "rollout: needs the section store"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := config.ParseOperator([]byte(changed)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
	policy, err := config.ExtractPolicy(text)
	if err != nil || strings.Contains(string(policy), "9450") || !strings.Contains(string(policy), `"max_open":500`) {
		t.Fatalf("%s %v", policy, err)
	}
	now, err := config.ParseOperator(text, []byte(strings.Replace(string(policy), `"max_open":500`, `"max_open":7`, 1)))
	if err != nil || now.Settings.MaxOpen != 7 || now.Listen != o.Listen {
		t.Errorf("%+v %v", now.Settings, err)
	}
	// The settings that identify a gatherer stay local; a policy's drains apply to every gatherer.
	elsewhere := []byte(strings.Replace(string(text), `"me": 0, "balancers": 3, "zone": "norte"`, `"me": 2, "balancers": 3, "zone": "sur"`, 1))
	if there, err := config.ParseOperator(elsewhere, policy); err != nil || there.Settings.Module.Zone != "sur" || there.Settings.Module.Self != 2 {
		t.Errorf("another gatherer with the policy: %+v %v", there.Settings.Module, err)
	}
	if _, err := config.ParseOperator(text, []byte(strings.Replace(string(policy), `"settings":{`, `"settings":{"zone":"sur",`, 1))); err == nil || !strings.Contains(err.Error(), "settings.zone: local to each") {
		t.Errorf("%v", err)
	}
	for drains, want := range map[string]int{`{"servers":["ledger-1","unknown"]}`: 1, `{"zones":["norte"]}`: 1, `{"zones":["norte","sur"]}`: 2, `{}`: 0} {
		there, err := config.ParseOperator(text, []byte(strings.TrimSuffix(string(policy), "}")+`,"drains":`+drains+`}`))
		n := 0
		for _, s := range there.Servers {
			if s.Health == sq.Draining {
				n++
			}
		}
		if err != nil || n != want {
			t.Errorf("%s: %d drained, %v", drains, n, err)
		}
	}
	if _, err := config.ParseOperator(text, []byte(`{"drains":{"server":["a"]}}`)); err == nil || !strings.Contains(err.Error(), "drains: want lists") {
		t.Errorf("%v", err)
	}
	if _, err := config.ParseOperator(text, []byte(`{"store":{}}`)); err == nil || !strings.Contains(err.Error(), "store: a policy has the keys") {
		t.Errorf("%v", err)
	}
	// A reload with a changed policy key is rejected and the error names the key; a changed list of
	// servers is accepted.
	env := func(string) string { return "file" }
	for _, c := range []struct{ from, to, want string }{{`"max_open": 500`, `"max_open": 501`, "settings: with a rollout on"}, {`"zone": "sur"`, `"zone": "norte"`, ""}} {
		_, err := config.ReloadOperator(env, func(string) ([]byte, error) { return []byte(strings.Replace(string(text), c.from, c.to, 1)), nil }, o, policy)
		if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}
