package platform

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"strconv"
	"strings"
	"unicode/utf8"

	sq "saffronquay"
)

// Limits of a worker's frames. A value must fit into the response to a client.
const (
	lengthBytes   = 4 // size of the length field before a frame
	maxAnswerLine = 1 << 10
	maxFrame      = 1 + maxAnswerLine + http1.MaxBodyBytes
	maxCancelled  = 256 // cancelled attempts that a session keeps by name
)

// Workers is the protocol towards workers, with many concurrent calls on one connection.
type Workers struct {
	PerConn int // concurrent calls per connection
}

// Streams returns the maximum number of concurrent calls on one connection.
func (w Workers) Streams() int { return w.PerConn }

// NewSession returns the state of a new connection to a worker. This protocol does not use the
// address.
func (Workers) NewSession(string) core.Session {
	return &session{names: map[core.AttemptID]string{}, attempts: map[string]core.AttemptID{}, cancelled: map[string]int{}}
}

// session maps the names used on one connection to the attempts in flight.
type session struct {
	buf         []byte // received bytes of an incomplete frame
	names       map[core.AttemptID]string
	attempts    map[string]core.AttemptID
	cancelled   map[string]int // number of cancelled attempts by name that may still be answered; the oldest are removed
	cancelOrder []string       // names in cancelled, oldest first
}

// Call appends the frame of a call that is sent at now, in microseconds.
func (s *session) Call(dst []byte, c core.Call, now int64) []byte {
	body := []byte{'R'}
	for _, a := range c.Attempts {
		name := a.Label + "." + strconv.Itoa(a.Shard)
		// A part may be sent to the same worker again after its earlier attempt was cancelled. An
		// answer with that name is then attributed to the newer attempt: both have the same text,
		// and a class whose queries must not run twice is never retried here.
		s.names[a.ID], s.attempts[name] = name, a.ID
		ms := max(1, (a.Due-now)/1000)
		body = fmt.Appendf(body, "%s %d d=%d %d\n", name, a.Shard, ms, len(a.Text))
		body = append(body, a.Text...)
	}
	return appendFrame(dst, body)
}

func appendFrame(dst, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(body))), body...)
}

// Cancel appends the frame that cancels an attempt. It returns true because the connection is
// shared and stays open.
func (s *session) Cancel(dst []byte, id core.AttemptID) ([]byte, bool) {
	name, ok := s.names[id]
	if !ok {
		return dst, true
	}
	s.forget(id)
	if len(s.cancelOrder) == maxCancelled {
		s.forgetCancelled(s.cancelOrder[0])
	}
	s.cancelled[name]++
	s.cancelOrder = append(s.cancelOrder, name)
	return appendFrame(dst, append([]byte{'A'}, name...)), true
}

// Unsent removes an attempt whose frame was never sent.
func (s *session) Unsent(id core.AttemptID) { s.forget(id) }

// forgetCancelled removes one cancelled attempt of a name, if there is one.
func (s *session) forgetCancelled(name string) {
	if s.cancelled[name] == 0 {
		return
	}
	if s.cancelled[name]--; s.cancelled[name] == 0 {
		delete(s.cancelled, name)
	}
	for i, o := range s.cancelOrder {
		if o == name {
			s.cancelOrder = append(s.cancelOrder[:i:i], s.cancelOrder[i+1:]...)
			break
		}
	}
}

func (s *session) forget(id core.AttemptID) {
	if name := s.names[id]; s.attempts[name] == id {
		delete(s.attempts, name)
	}
	delete(s.names, id)
}

// outcomes maps the status in an answer line to the outcome of the attempt.
var outcomes = map[string]sq.Outcome{"OK": sq.Served, "ERROR": sq.Errored, "REJECTED": sq.Rejected}

// Partial reports whether the buffer contains bytes of an incomplete answer.
func (s *session) Partial() bool { return len(s.buf) > 0 }

// Feed processes received bytes and returns the replies that they complete. Limits are checked as
// early as possible, so that the session never buffers the declared size of a corrupt answer or an
// answer without end. Replies that precede an error are returned with it. After an error the
// connection must be closed.
func (s *session) Feed(received []byte) ([]core.Reply, error) {
	s.buf = append(s.buf, received...)
	var replies []core.Reply
	for {
		frame, ok, err := s.nextFrame()
		if err != nil {
			return replies, err
		}
		if !ok {
			break
		}
		reply, known, err := s.parseAnswer(frame)
		if err != nil {
			if known {
				s.forget(reply.Attempt)
				replies = append(replies, core.Reply{Attempt: reply.Attempt, Outcome: sq.Errored})
			}
			return replies, err
		}
		if !frame.complete {
			break
		}
		if known {
			s.forget(reply.Attempt)
			reply.Value = bytes.Clone(frame.value)
			replies = append(replies, reply)
		} else {
			name, _, _ := strings.Cut(string(frame.line), " ")
			s.forgetCancelled(name)
		}
		s.buf = s.buf[frame.size:]
	}
	if len(s.buf) == 0 {
		s.buf = nil // an idle connection needs no buffer
	} else if len(s.attempts) == 0 && len(s.cancelled) == 0 {
		return replies, fmt.Errorf("received %d unsolicited bytes with no answer outstanding", len(s.buf))
	}
	return replies, nil
}

// answerFrame is the frame at the start of a session's buffer, once its line has arrived. Its
// slices alias the buffer.
type answerFrame struct {
	line     []byte
	value    []byte // received part of the value
	complete bool   // the value is complete
	size     int64  // of the complete frame including its length field, in bytes
}

// nextFrame reads the frame at the start of the buffer. ok is false while its line is incomplete.
func (s *session) nextFrame() (frame answerFrame, ok bool, err error) {
	if len(s.buf) < lengthBytes {
		return frame, false, nil
	}
	n := int64(binary.BigEndian.Uint32(s.buf))
	if n < 1 || n > maxFrame {
		return frame, false, fmt.Errorf("invalid frame length of %d bytes", n)
	}
	if len(s.buf) == lengthBytes {
		return frame, false, nil
	}
	frame.size = lengthBytes + n
	body := s.buf[lengthBytes:min(int64(len(s.buf)), frame.size)]
	switch body[0] {
	case 'Y':
	case 'N':
		return frame, false, fmt.Errorf("worker rejected a frame: %q", body[1:min(len(body), 100)])
	default:
		return frame, false, fmt.Errorf("unknown frame type %q", body[0])
	}
	frame.complete = int64(len(body)) == n
	frame.line, frame.value, ok = bytes.Cut(body[1:], []byte{'\n'})
	if len(frame.line) > maxAnswerLine || frame.complete && !ok {
		return frame, false, fmt.Errorf("answer line of %d bytes is not terminated or too long", len(frame.line))
	}
	return frame, ok, nil
}

// parseAnswer parses a frame's line and validates the value of a complete frame. Its results are
// those of parseAnswerLine.
func (s *session) parseAnswer(frame answerFrame) (reply core.Reply, known bool, err error) {
	reply, known, err = s.parseAnswerLine(frame.line)
	if err == nil && frame.complete && reply.Outcome == sq.Served && !utf8.Valid(frame.value) {
		err = errors.New("answer value is not valid UTF-8") // JSON encoding would replace the invalid bytes
	}
	return reply, known, err
}

// Closed handles the closing of the connection by the worker, which completes no answer in this
// protocol.
func (s *session) Closed() []core.Reply { return nil }

// parseAnswerLine parses an answer's line. known reports whether its attempt is in flight, also if
// there is an error. A name that was never sent here or has already been answered is an error; a
// late answer to a cancelled attempt is not.
func (s *session) parseAnswerLine(line []byte) (r core.Reply, known bool, err error) {
	f := strings.SplitN(string(line), " ", 4) // a malformed report may contain spaces
	r.Attempt, known = s.attempts[f[0]]
	if !known && s.cancelled[f[0]] == 0 {
		return r, false, fmt.Errorf("answer for attempt %.40q, which is not in flight", f[0])
	}
	if len(f) != 4 {
		return r, known, fmt.Errorf("malformed answer line %.100q", line)
	}
	var ok bool
	if r.Outcome, ok = outcomes[f[1]]; !ok {
		return r, known, fmt.Errorf("unknown outcome %.40q in an answer line", f[1])
	}
	r.Report = parseReport(f[3])
	return r, known, nil
}
