package proxy

import "bytes"

// eventBuffer splits a stream into complete events, so that the stream can be resumed after the
// last event that was passed on.
type eventBuffer struct {
	buffer   []byte
	complete int    // length in bytes of the complete events at the start of buffer
	lastID   string // id of the last complete event that has one
	hasID    bool   // a complete event had an id
}

// write appends bytes of the stream.
func (c *eventBuffer) write(b []byte) {
	c.buffer = append(c.buffer, b...)
	for {
		end := bytes.Index(c.buffer[c.complete:], eventEnd)
		if end < 0 {
			return
		}
		c.recordID(c.buffer[c.complete : c.complete+end])
		c.complete += end + len(eventEnd)
	}
}

// eventEnd is the empty line that terminates an event.
var eventEnd = []byte("\n\n")

// recordID stores the id of an event if it has one.
func (c *eventBuffer) recordID(event []byte) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastID, c.hasID = string(bytes.TrimSpace(id)), true
		}
	}
}

// readComplete moves bytes of complete events to b and returns their number.
func (c *eventBuffer) readComplete(b []byte) int {
	n := copy(b, c.buffer[:c.complete])
	c.buffer = c.buffer[n:]
	c.complete -= n
	return n
}

// readRemainder moves buffered bytes to b and returns their number, including those after the last
// complete event. It is used at the end of a complete stream.
func (c *eventBuffer) readRemainder(b []byte) int {
	n := copy(b, c.buffer)
	c.buffer = c.buffer[n:]
	return n
}

// hasPartial reports whether bytes follow the last complete event.
func (c *eventBuffer) hasPartial() bool { return len(c.buffer) > c.complete }

// discardPartial discards the incomplete event at the end of the buffer.
func (c *eventBuffer) discardPartial() { c.buffer = c.buffer[:c.complete] }
