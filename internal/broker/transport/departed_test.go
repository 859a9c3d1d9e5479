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

// begunWithin is how long after its client has left an attempt may still begin.
const begunWithin = 100 * time.Millisecond

// far is a server on pipes and a fake clock, which treats calls as a case says.
type farServer struct {
	up    time.Duration // that a connection takes to come up
	reads time.Duration // from when on it reads what is sent
	ends  string        // how it answers: OK, REJECTED, ERROR or not at all

	mu    sync.Mutex
	begun map[string][]time.Time // by query
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

// slowLedger takes so long to keep an intent.
type slowLedger time.Duration

func (d slowLedger) Record(_ []core.Intent, _ int64, done func(error)) error {
	time.AfterFunc(time.Duration(d), func() { done(nil) })
	return nil
}
func (slowLedger) WantsResult() bool { return false }
func (slowLedger) Release()          {}
func (slowLedger) Abandon()          {}

// Once its client has left, nothing more of a query begins: neither a first attempt nor a retry nor a hedged request, whatever it waits for, and
// whether or not servers may be told that an attempt is given up. Guards servers against work that nobody waits for. Without the client's leaving
// each case does begin an attempt later, so that there is something to prevent.
func TestNothingBeginsForAClientThatHasLeft(t *testing.T) {
	for name, tc := range map[string]struct {
		server *farServer
		copies bool
		before bool          // an attempt has begun when the client leaves
		permit time.Duration // a change of policy is put in force for so long
		ledger time.Duration // that keeping an intent takes
	}{
		"a connection that comes up late": {server: &farServer{up: 900 * time.Millisecond, ends: "OK"}},
		"a write that does not get on":    {server: &farServer{reads: 700 * time.Millisecond, ends: "OK"}},
		"a server that turns it away":     {server: &farServer{ends: "REJECTED"}, before: true},
		"a server that fails it":          {server: &farServer{ends: "ERROR", up: 150 * time.Millisecond}},
		"a server that is silent":         {server: &farServer{}, copies: true, before: true},
		"a change that is put in force":   {server: &farServer{ends: "OK"}, permit: 800 * time.Millisecond},
		"an intent that is being kept":    {server: &farServer{ends: "OK"}, ledger: 800 * time.Millisecond},
	} {
		for _, mayCancel := range []bool{true, false} {
			for _, leaves := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s/mayCancel=%t/leaves=%t", name, mayCancel, leaves), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						server := &farServer{up: tc.server.up, reads: tc.server.reads, ends: tc.server.ends, begun: map[string][]time.Time{}}
						cfg := sq.Settings{
							Aggregators: 1, Period: 1000, Shards: 1, Cells: 1, CellsPerShard: 1, PartsPerCall: 1,
							Classes: []sq.Class{{Name: "c", LatencyTarget: 1e6, HardLimit: 3e6, Value: 1, LateValue: 0.5, CompleteWeight: 1, MinWeight: 1}},
							Limits:  sq.Limits{MaxAttempts: 4, MayCancel: mayCancel, Hedging: tc.copies},
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
							if tc.ledger > 0 {
								a.IntentLog = slowLedger(tc.ledger)
							}
							return e.Open(a)
						}
						if !tc.copies {
							ask("o1") // both connections have something to write first
							ask("o2")
						}
						time.Sleep(5 * time.Millisecond)
						asked := ask("q")
						time.Sleep(10 * time.Millisecond) // the last retry after rejections comes 117 to 149 ms after the query, as the order of draws has it
						left := time.Now()
						if leaves {
							e.ClientLeft(asked)
						}
						time.Sleep(5 * time.Second)
						server.mu.Lock()
						defer server.mu.Unlock()
						begun, late := server.begun["q"], 0
						for _, at := range begun {
							if at.Sub(left) > begunWithin {
								late++
							}
						}
						if tc.before != (len(begun) > late) {
							t.Errorf("begun before the client left: %d", len(begun)-late)
						}
						if leaves && late > 0 {
							t.Errorf("%d attempts begun after their client had left, the last %v later", late, begun[len(begun)-1].Sub(left))
						}
						if !leaves && late == 0 {
							t.Error("nothing was to be prevented")
						}
						if !tc.copies && len(server.begun["o1"]) == 0 || !tc.copies && len(server.begun["o2"]) == 0 || e.OpenQueries() != 0 {
							t.Errorf("others: begun %v, %d held", server.begun, e.OpenQueries())
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
