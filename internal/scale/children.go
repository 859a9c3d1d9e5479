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

// process is one of hollow gatherers. Calls are one at a time.
type process struct {
	rig    *Rig
	from   int // the first one's number in scripts
	places []Place
	agrees []netip.AddrPort // where the others reach them to agree on the policy

	mu      sync.Mutex
	cmd     *exec.Cmd                // nil: it does not run
	runs    atomic.Pointer[exec.Cmd] // the same, for who can't wait
	in      io.WriteCloser
	answers *bufio.Reader
	empty   int64 // bytes of memory before any gatherer was made
}

// words are the command line by which the program is a process of hollow gatherers.
var words = []string{"scale", "hollow"}

// begin starts the process with all its gatherers made, none of which runs.
func (p *process) begin() {
	program := p.rig.cfg.Program
	if program == "" {
		var err error
		if program, err = harness.Binary(); err != nil {
			p.rig.t.Errorf("%v", err)
			return
		}
	}
	cmd := exec.Command(program, words...)
	cmd.Env = append(os.Environ(), "SAFFRONQUAY_OPERATOR_FILE=")
	cmd.Stderr = &cries{t: p.rig.t}
	in, err := cmd.StdinPipe()
	if err == nil {
		var out io.ReadCloser
		if out, err = cmd.StdoutPipe(); err == nil {
			p.answers = bufio.NewReaderSize(out, 1<<20)
			err = cmd.Start()
		}
	}
	if err != nil {
		p.rig.t.Errorf("a process of hollow gatherers: %v", err)
		return
	}
	p.mu.Lock()
	p.cmd, p.in = cmd, in
	p.runs.Store(cmd)
	p.mu.Unlock()
	p.rig.t.Cleanup(p.kill)
	p.empty = p.call(Order{Do: "read"}).RSS
	p.call(Order{Do: "make", Template: p.rig.template, Places: p.places, Version: p.rig.version, Busy: p.rig.cfg.Busy})
}

// cries has what a process says on its standard error for errors: it has nothing to say.
type cries struct{ t harness.T }

func (c *cries) Write(b []byte) (int, error) {
	c.t.Errorf("hollow gatherers said: %s", b)
	return len(b), nil
}

// call gives an order and takes the report; an empty one where the process does not run.
func (p *process) call(o Order) (r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return r
	}
	cmd := p.cmd
	late := time.AfterFunc(callWait, func() { cmd.Process.Kill() })
	defer late.Stop()
	err := encode(p.in, o)
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
		p.rig.t.Errorf("hollow gatherers: %s: %v", o.Do, err)
	}
	return r
}

// start starts those of a span that do not run.
func (p *process) start(from, to int) {
	var which []int
	for i := from; i < min(to, len(p.places)); i++ {
		which = append(which, i)
	}
	if len(which) > 0 {
		p.call(Order{Do: "start", Which: which})
	}
}

// kill kills the process where it runs, and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.runs.Store(nil)
		p.cmd.Process.Kill()
		p.in.Close()
		p.cmd.Wait()
		p.cmd = nil
	}
}

// pid is the process's id; 0 where it does not run.
func (p *process) pid() int {
	if cmd := p.runs.Load(); cmd != nil {
		return cmd.Process.Pid
	}
	return 0
}

// end kills the process without waiting for the call that is under way.
func (p *process) end() {
	if cmd := p.runs.Load(); cmd != nil {
		cmd.Process.Kill()
	}
}

// names are those of the process's gatherers.
func (p *process) names() (all []string) {
	for _, x := range p.places {
		all = append(all, x.Name)
	}
	return all
}

// Real is how a real process stands.
type Real struct {
	Name         string
	Leads, Votes bool
	Alive        int64
	View, Policy peering.Traffic
	CPU, RSS     int64 // microseconds; bytes
}

// Sample is how everybody stands at a time.
type Sample struct {
	At      int64 // Unix microseconds
	Reports []Report
	Real    []Real
}

// Hollow are all hollow gatherers of it.
func (s Sample) Hollow() (all []Stand) {
	for _, r := range s.Reports {
		all = append(all, r.Hollow...)
	}
	return all
}

// Read reads how everybody stands, with who has put a version in force.
func (r *Rig) Read(number uint64) Sample { return r.read(Order{Do: "read", Number: number}) }

// Collect is the same after memory that nobody uses was given back.
func (r *Rig) Collect() Sample { return r.read(Order{Do: "collect"}) }

func (r *Rig) read(o Order) Sample {
	s := Sample{At: time.Now().UnixMicro(), Reports: make([]Report, len(r.processes)), Real: make([]Real, r.real)}
	var wg sync.WaitGroup
	for i, p := range r.processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.Reports[i] = p.call(o)
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

// readReal reads a real process by its door and the system's word.
func (r *Rig) readReal(i int) (x Real) {
	door, name, pid := r.g.AdminAddressOf(i)
	x = Real{Name: name, Votes: i < r.cfg.Voters}
	if door == "" {
		return x
	}
	at := map[string]int64{}
	for line := range strings.Lines((&harness.Process{AdminAddress: door}).Call("stats")) {
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
	x.CPU, x.RSS = processor(pid), resident(pid)
	return x
}

// ask sends searches to the voters, so many a second, until the rig is closed, and keeps what came of each.
func (r *Rig) ask() {
	defer r.load.Done()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	tick := time.NewTicker(time.Second / time.Duration(r.cfg.Queries))
	defer tick.Stop()
	places := make(chan struct{}, 32)
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-r.over:
			return
		case <-tick.C:
		}
		at, name := r.g.ListensAt(i % r.cfg.Voters)
		if at == "" {
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			continue // as many are under way as may be
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-places }()
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
			r.asked = append(r.asked, q)
			r.mu.Unlock()
		}()
	}
}
