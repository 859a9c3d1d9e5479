package proxy

import "bytes"

// eventCutter passes on whole events only, so that a stream can be taken up again behind the last one that the client has.
type eventBuffer struct {
	buffer   []byte
	complete int // bytes of buffer that are whole events
	lastID   string
	hasID    bool
}

func (c *eventBuffer) write(b []byte) {
	c.buffer = append(c.buffer, b...)
	for {
		end := bytes.Index(c.buffer[c.complete:], []byte("\n\n"))
		if end < 0 {
			return
		}
		c.recordID(c.buffer[c.complete : c.complete+end])
		c.complete += end + 2
	}
}

// note remembers the id of an event.
func (c *eventBuffer) recordID(event []byte) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastID, c.hasID = string(bytes.TrimSpace(id)), true
		}
	}
}

// take moves whole events to b.
func (c *eventBuffer) readComplete(b []byte) int {
	n := copy(b, c.buffer[:c.complete])
	c.buffer = c.buffer[n:]
	c.complete -= n
	return n
}

// rest moves what stands behind the last whole event to b, once the stream has ended whole.
func (c *eventBuffer) readRemainder(b []byte) int {
	n := copy(b, c.buffer)
	c.buffer = c.buffer[n:]
	return n
}

// drop forgets an event that has broken off.
func (c *eventBuffer) discardPartial() { c.buffer = c.buffer[:c.complete] }
