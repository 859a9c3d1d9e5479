package worker

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Event is one event of a stream, in the format of server-sent events.
type Event struct {
	ID            int64  // -1: none
	Data          []byte // data lines, joined by newlines; nil: none
	WeightVersion uint64 // weight version from this event on; 0: unchanged
}

// EventReader reads the events of a body. It is not safe for concurrent use.
type EventReader struct {
	reader *bufio.Reader
}

// ErrMalformedEvent means that a field of an event could not be parsed.
var ErrMalformedEvent = errors.New("worker: malformed event")

// NewEventReader returns a reader of the events of a body. It may read ahead.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{bufio.NewReaderSize(body, readBufferSize)}
}

// Next returns the next event. It returns io.EOF if the stream ended after a complete event,
// io.ErrUnexpectedEOF if it ended within one, and an error that wraps ErrMalformedEvent if an id or
// a version is not a number.
func (r *EventReader) Next() (Event, error) {
	event := Event{ID: -1}
	begun := false
	for {
		line, err := r.reader.ReadBytes('\n')
		if err != nil {
			if errors.Is(err, io.EOF) && (begun || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if begun {
				return event, nil
			}
			continue
		}
		begun = true
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		if err := event.setField(string(name), value); err != nil {
			return Event{}, err
		}
	}
}

// setField adds a line to the event. Unknown fields are ignored, and so are comments, whose name is
// empty.
func (e *Event) setField(name string, value []byte) (err error) {
	switch name {
	case "id":
		e.ID, err = strconv.ParseInt(string(value), 10, 64)
	case "data":
		if e.Data != nil {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		if e.Data == nil {
			e.Data = []byte{}
		}
	case "weight-versions":
		e.WeightVersion, err = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	}
	if err != nil {
		return fmt.Errorf("%w: %w", ErrMalformedEvent, err)
	}
	return nil
}
