package work

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Discovery gives the list of a hollow fleet as the platform's does, the whole of it and a watch that pushes changes, and answers for the
// fleet: what it has counted (GET /counts), and that so many entries change (POST /change?entries=N).
type Discovery struct {
	workers *Workers
	http    *http.Server
	address string
	over    chan struct{}

	bytes   atomic.Int64 // written to watches and as whole lists
	wholes  atomic.Int64
	watches atomic.Int64 // open ones

	mu         sync.Mutex
	generation int64
	started    []int64       // by worker, in Unix milliseconds
	last       []byte        // the object that leads to the present generation
	changed    chan struct{} // closed, and replaced, with each
	next       int           // worker that changes next
}

// Told is what discovery has told, beside the fleet's own counts.
type Told struct {
	Counts
	Generation int64 `json:"generation"`
	ListBytes  int64 `json:"list_bytes"`
	Wholes     int64 `json:"wholes"`
	Watches    int64 `json:"watches"`
}

const aliveEvery = 2 * time.Second // as the platform's

// NewDiscovery listens for those who want the list of a fleet; Close ends it.
func NewDiscovery(w *Workers) (*Discovery, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.cfg.Host, "0"))
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		workers: w, address: l.Addr().String(), over: make(chan struct{}), generation: 41, started: make([]int64, w.cfg.Workers),
		changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", d.members)
	mux.HandleFunc("GET /counts", d.counts)
	mux.HandleFunc("POST /change", d.change)
	d.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go d.http.Serve(l)
	return d, nil
}

// Address is where it listens.
func (d *Discovery) Address() string { return d.address }

// Close ends it and its watches.
func (d *Discovery) Close() {
	close(d.over)
	d.http.Close()
}

type entry struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

const zones = 6

func (d *Discovery) entry(i int) entry {
	return entry{
		InstanceID: Name(i), HostPort: d.workers.addresses[i], Zone: fmt.Sprint("z", i%zones), MachineType: "m2", Cell: i % d.workers.cfg.Cells,
		Lifecycle: "SERVING", Weight: 1, StartedAtMs: d.started[i],
	}
}

// List is the whole list, in discovery's form.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]entry, len(d.started))
	for i := range all {
		all[i] = d.entry(i)
	}
	return object(d.generation, true, all)
}

func object(generation int64, whole bool, entries []entry) []byte {
	b, err := json.Marshal(map[string]any{"generation": generation, "reset": whole, "instances": entries})
	if err != nil {
		panic(err) // numbers and plain words
	}
	return b
}

func (d *Discovery) members(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		list := d.List()
		d.wholes.Add(1)
		d.bytes.Add(int64(len(list)))
		w.Header().Set("Content-Length", strconv.Itoa(len(list)))
		w.Write(list)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	d.watches.Add(1)
	defer d.watches.Add(-1)
	control := http.NewResponseController(w)
	tell := func(line []byte) bool {
		control.SetWriteDeadline(time.Now().Add(writeWithin))
		if _, err := w.Write(append(line, '\n')); err != nil {
			return false
		}
		d.bytes.Add(int64(len(line) + 1))
		return control.Flush() == nil
	}
	tick := time.NewTicker(aliveEvery)
	defer tick.Stop()
	for line := []byte(nil); tell(line); {
		d.mu.Lock()
		generation, last, changed := d.generation, d.last, d.changed
		d.mu.Unlock()
		switch {
		case generation == from+1:
			from, line = generation, append([]byte(nil), last...)
			continue
		case generation != from: // it has missed some
			from, line = generation, d.List()
			continue
		}
		line = nil
		select {
		case <-changed:
			d.mu.Lock()
			if from+1 == d.generation {
				line, from = append([]byte(nil), d.last...), d.generation
			}
			d.mu.Unlock()
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-d.over:
			return
		}
	}
}

// Change has so many workers start anew, the next in turn, and tells every watch.
func (d *Discovery) Change(entries int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []entry
	for range min(entries, len(d.started)) {
		d.started[d.next] = time.Now().UnixMilli()
		all = append(all, d.entry(d.next))
		d.next = (d.next + 1) % len(d.started)
	}
	d.generation++
	d.last = object(d.generation, false, all)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) change(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("entries"))
	if err != nil || n < 1 {
		http.Error(w, "entries", http.StatusBadRequest)
		return
	}
	d.Change(n)
	w.WriteHeader(http.StatusNoContent)
}

// Told tells what was told and counted so far.
func (d *Discovery) Told() Told {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Told{Counts: d.workers.Counts(), Generation: d.generation, ListBytes: d.bytes.Load(), Wholes: d.wholes.Load(), Watches: d.watches.Load()}
}

func (d *Discovery) counts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d.Told())
}
