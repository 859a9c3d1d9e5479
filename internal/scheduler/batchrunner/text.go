package batchrunner

import (
	"errors"
	"io"
	"saffronquay/internal/scheduler/routing"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/worker"
	"slices"
	"time"
)

// generatedText is the text that workers have generated for an item so far.
type generatedText struct {
	data           []byte // of all events, separated by newlines
	events         int
	lastID         int64    // of the last event
	versions       []uint64 // weight versions, in the order of their first event
	currentVersion uint64   // weight version of the next events
}

func newText() generatedText { return generatedText{lastID: -1} }

// reset discards the text, so that the next worker starts from the beginning.
func (t *generatedText) reset() { *t = newText() }

// acceptVersion reports whether a worker with the given weight version may continue the text, and
// makes it the current version if so. If the lease requires a single version and the worker has a
// different one, the text is reset.
func (t *generatedText) acceptVersion(lease *rpc.Lease, version uint64) bool {
	if version < lease.MinVersion {
		return false
	}
	if lease.SingleVersion && t.events > 0 && version != t.currentVersion {
		t.reset()
		return false
	}
	t.currentVersion = version
	return true
}

// append adds an event.
func (t *generatedText) append(id int64, data []byte) {
	if t.events > 0 {
		t.data = append(t.data, '\n')
	}
	t.data = append(t.data, data...)
	t.events++
	t.lastID = id
	if !slices.Contains(t.versions, t.currentVersion) {
		t.versions = append(t.versions, t.currentVersion)
	}
}

var (
	errVersionChanged = errors.New("batchrunner: weight version changed within a text")
	errEventOrder     = errors.New("batchrunner: event repeated or out of order")
)

// readEvents appends the events of an answer to the text. If it returns nil, the text is complete.
// Each event restarts the timeout. After errVersionChanged and errEventOrder the text is reset;
// after other errors another worker may continue it.
func (r *itemRun) readEvents(answer *worker.Answer, w *routing.Worker, timeout *time.Timer) error {
	events := worker.NewEventReader(answer)
	text := &r.text
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if text.events == 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		timeout.Reset(r.Timeouts.BetweenEvents)
		if event.WeightVersion != 0 && event.WeightVersion != text.currentVersion {
			r.Forwarder.Table.RecordVersion(w, r.lease.Model, event.WeightVersion)
			if r.lease.SingleVersion && text.events > 0 {
				text.reset()
				return errVersionChanged
			}
			text.currentVersion = event.WeightVersion
		}
		if text.events > 0 && event.ID >= 0 && event.ID <= text.lastID {
			text.reset()
			return errEventOrder
		}
		text.append(event.ID, event.Data)
	}
}
