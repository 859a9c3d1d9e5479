package transport

import (
	"saffronquay/internal/broker/core"
	"slices"
	"sync"
)

// frame is the bytes of one write and the call that they carry, if any.
type frame struct {
	bytes  []byte
	call   core.Call
	number int64 // sequence number of the write on its connection
}

// outbox is the queue of one connection's writes, in order. A frame that the writer has not taken
// yet can be changed or removed; frames stay queued while the far end does not read. It is safe for
// concurrent use.
type outbox struct {
	limit int
	added chan struct{} // receives a token after each put

	mu     sync.Mutex
	frames []*frame
}

func newOutbox(limit int) *outbox { return &outbox{limit: limit, added: make(chan struct{}, 1)} }

// put adds a frame. It returns false if the queue is full.
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

// next removes and returns the next frame. It blocks until there is one, and returns nil once stop
// is closed.
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

// amend changes a frame that is still queued, and removes it if the change leaves no bytes. It
// returns false if the writer has already taken the frame.
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
