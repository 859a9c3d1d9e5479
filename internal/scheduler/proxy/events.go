package proxy

import "bytes"

// eventCutter passes on whole events only, so that a stream can be taken up again behind the last one that the client has.
type eventCutter struct {
	buffer []byte
	whole  int // bytes of buffer that are whole events
	lastID string
	seen   bool
}

func (c *eventCutter) add(b []byte) {
	c.buffer = append(c.buffer, b...)
	for {
		end := bytes.Index(c.buffer[c.whole:], []byte("\n\n"))
		if end < 0 {
			return
		}
		c.note(c.buffer[c.whole : c.whole+end])
		c.whole += end + 2
	}
}

// note remembers the id of an event.
func (c *eventCutter) note(event []byte) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			c.lastID, c.seen = string(bytes.TrimSpace(id)), true
		}
	}
}

// take moves whole events to b.
func (c *eventCutter) take(b []byte) int {
	n := copy(b, c.buffer[:c.whole])
	c.buffer = c.buffer[n:]
	c.whole -= n
	return n
}

// rest moves what stands behind the last whole event to b, once the stream has ended whole.
func (c *eventCutter) rest(b []byte) int {
	n := copy(b, c.buffer)
	c.buffer = c.buffer[n:]
	return n
}

// drop forgets an event that has broken off.
func (c *eventCutter) drop() { c.buffer = c.buffer[:c.whole] }
