package work

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"saffronquay/internal/testing/harness"
	"slices"
	"syscall"
	"time"
)

// Hollow is a simulated fleet in a process of its own.
type Hollow struct {
	Address string `json:"discovery"` // of its discovery
	Worker  string `json:"worker"`    // address of its first worker
	PID     int    `json:"pid"`
}

// Program is the program's file, and the arguments that run it as a simulated fleet.
type Program struct {
	File   string
	Hollow []string
}

// fleetArgs returns the arguments that run a fleet.
func (p Program) fleetArgs(cfg Config) []string {
	return append(slices.Clone(p.Hollow), "--workers", fmt.Sprint(cfg.Workers), "--cells", fmt.Sprint(cfg.Cells), "--delay", cfg.Delay.String(),
		"--value", fmt.Sprint(cfg.Value), "--seed", fmt.Sprint(cfg.Seed))
}

// StartFleet starts the program as a simulated fleet and waits until it listens. It ends with t, or
// with this process.
func StartFleet(t harness.T, program Program, cfg Config) Hollow {
	t.Helper()
	cmd := exec.Command(program.File, program.fleetArgs(cfg)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	started := make(chan Hollow, 1)
	go func() {
		defer close(started)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var h Hollow
			if json.Unmarshal(lines.Bytes(), &h) == nil && h.Address != "" {
				started <- h
			}
		}
	}()
	select {
	case h, ok := <-started:
		if !ok {
			t.Fatal("simulated fleet exited at startup: is the limit on file descriptors too low for the number of workers?")
		}
		return h
	case <-time.After(harness.WaitTimeout):
		t.Fatal("simulated fleet did not report its address within the time limit")
	}
	return Hollow{}
}

// FleetStats returns the fleet's counters.
func (h Hollow) FleetStats() (x FleetStats, err error) {
	b, err := fetch(h.Address, "/counts")
	if err != nil {
		return x, err
	}
	return x, json.Unmarshal(b, &x)
}

// Change restarts the given number of workers.
func (h Hollow) Change(entries int) error {
	c := http.Client{Timeout: fetchTimeout}
	defer c.CloseIdleConnections()
	resp, err := c.Post(fmt.Sprintf("http://%s/change?entries=%d", h.Address, entries), "", nil)
	if err != nil {
		return err
	}
	_, err = readBody(resp)
	return err
}

// Run is the result of one measured time span.
type Run struct {
	Results
	Took              time.Duration `json:"took"`
	Gatherer, Workers Usage         // CPU time used in the span; memory and descriptors at its end
	Fleet             FleetStats    // counted in the span; open connections at its end
}

// Testbed is a gatherer in front of a simulated fleet.
type Testbed struct {
	T        harness.T
	Gatherer *Gatherer
	Fleet    Hollow
}

// StartTestbed starts the fleet and the gatherer.
func StartTestbed(t harness.T, program Program, cfg Config, s GathererConfig) *Testbed {
	t.Helper()
	h := StartFleet(t, program, cfg)
	return &Testbed{t, StartGatherer(t, program.File, s, h.Address), h}
}

// Record measures the span in which do runs.
func (s *Testbed) Record(do func() Results) (r Run) {
	s.T.Helper()
	look := func() (g, w Usage, stats FleetStats) {
		var errs [3]error
		g, errs[0] = UsageOf(s.Gatherer.PID())
		w, errs[1] = UsageOf(s.Fleet.PID)
		stats, errs[2] = s.Fleet.FleetStats()
		for _, err := range errs {
			if err != nil {
				s.T.Fatal(err)
			}
		}
		return g, w, stats
	}
	g0, w0, t0 := look()
	began := time.Now()
	r.Results = do()
	r.Took = time.Since(began)
	g1, w1, t1 := look()
	r.Gatherer, r.Workers = usageBetween(g0, g1), usageBetween(w0, w1)
	r.Fleet = t1
	r.Fleet.Opened -= t0.Opened
	r.Fleet.Calls -= t0.Calls
	r.Fleet.Parts -= t0.Parts
	r.Fleet.Cancelled -= t0.Cancelled
	r.Fleet.Received -= t0.Received
	r.Fleet.Sent -= t0.Sent
	r.Fleet.Malformed -= t0.Malformed
	r.Fleet.ListBytes -= t0.ListBytes
	r.Fleet.FullLists -= t0.FullLists
	return r
}

func usageBetween(from, to Usage) Usage {
	to.User -= from.User
	to.System -= from.System
	return to
}

// SendLoad measures a load.
func (s *Testbed) SendLoad(ctx context.Context, l Load) Run {
	s.T.Helper()
	return s.Record(func() Results { return SendLoad(ctx, s.Gatherer.Listen, l) })
}

// Idle measures idle time.
func (s *Testbed) Idle(ctx context.Context, d time.Duration) Run {
	s.T.Helper()
	return s.Record(func() (a Results) {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return a
	})
}

// Dial opens n connections to one worker of the fleet. They are closed at the end of t.
func (h Hollow) Dial(t harness.T, n int) (conns []net.Conn) {
	t.Helper()
	for range n {
		conn, err := net.DialTimeout("tcp", h.Worker, fetchTimeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
	return conns
}

// RoundTrip sends one call with one part on a connection and waits for the answer.
func RoundTrip(conn net.Conn, id int) error {
	conn.SetDeadline(time.Now().Add(fetchTimeout))
	if _, err := conn.Write(frame(fmt.Appendf(nil, "R%016x.%d %d d=75 8\nc41e77d0", id, 0, 0))); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 256))
	return err
}
