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

// Discovery serves the list of a simulated fleet like the platform's discovery service: the full
// list and a watch that pushes changes. It also serves the fleet's counters (GET /counts) and
// restarts entries on request (POST /change?entries=N).
type Discovery struct {
	workers *Workers
	http    *http.Server
	address string
	done    chan struct{}

	bytes     atomic.Int64 // written to watches and as full lists
	fullLists atomic.Int64
	watches   atomic.Int64 // currently open

	mu         sync.Mutex
	generation int64
	started    []int64       // start times by worker, in Unix milliseconds
	last       []byte        // the message that leads to the current generation
	changed    chan struct{} // closed and replaced with each generation
	next       int           // next worker to restart
}

// FleetStats contains the counters of the fleet and of its discovery.
type FleetStats struct {
	Counts
	Generation int64 `json:"generation"`
	ListBytes  int64 `json:"list_bytes"`
	FullLists  int64 `json:"wholes"`
	Watches    int64 `json:"watches"`
}

const keepAliveInterval = 2 * time.Second // same as the platform's

// NewDiscovery starts to serve the list of a fleet. The caller must call Close.
func NewDiscovery(w *Workers) (*Discovery, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.cfg.Host, "0"))
	if err != nil {
		return nil, err
	}
	d := &Discovery{
		workers: w, address: l.Addr().String(), done: make(chan struct{}), generation: 41, started: make([]int64, w.cfg.Workers),
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

// Address returns the listen address.
func (d *Discovery) Address() string { return d.address }

// Close stops the server and its watches.
func (d *Discovery) Close() {
	close(d.done)
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

// List returns the full list in discovery's format.
func (d *Discovery) List() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]entry, len(d.started))
	for i := range all {
		all[i] = d.entry(i)
	}
	return listMessage(d.generation, true, all)
}

// listMessage encodes a list, or a change of it, in discovery's format.
func listMessage(generation int64, full bool, entries []entry) []byte {
	b, err := json.Marshal(map[string]any{"generation": generation, "reset": full, "instances": entries})
	if err != nil {
		panic(err) // cannot happen: numbers and plain strings
	}
	return b
}

// members serves the full list, or a watch from a generation on. A watch that missed generations
// gets the full list again.
func (d *Discovery) members(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		list := d.List()
		d.fullLists.Add(1)
		d.bytes.Add(int64(len(list)))
		w.Header().Set("Content-Length", strconv.Itoa(len(list)))
		w.Write(list)
		return
	}
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from: want a generation number", http.StatusBadRequest)
		return
	}
	d.watches.Add(1)
	defer d.watches.Add(-1)
	control := http.NewResponseController(w)
	send := func(line []byte) bool {
		control.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(append(line, '\n')); err != nil {
			return false
		}
		d.bytes.Add(int64(len(line) + 1))
		return control.Flush() == nil
	}
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for line := []byte(nil); send(line); {
		d.mu.Lock()
		generation, last, changed := d.generation, d.last, d.changed
		d.mu.Unlock()
		switch {
		case generation == from+1:
			from, line = generation, append([]byte(nil), last...)
			continue
		case generation != from: // generations were missed
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
		case <-d.done:
			return
		}
	}
}

// Change restarts the given number of workers, in turn, and pushes the change to every watch.
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
	d.last = listMessage(d.generation, false, all)
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) change(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("entries"))
	if err != nil || n < 1 {
		http.Error(w, "query parameter entries: want a positive number", http.StatusBadRequest)
		return
	}
	d.Change(n)
	w.WriteHeader(http.StatusNoContent)
}

// FleetStats returns the current counters.
func (d *Discovery) FleetStats() FleetStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return FleetStats{Counts: d.workers.Counts(), Generation: d.generation, ListBytes: d.bytes.Load(), FullLists: d.fullLists.Load(), Watches: d.watches.Load()}
}

func (d *Discovery) counts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(d.FleetStats())
}
