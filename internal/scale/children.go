package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// process is a child process that runs several simulated gatherers. Calls are serialized.
type process struct {
	rig             *Rig
	from            int // member number of its first gatherer in fault scripts
	specs           []GathererSpec
	policyAddresses []netip.AddrPort // policy addresses that the other members use for each gatherer

	mu          sync.Mutex
	cmd         *exec.Cmd                // nil: not running
	running     atomic.Pointer[exec.Cmd] // same as cmd, readable without the lock
	in          io.WriteCloser
	answers     *bufio.Reader
	baselineRSS int64 // resident bytes before any gatherer was created
}

// childArgs are the arguments that run the program as a process of simulated gatherers.
var childArgs = []string{"scale", "hollow"}

// launch starts the process and creates all its gatherers without starting them.
func (p *process) launch() {
	program := p.rig.cfg.Program
	if program == "" {
		var err error
		if program, err = harness.Binary(); err != nil {
			p.rig.t.Errorf("find the program for simulated gatherers: %v", err)
			return
		}
	}
	cmd := exec.Command(program, childArgs...)
	cmd.Env = append(os.Environ(), "SAFFRONQUAY_OPERATOR_FILE=")
	cmd.Stderr = &stderrReporter{t: p.rig.t}
	in, err := cmd.StdinPipe()
	if err == nil {
		var out io.ReadCloser
		if out, err = cmd.StdoutPipe(); err == nil {
			p.answers = bufio.NewReaderSize(out, 1<<20)
			err = cmd.Start()
		}
	}
	if err != nil {
		p.rig.t.Errorf("start a process of simulated gatherers: %v", err)
		return
	}
	p.mu.Lock()
	p.cmd, p.in = cmd, in
	p.running.Store(cmd)
	p.mu.Unlock()
	p.rig.t.Cleanup(p.kill)
	p.baselineRSS = p.call(Command{Do: "read"}).RSS
	p.call(Command{Do: "make", Template: p.rig.template, Places: p.specs, Version: p.rig.version, Busy: p.rig.cfg.Busy})
}

// stderrReporter reports everything that a process writes to its standard error as a test error: a
// healthy process writes nothing there.
type stderrReporter struct{ t harness.T }

func (c *stderrReporter) Write(b []byte) (int, error) {
	c.t.Errorf("simulated gatherers: unexpected output on stderr: %s", b)
	return len(b), nil
}

// call sends a command and returns the report. The report is empty if the process is not running.
func (p *process) call(c Command) (r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return r
	}
	cmd := p.cmd
	late := time.AfterFunc(callTimeout, func() { cmd.Process.Kill() })
	defer late.Stop()
	err := encode(p.in, c)
	if err == nil {
		var line []byte
		if line, err = p.answers.ReadBytes('\n'); err == nil {
			err = json.Unmarshal(line, &r)
		}
	}
	if err == nil && r.Fault != "" {
		err = fmt.Errorf("%s", r.Fault)
	}
	if err != nil {
		p.rig.t.Errorf("simulated gatherers: command %s: %v", c.Do, err)
	}
	return r
}

// start starts the gatherers from..to-1 that are not running.
func (p *process) start(from, to int) {
	var which []int
	for i := from; i < min(to, len(p.specs)); i++ {
		which = append(which, i)
	}
	if len(which) > 0 {
		p.call(Command{Do: "start", Which: which})
	}
}

// kill kills the process if it is running, and waits for its exit.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.running.Store(nil)
		p.cmd.Process.Kill()
		p.in.Close()
		p.cmd.Wait()
		p.cmd = nil
	}
}

// pid returns the process ID, or 0 if the process is not running.
func (p *process) pid() int {
	if cmd := p.running.Load(); cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// killNow kills the process without waiting for a call in progress.
func (p *process) killNow() {
	if cmd := p.running.Load(); cmd != nil {
		cmd.Process.Kill()
	}
}

// names returns the names of the process's gatherers.
func (p *process) names() (all []string) {
	for _, x := range p.specs {
		all = append(all, x.Name)
	}
	return all
}

// RealState is the state of one real process.
type RealState struct {
	Name         string
	Leads, Votes bool
	Alive        int64
	View, Policy peering.Traffic
	CPU, RSS     int64 // microseconds; bytes
}

// Sample is the state of all members at one time.
type Sample struct {
	At      int64 // Unix microseconds
	Reports []Report
	Real    []RealState
}

// Simulated returns the state of all simulated gatherers in the sample.
func (s Sample) Simulated() (all []GathererState) {
	for _, r := range s.Reports {
		all = append(all, r.Hollow...)
	}
	return all
}

// Read samples all members. With a version number, simulated gatherers report when they installed
// it.
func (r *Rig) Read(number uint64) Sample { return r.read(Command{Do: "read", Number: number}) }

// Collect samples all members after a garbage collection in each process of simulated gatherers.
func (r *Rig) Collect() Sample { return r.read(Command{Do: "collect"}) }

func (r *Rig) read(c Command) Sample {
	s := Sample{At: time.Now().UnixMicro(), Reports: make([]Report, len(r.processes)), Real: make([]RealState, r.real)}
	var wg sync.WaitGroup
	for i, p := range r.processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Reports[i] = p.call(c)
		}()
	}
	for i := range r.real {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Real[i] = r.readReal(i)
		}()
	}
	wg.Wait()
	return s
}

// readReal reads the state of a real process from its admin endpoint and from /proc.
func (r *Rig) readReal(i int) (x RealState) {
	endpoint, name, pid := r.g.AdminAddressOf(i)
	x = RealState{Name: name, Votes: i < r.cfg.Voters}
	if endpoint == "" {
		return x
	}
	at := map[string]int64{}
	for line := range strings.Lines((&harness.Process{AdminAddress: endpoint}).Call("stats")) {
		name, rest, ok := strings.Cut(strings.TrimSpace(line), ":")
		value, _, _ := strings.Cut(rest, "|")
		if n, err := strconv.ParseInt(value, 10, 64); ok && err == nil {
			at[name] = n
		}
	}
	traffic := func(of string) peering.Traffic {
		of = "svc." + of + "."
		return peering.Traffic{
			Sent: at[of+"words_sent"], Received: at[of+"words_received"], SentBytes: at[of+"bytes_sent"], ReceivedBytes: at[of+"bytes_received"],
			QuotaBytes: at[of+"bytes_of_shares"], Links: at[of+"links"],
		}
	}
	x.View, x.Policy, x.Leads, x.Alive = traffic("fleet"), traffic("rollout"), at["svc.rollout.leads"] == 1, at["svc.fleet.alive"]
	x.CPU, x.RSS = cpuMicros(pid), residentBytes(pid)
	return x
}

// generateLoad sends searches to the voters in turn at the configured rate until the rig is closed,
// and records each result.
func (r *Rig) generateLoad() {
	defer r.load.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Second / time.Duration(r.cfg.Queries))
	defer tick.Stop()
	slots := make(chan struct{}, 32)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-r.done:
			return
		case <-tick.C:
		}
		at, name := r.g.ListensAt(i % r.cfg.Voters)
		if at == "" {
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			continue // the limit of concurrent queries is reached
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			q := soak.Query{Sent: time.Since(r.g.Began()), Version: -1, At: name}
			req, err := http.NewRequest("POST", "http://"+at+"/invoices/_search", strings.NewReader(`{"query":{"range":{"taxpayer":{"gte":0,"lt":4000}}}}`))
			if err != nil {
				return
			}
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("X-Tenant", team(0))
			resp, err := client.Do(req)
			if err != nil {
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			q.Status, q.Came = resp.StatusCode, time.Since(r.g.Began())
			if n, err := strconv.ParseInt(resp.Header.Get("X-Policy-Version"), 10, 64); err == nil {
				q.Version = n
			}
			r.mu.Lock()
			r.sent = append(r.sent, q)
			r.mu.Unlock()
		}()
	}
}
