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
	ID            int64  // -1: it has none
	Data          []byte // its data lines, joined by line ends; nil: it has none
	WeightVersion uint64 // the version of the weights from here on; 0: it stays as it is
}

// EventReader reads the events of a body. It belongs to one goroutine.
type EventReader struct {
	reader *bufio.Reader
}

// ErrMalformedEvent says that a field of an event could not be parsed.
var ErrMalformedEvent = errors.New("worker: not an event")

// NewEventReader returns a reader of a body, from which it may read ahead.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{bufio.NewReaderSize(body, readBufferSize)}
}

// Next returns the next event. It returns io.EOF where the stream has ended behind an event, io.ErrUnexpectedEOF where it breaks off within one, and
// an error that wraps ErrMalformedEvent for an id or a version that is no number.
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

// setField adds a line to the event. Unknown fields, and comments, whose name is empty, are ignored.
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
