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
type generatedText struct {
	data           []byte
	events         int
	lastID         int64
	versions       []uint64
	currentVersion uint64
}

func (t *generatedText) reset() { *t = generatedText{lastID: -1} }

// fits tells whether a text may go on under a version of the weights, and notes it. A text of one version begins anew under a later one.
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

var (
	errVersionChanged = errors.New("batch: the version of the weights changed within a text")
	errEventOrder     = errors.New("batch: an event is missing or stands twice")
)

// read adds an answer's events to the text; no error says that the text is whole.
func (r *Runner) readEvents(answer *worker.Answer, lease *rpc.Lease, w *routing.Worker, generated *generatedText, silence *time.Timer) error {
	events := worker.NewEventReader(answer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			if generated.events == 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
		silence.Reset(r.Timeouts.BetweenEvents)
		if event.WeightVersion != 0 && event.WeightVersion != generated.currentVersion {
			r.Forwarder.Table.RecordVersion(w, lease.Model, event.WeightVersion)
			if lease.SingleVersion && generated.events > 0 {
				generated.reset()
				return errVersionChanged
			}
			generated.currentVersion = event.WeightVersion
		}
		if generated.events > 0 && event.ID >= 0 && event.ID <= generated.lastID {
			generated.reset()
			return errEventOrder
		}
		if generated.events > 0 {
			generated.data = append(generated.data, '\n')
		}
		generated.data = append(generated.data, event.Data...)
		generated.events++
		generated.lastID = event.ID
		if !slices.Contains(generated.versions, generated.currentVersion) {
			generated.versions = append(generated.versions, generated.currentVersion)
		}
	}
}
