package transport

import (
	"bytes"
	"fmt"
	"log"
	"net"
	"time"

	yw "yarrowwalk"
	"yarrowwalk/internal/http1"
	"yarrowwalk/internal/platform"
)

// Watcher follows discovery: it keeps a watch open and begins again from the last version it saw.
type Watcher struct {
	address    string
	generation int64
	asked      bool // failures are told: the module asked for the watch
	tell       func(yw.FleetChanged, map[yw.ServerID]string)
	log        *log.Logger
	stop       chan struct{}
	begin      chan struct{}
	done       chan struct{}
}

const (
	heartbeat     = 2 * time.Second // an empty line comes so often
	watchSilence  = 5 * time.Second // then the watch is taken for broken
	watchPauseMin = 100 * time.Millisecond
	watchPauseMax = 2 * time.Second
	maxLine       = 1 << 20 // of one object of a watch
)

// NewWatcher makes a watcher of the list from a version on; Run runs it. With asked, it begins only at
// Begin, and tells of failures instead of beginning again by itself.
func NewWatcher(address string, generation int64, asked bool, tell func(yw.FleetChanged, map[yw.ServerID]string),
	logger *log.Logger) *Watcher {
	return &Watcher{address: address, generation: generation, asked: asked, tell: tell, log: logger,
		stop: make(chan struct{}), done: make(chan struct{}), begin: make(chan struct{}, 1)}
}

// Begin asks for the watch, where it waits to be asked.
func (w *Watcher) Begin() {
	select {
	case w.begin <- struct{}{}:
	default:
	}
}

// Run follows discovery until Stop.
func (w *Watcher) Run() {
	defer close(w.done)
	pause := watchPauseMin
	for {
		if w.asked {
			select {
			case <-w.begin:
			case <-w.stop:
				return
			}
		}
		heard, err := w.watch()
		select {
		case <-w.stop:
			return
		default:
		}
		w.log.Printf("level=warn event=watch_ended generation=%d error=%q", w.generation, err)
		if w.asked {
			w.tell(yw.FleetChanged{Kind: yw.FleetFailed}, nil)
			continue
		}
		if heard {
			pause = watchPauseMin
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
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

// watch holds one watch open until it ends or falls silent; heard tells that something came.
func (w *Watcher) watch() (heard bool, err error) {
	conn, err := net.DialTimeout("tcp", w.address, heartbeat)
	if err != nil {
		return false, fmt.Errorf("connect: %w", err)
	}
	done := make(chan struct{})
	defer close(done)
	defer conn.Close()
	go func() {
		select {
		case <-w.stop:
			conn.Close()
		case <-done:
		}
	}()
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	target := fmt.Sprintf("/catalog/members?watch=1&from=%d", w.generation)
	if _, err := conn.Write(http1.AppendRequest(nil, "GET", target, w.address, nil, nil)); err != nil {
		return false, fmt.Errorf("ask: %w", err)
	}
	var line []byte
	var fault error
	status := 0
	p := http1.Parser{Response: true}
	p.Headed = func(m *http1.Message) { status = m.Status }
	p.Stream = func(b []byte) {
		line = append(line, b...)
		for fault == nil {
			i := bytes.IndexByte(line, '\n')
			if i < 0 {
				break
			}
			fault = w.object(bytes.TrimSpace(line[:i]))
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

// object takes in one line of a watch; an empty one is a sign of life.
func (w *Watcher) object(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	l, err := platform.ParseList(line)
	if err != nil {
		return err
	}
	w.generation = l.Generation
	kind := yw.FleetDelta
	if l.Whole {
		kind = yw.FleetFull
	}
	w.tell(yw.FleetChanged{Kind: kind, Servers: l.Servers}, l.Addresses)
	w.log.Printf("level=info event=fleet generation=%d whole=%t entries=%d", l.Generation, l.Whole, len(l.Servers))
	return nil
}
