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

// updateBound is the longest time to apply a change, from the moment at which discovery has the
// change and is reachable.
const updateBound = 6 * time.Second

// fakeDiscovery is a fake discovery on pipes and a fake clock.
type fakeDiscovery struct {
	handle func(conn net.Conn, target string) bool // handles one request; false: the connection is closed
	calls  atomic.Int64
}

func (l *fakeDiscovery) dial(ctx context.Context, _ string) (net.Conn, error) {
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
			if !l.handle(far, strings.Fields(first)[1]) {
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

// serveChange returns a handler that behaves as a working discovery with the change; each call
// waits in its queue for the given time.
func (l *fakeDiscovery) serveChange(wait time.Duration) func(net.Conn, string) bool {
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

// watchRequester passes the module's requests for a watch to the watcher, as the engine does.
type watchRequester struct {
	w *Watcher

	mu sync.Mutex // guards m
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
		case sq.SetTimer:
			time.AfterFunc(time.Duration(x.At-now)*time.Microsecond, func() { a.step(sq.TimerFired{ID: x.ID}) })
		}
	}
}

// A change is applied within updateBound after discovery has it and is reachable, whatever happened
// to the calls before: refused, reset, answered with an error, never answered, answered byte by
// byte or in part, or a watch that went silent or sent no complete line. Tested with pushed and
// with requested lists, and with the recovery at different moments of the calls.
func TestUpdateWithinSixSeconds(t *testing.T) {
	refuse := errors.New("connection refused")
	for name, down := range map[string]struct {
		dial   func(ctx context.Context) error
		handle func(conn net.Conn, target string) bool
	}{
		"refused": {dial: func(context.Context) error { return refuse }},
		"dial timeout": {dial: func(ctx context.Context) error {
			t := time.NewTimer(dialTimeout) // the dialer's own timeout
			defer t.Stop()
			select {
			case <-ctx.Done():
			case <-t.C:
			}
			return context.DeadlineExceeded
		}},
		"503": {handle: func(c net.Conn, _ string) bool {
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		"503 late": {handle: func(c net.Conn, _ string) bool {
			time.Sleep(2 * time.Second)
			fmt.Fprint(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			return true
		}},
		"reset":     {handle: func(net.Conn, string) bool { return false }},
		"silent":    {handle: func(c net.Conn, _ string) bool { io.Copy(io.Discard, c); return false }},
		"head only": {handle: func(c net.Conn, _ string) bool { fmt.Fprint(c, okHead); io.Copy(io.Discard, c); return false }},
		"half a line": {handle: func(c net.Conn, _ string) bool {
			fmt.Fprint(c, okHead+chunk(`{"gener`))
			io.Copy(io.Discard, c)
			return false
		}},
		"byte by byte": {handle: func(c net.Conn, _ string) bool {
			for _, b := range []byte(okHead + chunk(strings.Repeat(" ", 200))) {
				if _, err := c.Write([]byte{b}); err != nil {
					return false
				}
				time.Sleep(700 * time.Millisecond)
			}
			return false
		}},
		"watch goes silent": {handle: func(c net.Conn, _ string) bool {
			fmt.Fprint(c, okHead+chunk("\n"))
			io.Copy(io.Discard, c)
			return false
		}},
	} {
		for _, onRequest := range []bool{false, true} {
			for _, moved := range []bool{false, true} {
				for _, wait := range []time.Duration{0, time.Second} {
					t.Run(fmt.Sprintf("%s/onRequest=%t/moved=%t/wait=%v", name, onRequest, moved, wait), func(t *testing.T) {
						for ms := int64(10_000); ms < 16_000; ms += 371 { // the time of recovery, relative to the calls
							synctest.Test(t, func(t *testing.T) {
								took, calls := playOutage(t, down.dial, down.handle, onRequest, moved, time.Duration(ms)*time.Millisecond, wait)
								if took > updateBound {
									t.Errorf("recovery after %d ms: the change was applied %v later", ms, took)
								}
								if most := int64(20); int64(calls) > ms/1000*2+most {
									t.Errorf("%d calls within an outage of %d ms", calls, ms)
								}
							})
						}
					})
				}
			}
		}
	}
}

// playOutage makes discovery fail for down, and returns how long after its recovery the change was
// applied, and how many calls it received before.
func playOutage(t *testing.T, dial func(context.Context) error, handle func(net.Conn, string) bool, onRequest, moved bool, down,
	wait time.Duration,
) (took time.Duration, calls int) {
	l := &fakeDiscovery{}
	back := make(chan struct{})
	applied := make(chan struct{})
	var a *watchRequester
	w := NewWatcher("a", 41, onRequest, func(f sq.FleetChanged, _ map[sq.ServerID]string) {
		if a != nil {
			a.step(f)
		}
		if len(f.Servers) > 0 {
			select {
			case <-applied:
			default:
				close(applied)
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
	l.handle = func(conn net.Conn, target string) bool {
		if !isBack() && handle != nil {
			return handle(conn, target)
		}
		return l.serveChange(wait)(conn, target)
	}
	if onRequest {
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
	if moved { // as by a reload in the middle of the outage
		w.SetAddress("b")
	}
	time.Sleep(down / 2)
	close(back)
	calls = int(l.calls.Load())
	began := time.Now()
	select {
	case <-applied:
	case <-time.After(time.Minute):
	}
	took = time.Since(began)
	defer time.Sleep(10 * time.Second) // on the fake clock: handlers find their calls ended
	w.Stop()
	return took, calls
}
