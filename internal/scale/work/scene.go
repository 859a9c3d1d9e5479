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

// Hollow is a hollow fleet in a process of its own.
type Hollow struct {
	Address string `json:"discovery"` // of its discovery
	Worker  string `json:"worker"`    // of its first worker
	PID     int    `json:"pid"`
}

// Program is the program's file, and the words by which it plays a hollow fleet.
type Program struct {
	File   string
	Hollow []string
}

// words are those that have it play such a fleet.
func (p Program) words(cfg Config) []string {
	return append(slices.Clone(p.Hollow), "--workers", fmt.Sprint(cfg.Workers), "--cells", fmt.Sprint(cfg.Cells), "--delay", cfg.Delay.String(),
		"--value", fmt.Sprint(cfg.Value), "--seed", fmt.Sprint(cfg.Seed))
}

// Begin starts the program as a hollow fleet and waits until it listens; it ends with t, or with this process.
func Begin(t harness.T, program Program, cfg Config) Hollow {
	t.Helper()
	cmd := exec.Command(program.File, program.words(cfg)...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	told := make(chan Hollow, 1)
	go func() {
		defer close(told)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			var h Hollow
			if json.Unmarshal(lines.Bytes(), &h) == nil && h.Address != "" {
				told <- h
			}
		}
	}()
	select {
	case h, ok := <-told:
		if !ok {
			t.Fatal("the hollow fleet ended at its start: is the limit on descriptors too low for so many workers?")
		}
		return h
	case <-time.After(harness.WaitTimeout):
		t.Fatal("the hollow fleet neither started nor ended")
	}
	return Hollow{}
}

// Told is what the fleet has seen so far.
func (h Hollow) Told() (x Told, err error) {
	b, err := fetch(h.Address, "/counts")
	if err != nil {
		return x, err
	}
	return x, json.Unmarshal(b, &x)
}

// Change has so many workers start anew.
func (h Hollow) Change(entries int) error {
	c := http.Client{Timeout: fetchWithin}
	defer c.CloseIdleConnections()
	resp, err := c.Post(fmt.Sprintf("http://%s/change?entries=%d", h.Address, entries), "", nil)
	if err != nil {
		return err
	}
	_, err = body(resp)
	return err
}

// Run is what one stretch of time came to.
type Run struct {
	Answers
	Took              time.Duration `json:"took"`
	Gatherer, Workers Use           // used within it; memory and descriptors as they stood at its end
	Fleet             Told          // counted within it; connections open as they stood at its end
}

// Scene is a gatherer in front of a hollow fleet.
type Scene struct {
	T        harness.T
	Gatherer *Gatherer
	Hollow   Hollow
}

// Stage starts both.
func Stage(t harness.T, program Program, cfg Config, s Size) *Scene {
	t.Helper()
	h := Begin(t, program, cfg)
	return &Scene{t, Start(t, program.File, s, h.Address), h}
}

// Watch tells what a stretch in which something is done comes to.
func (s *Scene) Watch(do func() Answers) (r Run) {
	s.T.Helper()
	look := func() (g, w Use, told Told) {
		var errs [3]error
		g, errs[0] = UseOf(s.Gatherer.PID())
		w, errs[1] = UseOf(s.Hollow.PID)
		told, errs[2] = s.Hollow.Told()
		for _, err := range errs {
			if err != nil {
				s.T.Fatal(err)
			}
		}
		return g, w, told
	}
	g0, w0, t0 := look()
	began := time.Now()
	r.Answers = do()
	r.Took = time.Since(began)
	g1, w1, t1 := look()
	r.Gatherer, r.Workers = since(g0, g1), since(w0, w1)
	r.Fleet = t1
	r.Fleet.Opened -= t0.Opened
	r.Fleet.Calls -= t0.Calls
	r.Fleet.Parts -= t0.Parts
	r.Fleet.GivenUp -= t0.GivenUp
	r.Fleet.Received -= t0.Received
	r.Fleet.Sent -= t0.Sent
	r.Fleet.Spoilt -= t0.Spoilt
	r.Fleet.ListBytes -= t0.ListBytes
	r.Fleet.Wholes -= t0.Wholes
	return r
}

func since(from, to Use) Use {
	to.User -= from.User
	to.System -= from.System
	return to
}

// Play sends a load.
func (s *Scene) Play(ctx context.Context, l Load) Run {
	s.T.Helper()
	return s.Watch(func() Answers { return Play(ctx, s.Gatherer.Listen, l) })
}

// Rest lets time pass.
func (s *Scene) Rest(ctx context.Context, d time.Duration) Run {
	s.T.Helper()
	return s.Watch(func() (a Answers) {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
		return a
	})
}

// Dial opens so many connections to one worker of a hollow fleet; they end with t.
func (h Hollow) Dial(t harness.T, n int) (conns []net.Conn) {
	t.Helper()
	for range n {
		conn, err := net.DialTimeout("tcp", h.Worker, fetchWithin)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conns = append(conns, conn)
	}
	return conns
}

// Ask sends one call of one part on a connection and waits for its answer.
func Ask(conn net.Conn, id int) error {
	conn.SetDeadline(time.Now().Add(fetchWithin))
	if _, err := conn.Write(frame(fmt.Appendf(nil, "R%016x.%d %d d=75 8\nc41e77d0", id, 0, 0))); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 256))
	return err
}
