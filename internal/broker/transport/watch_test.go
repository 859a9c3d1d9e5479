package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	sq "saffronquay"
)

// updateBound is how long after discovery had a change, and could be reached, the change has to be applied.
const updateBound = 6 * time.Second

// list is a stand-in for discovery, on pipes and a fake clock: as it fares, so it treats its calls.
type list struct {
	fares func(conn net.Conn, target string) bool // false: the call has come to nothing and its connection is to end
	calls atomic.Int64
}

func (l *list) dial(ctx context.Context, _ string) (net.Conn, error) {
	l.calls.Add(1)
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		r := bufio.NewReader(far)
		for {
			first, err := r.ReadString('\n')
			if err != nil {
				return
			}
			for line := ""; strings.TrimSpace(line) != "" || line == ""; {
				if line, err = r.ReadString('\n'); err != nil {
					return
				}
			}
			if !l.fares(far, strings.Fields(first)[1]) {
				return
			}
		}
	}()
	return near, nil
}

const (
	okHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	drain  = `{"generation":42,"reset":true,"instances":[{"instanceId":"s","hostPort":"h:1","cell":0,"lifecycle":"DRAINING"}]}`
)

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// serves is discovery as it should be, with the change; a call waits for so long in its queue.
func (l *list) serves(wait time.Duration) func(net.Conn, string) bool {
	return func(conn net.Conn, target string) bool {
		time.Sleep(wait)
		if !strings.Contains(target, "watch") {
			fmt.Fprint(conn, okHead+chunk(drain)+"0\r\n\r\n")
			return true
		}
		if _, err := fmt.Fprint(conn, okHead+chunk(drain+"\n")); err != nil {
			return false
		}
		for {
			time.Sleep(2 * time.Second)
			if _, err := fmt.Fprint(conn, chunk("\n")); err != nil {
				return false
			}
		}
	}
}

// watchRequester passes the module's requests for a watch on, as the engine does where they are needed.
type watchRequester struct {
	w *Watcher

	mu sync.Mutex // of the module
	m  *sq.Scheduler
}

func (a *watchRequester) step(e sq.Event) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now().UnixMicro()
	for _, x := range a.m.Step(now, []sq.Event{e}) {
		switch x := x.(type) {
		case sq.Watch:
			a.w.RequestWatch()
		case sq.SetAlarm:
			time.AfterFunc(time.Duration(x.At-now)*time.Microsecond, func() { a.step(sq.AlarmRang{ID: x.ID}) })
		}
	}
}

// Whatever came of the calls before, a change is acted on within six seconds of discovery having it and being reachable: after calls that
// were refused, reset, answered with an error, never answered, answered byte by byte or in part, after a watch that fell silent or kept
// sending what is no line; where lists are pushed and where they are asked for; and whichever moment of its calls the return meets.
func TestUpdateWithinSixSeconds(t *testing.T) {
	refuse := errors.New("connection refused")
	for name, down := range map[string]struct {
		dial  func(ctx context.Context) error
		fares func(conn net.Conn, target string) bool
	}{
		"refused": {dial: func(context.Context) error { return refuse }},
		"a dial that never comes up": {dial: func(ctx context.Context) error {
			t := time.NewTimer(dialTimeout) // as the dialer's own time-out
			defer t.Stop()
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			return context.DeadlineExceeded
		}},
		"503": {fares: func(c net.Conn, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		"503 late": {fares: func(c net.Conn, _ string) bool {
			time.Sleep(2 * time.Second)
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		"reset":     {fares: func(net.Conn, string) bool { return false }},
		"silent":    {fares: func(c net.Conn, _ string) bool { io.Copy(io.Discard, c); return false }},
		"head only": {fares: func(c net.Conn, _ string) bool { fmt.Fprint(c, okHead); io.Copy(io.Discard, c); return false }},
		"half a line": {fares: func(c net.Conn, _ string) bool {
			fmt.Fprint(c, okHead+chunk(`{"gener`))
			io.Copy(io.Discard, c)
			return false
		}},
		"byte by byte": {fares: func(c net.Conn, _ string) bool {
			for _, b := range []byte(okHead + chunk(strings.Repeat(" ", 200))) {
				if _, err := c.Write([]byte{b}); err != nil {
					return false
				}
				time.Sleep(700 * time.Millisecond)
			}
			return false
		}},
		"a watch that falls silent": {fares: func(c net.Conn, _ string) bool {
			fmt.Fprint(c, okHead+chunk("\n"))
			io.Copy(io.Discard, c)
			return false
		}},
	} {
		for _, asked := range []bool{false, true} {
			for _, moved := range []bool{false, true} {
				for _, wait := range []time.Duration{0, time.Second} {
					t.Run(fmt.Sprintf("%s/asked=%t/moved=%t/wait=%v", name, asked, moved, wait), func(t *testing.T) {
						for ms := int64(10_000); ms < 16_000; ms += 371 { // the moment of its return, among its calls
							synctest.Test(t, func(t *testing.T) {
								took, calls := returns(t, down.dial, down.fares, asked, moved, time.Duration(ms)*time.Millisecond, wait)
								if took > updateBound {
									t.Errorf("back after %d ms: the change was told %v later", ms, took)
								}
								if most := int64(20); int64(calls) > ms/1000*2+most {
									t.Errorf("%d calls in %d ms without an answer", calls, ms)
								}
							})
						}
					})
				}
			}
		}
	}
}

// returns has discovery down for so long, and returns how long after its return its change was applied, and how many calls it had before.
func returns(t *testing.T, dial func(context.Context) error, fares func(net.Conn, string) bool, asked, moved bool, down,
	wait time.Duration,
) (took time.Duration, calls int) {
	l := &list{}
	back := make(chan struct{})
	told := make(chan struct{})
	var a *watchRequester
	w := NewWatcher("a", 41, asked, func(f sq.FleetChanged, _ map[sq.ServerID]string) {
		if a != nil {
			a.step(f)
		}
		if len(f.Servers) > 0 {
			select {
			case <-told:
			default:
				close(told)
			}
		}
	}, slog.New(slog.DiscardHandler))
	isBack := func() bool {
		select {
		case <-back:
			return true
		default:
			return false
		}
	}
	w.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if !isBack() && dial != nil {
			l.calls.Add(1)
			if err := dial(ctx); err != nil {
				return nil, err
			}
		}
		return l.dial(ctx, address)
	}
	l.fares = func(conn net.Conn, target string) bool {
		if !isBack() && fares != nil {
			return fares(conn, target)
		}
		return l.serves(wait)(conn, target)
	}
	if asked {
		m, err := sq.New(sq.Settings{
			Aggregators: 1, Period: 1000, Shards: 1, Cells: 1, CellsPerShard: 1, PartsPerCall: 1, WatchMembership: true,
			Classes: []sq.Class{{Name: "c", LatencyTarget: 1e6, HardLimit: 3e6, Value: 1, CompleteWeight: 1, MinWeight: 1}}, Limits: sq.Limits{MaxAttempts: 1},
			Rules: sq.Rules{MembershipWithin: 10_000_000, WarmUp: 10_000_000},
		}, 7)
		if err != nil {
			t.Fatal(err)
		}
		a = &watchRequester{w: w, m: m}
		a.step(sq.FleetChanged{Kind: sq.FleetCached})
	}
	go w.Run()
	time.Sleep(down / 2)
	if moved { // as by SIGHUP, in the middle of the outage
		w.SetAddress("b")
	}
	time.Sleep(down / 2)
	close(back)
	calls = int(l.calls.Load())
	began := time.Now()
	select {
	case <-told:
	case <-time.After(time.Minute):
	}
	took = time.Since(began)
	defer time.Sleep(10 * time.Second) // on the fake clock: whoever serves a call finds it ended
	w.Stop()
	return took, calls
}
