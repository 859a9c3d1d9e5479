package transport

import (
	"saffronquay/internal/broker/core"
	"slices"
	"sync"
)

// frame is bytes that are written at once, and the call that they carry, if any.
type frame struct {
	bytes  []byte
	call   core.Call
	number int64 // of the write, on its connection
}

// outbox is the queue of writes of one connection, in order. A frame that its writer has not taken yet can be taken back; it waits
// here as long as the far end does not read. Safe for concurrent use.
type outbox struct {
	limit int
	added chan struct{} // has a token after each put

	mu     sync.Mutex
	frames []*frame
}

func newOutbox(most int) *outbox { return &outbox{limit: most, added: make(chan struct{}, 1)} }

// put adds a frame; false where the queue is full.
func (o *outbox) put(f *frame) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) >= o.limit {
		return false
	}
	o.frames = append(o.frames, f)
	select {
	case o.added <- struct{}{}:
	default:
	}
	return true
}

// next removes and returns the next frame. It waits for one; nil once stop is closed.
func (o *outbox) next(stop <-chan struct{}) *frame {
	for {
		if f := o.take(); f != nil {
			return f
		}
		select {
		case <-o.added:
		case <-stop:
			return nil
		}
	}
}

func (o *outbox) take() *frame {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) == 0 {
		return nil
	}
	f := o.frames[0]
	o.frames[0] = nil
	if o.frames = o.frames[1:]; len(o.frames) == 0 {
		o.frames = nil
	}
	return f
}

// amend changes a frame that still waits, and removes it where change leaves no bytes. It returns false where the writer has taken it.
func (o *outbox) amend(f *frame, change func()) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	i := slices.Index(o.frames, f)
	if i < 0 {
		return false
	}
	if change(); len(f.bytes) == 0 {
		o.frames = slices.Delete(o.frames, i, i+1)
	}
	return true
}
