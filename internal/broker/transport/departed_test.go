package transport

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/platform"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	sq "saffronquay"
)

// maxStartDelay is how long after the client has disconnected an attempt may still start.
const maxStartDelay = 100 * time.Millisecond

// farServer is a server on pipes and a fake clock. Its fields define how it handles connections and
// calls.
type farServer struct {
	up    time.Duration // time to establish a connection
	reads time.Duration // delay before it begins to read
	ends  string        // outcome of its answers: OK, REJECTED or ERROR; empty: it does not answer

	mu    sync.Mutex
	begun map[string][]time.Time // start times of attempts, by query
}

func (f *farServer) connect(_ string, timeout time.Duration) (net.Conn, error) {
	if f.up > timeout {
		time.Sleep(timeout)
		return nil, fmt.Errorf("connect: timed out")
	}
	time.Sleep(f.up)
	near, far := net.Pipe()
	go f.serve(far)
	return near, nil
}

func (f *farServer) serve(conn net.Conn) {
	defer conn.Close()
	time.Sleep(f.reads)
	for {
		head := make([]byte, 4)
		if _, err := io.ReadFull(conn, head[:1]); err != nil {
			return
		}
		at := time.Now()
		if _, err := io.ReadFull(conn, head[1:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(conn, body); err != nil {
			return
		}
		if body[0] != 'R' {
			continue
		}
		name, _, _ := strings.Cut(string(body[1:]), " ")
		query, _, _ := strings.Cut(name, ".")
		f.mu.Lock()
		f.begun[query] = append(f.begun[query], at)
		f.mu.Unlock()
		if f.ends == "" {
			continue
		}
		answer := "Y" + name + " " + f.ends + " 1 -\n"
		if _, err := conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(answer))), answer...)); err != nil {
			return
		}
	}
}

// slowIntentLog records an intent after this delay.
type slowIntentLog time.Duration

func (d slowIntentLog) Record(_ []core.Intent, _ int64, done func(error)) error {
	time.AfterFunc(time.Duration(d), func() { done(nil) })
	return nil
}
func (slowIntentLog) RunToCompletion() bool { return false }
func (slowIntentLog) Release()              {}
func (slowIntentLog) Abandon()              {}

// After its client has disconnected, no attempt of a query starts: no first attempt, retry or
// hedged request, whatever the query waits for, and whether or not calls may be cancelled.
// Otherwise servers work for queries that nobody waits for. Each case is also run without the
// disconnect, to check that an attempt does start later then.
func TestClientLeft_StartsNoFurtherAttempt(t *testing.T) {
	for name, tc := range map[string]struct {
		server      *farServer
		hedging     bool
		before      bool          // an attempt has started when the client disconnects
		permit      time.Duration // how long a policy change is being applied
		intentDelay time.Duration // time to record an intent
	}{
		"late connection":           {server: &farServer{up: 900 * time.Millisecond, ends: "OK"}},
		"blocked write":             {server: &farServer{reads: 700 * time.Millisecond, ends: "OK"}},
		"rejecting server":          {server: &farServer{ends: "REJECTED"}, before: true},
		"failing server":            {server: &farServer{ends: "ERROR", up: 150 * time.Millisecond}},
		"silent server":             {server: &farServer{}, hedging: true, before: true},
		"policy change in progress": {server: &farServer{ends: "OK"}, permit: 800 * time.Millisecond},
		"intent being recorded":     {server: &farServer{ends: "OK"}, intentDelay: 800 * time.Millisecond},
	} {
		for _, mayCancel := range []bool{true, false} {
			for _, leaves := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/mayCancel=%t/leaves=%t", name, mayCancel, leaves), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						server := &farServer{up: tc.server.up, reads: tc.server.reads, ends: tc.server.ends, begun: map[string][]time.Time{}}
						cfg := sq.Settings{
							Aggregators: 1, Period: 1000, Shards: 1, Cells: 1, CellsPerShard: 1, PartsPerCall: 1,
							Classes: []sq.Class{{Name: "c", LatencyTarget: 1e6, HardLimit: 3e6, Value: 1, LateValue: 0.5, CompleteWeight: 1, MinWeight: 1}},
							Limits:  sq.Limits{MaxAttempts: 4, MayCancel: mayCancel, Hedging: tc.hedging},
							Rules:   sq.Rules{WarmUp: 10_000_000},
						}
						m, err := sq.New(cfg, 3)
						if err != nil {
							t.Fatal(err)
						}
						gatherer := core.New(core.Config{Period: cfg.Period, Shards: 1, PartsPerCall: 1, Classes: cfg.Classes}, m)
						e := NewEngine(NewClock(), gatherer, PoolConfig{ConnectTimeout: 1_500_000, IdleClose: 60_000_000, MaxConns: 8},
							platform.Workers{PerConn: 8}, adminapi.NewMetrics(), slog.New(slog.DiscardHandler))
						e.pool.connect = server.connect
						go e.Run()
						e.UpdateFleet(sq.FleetChanged{Kind: sq.FleetFull, Servers: []sq.Server{{ID: "a", Health: sq.Ready}, {ID: "b", Health: sq.Ready}}},
							map[sq.ServerID]string{"a": "a:1", "b": "b:1"})
						now := func() int64 { return e.clock.Now() }
						if tc.permit > 0 {
							hold := now() + tc.permit.Microseconds()
							e.SetPermit(Permit{Suspended: true, SuspendedUntil: hold, Expires: hold + 1e9})
							time.AfterFunc(tc.permit/2, func() { e.SetPermit(Permit{Expires: hold + 1e9}) })
						}
						ask := func(label string) *Ticket {
							a := core.Query{
								Label: label, Unique: true, Class: "c", Deadline: now() + 3e6, Text: []byte("x"),
								Parts: []core.QueryPart{{Weight: 1, Work: 10_000}},
							}
							if tc.intentDelay > 0 {
								a.IntentLog = slowIntentLog(tc.intentDelay)
							}
							return e.Open(a)
						}
						if !tc.hedging {
							ask("o1") // both connections have something else to write first
							ask("o2")
						}
						time.Sleep(5 * time.Millisecond)
						asked := ask("q")
						time.Sleep(10 * time.Millisecond) // after rejections the last retry starts 117 to 149 ms after the query with this seed
						left := time.Now()
						if leaves {
							e.ClientLeft(asked)
						}
						time.Sleep(5 * time.Second)
						server.mu.Lock()
						defer server.mu.Unlock()
						begun, late := server.begun["q"], 0
						for _, at := range begun {
							if at.Sub(left) > maxStartDelay {
								late++
							}
						}
						if tc.before != (len(begun) > late) {
							t.Errorf("%d attempts started before the client disconnected", len(begun)-late)
						}
						if leaves && late > 0 {
							t.Errorf("%d attempts started after the client disconnected, the last one %v later", late, begun[len(begun)-1].Sub(left))
						}
						if !leaves && late == 0 {
							t.Error("no attempt started late without the disconnect: the case shows nothing")
						}
						if !tc.hedging && len(server.begun["o1"]) == 0 || !tc.hedging && len(server.begun["o2"]) == 0 || e.OpenQueries() != 0 {
							t.Errorf("other queries: started %v, %d open", server.begun, e.OpenQueries())
						}
						e.Stop()
						for _, s := range e.pool.servers {
							for _, c := range s.conns {
								if c.conn != nil {
									c.conn.Close()
								}
							}
						}
						time.Sleep(5 * time.Second)
					})
				})
			}
		}
	}
}
