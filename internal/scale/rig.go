package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"saffronquay/internal/testing/harness"
	"saffronquay/internal/testing/soak"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

// Config describes one fleet.
type Config struct {
	Seed      uint64
	Gatherers int           // total
	Voters    int           // real processes that vote and receive the load
	Followers int           // real processes that follow, without load
	Process   int           // simulated gatherers per process; each process is a zone
	Apart     []int         // sizes of additional processes of simulated gatherers, which can be killed on their own
	Teams     int           // in the contracts
	Busy      int           // teams of which every simulated gatherer wants more than an even share
	Padding   int           // approximate extra bytes in the policy
	Period    time.Duration // probe period of the view; 0 in this and the next two: the program's default
	Lease     time.Duration
	Hold      time.Duration
	Relayed   bool // reach every member through a relay, so that links can be cut and delayed
	Queries   int  // per second, over all voters
	Program   string
	Dir       string // working directory of the run
	Logf      func(format string, args ...any)
}

const (
	maxGatherers        = 1600
	maxProcesses        = 200
	memoryLimitMB       = 12 << 10 // of all processes together
	memoryCheckInterval = 250 * time.Millisecond
	viewPort            = 7946
	policyPort          = 7947
	lockPort            = 7945
	startBatch          = 50 // simulated gatherers started together
	callTimeout         = 60 * time.Second
)

var errBounds = errors.New("scale: fleet out of bounds: want 10 to 1600 gatherers, 1, 3, 5 or 7 voters, 1 to 400 simulated gatherers per process, at most 200 processes, and no more busy teams than teams")

func (c Config) check() error {
	real := c.Voters + c.Followers
	if c.Gatherers < 10 || c.Gatherers > maxGatherers || c.Voters < 1 || c.Voters > 7 || c.Voters%2 == 0 || c.Process < 1 || c.Process > 400 || real+sum(c.Apart) > c.Gatherers ||
		real+len(c.Apart)+(c.Gatherers-real)/c.Process+1 > maxProcesses || c.Busy > c.Teams {
		return errBounds
	}
	return nil
}

func sum(all []int) (n int) {
	for _, x := range all {
		n += x
	}
	return n
}

// Rig is a fleet of real processes and simulated gatherers. Its methods are for one goroutine,
// except the reads.
type Rig struct {
	cfg           Config
	t             harness.T
	g             *harness.Group
	real          int
	processes     []*process
	template      []byte
	version       string
	base          uint64 // last known version in force
	nonce         uint64
	queries       atomic.Int64
	mu            sync.Mutex
	sent          []soak.Query
	done          chan struct{}
	load          sync.WaitGroup
	peakMB        atomic.Int64 // peak MB of all processes together
	memoryLimitMB int64
}

// NewRig prepares a fleet without starting anything. The fleet is cleaned up at the end of t.
func NewRig(t harness.T, cfg Config) (*Rig, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Rig{cfg: cfg, t: t, real: cfg.Voters + cfg.Followers, nonce: cfg.Seed << 20, done: make(chan struct{}), memoryLimitMB: memoryLimitMB}
	first, err := reserveAddresses(t)
	if err != nil {
		return nil, err
	}
	doc := layout.Doc{History: "scale", Epoch: 1}
	ids := []sq.ServerID{"s0", "s1"}
	for i := range 2 {
		doc.Ranges = append(doc.Ranges, layout.Range{Shard: i, Span: layout.Span{From: int64(i) * 2000, To: int64(i+1) * 2000}, Holders: ids})
	}
	cluster, err := fakebackend.NewCluster(ids, nil, fakebackend.ServerConfig{Field: "taxpayer", Cores: 8, Queue: 1000, Work: time.Millisecond}, doc, []fakebackend.Row{{Key: 1, ID: "one"}, {Key: 3000, ID: "two"}})
	if err != nil {
		return nil, err
	}
	t.Cleanup(cluster.Close)
	var servers []any
	for _, s := range cluster.Servers {
		servers = append(servers, map[string]any{"id": s.ID(), "address": s.Address(), "zone": "zone-00"})
	}
	r.g = harness.NewGroup(t, cfg.Seed, r.real, func(_ int, file, fleet map[string]any) {
		fleet["contracts"], fleet["balancers"] = false, false
		if cfg.Period > 0 {
			fleet["period_ms"] = cfg.Period.Milliseconds()
		}
		file["servers"], file["layout"] = servers, map[string]any{"whole": doc}
		file["indices"] = []any{map[string]any{"name": "invoices", "class": "search", "field": "taxpayer", "part_work_us": 1000}}
		file["settings"].(map[string]any)["zone"] = "zone-00"
		file["tenants"], file["contracts"] = cfg.teams()
	})
	terms := map[string]any{"share": true}
	if cfg.Lease > 0 {
		terms["lease_ms"] = cfg.Lease.Milliseconds()
	}
	if cfg.Hold > 0 {
		terms["hold_ms"] = cfg.Hold.Milliseconds()
	}
	r.g.EnableRollout(cfg.Voters, terms)
	r.assignGatherers(first)
	r.addMembers()
	return r, nil
}

// teams returns the tenants and contracts, with padding entries to make the policy longer.
func (c Config) teams() (tenants, contracts any) {
	var all, weights []any
	for i := range max(c.Teams, 1) {
		all, weights = append(all, map[string]any{"name": team(i), "quota_per_s": 100}), append(weights, map[string]any{"name": team(i), "weight": 1, "wait_ms": 1000})
	}
	for i := range c.Padding / 74 { // bytes of a tenant and its contract
		name := fmt.Sprintf("pad-%06d", i)
		all, weights = append(all, map[string]any{"name": name, "quota_per_s": 1}), append(weights, map[string]any{"name": name, "weight": 1})
	}
	return all, map[string]any{"cores": 100 * c.Gatherers, "gatherers": c.Gatherers, "over": 1.25, "teams": weights}
}

// reserveAddresses reserves a block of loopback addresses that no other run uses, until the end of
// t.
func reserveAddresses(t harness.T) (netip.Addr, error) {
	for i := range 7 * 32 {
		n := (os.Getpid()*13 + i) % (7 * 32)
		at := netip.AddrFrom4([4]byte{127, byte(121 + n/32), byte(n % 32 * 8), 0})
		l, err := net.Listen("tcp", netip.AddrPortFrom(at.Next(), lockPort).String())
		if err == nil {
			t.Cleanup(func() { l.Close() })
			return at, nil
		}
	}
	return netip.Addr{}, errors.New("scale: no block of loopback addresses is free")
}

// gathererAddress returns the address of the j-th simulated gatherer in a block.
func gathererAddress(first netip.Addr, j int) netip.Addr {
	b := first.As4()
	return netip.AddrFrom4([4]byte{127, b[1], b[2] + byte(j/200), byte(10 + j%200)})
}

// assignGatherers assigns names, addresses and processes to the simulated gatherers.
func (r *Rig) assignGatherers(first netip.Addr) {
	sizes := slices.Clone(r.cfg.Apart)
	rest := r.cfg.Gatherers - r.real - sum(sizes)
	for n := (rest + r.cfg.Process - 1) / r.cfg.Process; n > 0; n-- {
		size := (rest + n - 1) / n
		sizes, rest = append(sizes, size), rest-size
	}
	j := 0
	for k, size := range sizes {
		p := &process{rig: r, from: r.real + j}
		for range size {
			at := gathererAddress(first, j)
			x := GathererSpec{
				Name: fmt.Sprintf("h%03d", j), Zone: fmt.Sprintf("zone-%02d", k+1), View: netip.AddrPortFrom(at, viewPort), Policy: netip.AddrPortFrom(at, policyPort),
				Seed: r.cfg.Seed + uint64(j), Identity: (r.cfg.Seed+uint64(j))<<1 | 1,
			}
			x.Advertise = x.View
			policyAddress := x.Policy
			if r.cfg.Relayed {
				view, policy := r.g.Relay(r.real+j, at), r.g.Relay(r.real+j, at)
				view.SetTarget(x.View)
				policy.SetTarget(x.Policy)
				x.Advertise, policyAddress = view.Address(), policy.Address()
			} else {
				r.g.Net.AddSender(at, r.real+j)
			}
			p.specs, p.policyAddresses = append(p.specs, x), append(p.policyAddresses, policyAddress)
			j++
		}
		r.processes = append(r.processes, p)
	}
}

// addMembers adds all simulated gatherers to the rollout members in every real process's file.
func (r *Rig) addMembers() {
	var more []any
	for _, p := range r.processes {
		for i, x := range p.specs {
			more = append(more, map[string]any{"name": x.Name, "address": p.policyAddresses[i].String(), "voter": false})
		}
	}
	for _, m := range r.g.Members {
		m.Program = r.cfg.Program
		m.Edit(func(file map[string]any) {
			of := file["rollout"].(map[string]any)
			of["members"] = append(of["members"].([]any), more...)
		})
	}
}

// Start starts all members and waits until the fleet has converged and admits queries.
func (r *Rig) Start() {
	r.t.Helper()
	r.load.Add(1)
	go r.enforceMemoryLimit()
	r.g.StartAll()
	r.g.Leader()
	var err error
	if r.template, err = os.ReadFile(r.g.Members[0].File); err != nil {
		r.t.Fatal(err)
	}
	v, _ := r.g.Members[0].View()
	r.version = v.Members["g00"]["version"]
	r.forEachProcess(func(p *process) { p.launch() })
	for from := 0; ; from += startBatch / len(r.processes) {
		remaining := false
		for _, p := range r.processes {
			remaining = remaining || from < len(p.specs)
		}
		if !remaining {
			break
		}
		r.forEachProcess(func(p *process) { p.start(from, from+startBatch/len(r.processes)) })
	}
	r.WaitConverged(r.cfg.Gatherers)
	if r.cfg.Queries > 0 {
		r.load.Add(1)
		go r.generateLoad()
	}
}

// enforceMemoryLimit kills the processes of simulated gatherers if all processes together exceed
// the memory limit.
func (r *Rig) enforceMemoryLimit() {
	defer r.load.Done()
	tick := time.NewTicker(memoryCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.done:
			return
		case <-tick.C:
		}
		used := residentBytes(os.Getpid())
		for _, p := range r.processes {
			used += residentBytes(p.pid())
		}
		for i := range r.real {
			_, _, pid := r.g.AdminAddressOf(i)
			used += residentBytes(pid)
		}
		if used >>= 20; used > r.peakMB.Load() {
			r.peakMB.Store(used)
		}
		if used > r.memoryLimitMB {
			r.t.Errorf("processes use %d MB together, limit %d MB: killing the processes of simulated gatherers", used, r.memoryLimitMB)
			for _, p := range r.processes {
				p.killNow()
			}
			return
		}
	}
}

// forEachProcess calls do for all processes concurrently.
func (r *Rig) forEachProcess(do func(*process)) {
	var wg sync.WaitGroup
	for _, p := range r.processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			do(p)
		}()
	}
	wg.Wait()
}

// WaitConverged waits until all running members see the given number of members in one and the same
// view and admit queries under one version.
func (r *Rig) WaitConverged(alive int) {
	r.t.Helper()
	r.g.Until(fmt.Sprintf("one view with %d members, and one version", alive), func() (string, bool) {
		time.Sleep(100 * time.Millisecond) // a sample of all members costs as much as they use in some time
		wrong, ran, example := 0, 0, ""
		digests, numbers := map[uint64]int{}, map[uint64]int{}
		for _, x := range r.Read(0).Simulated() {
			if !x.Runs {
				continue
			}
			ran++
			digests[x.Digest]++
			numbers[x.Number]++
			if x.Alive != alive || !x.Admits {
				wrong++
				example = fmt.Sprintf("%s sees %d members, admits queries: %t, version %d", x.Name, x.Alive, x.Admits, x.Number)
			}
		}
		for _, m := range r.g.Members {
			if m.Process == nil {
				continue
			}
			ran++
			if text := m.Process.Call("stats"); !strings.Contains(text, fmt.Sprintf("svc.fleet.alive:%d|", alive)) || !strings.Contains(text, "svc.rollout.admits:1|") {
				wrong++
				example = m.Name + " sees another number of members, or admits no queries"
			}
		}
		return fmt.Sprintf("%d of %d have not converged, for example %s; %d digests, %d versions", wrong, ran, example, len(digests), len(numbers)),
			wrong == 0 && ran == alive && len(digests) <= 1 && len(numbers) <= 1
	})
}

// Close stops the load and the memory check; the processes end with t.
func (r *Rig) Close() {
	close(r.done)
	r.load.Wait()
}

// SentQueries returns the queries sent so far.
func (r *Rig) SentQueries() []soak.Query {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.sent)
}

// encode writes a value as a line of JSON.
func encode(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		_, err = w.Write(append(b, '\n'))
	}
	return err
}
