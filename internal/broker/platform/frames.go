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

// The bounds of a worker's frames. A value has to fit into an answer to a client.
const (
	lengthBytes   = 4 // of the length field before a frame
	maxAnswerLine = 1 << 10
	maxFrame      = 1 + maxAnswerLine + http1.MaxBody
	maxCancelled  = 256 // names of cancelled attempts that a session remembers
)

// Workers is the protocol towards workers: many concurrent calls on one connection.
type Workers struct {
	PerConn int // calls that one connection carries concurrently
}

// Streams returns how many calls one connection carries concurrently.
func (w Workers) Streams() int { return w.PerConn }

// NewSession returns the state of a new connection to a worker. The address does not matter in this protocol.
func (Workers) NewSession(string) core.Session {
	return &session{names: map[core.AttemptID]string{}, attempts: map[string]core.AttemptID{}, cancelled: map[string]int{}}
}

// session maps the names on one connection to the attempts that are in flight there.
type session struct {
	buf         []byte // received, not yet a complete frame
	names       map[core.AttemptID]string
	attempts    map[string]core.AttemptID
	cancelled   map[string]int // attempts by name that may still be answered; the oldest are forgotten
	cancelOrder []string       // the names in cancelled, oldest first
}

// Call appends the frame of a call that is sent at now, in microseconds.
func (s *session) Call(dst []byte, c core.Call, now int64) []byte {
	body := []byte{'R'}
	for _, a := range c.Attempts {
		name := a.Label + "." + strconv.Itoa(a.Shard)
		// A part may be sent to the same worker again after its earlier attempt was cancelled. An answer under
		// the name then counts for the newer attempt: both carry the same text, and a class that must not
		// run twice never retries here.
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

// Cancel appends the frame that cancels an attempt, and returns true: the connection is shared and stays open.
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

// Unsent forgets an attempt whose frame was never sent.
func (s *session) Unsent(id core.AttemptID) { s.forget(id) }

// forgetCancelled forgets one cancelled attempt of a name, if there is one.
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

// outcomes maps the status of an answer line to the outcome of the attempt.
var outcomes = map[string]sq.Outcome{"OK": sq.Served, "ERROR": sq.Errored, "REJECTED": sq.Rejected}

// Partial reports whether the buffer has bytes of an incomplete answer.
func (s *session) Partial() bool { return len(s.buf) > 0 }

// Feed takes received bytes and returns the replies that they complete. A bound is checked as soon as the bytes that show it are there, so
// that the session never buffers what a corrupt answer declares or never ends. Replies that precede an error are returned with it; after an
// error the connection must be closed.
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
		s.buf = nil // an idle connection keeps no buffer
	} else if len(s.attempts) == 0 && len(s.cancelled) == 0 {
		return replies, fmt.Errorf("%d unsolicited bytes", len(s.buf))
	}
	return replies, nil
}

// answerFrame is the frame at the start of a session's buffer, whose line has arrived. Its slices are parts of the
// buffer.
type answerFrame struct {
	line     []byte
	value    []byte // what has arrived of it
	complete bool   // all of the value has arrived
	size     int64  // of the complete frame with its length field, in bytes
}

// nextFrame reads the frame at the start of the buffer; ok is false while its line is incomplete.
func (s *session) nextFrame() (frame answerFrame, ok bool, err error) {
	if len(s.buf) < lengthBytes {
		return frame, false, nil
	}
	n := int64(binary.BigEndian.Uint32(s.buf))
	if n < 1 || n > maxFrame {
		return frame, false, fmt.Errorf("frame of %d bytes", n)
	}
	if len(s.buf) == lengthBytes {
		return frame, false, nil
	}
	frame.size = lengthBytes + n
	body := s.buf[lengthBytes:min(int64(len(s.buf)), frame.size)]
	switch body[0] {
	case 'Y':
	case 'N':
		return frame, false, fmt.Errorf("the worker could not use a frame: %q", body[1:min(len(body), 100)])
	default:
		return frame, false, fmt.Errorf("unknown frame %q", body[0])
	}
	frame.complete = int64(len(body)) == n
	frame.line, frame.value, ok = bytes.Cut(body[1:], []byte{'\n'})
	if len(frame.line) > maxAnswerLine || frame.complete && !ok {
		return frame, false, fmt.Errorf("answer line of %d bytes without an end", len(frame.line))
	}
	return frame, ok, nil
}

// parseAnswer reads a frame's line, and checks the value of a complete frame. It has the results of parseAnswerLine.
func (s *session) parseAnswer(frame answerFrame) (reply core.Reply, known bool, err error) {
	reply, known, err = s.parseAnswerLine(frame.line)
	if err == nil && frame.complete && reply.Outcome == sq.Served && !utf8.Valid(frame.value) {
		err = errors.New("a value that is not UTF-8") // JSON would replace its invalid bytes
	}
	return reply, known, err
}

// Closed handles the end of the connection by the worker, which completes no answer in this protocol.
func (s *session) Closed() []core.Reply { return nil }

// parseAnswerLine reads an answer's line. known is true if its attempt is in flight, also beside an error. A name that was never sent
// here or has been answered is an error; a late answer of a cancelled attempt is not.
func (s *session) parseAnswerLine(line []byte) (r core.Reply, known bool, err error) {
	f := strings.SplitN(string(line), " ", 4) // a malformed report may contain spaces
	r.Attempt, known = s.attempts[f[0]]
	if !known && s.cancelled[f[0]] == 0 {
		return r, false, fmt.Errorf("answer for %.40q, which is not in flight", f[0])
	}
	if len(f) != 4 {
		return r, known, fmt.Errorf("answer line %.100q", line)
	}
	var ok bool
	if r.Outcome, ok = outcomes[f[1]]; !ok {
		return r, known, fmt.Errorf("answer with unknown outcome %.40q", f[1])
	}
	r.Report = parseReport(f[3])
	return r, known, nil
}
