package config_test

import (
	"saffronquay/deploy"
	"saffronquay/internal/broker/config"
	"strings"
	"testing"
	"time"
)

// The section fleet of the example is parsed, and each fault in it is reported with the full name
// of its key. A reload may change only balancers and contracts in it.
func TestParseOperator_Fleet(t *testing.T) {
	o, err := config.ParseOperator(deploy.Fleet)
	if err != nil {
		t.Fatal(err)
	}
	if f := o.Fleet; f.Name != "ledger-cordoba" || len(f.Join) != 3 || len(f.Allow) != 1 || f.ProbePeriod != 200*time.Millisecond || f.CountDeadFor != 300*time.Second || !f.Balancers || !f.Contracts {
		t.Errorf("%+v", f)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"listen": "127.0.0.1:9410"`, `"listen": "here"`, "fleet.listen: "},
		{`"listen": "127.0.0.1:9410"`, `"listen": "0.0.0.0:9410"`, "fleet.advertise: missing"},
		{`"listen": "127.0.0.1:9410"`, `"listen": "127.0.0.1:9410", "advertise": "0.0.0.0:1"`, "fleet.advertise: want the address at which others"},
		{`"listen": "127.0.0.1:9410",`, ``, "fleet.listen: missing"},
		{`"127.0.0.1:9420"`, `"127.0.0.1:0"`, "fleet.join: 127.0.0.1:0 has no port"},
		{`"127.0.0.0/8"`, `"loopback"`, "fleet.allow: "},
		{`"period_ms": 200`, `"period_ms": 1`, "fleet.period_ms: want 50 to 10000"},
		{`"suspect": 2.5`, `"suspect": 0`, "fleet.suspect: want 1 to 20"},
		{`"reckon_ms": 300000`, `"reckon_ms": 3`, "fleet.reckon_ms: want 1000"},
		{`"name": "ledger-cordoba"`, `"name": "two words"`, "fleet.name: "},
		{`"name": "cordoba-1",`, ``, "name: missing: each gatherer of a fleet"},
		{`"contracts": true`, `"contract": true`, `fleet.contract: unknown key; is it "contracts"?`},
	} {
		text := strings.Replace(string(deploy.Fleet), c.from, c.to, 1)
		if text == string(deploy.Fleet) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := config.ParseOperator([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
	// Changes that need a restart, and changes that do not.
	env := func(string) string { return "file" }
	for _, c := range []struct {
		from, to string
		ok       bool
	}{{`"period_ms": 200`, `"period_ms": 300`, false}, {`"contracts": true`, `"contracts": false`, true}, {`"fleet"`, `"cursors": {}, "fleet"`, true}} {
		_, err := config.ReloadOperator(env, func(string) ([]byte, error) {
			return []byte(strings.Replace(string(deploy.Fleet), c.from, c.to, 1)), nil
		}, o)
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}
