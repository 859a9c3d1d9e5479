package work

import (
	"encoding/json"
	"fmt"
	"net/http"
	"saffronquay/internal/testing/harness"
	"strings"
	"time"
)

// GathererConfig configures the gatherer under test.
type GathererConfig struct {
	Workers, Shards, Cells, Replicas int
	PartsPerCall                     int
	LatencyTarget                    time.Duration // latency target of the only query class
	CompleteWeight                   float64       // weight of parts that makes an answer complete
	Idle                             time.Duration // after which the workers' platform closes idle connections
	Sockets, MemoryMB                int
	Cores                            int // GOMAXPROCS of the process; 0: all of the machine's
	Copies                           bool
	Period                           time.Duration
}

// settings returns the gatherer's configuration in the platform's format.
func (s GathererConfig) settings(discovery string, list []byte) []byte {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	b, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"sockets": s.Sockets, "memory_mb": s.MemoryMB}, "known": json.RawMessage(list),
		"settings": map[string]any{
			"me": 0, "balancers": 600, "zone": "z0", "period_us": us(s.Period), "membership_mode": "push", "areas": []string{"z0"},
			"classes": []any{map[string]any{"name": "q", "aim_us": us(s.LatencyTarget), "hard_limit_us": us(8 * s.LatencyTarget), "worth": 1, "late_worth": 0.5, "effect": "free"}},
			"family_info": map[string]any{
				"class_fetch": []int{0}, "class_partial": []float64{0.9}, "floor_by_class": []float64{s.CompleteWeight}, "whole_at": []float64{s.CompleteWeight},
				"overhead_us": 0, "parts_a_call": s.PartsPerCall, "positions": s.Cells, "reach": s.Replicas, "shards": s.Shards,
			},
			"permissions": map[string]any{
				"max_open": 0, "connect_timeout_us": 1_000_000, "idle_close_us": us(s.Idle), "streams_per_conn": 32, "may_cancel": true,
				"most_tries": 3, "second_copies": s.Copies, "retry_after": true, "max_retry_after_us": 500_000,
			},
			"prices": map[string]any{"cross_zone": 0},
			"rules": map[string]any{
				"cold_share": 0.2, "fall_multiple": 2.5, "fall_us": 1_500_000, "grace_to_answer_us": 20_000,
				"stop_sending_within_us": 250_000, "warm_within_us": 14_000_000, "ask_within_us": 10_000_000,
			},
		},
	})
	if err != nil {
		panic(err) // cannot happen: numbers and plain strings
	}
	return b
}

// Gatherer is a real gatherer process in front of a simulated fleet.
type Gatherer struct {
	*harness.Process
	place *harness.Place
}

// StartGatherer starts the program as a gatherer that knows a simulated fleet's list. It ends with
// t. If program is empty, the program is built.
func StartGatherer(t harness.T, program string, s GathererConfig, discovery string) *Gatherer {
	t.Helper()
	list, err := fetch(discovery, "/catalog/members")
	if err != nil {
		t.Fatal(err)
	}
	p := harness.NewPlace(t)
	p.Program = program
	p.Write(s.settings(discovery, list))
	p.Env = append(p.Env, "SAFFRONQUAY_OPERATOR_FILE=", "LB_CONFIG="+p.File, "LB_LISTEN=", "LB_DISCOVERY=", "LB_NAME=")
	if s.Cores > 0 {
		p.Env = append(p.Env, fmt.Sprint("GOMAXPROCS=", s.Cores))
	}
	return &Gatherer{p.Start(), p}
}

// Stat returns a counter from the gatherer's admin endpoint, or false if there is none of that
// name.
func (g *Gatherer) Stat(name string) (n int64, ok bool) {
	for line := range strings.Lines(g.Call("stats")) {
		if rest, found := strings.CutPrefix(line, "svc."+name+":"); found {
			_, err := fmt.Sscanf(rest, "%d", &n)
			return n, err == nil
		}
	}
	return 0, false
}

const fetchTimeout = 10 * time.Second

// fetch requests a path of a fleet's discovery.
func fetch(address, path string) ([]byte, error) {
	c := http.Client{Timeout: fetchTimeout}
	defer c.CloseIdleConnections()
	resp, err := c.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	return readBody(resp)
}
