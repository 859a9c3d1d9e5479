package work

import (
	"encoding/json"
	"fmt"
	"net/http"
	"saffronquay/internal/testing/harness"
	"strings"
	"time"
)

// Size is one gatherer among many, and what it is told.
type Size struct {
	Workers, Shards, Cells, Holders int
	PartsACall                      int
	Aim                             time.Duration // of the one class
	Whole                           float64       // weight of parts that makes a whole answer
	Idle                            time.Duration // after which workers' machines close connections
	Sockets, MemoryMB               int
	Cores                           int // that the process may keep busy; 0: all of the machine's
	Copies                          bool
	Period                          time.Duration
}

// settings is the gatherer's configuration in the platform's form.
func (s Size) settings(discovery string, list []byte) []byte {
	us := func(d time.Duration) int64 { return d.Microseconds() }
	b, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"sockets": s.Sockets, "memory_mb": s.MemoryMB}, "known": json.RawMessage(list),
		"settings": map[string]any{
			"me": 0, "balancers": 600, "zone": "z0", "period_us": us(s.Period), "membership_mode": "push", "areas": []string{"z0"},
			"classes": []any{map[string]any{"name": "q", "aim_us": us(s.Aim), "hard_limit_us": us(8 * s.Aim), "worth": 1, "late_worth": 0.5, "effect": "free"}},
			"family_info": map[string]any{
				"class_fetch": []int{0}, "class_partial": []float64{0.9}, "floor_by_class": []float64{s.Whole}, "whole_at": []float64{s.Whole},
				"overhead_us": 0, "parts_a_call": s.PartsACall, "positions": s.Cells, "reach": s.Holders, "shards": s.Shards,
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
		panic(err) // numbers and plain words
	}
	return b
}

// Gatherer is a real gatherer process in front of a hollow fleet.
type Gatherer struct {
	*harness.Process
	place *harness.Place
}

// Start starts the program as a gatherer that has been told a hollow fleet's list; it ends with t. program empty: it is built.
func Start(t harness.T, program string, s Size, discovery string) *Gatherer {
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

// Figure is a number that the gatherer's operators' door tells; false where there is none of that name.
func (g *Gatherer) Figure(name string) (n int64, ok bool) {
	for line := range strings.Lines(g.Call("stats")) {
		if rest, found := strings.CutPrefix(line, "svc."+name+":"); found {
			_, err := fmt.Sscanf(rest, "%d", &n)
			return n, err == nil
		}
	}
	return 0, false
}

const fetchWithin = 10 * time.Second

// fetch asks a hollow fleet.
func fetch(address, path string) ([]byte, error) {
	c := http.Client{Timeout: fetchWithin}
	defer c.CloseIdleConnections()
	resp, err := c.Get("http://" + address + path)
	if err != nil {
		return nil, err
	}
	return body(resp)
}
