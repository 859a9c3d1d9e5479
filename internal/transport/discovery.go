package transport

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	yw "yarrowwalk"
	"yarrowwalk/internal/http1"
	"yarrowwalk/internal/platform"
)

// Watcher follows discovery: it keeps a watch open and begins again from the last version it saw.
type Watcher struct {
	generation int64 // Run's goroutine owns it
	fresh      bool  // nothing was heard yet at this address; Run's goroutine owns it
	asked      bool  // failures are told: the module asked for the watch
	tell       func(yw.FleetChanged, map[yw.ServerID]string)
	log        *log.Logger
	stop       chan struct{}
	begin      chan struct{}
	done       chan struct{}
	heard      chan struct{} // closed with the first list
	told       bool          // it is; Run's goroutine owns it

	mu      sync.Mutex
	held    platform.List // as it was told last, and by whom
	heldBy  string
	address string
	moved   chan struct{} // closed, and replaced, when the address changes
}

const (
	dialPatience  = time.Second     // the agent is on this machine: it answers at once or not at all
	listPatience  = time.Second     // for the whole list
	watchSilence  = 5 * time.Second // an empty line comes every 2 s; then the watch is taken for broken
	watchPauseMin = 100 * time.Millisecond
	watchPauseMax = 2 * time.Second
	maxLine       = 1 << 20 // of one object of a watch
)

// NewWatcher makes a watcher of the list from a version on; Run runs it. With asked, it begins only at
// Begin, and tells of failures instead of beginning again by itself.
func NewWatcher(address string, generation int64, asked bool, tell func(yw.FleetChanged, map[yw.ServerID]string),
	logger *log.Logger) *Watcher {
	return &Watcher{address: address, generation: generation, asked: asked, tell: tell, log: logger,
		stop: make(chan struct{}), done: make(chan struct{}), heard: make(chan struct{}), begin: make(chan struct{}, 1),
		moved: make(chan struct{})}
}

// Afresh has the whole list asked for first, as at a new address. Call it before Run.
func (w *Watcher) Afresh() { w.fresh = true }

// Held is the whole list as it was told last, in discovery's form, and by which address; nil where none was.
func (w *Watcher) Held() (list []byte, generation int64, by string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.held.Whole {
		return nil, 0, ""
	}
	return w.held.Append(nil), w.held.Generation, w.heldBy
}

// Heard is closed once a list has been told.
func (w *Watcher) Heard() <-chan struct{} { return w.heard }

// Begin asks for the watch, where it waits to be asked.
func (w *Watcher) Begin() {
	select {
	case w.begin <- struct{}{}:
	default:
	}
}

// Move goes over to another address at once; the list that is held stays until that one has told its own.
func (w *Watcher) Move(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.address {
		return
	}
	w.address = address
	close(w.moved)
	w.moved = make(chan struct{})
}

// target is where to watch, and what is closed when that no longer holds.
func (w *Watcher) target() (string, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address, w.moved
}

// Run follows discovery until Stop.
func (w *Watcher) Run() {
	defer close(w.done)
	pause := watchPauseMin
	last, _ := w.target()
	for waits := w.asked; ; {
		if waits {
			select {
			case <-w.begin:
			case <-w.stop:
				return
			}
		}
		address, moved := w.target()
		if address != last {
			last, w.fresh, pause = address, true, watchPauseMin
		}
		heard, err := w.watch(address, moved)
		select {
		case <-w.stop:
			return
		case <-moved: // not a failure: the next address is asked at once
			waits = false
			w.log.Printf("level=info event=watch_moved from=%s", address)
			continue
		default:
		}
		w.log.Printf("level=warn event=watch_ended generation=%d error=%q", w.generation, err)
		if waits = w.asked; waits {
			w.tell(yw.FleetChanged{Kind: yw.FleetFailed}, nil)
			continue
		}
		if heard {
			pause = watchPauseMin
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-moved:
			t.Stop()
		case <-w.stop:
			t.Stop()
			return
		}
		pause = min(2*pause, watchPauseMax)
	}
}

// Stop ends Run and waits for its end.
func (w *Watcher) Stop() {
	close(w.stop)
	<-w.done
}

// watch holds one watch open until it ends, falls silent or has to move; heard tells that something came.
func (w *Watcher) watch(address string, moved <-chan struct{}) (heard bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-w.stop:
		case <-moved:
		case <-ctx.Done():
		}
		cancel()
	}()
	dialer := net.Dialer{Timeout: dialPatience}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false, fmt.Errorf("connect: %w", err)
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	p := http1.Parser{Response: true, Limit: maxLine}
	// Versions of another address need not continue those heard before: guards against changes that are
	// counted from a list which was never told. The whole list comes first there.
	if w.fresh {
		if err := w.whole(conn, &p, address); err != nil {
			return false, err
		}
		w.fresh, heard = false, true
	}
	target := fmt.Sprintf("/catalog/members?watch=1&from=%d", w.generation)
	if err := ask(conn, target, address); err != nil {
		return heard, err
	}
	var line []byte
	var fault error
	status := 0
	p.Headed = func(m *http1.Message) { status = m.Status }
	p.Stream = func(b []byte) {
		line = append(line, b...)
		for fault == nil {
			i := bytes.IndexByte(line, '\n')
			if i < 0 {
				break
			}
			fault = w.object(bytes.TrimSpace(line[:i]), address)
			line = line[i+1:]
		}
		if len(line) > maxLine {
			fault = fmt.Errorf("an object over %d bytes", maxLine)
		}
	}
	buf := make([]byte, readChunk)
	for {
		conn.SetReadDeadline(time.Now().Add(watchSilence))
		n, rerr := conn.Read(buf)
		p.Feed(buf[:n])
		m, perr := p.Next()
		switch {
		case perr != nil:
			return heard, perr
		case status != 0 && status != 200:
			return heard, fmt.Errorf("status %d", status)
		case fault != nil:
			return heard, fault
		case m != nil:
			return true, fmt.Errorf("the watch was ended")
		case rerr != nil:
			return heard, fmt.Errorf("read: %w", rerr)
		}
		heard = true
	}
}

func ask(conn net.Conn, target, host string) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, host, nil, nil)); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	return nil
}

// whole asks for the whole list and takes it in.
func (w *Watcher) whole(conn net.Conn, p *http1.Parser, address string) error {
	if err := ask(conn, "/catalog/members", address); err != nil {
		return err
	}
	conn.SetReadDeadline(time.Now().Add(listPatience))
	buf := make([]byte, readChunk)
	for {
		n, rerr := conn.Read(buf)
		p.Feed(buf[:n])
		m, err := p.Next()
		switch {
		case err != nil:
			return fmt.Errorf("whole list: %w", err)
		case m != nil && m.Status != 200:
			return fmt.Errorf("whole list: status %d", m.Status)
		case m != nil:
			l, err := platform.ParseList(m.Body)
			if err != nil {
				return err
			}
			l.Whole = true // by what was asked for
			w.take(l, address)
			return nil
		case rerr != nil:
			return fmt.Errorf("whole list: %w", rerr)
		}
	}
}

// object takes in one line of a watch; an empty one is a sign of life.
func (w *Watcher) object(line []byte, from string) error {
	if len(line) == 0 {
		return nil
	}
	l, err := platform.ParseList(line)
	if err != nil {
		return err
	}
	w.take(l, from)
	return nil
}

func (w *Watcher) take(l platform.List, from string) {
	w.generation = l.Generation
	w.mu.Lock()
	if w.heldBy = from; l.Whole || w.held.Whole {
		w.held.Merge(l)
	}
	w.mu.Unlock()
	kind := yw.FleetDelta
	if l.Whole {
		kind = yw.FleetFull
	}
	w.tell(yw.FleetChanged{Kind: kind, Servers: l.Servers}, l.Addresses)
	if !w.told {
		w.told = true
		close(w.heard)
	}
	w.log.Printf("level=info event=fleet generation=%d whole=%t entries=%d", l.Generation, l.Whole, len(l.Servers))
}
