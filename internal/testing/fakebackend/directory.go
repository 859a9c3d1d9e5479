package fakebackend

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"saffronquay/internal/broker/layout"
	"strconv"
	"sync"
	"time"

	sq "saffronquay"
)

// Directory is a fake layout directory: a linear history of layouts that agents publish. It is safe
// for concurrent use.
type Directory struct {
	known     func(sq.ServerID) bool
	applyStep func(layout.Step) error // applies an operator's step to the data and to the directory

	mu      sync.Mutex
	layouts []*layout.Layout // by epoch, starting with the first
	steps   []layout.Step    // steps[i] changes layouts[i] to layouts[i+1]
	at      []time.Time      // when each layout took effect
	changed chan struct{}    // closed and replaced with each step
}

func newDirectory(first layout.Doc, known func(sq.ServerID) bool) (*Directory, error) {
	l, err := layout.New(first, known)
	if err != nil {
		return nil, fmt.Errorf("fakebackend: create layout directory: %w", err)
	}
	return &Directory{known: known, layouts: []*layout.Layout{l}, at: []time.Time{time.Now()}, changed: make(chan struct{})}, nil
}

// Now returns the current layout.
func (d *Directory) Now() *layout.Layout {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layouts[len(d.layouts)-1]
}

// Step validates a step under the next epoch and applies it. It returns the new layout, or an error
// if the step is invalid. The step's History and Epoch are overwritten.
func (d *Directory) Step(s layout.Step) (*layout.Layout, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.layouts[len(d.layouts)-1]
	s.History, s.Epoch = now.History(), now.Epoch()+1
	l, err := now.Step(s, d.known)
	if err != nil {
		return nil, err
	}
	d.layouts, d.steps, d.at = append(d.layouts, l), append(d.steps, s), append(d.at, time.Now())
	close(d.changed)
	d.changed = make(chan struct{})
	return l, nil
}

// visible returns how many layouts an agent with the given lag knows, a channel that is closed with the
// next step, and how long to wait before the next layout or keepalive is due.
func (d *Directory) visible(lag time.Duration) (int, <-chan struct{}, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.layouts)
	for n > 1 && time.Since(d.at[n-1]) < lag {
		n--
	}
	wait := 2 * time.Second // keepalive interval
	if n < len(d.layouts) {
		wait = lag - time.Since(d.at[n])
	}
	return n, d.changed, max(wait, time.Millisecond)
}

// AgentFault is a fault of an Agent.
type AgentFault string

// The faults of agents.
const (
	NoAgentFault AgentFault = ""
	Down         AgentFault = "down"    // resets every connection
	Mute         AgentFault = "mute"    // accepts requests and never responds
	Malformed    AgentFault = "garbles" // sends malformed steps
	OlderEpoch   AgentFault = "backs"   // serves an older epoch than before
	OtherHistory AgentFault = "other"   // serves a layout of another history
	SkipStep     AgentFault = "skips"   // omits one step, then recovers
	Trickle      AgentFault = "trickle" // flushes after each byte
)

// Agent is an HTTP endpoint that publishes the layouts of a Directory; each broker has its own.
type Agent struct {
	d       *Directory
	http    *http.Server
	address string

	mu           sync.Mutex
	lag          time.Duration
	fault        AgentFault
	faultChanged chan struct{} // closed and replaced when the fault changes
	watches      int           // open watches
	fullLayouts  int           // full layouts served
	resumed      int           // watches that started after the first epoch
}

// Agent starts an agent at address, or on a free loopback port if address is empty. The caller must
// Close it.
func (d *Directory) Agent(address string) (*Agent, error) {
	l, err := net.Listen("tcp", cmp.Or(address, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("fakebackend: start layout agent: %w", err)
	}
	a := &Agent{d: d, address: l.Addr().String(), faultChanged: make(chan struct{})}
	a.http = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go a.http.Serve(l)
	return a, nil
}

// Address returns the host:port that the agent listens on.
func (a *Agent) Address() string { return a.address }

// Close stops the agent and closes its connections.
func (a *Agent) Close() { a.http.Close() }

// Set sets the agent's fault, and the lag after which it publishes a step.
func (a *Agent) Set(fault AgentFault, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault, a.lag = fault, lag
	close(a.faultChanged)
	a.faultChanged = make(chan struct{})
}

// Watches returns the number of open watches.
func (a *Agent) Watches() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.watches
}

func (a *Agent) resume(from int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if from > a.d.layout(0).Epoch() {
		a.resumed++
	}
}

// RequestCounts returns how many full layouts the agent has served, and how many watches resumed from
// an epoch after the first.
func (a *Agent) RequestCounts() (fullLayouts, resumed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fullLayouts, a.resumed
}

func (a *Agent) watching(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watches += n
}

func (a *Agent) currentFault() (AgentFault, time.Duration, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault, a.lag, a.faultChanged
}

// ServeHTTP serves the full layout, a watch (GET with watch=1), or an operator's step (POST).
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fault, lag, faultChanged := a.currentFault()
	switch {
	case fault == Down:
		resetConnection(w)
	case fault == Mute:
		select {
		case <-r.Context().Done():
		case <-faultChanged:
			resetConnection(w)
		}
	case r.Method == http.MethodPost:
		a.step(w, r)
	case r.URL.Query().Get("watch") == "1":
		a.watch(w, r, faultChanged)
	default:
		n, _, _ := a.d.visible(lag)
		if fault == OlderEpoch {
			n = 1
		}
		a.mu.Lock()
		a.fullLayouts++
		a.mu.Unlock()
		doc := a.d.layout(n - 1).Doc()
		if fault == OtherHistory {
			doc.History = "another"
		}
		text, _ := json.Marshal(doc) // a layout document can always be encoded
		if fault == Trickle {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			trickle(w, text)
			return
		}
		respond(w, http.StatusOK, string(text))
	}
}

func (d *Directory) layout(i int) *layout.Layout {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layouts[i]
}

func (a *Agent) step(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	var s layout.Step
	if err == nil {
		s, err = layout.ParseStep(text)
	}
	if err == nil {
		err = a.d.applyStep(s)
	}
	if err != nil {
		respond(w, http.StatusConflict, err.Error()+"\n")
		return
	}
	respond(w, http.StatusOK, fmt.Sprintf("epoch %d\n", a.d.Now().Epoch()))
}

// watch streams steps from the requested epoch on, one JSON line each, until the client disconnects
// or a fault ends the watch. It sends an empty line as a keepalive.
func (a *Agent) watch(w http.ResponseWriter, r *http.Request, faultChanged <-chan struct{}) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	first := a.d.layout(0)
	fault, lag, _ := a.currentFault()
	n, _, _ := a.d.visible(lag)
	if fault == OlderEpoch {
		n = 1
	}
	if fault == OtherHistory || err != nil || r.URL.Query().Get("history") != first.History() || from < first.Epoch() || from > first.Epoch()+int64(n)-1 {
		respond(w, http.StatusGone, "watch cannot resume from this history and epoch: fetch the full layout\n")
		return
	}
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	out.Flush()
	a.watching(1)
	defer a.watching(-1)
	a.resume(from)
	for next := int(from - first.Epoch()); ; {
		fault, lag, _ := a.currentFault()
		n, changed, wait := a.d.visible(lag)
		for ; next < n-1; next++ {
			a.d.mu.Lock()
			text, _ := json.Marshal(a.d.steps[next]) // a step can always be encoded
			a.d.mu.Unlock()
			switch fault {
			case Malformed:
				text = []byte(`{"epoch":"next"`)
			case SkipStep:
				a.Set(NoAgentFault, lag)
				fault = NoAgentFault
				continue // the watch continues with the following step
			case Trickle:
				trickle(w, append(text, '\n'))
				continue
			}
			fmt.Fprintf(w, "%s\n", text)
		}
		if out.Flush() != nil {
			return
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
			fmt.Fprintln(w)
		case <-changed:
		case <-faultChanged:
			if fault, _, h := a.currentFault(); fault == Down || fault == Mute || fault == OlderEpoch || fault == OtherHistory {
				t.Stop()
				resetConnection(w)
				return
			} else {
				faultChanged = h
			}
		case <-r.Context().Done():
			t.Stop()
			return
		}
		t.Stop()
	}
}

func trickle(w http.ResponseWriter, text []byte) {
	out := http.NewResponseController(w)
	for _, b := range text {
		w.Write([]byte{b})
		out.Flush()
	}
}
