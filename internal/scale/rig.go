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

// Config is one fleet.
type Config struct {
	Seed      uint64
	Gatherers int           // all of them
	Voters    int           // of them, real processes that vote, under load; and
	Followers int           // real ones that follow, and have no load
	Process   int           // hollow gatherers to a process; a process is a zone
	Apart     []int         // sizes of further processes of hollow ones, which can be killed by themselves
	Teams     int           // of the contracts
	Busy      int           // of them, that every hollow gatherer wants more of than an even part
	Padding   int           // bytes that the policy is longer by, about
	Period    time.Duration // of the view's probes; 0, as for the next two: the program's default
	Lease     time.Duration
	Hold      time.Duration
	Relayed   bool // everybody is reached through a relay, so that links can be cut and delayed
	Queries   int  // a second, over all voters
	Program   string
	Dir       string // for what the run needs
	Logf      func(format string, args ...any)
}

const (
	mostGatherers = 1600
	mostProcesses = 200
	mostMB        = 12 << 10 // of all processes together
	guardEvery    = 250 * time.Millisecond
	viewPort      = 7946
	policyPort    = 7947
	lockPort      = 7945
	startAtOnce   = 50 // hollow gatherers that begin together
	callWait      = 60 * time.Second
)

var errBounds = errors.New("want 10 to 1600 gatherers, 1, 3, 5 or 7 voters, and processes of 1 to 400")

func (c Config) check() error {
	real := c.Voters + c.Followers
	if c.Gatherers < 10 || c.Gatherers > mostGatherers || c.Voters < 1 || c.Voters > 7 || c.Voters%2 == 0 || c.Process < 1 || c.Process > 400 || real+sum(c.Apart) > c.Gatherers ||
		real+len(c.Apart)+(c.Gatherers-real)/c.Process+1 > mostProcesses || c.Busy > c.Teams {
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

// Rig is a fleet of real processes and hollow gatherers. It is for one goroutine, but for reads.
type Rig struct {
	cfg       Config
	t         harness.T
	g         *harness.Group
	real      int
	processes []*process
	template  []byte
	version   string
	base      uint64 // the version in force, as told last
	nonce     uint64
	queries   atomic.Int64
	mu        sync.Mutex
	asked     []soak.Query
	over      chan struct{}
	load      sync.WaitGroup
	held      atomic.Int64 // MB of all processes together, at the most
	mostMB    int64
}

// NewRig makes a fleet of which nothing runs yet; it ends with t.
func NewRig(t harness.T, cfg Config) (*Rig, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Rig{cfg: cfg, t: t, real: cfg.Voters + cfg.Followers, nonce: cfg.Seed << 20, over: make(chan struct{}), mostMB: mostMB}
	first, err := block(t)
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
	r.hollow(first)
	r.files()
	return r, nil
}

// teams are tenants and contracts, with as much that says nothing as the policy is to be longer by.
func (c Config) teams() (tenants, contracts any) {
	var all, weights []any
	for i := range max(c.Teams, 1) {
		all, weights = append(all, map[string]any{"name": team(i), "quota_per_s": 100}), append(weights, map[string]any{"name": team(i), "weight": 1, "wait_ms": 1000})
	}
	for i := range c.Padding / 74 { // as long as a tenant and its contract are
		name := fmt.Sprintf("pad-%06d", i)
		all, weights = append(all, map[string]any{"name": name, "quota_per_s": 1}), append(weights, map[string]any{"name": name, "weight": 1})
	}
	return all, map[string]any{"cores": 100 * c.Gatherers, "gatherers": c.Gatherers, "over": 1.25, "teams": weights}
}

// block takes a block of loopback addresses that no other run uses, for as long as this one lasts.
func block(t harness.T) (netip.Addr, error) {
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

// host is the address of a hollow gatherer in a block.
func host(first netip.Addr, j int) netip.Addr {
	b := first.As4()
	return netip.AddrFrom4([4]byte{127, b[1], b[2] + byte(j/200), byte(10 + j%200)})
}

// hollow says who the hollow gatherers are, and in which processes.
func (r *Rig) hollow(first netip.Addr) {
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
			at := host(first, j)
			x := Place{
				Name: fmt.Sprintf("h%03d", j), Zone: fmt.Sprintf("zone-%02d", k+1), View: netip.AddrPortFrom(at, viewPort), Policy: netip.AddrPortFrom(at, policyPort),
				Seed: r.cfg.Seed + uint64(j), Identity: (r.cfg.Seed+uint64(j))<<1 | 1,
			}
			x.Advertise = x.View
			agrees := x.Policy
			if r.cfg.Relayed {
				view, policy := r.g.Relay(r.real+j, at), r.g.Relay(r.real+j, at)
				view.SetTarget(x.View)
				policy.SetTarget(x.Policy)
				x.Advertise, agrees = view.Address(), policy.Address()
			} else {
				r.g.Net.AddSender(at, r.real+j)
			}
			p.places, p.agrees = append(p.places, x), append(p.agrees, agrees)
			j++
		}
		r.processes = append(r.processes, p)
	}
}

// files puts all on everybody's roster.
func (r *Rig) files() {
	var more []any
	for _, p := range r.processes {
		for i, x := range p.places {
			more = append(more, map[string]any{"name": x.Name, "address": p.agrees[i].String(), "voter": false})
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

// Start starts all, and waits until everybody sees everybody and lets queries in.
func (r *Rig) Start() {
	r.t.Helper()
	r.load.Add(1)
	go r.guard()
	r.g.StartAll()
	r.g.Leader()
	var err error
	if r.template, err = os.ReadFile(r.g.Members[0].File); err != nil {
		r.t.Fatal(err)
	}
	v, _ := r.g.Members[0].View()
	r.version = v.Members["g00"]["version"]
	r.each(func(p *process) { p.begin() })
	for from := 0; ; from += startAtOnce / len(r.processes) {
		began := false
		for _, p := range r.processes {
			began = began || from < len(p.places)
		}
		if !began {
			break
		}
		r.each(func(p *process) { p.start(from, from+startAtOnce/len(r.processes)) })
	}
	r.Settled(r.cfg.Gatherers)
	if r.cfg.Queries > 0 {
		r.load.Add(1)
		go r.ask()
	}
}

// guard ends all processes where together they hold more memory than may be held.
func (r *Rig) guard() {
	defer r.load.Done()
	tick := time.NewTicker(guardEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.over:
			return
		case <-tick.C:
		}
		held := resident(os.Getpid())
		for _, p := range r.processes {
			held += resident(p.pid())
		}
		for i := range r.real {
			_, _, pid := r.g.AdminAddressOf(i)
			held += resident(pid)
		}
		if held >>= 20; held > r.held.Load() {
			r.held.Store(held)
		}
		if held > r.mostMB {
			r.t.Errorf("all together hold %d MB, and %d may be held: all are ended", held, r.mostMB)
			for _, p := range r.processes {
				p.end()
			}
			return
		}
	}
}

// each does something with all processes at once.
func (r *Rig) each(do func(*process)) {
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

// Settled waits until all that run see as many as are said, in one and the same view, and let queries in under one version.
func (r *Rig) Settled(alive int) {
	r.t.Helper()
	r.g.Until(fmt.Sprintf("one view of %d, and one version", alive), func() (string, bool) {
		time.Sleep(100 * time.Millisecond) // a look at all of them costs as much as they do in a while
		wrong, ran, example := 0, 0, ""
		digests, numbers := map[uint64]int{}, map[uint64]int{}
		for _, x := range r.Read(0).Hollow() {
			if !x.Runs {
				continue
			}
			ran++
			digests[x.Digest]++
			numbers[x.Number]++
			if x.Alive != alive || !x.Admits {
				wrong++
				example = fmt.Sprintf("%s sees %d, admits %t under %d", x.Name, x.Alive, x.Admits, x.Number)
			}
		}
		for _, m := range r.g.Members {
			if m.Process == nil {
				continue
			}
			ran++
			if text := m.Process.Call("stats"); !strings.Contains(text, fmt.Sprintf("svc.fleet.alive:%d|", alive)) || !strings.Contains(text, "svc.rollout.admits:1|") {
				wrong++
				example = m.Name + " sees another number, or lets nothing in"
			}
		}
		return fmt.Sprintf("%d of %d are not there yet, such as %s; %d digests, %d versions", wrong, ran, example, len(digests), len(numbers)),
			wrong == 0 && ran == alive && len(digests) <= 1 && len(numbers) <= 1
	})
}

// Close ends the load; what was started ends with t.
func (r *Rig) Close() {
	close(r.over)
	r.load.Wait()
}

// Asked are the queries of the load so far, to be judged.
func (r *Rig) Asked() []soak.Query {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.asked)
}

// encode words a line of JSON.
func encode(w io.Writer, v any) error {
	b, err := json.Marshal(v)
	if err == nil {
		_, err = w.Write(append(b, '\n'))
	}
	return err
}
