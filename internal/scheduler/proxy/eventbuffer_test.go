package proxy

import (
	"testing"

	"github.com/matryer/is"
)

// Only complete events are passed on, so that a stream can be resumed after the last one.
func TestEventBuffer(t *testing.T) {
	is := is.New(t)
	var c eventBuffer
	b := make([]byte, 64)
	c.write([]byte("id: 1\nda"))
	is.Equal(c.readComplete(b), 0)
	c.write([]byte("ta: x\n\nid: 2\ndata: bro"))
	n := c.readComplete(b)
	is.Equal(string(b[:n]), "id: 1\ndata: x\n\n")
	is.Equal(c.lastID, "1")
	c.discardPartial() // the worker failed; another one resumes after event 1
	c.write([]byte("id: 2\ndata: y\n\n"))
	n = c.readComplete(b)
	is.Equal(string(b[:n]), "id: 2\ndata: y\n\n")
	is.Equal(c.readRemainder(b), 0)
}
