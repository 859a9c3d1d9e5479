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

// text is what has been made of an item so far.
type text struct {
	data     []byte
	events   int
	lastID   int64
	versions []uint64
	current  uint64
}

func (t *text) reset() { *t = text{lastID: -1} }

// fits tells whether a text may go on under a version of the weights, and notes it. A text of one version begins anew under a later one.
func (t *text) fits(lease *rpc.Lease, version uint64) bool {
	if version < lease.MinVersion {
		return false
	}
	if lease.SingleVersion && t.events > 0 && version != t.current {
		t.reset()
		return false
	}
	t.current = version
	return true
}

var (
	errVersion = errors.New("batch: the version of the weights changed within a text")
	errOrder   = errors.New("batch: an event is missing or stands twice")
)

// read adds an answer's events to the text; no error says that the text is whole.
func (r *Runner) read(answer *worker.Answer, lease *rpc.Lease, w *routing.Worker, made *text, silence *time.Timer) error {
	events := worker.NewEventReader(answer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if made.events == 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		silence.Reset(r.Patience.Between)
		if event.WeightVersion != 0 && event.WeightVersion != made.current {
			r.Forwarder.Table.RecordVersion(w, lease.Model, event.WeightVersion)
			if lease.SingleVersion && made.events > 0 {
				made.reset()
				return errVersion
			}
			made.current = event.WeightVersion
		}
		if made.events > 0 && event.ID >= 0 && event.ID <= made.lastID {
			made.reset()
			return errOrder
		}
		if made.events > 0 {
			made.data = append(made.data, '\n')
		}
		made.data = append(made.data, event.Data...)
		made.events++
		made.lastID = event.ID
		if !slices.Contains(made.versions, made.current) {
			made.versions = append(made.versions, made.current)
		}
	}
}
