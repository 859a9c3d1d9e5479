package simwire

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	sq "saffronquay"
)

const setup = `{"balancers":2,"me":1,"zone":"z","period_us":5000,"membership_mode":"ask","never_heard_of":[1],` +
	`"classes":[{"name":"c","aim_us":10,"hard_limit_us":20,"effect":"guarded","repeat_window_us":5,"worth":2}],` +
	`"family_info":{"class_fetch":[3],"class_partial":[0.9],"floor_by_class":[0.8],"whole_at":[1],"positions":4,` +
	`"reach":2,"shards":8,"parts_a_call":16,"overhead_us":7},"parties":[{"name":"t","quota_per_s":1.5}],` +
	`"permissions":{"most_tries":3,"second_copies":true},"rules":{"extra_ratio":0.05,"free_resends":10},` +
	`"over_share_worth":0.2,"telemetry":{"how":"pull"}}`

func TestDecodeEvents(t *testing.T) {
	report := &sq.LoadReport{Queue: 4, InFlight: -1, Throughput: 2.5, Utilization: -1}
	for _, c := range []struct {
		line string
		want Message
	}{
		{`{"event_type":"Tick","at_time_us":8,"serial":12}`, Message{Kind: BatchStart, Now: 8, Serial: 12}},
		{`{"event_type":"End"}`, Message{Kind: BatchEnd}},
		{`{"event_type":"Killed","who":"node/3"}`, Message{Kind: InstanceKilled, Instance: "node/3"}},
		{`{"event_type":"DeadlineHit","who":"n","mark":77}`, Message{
			Kind: SchedulerEvent, Instance: "n",
			Event: sq.TimerFired{ID: 77},
		}},
		{`{"event_type":"Hangup","who":"n","txn":5}`, Message{
			Kind: SchedulerEvent, Instance: "n",
			Event: sq.ClientLeft{Query: 5},
		}},
		{
			`{"event_type":"Ingress","who":"n","txn":5,"segment_no":-1,"priority":"c","group_no":9,` +
				`"client_deadline_us":70,"work_us":6,"object":"k","size_or_weight":3,"tenant":"t","resent":true}`,
			Message{Kind: SchedulerEvent, Instance: "n", Event: sq.Query{
				ID: 5, Group: 9, Class: "c", Tenant: "t", Deadline: 70,
				Work: 6, Key: "k",
			}},
		},
		{
			`{"event_type":"Ingress","who":"n","txn":6,"segment_no":2,"priority":"c","group_no":9,` +
				`"client_deadline_us":70,"size_or_weight":0.5,"tenant":0}`,
			Message{Kind: SchedulerEvent, Instance: "n", Event: sq.Part{ID: 6, Group: 9, Shard: 2, Weight: 0.5}},
		},
		{
			`{"event_type":"Response","who":"n","txn":6,"shot":1,"server":"s:1","disposition":305,"latency_us":4,` +
				`"complete":true,"health_info":{"recent_ms":14.5,"backlog":4,"throughput":2.5,"other":1}}`,
			Message{Kind: SchedulerEvent, Instance: "n", Event: sq.AttemptEnded{
				Part: 6, Attempt: 1, Server: "s:1",
				Outcome: sq.Broken, Latency: 4, Report: report,
			}},
		},
		{
			`{"event_type":"ProbeResult","who":"n","server":"s:1","disposition":100,"latency_us":4}`,
			Message{Kind: SchedulerEvent, Instance: "n", Event: sq.ProbeEnded{Server: "s:1", Latency: 4}},
		},
		{`{"event_type":"Ledger","slot":3,"members":[{"server":"s:1","campus":"z","slot_no":2,"health":1,"share":1.5,` +
			`"last_start_us":9}]}`, Message{Kind: ListDeclared, Slot: 3, Members: []sq.Server{{
			ID: "s:1", Zone: "z", Cell: 2,
			Health: sq.Ready, StartedAt: 9,
		}}}},
		{`{"event_type":"Fleet","who":"n","scope":0,"generation":4,"slot":3}`, Message{
			Kind: SchedulerEvent, Instance: "n",
			Slot: 3, UsesList: true, Event: sq.FleetChanged{Kind: sq.FleetDelta},
		}},
		{`{"event_type":"Fleet","who":"n","scope":2,"generation":4}`, Message{
			Kind: SchedulerEvent, Instance: "n",
			Event: sq.FleetChanged{Kind: sq.FleetFailed},
		}},
		{
			`{"event_type":"NeighbourSays","who":"n","sender":2,"payload":"hi"}`,
			Message{Kind: SchedulerEvent, Instance: "n", Event: sq.PeerMessage{Peer: 2, Text: "hi"}},
		},
	} {
		got, err := Decode([]byte(c.line))
		if err != nil {
			t.Errorf("%s: %v", c.line, err)
		} else if !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", c.line, got, c.want)
		}
	}
}

func TestDecodeSettings(t *testing.T) {
	m, err := Decode([]byte(`{"event_type":"OpenInstance","who":"n","random_seed":9223372036854775808,"setup":` + setup + `}`))
	if err != nil {
		t.Fatal(err)
	}
	s := m.Settings
	if m.Kind != Open || m.Seed != 1<<63 || s.Self != 1 || s.Aggregators != 2 || !s.WatchMembership ||
		s.Shards != 8 || s.Cells != 4 || s.CellsPerShard != 2 || s.CallOverhead != 7 ||
		!s.Rules.Budgeted || s.Rules.ExtraAttemptRatio != 0.05 || s.Rules.FreeExtraAttempts != 10 || !s.Limits.Hedging {
		t.Errorf("wrong settings: %+v", s)
	}
	if want := []sq.Tenant{{Name: "t", Quota: 1.5}}; !reflect.DeepEqual(s.Tenants, want) || s.OverQuotaValue != 0.2 {
		t.Errorf("tenants: %+v, OverQuotaValue %v", s.Tenants, s.OverQuotaValue)
	}
	want := sq.Class{
		Name: "c", LatencyTarget: 10, HardLimit: 20, Value: 2, Effect: sq.Deduplicated, DedupWindow: 5, CompleteWeight: 1,
		MinWeight: 0.8, PartialValue: 0.9, SecondStepParts: 3,
	}
	if len(s.Classes) != 1 || s.Classes[0] != want {
		t.Errorf("classes: %+v", s.Classes)
	}
}

func TestDecode_MalformedLines(t *testing.T) {
	for _, c := range []struct{ line, says string }{
		{`{`, "malformed JSON message"},
		{`[]`, "malformed JSON message"},
		{`{"event_type":"End"} {}`, "more than one"},
		{`{"event_type":"Nonsense"}`, "unknown event"},
		{`{"event_type":"Tick","serial":1}`, `"at_time_us"`},
		{`{"event_type":"Tick","at_time_us":"x","serial":1}`, "at_time_us"},
		{`{"event_type":"DeadlineHit","who":"n"}`, `"mark"`},
		{`{"event_type":"Hangup","txn":5}`, `"who"`},
		{`{"event_type":"Ingress","who":"n","txn":5,"segment_no":-1,"priority":"c","group_no":9,` +
			`"client_deadline_us":70,"tenant":{}}`, `"tenant"`},
		{`{"event_type":"OpenInstance","who":"n","random_seed":1,"setup":{}}`, "family_info"},
		{`{"event_type":"OpenInstance","who":"n","random_seed":-1,"setup":{}}`, "random_seed"},
		{`{"event_type":"Fleet","who":"n","scope":9,"slot":1}`, "scope"},
		{`{"event_type":"Ledger","slot":16,"members":[]}`, "slot 16"},
		{`{"event_type":"Ledger","slot":1,"members":[{"server":"s","slot_no":1,"health":7}]}`, "health 7"},
		{`{"event_type":"Response","who":"n","txn":6,"shot":1,"server":"s","disposition":99,"latency_us":1}`, "99"},
	} {
		if _, err := Decode([]byte(c.line)); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: error %v does not contain %q", c.line, err, c.says)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	for _, c := range []struct {
		action sq.Action
		want   string
	}{
		{sq.Send{Part: 0, Server: "s:1", Timeout: 8}, `{"event_type":"PassOn","who":"n","txn":0,"allow_for_us":8,"server":"s:1"}`},
		{sq.Cancel{Part: 7, Attempt: 0}, `{"event_type":"Abandon","who":"n","txn":7,"shot":0}`},
		{sq.Answer{Query: 7}, `{"event_type":"GatherUp","who":"n","txn":7,"entire":false}`},
		{sq.Refuse{Query: 7, RetryAfter: 9}, `{"event_type":"TurnAway","who":"n","txn":7,"cool_down_us":9}`},
		{sq.Fail{Query: 7}, `{"event_type":"RespondError","who":"n","txn":7}`},
		{sq.CloseIdle{Server: "s:1"}, `{"event_type":"FreeLinks","who":"n","server":"s:1"}`},
		{sq.SetTimer{ID: 0, At: 3}, `{"event_type":"SetAlarm","who":"n","mark":0,"alarm_time_us":3}`},
		{sq.Watch{}, `{"event_type":"KeepInformed","who":"n","entire":true}`},
		{sq.NotifyPeer{Peer: -1, Text: "hi"}, `{"event_type":"Share","who":"n","target":"*","payload":"hi"}`},
		{sq.NotifyPeer{Peer: 0, Text: "hi"}, `{"event_type":"Share","who":"n","target":0,"payload":"hi"}`},
		{sq.Fetch{}, `{"event_type":"GetList","who":"n"}`},
		{sq.Log{Text: "a \"b\""}, `{"event_type":"WriteLog","who":"n","reason_text":"a \"b\""}`},
	} {
		got, err := Encode(nil, "n", c.action)
		if err != nil {
			t.Errorf("%T: %v", c.action, err)
			continue
		}
		var a, b any
		if json.Unmarshal(got, &a) != nil || json.Unmarshal([]byte(c.want), &b) != nil || !reflect.DeepEqual(a, b) {
			t.Errorf("%T: got %s want %s", c.action, got, c.want)
		}
		if bytes.Count(got, []byte("\n")) != 1 || got[len(got)-1] != '\n' {
			t.Errorf("%T: want exactly one line, got %q", c.action, got)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"event_type":"Tick","at_time_us":8,"serial":12}`))
	f.Add([]byte(`{"event_type":"OpenInstance","who":"n","random_seed":1,"setup":` + setup + `}`))
	f.Add([]byte(`{"event_type":"Ingress","who":"n","txn":6,"segment_no":1e300,"priority":"c","group_no":9}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		m, err := Decode(line)
		if err == nil && m.Kind == SchedulerEvent && (m.Event == nil || m.Instance == "" && !bytes.Contains(line, []byte("who"))) {
			t.Errorf("%q: decoded to an event without content: %+v", line, m)
		}
	})
}
