package worker

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is one event of a stream.
type Event struct {
	ID            int64 // -1 where it names none
	Data          []byte
	WeightVersion uint64 // of the weights, where the event says that it has changed; else 0
}

// Events reads the events of an answer's body.
type EventReader struct {
	reader *bufio.Reader
}

// ErrEvent says that what came is no event.
var ErrMalformedEvent = errors.New("worker: not an event")

// NewEvents reads from a body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{bufio.NewReaderSize(body, readBuffer)}
}

// Next returns the next event; io.EOF where the stream has ended whole. An event that breaks off is not returned.
func (e *EventReader) Next() (Event, error) {
	event := Event{ID: -1}
	begun := false
	for {
		line, err := e.reader.ReadBytes('\n')
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
		if err := event.set(string(name), value); err != nil {
			return Event{}, err
		}
	}
}

func (e *Event) set(name string, value []byte) (err error) {
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
		return errors.Join(ErrMalformedEvent, err)
	}
	return nil
}
