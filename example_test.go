package saffronquay_test

import (
	"fmt"
	"saffronquay"
)

// One query of one part, from arrival to answer.
func Example() {
	s, err := saffronquay.New(saffronquay.Settings{
		Aggregators: 1, Period: 5_000, Shards: 1, Cells: 1, CellsPerShard: 1, PartsPerCall: 1,
		Classes: []saffronquay.Class{
			{Name: "lookup", LatencyTarget: 1_000_000, HardLimit: 3_000_000, Value: 1, CompleteWeight: 1, MinWeight: 1},
		},
		Limits: saffronquay.Limits{MaxAttempts: 3, MayCancel: true},
		Rules:  saffronquay.Rules{AnswerGrace: 20_000, DrainGrace: 1_000_000},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	show := func(actions []saffronquay.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case saffronquay.Send:
				fmt.Println("send part", a.Part, "to", a.Server)
			case saffronquay.Answer:
				fmt.Println("answer query", a.Query, "complete:", a.Complete)
			}
		}
	}
	show(s.Step(0, []saffronquay.Event{
		saffronquay.FleetChanged{Kind: saffronquay.FleetCached, Servers: []saffronquay.Server{
			{ID: "10.0.0.1:80", Cell: 0, Health: saffronquay.Ready},
		}},
		saffronquay.Query{ID: 1, Group: 1, Class: "lookup", Deadline: 3_000_000, Work: 50_000},
		saffronquay.Part{ID: 2, Group: 1, Shard: 0, Weight: 1, Work: 50_000},
	}))
	show(s.Step(60_000, []saffronquay.Event{
		saffronquay.AttemptEnded{Part: 2, Server: "10.0.0.1:80", Outcome: saffronquay.Served, Latency: 60_000},
	}))
	// Output:
	// send part 2 to 10.0.0.1:80
	// answer query 1 complete: true
}
