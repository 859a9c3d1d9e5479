package main

import (
	"bytes"
	"strings"
	"testing"
)

const (
	tick = `{"event_type":"Tick","at_time_us":100,"serial":1}` + "\n"
	end  = `{"event_type":"End"}` + "\n"
)

const open = `{"event_type":"OpenInstance","who":"node/0","random_seed":3,"setup":{"balancers":1,"me":0,"period_us":10,` +
	`"classes":[{"name":"c","aim_us":10000,"hard_limit_us":20000,"effect":"free","worth":1}],` +
	`"family_info":{"class_fetch":[0],"class_partial":[0.9],"floor_by_class":[1],"whole_at":[1],"positions":1,` +
	`"reach":1,"shards":1},"permissions":{"most_tries":3},"rules":{}}}` + "\n"

const list = `{"event_type":"Ledger","slot":0,"members":[{"server":"s:1","slot_no":0,"health":1}]}` + "\n" +
	`{"event_type":"Fleet","who":"node/0","scope":1,"generation":1,"slot":0}` + "\n"

const query = `{"event_type":"Ingress","who":"node/0","txn":1,"segment_no":-1,"priority":"c","group_no":1,` +
	`"client_deadline_us":20000,"size_or_weight":1}` + "\n" +
	`{"event_type":"Ingress","who":"node/0","txn":2,"segment_no":0,"priority":"c","group_no":1,` +
	`"client_deadline_us":20000,"size_or_weight":1,"work_us":50}` + "\n"

func TestRun_RepliesToEachBatch(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(tick+end+tick+open+list+query+end), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	if !strings.HasPrefix(got, `{"event_type":"Ack","serial":1}`+"\n") || strings.Count(got, `"Ack"`) != 2 {
		t.Errorf("want two replies: %s", got)
	}
	if !strings.Contains(got, `{"event_type":"PassOn","who":"node/0","txn":2,"allow_for_us":10000,"server":"s:1"}`) {
		t.Errorf("the part was not sent: %s", got)
	}
}

// TestRun_InstancesAreIndependent checks that the replies of an instance do not depend on the
// instances beside it.
func TestRun_InstancesAreIndependent(t *testing.T) {
	other := func(s string) string { return strings.ReplaceAll(s, "node/0", "node/1") }
	reply := func(in, who string) string {
		var out bytes.Buffer
		if err := run(strings.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		var lines []string
		for _, l := range strings.Split(out.String(), "\n") {
			if strings.Contains(l, who) {
				lines = append(lines, l)
			}
		}
		return strings.Join(lines, "\n")
	}
	alone := reply(tick+open+list+query+end, "node/0")
	both := reply(tick+other(open)+open+list+other(list)+other(query)+query+end, "node/0")
	if alone == "" || alone != both {
		t.Errorf("replies alone:\n%s\nwith another instance:\n%s", alone, both)
	}
}

// TestRun_MalformedInputIsOneLineError checks that malformed input gives one message without line
// breaks that names the line and the fault, and no output.
func TestRun_MalformedInputIsOneLineError(t *testing.T) {
	for _, c := range []struct{ name, in, says string }{
		{"not JSON", tick + "{\n", "line 2"},
		{"unknown event", tick + `{"event_type":"What"}` + "\n", "unknown event"},
		{"never opened", tick + query + end, "never opened"},
		{"killed", tick + open + `{"event_type":"Killed","who":"node/0"}` + "\n" + query + end, "killed"},
		{"no shards", tick + strings.ReplaceAll(open, `"shards":1`, `"shards":0`) + end, "0 shards"},
		{"negative time", tick + strings.ReplaceAll(open, `"aim_us":10000`, `"aim_us":-1`) + end, "latency target, hard limit or dedup window is out of range"},
		{
			"undeclared list", tick + open + `{"event_type":"Fleet","who":"node/0","scope":3,"generation":1,"slot":4}` + "\n" + end,
			"list 4",
		},
		{"outside of a batch", query, "outside of a batch"},
		{"cut off", tick, "within a batch"},
	} {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.says) || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%s: error %v should name the line and %q", c.name, err, c.says)
		}
		if err != nil && strings.Contains(err.Error(), "\n") || out.Len() > 0 {
			t.Errorf("%s: want a one-line error and no output: %v, output %q", c.name, err, out.String())
		}
	}
}
