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

// Directory is a stand-in layout directory: one line of epochs, told through agents.
type Directory struct {
	known func(sq.ServerID) bool
	do    func(layout.Step) error // an operator's step, with what it does to the data

	mu      sync.Mutex
	layouts []*layout.Layout // from the first epoch on
	steps   []layout.Step    // steps[i] leads to layouts[i+1]
	at      []time.Time      // when each layout came in force
	changed chan struct{}    // closed, and replaced, with each step
}

func newDirectory(first layout.Doc, known func(sq.ServerID) bool) (*Directory, error) {
	l, err := layout.New(first, known)
	if err != nil {
		return nil, fmt.Errorf("stand-in directory: %w", err)
	}
	return &Directory{known: known, layouts: []*layout.Layout{l}, at: []time.Time{time.Now()}, changed: make(chan struct{})}, nil
}

// Now is the layout in force.
func (d *Directory) Now() *layout.Layout {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.layouts[len(d.layouts)-1]
}

// Step judges a step with the next epoch and, where it is sound, has it in force.
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

// seen is how many layouts an agent that lags has heard of, what changes that, and when the next one comes.
func (d *Directory) seen(lag time.Duration) (int, <-chan struct{}, time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.layouts)
	for n > 1 && time.Since(d.at[n-1]) < lag {
		n--
	}
	wait := 2 * time.Second // then a sign of life
	if n < len(d.layouts) {
		wait = lag - time.Since(d.at[n])
	}
	return n, d.changed, max(wait, time.Millisecond)
}

// Ill is how an agent treats those who ask it.
type Ill string

// The faults of agents.
const (
	Well    Ill = ""
	Down    Ill = "down"    // resets whoever asks
	Mute    Ill = "mute"    // accepts and says nothing
	Garbles Ill = "garbles" // lines that are no steps
	Backs   Ill = "backs"   // an older epoch than it told
	Other   Ill = "other"   // another history
	Skips   Ill = "skips"   // leaves one step out, then is well
	Trickle Ill = "trickle" // writes byte by byte
)

// Agent is one address at which the directory tells; each gatherer has its own.
type Agent struct {
	d       *Directory
	http    *http.Server
	address string

	mu      sync.Mutex
	lag     time.Duration
	ill     Ill
	hit     chan struct{} // closed, and replaced, when the fault changes
	watches int           // open now
	wholes  int           // whole layouts told
	resumed int           // watches that began behind the first epoch
}

// Agent begins one, at an address or, where that is empty, anywhere on loopback.
func (d *Directory) Agent(address string) (*Agent, error) {
	l, err := net.Listen("tcp", cmp.Or(address, "127.0.0.1:0"))
	if err != nil {
		return nil, fmt.Errorf("stand-in directory: %w", err)
	}
	a := &Agent{d: d, address: l.Addr().String(), hit: make(chan struct{})}
	a.http = &http.Server{Handler: a, ReadHeaderTimeout: 5 * time.Second, ErrorLog: log.New(io.Discard, "", 0)}
	go a.http.Serve(l)
	return a, nil
}

// Address is where it listens.
func (a *Agent) Address() string { return a.address }

// Close ends it.
func (a *Agent) Close() { a.http.Close() }

// Set gives it a fault, and how much later it hears of steps than others.
func (a *Agent) Set(ill Ill, lag time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ill, a.lag = ill, lag
	close(a.hit)
	a.hit = make(chan struct{})
}

// Watches is how many watches are open.
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

// Asked is how many whole layouts were asked for, and how many watches went on from a later epoch than the first.
func (a *Agent) Asked() (wholes, resumed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.wholes, a.resumed
}

func (a *Agent) watching(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watches += n
}

func (a *Agent) how() (Ill, time.Duration, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ill, a.lag, a.hit
}

// ServeHTTP answers a call for the whole layout, a watch, or an operator's step.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ill, lag, hit := a.how()
	switch {
	case ill == Down:
		cut(w)
	case ill == Mute:
		select {
		case <-r.Context().Done():
		case <-hit:
			cut(w)
		}
	case r.Method == http.MethodPost:
		a.step(w, r)
	case r.URL.Query().Get("watch") == "1":
		a.watch(w, r, hit)
	default:
		n, _, _ := a.d.seen(lag)
		if ill == Backs {
			n = 1
		}
		a.mu.Lock()
		a.wholes++
		a.mu.Unlock()
		doc := a.d.layout(n - 1).Doc()
		if ill == Other {
			doc.History = "another"
		}
		text, _ := json.Marshal(doc) // a document always has a form
		if ill == Trickle {
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			trickle(w, text)
			return
		}
		answer(w, http.StatusOK, string(text))
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
		err = a.d.do(s)
	}
	if err != nil {
		answer(w, http.StatusConflict, err.Error()+"\n")
		return
	}
	answer(w, http.StatusOK, fmt.Sprintf("epoch %d\n", a.d.Now().Epoch()))
}

// watch tells steps as they come.
func (a *Agent) watch(w http.ResponseWriter, r *http.Request, hit <-chan struct{}) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	first := a.d.layout(0)
	ill, lag, _ := a.how()
	n, _, _ := a.d.seen(lag)
	if ill == Backs {
		n = 1
	}
	if ill == Other || err != nil || r.URL.Query().Get("history") != first.History() || from < first.Epoch() || from > first.Epoch()+int64(n)-1 {
		answer(w, http.StatusGone, "begin with the whole layout\n")
		return
	}
	out := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	out.Flush()
	a.watching(1)
	defer a.watching(-1)
	a.resume(from)
	for next := int(from - first.Epoch()); ; {
		ill, lag, _ := a.how()
		n, changed, wait := a.d.seen(lag)
		for ; next < n-1; next++ {
			a.d.mu.Lock()
			text, _ := json.Marshal(a.d.steps[next]) // a step always has a form
			a.d.mu.Unlock()
			switch ill {
			case Garbles:
				text = []byte(`{"epoch":"next"`)
			case Skips:
				a.Set(Well, lag)
				ill = Well
				continue // the watch goes on as if nothing were missing
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
		case <-hit:
			if ill, _, h := a.how(); ill == Down || ill == Mute || ill == Backs || ill == Other {
				t.Stop()
				cut(w)
				return
			} else {
				hit = h
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
