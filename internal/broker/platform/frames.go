package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"strconv"
	"strings"
	"unicode/utf8"

	sq "saffronquay"
)

// The bounds of what a worker sends. A value has to fit into an answer to a client.
const (
	maxAnswerLine = 1 << 10
	maxFrame      = 1 + maxAnswerLine + http1.MaxBody
	mostDropped   = 256 // names remembered of attempts that were given up, on one connection
)

// Workers is the platform's dialect towards workers: many calls at a time on one connection.
type Workers struct{ PerConn int }

// Streams is how many calls one connection carries at a time.
func (w Workers) Streams() int { return w.PerConn }

// Session begins a connection to a worker.
func (Workers) NewSession(string) core.Session {
	return &session{names: map[core.AttemptID]string{}, out: map[string]core.AttemptID{}, dropped: map[string]int{}}
}

// session holds the names under which attempts are out on one connection.
type session struct {
	buf     []byte
	names   map[core.AttemptID]string
	out     map[string]core.AttemptID
	dropped map[string]int // given up, and may still be answered; the oldest are forgotten
	order   []string       // of dropped
}

// Call writes a frame for a call that leaves at now.
func (s *session) Call(dst []byte, c core.Call, now int64) []byte {
	body := []byte{'R'}
	for _, a := range c.Attempts {
		name := a.Label + "." + strconv.Itoa(a.Shard)
		// A part may go to the same worker again once an earlier attempt was given up. What comes back under
		// the name then counts for the newer attempt: both carry the same text, and a class that must not
		// run twice never gets here.
		s.names[a.ID], s.out[name] = name, a.ID
		ms := max(1, (a.Due-now)/1000)
		body = fmt.Appendf(body, "%s %d d=%d %d\n", name, a.Shard, ms, len(a.Text))
		body = append(body, a.Text...)
	}
	return appendFrame(dst, body)
}

func appendFrame(dst, body []byte) []byte {
	return append(binary.BigEndian.AppendUint32(dst, uint32(len(body))), body...)
}

// Drop writes a frame that gives an attempt up; the connection is shared and stays.
func (s *session) Cancel(dst []byte, id core.AttemptID) ([]byte, bool) {
	name, ok := s.names[id]
	if !ok {
		return dst, true
	}
	s.forget(id)
	if len(s.order) == mostDropped {
		s.late(s.order[0])
	}
	s.dropped[name]++
	s.order = append(s.order, name)
	return appendFrame(dst, append([]byte{'A'}, name...)), true
}

// Unsent forgets an attempt whose frame never left.
func (s *session) Unsent(id core.AttemptID) { s.forget(id) }

// late forgets one dropped attempt of a name; ok is false where there was none.
func (s *session) late(name string) (ok bool) {
	if s.dropped[name] == 0 {
		return false
	}
	if s.dropped[name]--; s.dropped[name] == 0 {
		delete(s.dropped, name)
	}
	for i, o := range s.order {
		if o == name {
			s.order = append(s.order[:i:i], s.order[i+1:]...)
			break
		}
	}
	return true
}

func (s *session) forget(id core.AttemptID) {
	if name := s.names[id]; s.out[name] == id {
		delete(s.out, name)
	}
	delete(s.names, id)
}

var ends = map[string]sq.Outcome{"OK": sq.Served, "ERROR": sq.Errored, "REJECTED": sq.Rejected}

// Partial tells that bytes of an unfinished answer are held.
func (s *session) Partial() bool { return len(s.buf) > 0 }

// Feed takes in bytes from the worker and returns what they end. Each bound is judged as soon as the bytes
// that tell it are in: guards against buffering what a spoilt answer declares or never ends. What was good
// before the spoilt bytes is returned with the error.
func (s *session) Feed(b []byte) ([]core.Reply, error) {
	s.buf = append(s.buf, b...)
	var replies []core.Reply
	for len(s.buf) >= 4 {
		n := int64(binary.BigEndian.Uint32(s.buf))
		if n < 1 || n > maxFrame {
			return replies, fmt.Errorf("frame of %d bytes", n)
		}
		if len(s.buf) == 4 {
			break
		}
		body := s.buf[4:min(int64(len(s.buf)), 4+n)]
		switch body[0] {
		case 'Y':
		case 'N':
			return replies, fmt.Errorf("the worker could not use a frame: %q", body[1:min(len(body), 100)])
		default:
			return replies, fmt.Errorf("unknown frame %q", body[0])
		}
		whole := int64(len(body)) == n
		line, value, ended := bytes.Cut(body[1:], []byte{'\n'})
		if len(line) > maxAnswerLine || whole && !ended {
			return replies, fmt.Errorf("answer line of %d bytes without an end", len(line))
		}
		if !ended {
			break
		}
		r, known, err := s.head(line)
		if err == nil && whole && r.Outcome == sq.Served && !utf8.Valid(value) {
			err = fmt.Errorf("a value that no answer can carry") // it would be another one once it is in JSON
		}
		if err != nil {
			if known {
				s.forget(r.Attempt)
				replies = append(replies, core.Reply{Attempt: r.Attempt, Outcome: sq.Errored})
			}
			return replies, err
		}
		if !whole {
			break
		}
		if known {
			s.forget(r.Attempt)
			r.Value = bytes.Clone(value)
			replies = append(replies, r)
		} else {
			name, _, _ := strings.Cut(string(line), " ")
			s.late(name)
		}
		s.buf = s.buf[4+n:]
	}
	if len(s.buf) == 0 {
		s.buf = nil // an idle connection keeps no buffer
	} else if len(s.out) == 0 && len(s.dropped) == 0 {
		return replies, fmt.Errorf("%d bytes that nothing asked for", len(s.buf))
	}
	return replies, nil
}

// Closed says that the worker has ended the connection.
func (s *session) Closed() []core.Reply { return nil }

// head reads an answer's line. An answer for a name that was never sent here, or that has been answered, is
// spoilt; a late one for an attempt that was given up is not.
func (s *session) head(line []byte) (r core.Reply, known bool, err error) {
	f := strings.SplitN(string(line), " ", 4) // a report that can't be read may hold anything
	r.Attempt, known = s.out[f[0]]
	if !known && s.dropped[f[0]] == 0 {
		return r, false, fmt.Errorf("an answer for %.40q, which is not out", f[0])
	}
	if len(f) != 4 {
		return r, known, fmt.Errorf("answer line %.100q", line)
	}
	var ok bool
	if r.Outcome, ok = ends[f[1]]; !ok {
		return r, known, fmt.Errorf("answer with unknown end %.40q", f[1])
	}
	r.Report = report(f[3])
	return r, known, nil
}

// report reads a load report; figures that are not known are skipped. Workers name a figure as the settings do in
// telemetry.fields (backlog) or as the protocol page's example does (inflight); both count. One that can't be read as a
// whole, or holds no figure that is known, says nothing: guards against figures such as NaN, which would stay in every
// mean that they enter.
func report(text string) *sq.LoadReport {
	if text == "-" || text == "" {
		return nil
	}
	l, known := &sq.LoadReport{Queue: -1, InFlight: -1, Throughput: -1, Utilization: -1}, false
	for rest, more := text, true; more; {
		var pair string
		pair, rest, more = strings.Cut(rest, ",")
		key, figure, ok := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(figure, 64)
		if !ok || err != nil || math.IsNaN(v) || v < 0 || v > mostReported {
			return nil
		}
		switch key {
		case "backlog", "queue":
			l.Queue = v
		case "outstanding", "inflight":
			l.InFlight = v
		case "throughput", "qps":
			l.Throughput = v
		case "utilization", "util":
			l.Utilization = v
		default:
			continue
		}
		known = true
	}
	if !known {
		return nil
	}
	return l
}

// mostReported is more than any figure of a report can be.
const mostReported = 1e9
