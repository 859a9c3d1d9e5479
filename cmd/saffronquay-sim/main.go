// Command saffronquay-sim hosts instances of the decision module behind the simulator's line
// protocol: it reads batches of events from standard input and writes one reply for each batch to
// standard output. It makes no decisions itself, runs on one goroutine and exits at the end of the
// input. Malformed input ends it with exit code 1 and one message that names the line.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"saffronquay/internal/broker/simwire"

	sq "saffronquay"
)

// readBufferBytes is the size of the input buffer. It does not limit the length of a line.
const readBufferBytes = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "saffronquay-sim:", err)
		os.Exit(1)
	}
}

// instance is one aggregator of the simulated fleet.
type instance struct {
	scheduler *sq.Scheduler
	events    []sq.Event
	active    bool
}

// host holds the state that is kept between lines.
type host struct {
	out       io.Writer
	instances map[string]*instance
	lists     map[int][]sq.Server // declared server lists by slot
	inBatch   bool
	now       int64
	serial    int64
	active    []string // instances with an event in this batch, in the order of their first one
}

// run replies to batches until the end of the input. An input that ends within a batch is an error.
func run(in io.Reader, out io.Writer) error {
	h := &host{out: out, instances: map[string]*instance{}, lists: map[int][]sq.Server{}}
	r := bufio.NewReaderSize(in, readBufferBytes)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: read: %w", n, err)
		}
		if len(line) > 0 {
			if err := h.handleLine(line); err != nil {
				return fmt.Errorf("line %d: %w", n, err)
			}
		}
		if err != nil {
			if h.inBatch {
				return fmt.Errorf("line %d: unexpected end of input within a batch", n)
			}
			return nil
		}
	}
}

// handleLine processes one line. At the end of a batch it writes the reply.
func (h *host) handleLine(line []byte) error {
	m, err := simwire.Decode(line)
	if err != nil {
		return err
	}
	if h.inBatch == (m.Kind == simwire.BatchStart) {
		return errors.New("unexpected event outside of a batch, or start of a batch within a batch")
	}
	switch m.Kind {
	case simwire.BatchStart:
		h.inBatch, h.now, h.serial = true, m.Now, m.Serial
	case simwire.BatchEnd:
		h.inBatch = false
		return h.reply()
	case simwire.ListDeclared:
		h.lists[m.Slot] = m.Members
	case simwire.Open:
		s, err := sq.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("OpenInstance: setup: %w", err)
		}
		h.instances[m.Instance] = &instance{scheduler: s}
		h.markActive(m.Instance)
	default:
		return h.handleEvent(m)
	}
	return nil
}

// handleEvent queues an event for the end of the batch, or removes a killed instance.
func (h *host) handleEvent(m simwire.Message) error {
	if h.instances[m.Instance] == nil {
		return fmt.Errorf("unknown instance %q: never opened, or killed", m.Instance)
	}
	if m.Kind == simwire.InstanceKilled {
		delete(h.instances, m.Instance)
		return nil
	}
	if m.UsesList {
		list, ok := h.lists[m.Slot]
		if !ok {
			return fmt.Errorf("unknown list %d: never declared", m.Slot)
		}
		change, ok := m.Event.(sq.FleetChanged)
		if !ok {
			return fmt.Errorf("list %d referenced by an event of type %T: want sq.FleetChanged", m.Slot, m.Event)
		}
		change.Servers = list
		m.Event = change
	}
	in := h.markActive(m.Instance)
	if m.Event != nil {
		in.events = append(in.events, m.Event)
	}
	return nil
}

// markActive schedules an instance to step at the end of the batch, after those marked before it.
func (h *host) markActive(who string) *instance {
	in := h.instances[who]
	if !in.active {
		in.active = true
		h.active = append(h.active, who)
	}
	return in
}

// reply steps the active instances and writes their actions and the acknowledgement in one Write.
func (h *host) reply() error {
	var buf []byte
	var err error
	for _, who := range h.active {
		in := h.instances[who]
		if in == nil || !in.active {
			continue
		}
		for _, a := range in.scheduler.Step(h.now, in.events) {
			if buf, err = simwire.Encode(buf, who, a); err != nil {
				return err
			}
		}
		in.events, in.active = nil, false
	}
	h.active = h.active[:0]
	if buf, err = simwire.EncodeAck(buf, h.serial); err != nil {
		return err
	}
	if _, err := h.out.Write(buf); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}
