package config

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	sq "saffronquay"
)

// loadValid loads the file valid with the first occurrence of from replaced.
func loadValid(t *testing.T, from, to string) (Node, error) {
	t.Helper()
	text := strings.Replace(valid, from, to, 1)
	if from != "" && text == valid {
		t.Fatalf("%q is not in the text", from)
	}
	return Load(func(name string) string { return map[string]string{"LB_CONFIG": "f", "LB_NAME": "n9"}[name] },
		func(string) ([]byte, error) { return []byte(text), nil })
}

const valid = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"generation":41,"reset":true,"instances":[
  {"instanceId":"s-5","hostPort":"127.0.0.1:9","zone":"a","cell":3,"lifecycle":"SERVING","startedAtMs":2}]},
 "settings":{"me":0,"balancers":3,"zone":"a","period_us":5000,
  "classes":[{"name":"c","aim_us":1000,"hard_limit_us":2000,"effect":"free","worth":1.0}],
  "family_info":{"class_fetch":[0],"class_partial":[0.9],"floor_by_class":[1.0],"whole_at":[1.0],
   "positions":12,"reach":4,"shards":12,"parts_a_call":1},
  "permissions":{"max_open":61,"connect_timeout_us":250000,"idle_close_us":15000000,"streams_per_conn":32,"may_cancel":true},
  "rules":{"grace_to_answer_us":20000}}}`

func TestLoad(t *testing.T) {
	n, err := loadValid(t, "", "")
	if err != nil {
		t.Fatal(err)
	}
	if n.Name != "n9" || n.Seed != 0x8c1f30d27a5be964 || n.Sockets != 1024 || n.Generation != 41 || n.Settings.MaxOpen != 61 ||
		len(n.Known) != 1 || n.Known[0].StartedAt != 2000 || n.Addresses["s-5"] != "127.0.0.1:9" || !n.Settings.Module.Limits.MayCancel {
		t.Errorf("%+v", n)
	}
	if _, err := sq.New(n.Settings.Module, n.Seed); err != nil {
		t.Error(err)
	}
}

// Each fault of the platform's configuration is reported with the full name of its key.
func TestLoad_ErrorNamesKey(t *testing.T) {
	for _, c := range []struct{ from, to, names string }{
		{`"127.0.0.1:8080"`, `"nowhere"`, "listen"},
		{`"127.0.0.1:8500"`, `7`, "discovery"},
		{`"name":"n3"`, `"operator":"9600"`, "operator"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"balancers":3`, `"balancers":3.5`, "settings.balancers"},
		{`"effect":"free"`, `"effect":"odd"`, "settings.classes[0].effect"},
		{`"aim_us":1000`, `"aim_us":"1"`, "settings.classes[0].aim_us"},
		{`"whole_at":[1.0]`, `"whole_at":[1.0,1.0]`, "settings.family_info.whole_at"},
		{`"class_fetch":[0]`, `"class_fetch":[2]`, "settings.family_info.class_fetch"},
		{`"may_cancel":true`, `"may_cancel":1`, "settings.permissions.may_cancel"},
		{`"streams_per_conn":32`, `"streams_per_conn":0`, "settings.permissions.streams_per_conn"},
		{`"SERVING"`, `"ASLEEP"`, "known"},
		{`"settings":{`, `"setings":{`, "settings: missing"},
		{`"family_info":{`, `"family":{`, "settings.family_info: missing"},
		{`{"name"`, `"name"`, "not JSON"},
	} {
		if _, err := loadValid(t, c.from, c.to); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: got %v, want %s named", c.to, err, c.names)
		}
	}
	none := func(string) string { return "" }
	if _, err := Load(none, nil); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
	if _, ok, err := LoadOperator(none, nil); ok || err != nil {
		t.Errorf("no operator's file in the environment: got %t, %v, want false, nil", ok, err)
	}
	gone := errors.New("gone")
	_, ok, err := LoadOperator(func(string) string { return "f" }, func(string) ([]byte, error) { return nil, gone })
	if !ok || !errors.Is(err, gone) {
		t.Errorf("unreadable operator's file: got %t, %v, want true and the read error", ok, err)
	}
}

func TestParseOperator_ErrorNamesKey(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/opensearch.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := sq.New(o.Settings.Module, o.Seed); err != nil {
		t.Error(err)
	}
	if len(o.Indices) != 2 || len(o.Servers) != 4 || o.Budgets["estudio-lagos"].Window != 10_000_000 || o.VRRP == nil ||
		len(o.Settings.Module.Tenants) != 2 {
		t.Errorf("%+v", o)
	}
	for _, c := range []struct{ from, to, names string }{
		{`"class": "filing-submit"`, `"class": "odd"`, "indices[1].class"},
		{`"from": 25000, "to": 50000`, `"from": 50000, "to": 50000`, "indices[0].ranges[1].to"},
		{`"shard": 3`, `"shard": 4`, "indices[0].ranges[3].shard"},
		{`"id": "ledger-1"`, `"id": "ledger-0"`, "servers[1].id"},
		{`"127.0.0.1:9300"`, `"here"`, "servers[0].address"},
		{`"window_us": 10000000`, `"window_us": 0`, "tenants[0].budget"},
		{`"quota_per_s": 14.0`, `"quota": 14.0`, "tenants[0].quota_per_s"},
		{`"vrid": 7`, `"vrid": 256`, "vrrp.vrid"},
		{`"interval_ms": 1000`, `"interval_ms": 1001`, "vrrp.interval_ms"},
		{`"listen": "127.0.0.1:9200"`, `"listen": 9200`, "listen"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := ParseOperator([]byte(changed)); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: got %v, want %s named", c.to, err, c.names)
		}
	}
}

// The section store is parsed, and each fault in it is reported with the full name of its key.
func TestParseOperator_Store(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/durable.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		t.Fatal(err)
	}
	if s := o.Store; s == nil || s.Directories[1] != "/var/lib/saffronquay/b" || s.Retention != 15*time.Minute || s.KeyHeader != "Idempotency-Key" || s.SegmentSize != 8<<20 {
		t.Errorf("%+v", o.Store)
	}
	for _, c := range []struct{ from, to, names string }{
		{`"/var/lib/saffronquay/b"`, `"/var/lib/saffronquay/a"`, "store.copy: want another directory"},
		{`"directory": "/var/lib/saffronquay/a",`, ``, "store.directory: missing"},
		{`"keep_ms": 900000`, `"keep_ms": 5`, "store.keep_ms"},
		{`"keep_ms": 900000`, `"keep_ms": 5000`, "store.keep_ms: want at least the hard limit of class"},
		{`"takeover_ms": 10000`, `"takeover_ms": "1"`, "store.takeover_ms"},
		{`"Idempotency-Key"`, `"a key"`, "store.key_header"},
		{`"segment_mb": 8`, `"segment_mb": 0`, "store.segment_mb"},
		{`"max_answer_kb": 64`, `"max_answer_kb": -1`, "store.max_answer_kb"},
		{`"without": false`, `"without": 0`, "store.without"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := ParseOperator([]byte(changed)); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
}

// The section layout is validated with the rest of the file, and replaces the ranges of indices and the
// cells of servers.
func TestParseOperator_Layout(t *testing.T) {
	text, err := os.ReadFile("../../../deploy/layout.json")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		t.Fatal(err)
	}
	if o.Layout == nil || o.Layout.Directory != "127.0.0.1:9700" || len(o.Layout.Document.Ranges) != 4 || !o.Indices["invoices"].Placed {
		t.Errorf("%+v", o.Layout)
	}
	for _, c := range []struct{ from, to, names string }{
		{`"from": 25000`, `"from": 26000`, "layout.whole: epoch 1: range 26000-50000: gap"},
		{`"field": "taxpayer"`, `"field": "taxpayer", "partials": "xml"`, "indices[0].partials"},
		{`"ledger-3",`, `"ledger-9",`, `holder "ledger-3" is not in the list`},
		{`"whole": {`, `"hole": {`, "layout.whole: missing"},
		{`"epoch": 1`, `"epoch": 1, "odd": 2`, "layout.whole"},
		{`"stall_ms": 60000`, `"stall_ms": 0`, "layout.stall_ms"},
		{`"127.0.0.1:9700"`, `"here"`, "layout.directory"},
		{`"field": "taxpayer"`, `"field": "taxpayer", "ranges": []`, "indices[0].ranges: the layout determines them"},
		{`"zone": "villa-maria"`, `"zone": "villa-maria", "draining": 1`, "servers[2].draining"},
	} {
		changed := strings.Replace(string(text), c.from, c.to, 1)
		if changed == string(text) {
			t.Fatalf("%q is not in the file", c.from)
		}
		if _, err := ParseOperator([]byte(changed)); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s: got %v, want %s named", c.to, err, c.names)
		}
	}
}

// The passed socket comes from the environment. A fault is reported with the name of the variable.
func TestLoadProcess(t *testing.T) {
	env := func(v string) func(string) string { return func(string) string { return v } }
	if p, err := LoadProcess(env("3")); err != nil || p.PassedSocket != 3 {
		t.Errorf("%+v %v", p, err)
	}
	if p, err := LoadProcess(env("")); err != nil || p.PassedSocket != 0 {
		t.Errorf("%+v %v", p, err)
	}
	for _, bad := range []string{"2", "-1", "x", "3 "} {
		if _, err := LoadProcess(env(bad)); err == nil || !strings.Contains(err.Error(), "LB_PASSED_SOCKET") {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

// A reload validates the whole file. It rejects a file that is truncated, lacks a key, has a time
// or number out of range, or changes a setting that needs a restart, and the error names the key.
func TestReload_RejectsInvalidFile(t *testing.T) {
	base := strings.Replace(valid, `"may_cancel":true`, `"may_cancel":true,"most_tries":4`, 1)
	read := func(text string) (Node, error) {
		if _, err := Load(func(string) string { return "f" }, func(string) ([]byte, error) { return []byte(base), nil }); err == nil {
			t.Fatal("Load accepted an invalid address in LB_DISCOVERY")
		}
		env := func(name string) string {
			return map[string]string{"LB_CONFIG": "f", "LB_DISCOVERY": "127.0.0.1:1"}[name]
		}
		inForce, err := Load(env, func(string) ([]byte, error) { return []byte(base), nil })
		if err != nil {
			t.Fatal(err)
		}
		return Reload(env, func(string) ([]byte, error) { return []byte(text), nil }, inForce)
	}
	if n, err := read(strings.Replace(base, `"name":"c"`, `"name":"d"`, 1)); err != nil || n.Settings.Module.Classes[0].Name != "d" ||
		n.Discovery != "127.0.0.1:8500" {
		t.Errorf("%+v %v", n, err)
	}
	for i := range base { // truncated at each byte
		if _, err := read(base[:i]); err == nil {
			t.Fatalf("accepted a file truncated after %d bytes", i)
		}
	}
	for _, c := range []struct{ from, to, names string }{
		{`"most_tries":4`, `"most_tries":0`, "settings.permissions.most_tries"},
		{`"hard_limit_us":2000`, `"hard_limit_us":0`, "settings.classes[0].hard_limit_us"},
		{`"hard_limit_us":2000,`, ``, "settings.classes[0].hard_limit_us"},
		{`"aim_us":1000`, `"aim_us":-1`, "settings.classes[0].aim_us"},
		{`,"most_tries":4`, ``, "settings.permissions.most_tries"},
		{`"rules":{"grace_to_answer_us":20000}`, `"rules":{}`, "settings.rules.grace_to_answer_us"},
		{`"discovery":"127.0.0.1:8500",`, ``, "discovery"},
		{`"name":"n3",`, ``, "name"},
		{`"seed":"8c1f30d27a5be964",`, ``, "seed"},
		{`"zone":"a","period_us"`, `"period_us"`, "settings.zone"},
		{`"balancers":3`, `"balancers":0`, "settings"},
		{`"shards":12`, `"shards":13`, "settings.family_info.shards"},
		{`"reach":4`, `"reach":3`, "settings.family_info.reach"},
	} {
		text := strings.Replace(base, c.from, c.to, 1)
		if text == base {
			t.Fatalf("%q is not in the text", c.from)
		}
		if _, err := read(text); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("%s -> %s: %v", c.from, c.to, err)
		}
	}
	duplicate := strings.Replace(base, `"classes":[`, `"classes":[{"name":"c","aim_us":1000,"hard_limit_us":2000,"effect":"free","worth":1.0},`, 1)
	for _, key := range []string{"class_fetch", "class_partial", "floor_by_class", "whole_at"} {
		duplicate = strings.Replace(duplicate, `"`+key+`":[`, `"`+key+`":[0,`, 1)
	}
	if _, err := read(duplicate); err == nil || !strings.Contains(err.Error(), "twice") {
		t.Errorf("duplicate class: %v", err)
	}
}
