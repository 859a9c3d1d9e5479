package platform

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	yw "yarrowwalk"
	"yarrowwalk/internal/broker"
)

// maxFrame bounds what one frame of a worker's may hold.
const maxFrame = 1 << 20

// Workers is the platform's dialect towards workers: many calls at a time on one connection.
type Workers struct{ PerConn int }

// Streams is how many calls one connection carries at a time.
func (w Workers) Streams() int { return w.PerConn }

// Session begins a connection to a worker.
func (Workers) Session(string) broker.Session {
	return &session{names: map[broker.AttemptID]string{}, out: map[string]broker.AttemptID{}}
}

// session holds the names under which attempts are out on one connection.
type session struct {
	buf   []byte
	names map[broker.AttemptID]string
	out   map[string]broker.AttemptID
}

// Call writes a frame for a call that leaves at now.
func (s *session) Call(dst []byte, c broker.Call, now int64) []byte {
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
func (s *session) Drop(dst []byte, id broker.AttemptID) ([]byte, bool) {
	name, ok := s.names[id]
	if !ok {
		return dst, true
	}
	s.forget(id)
	return appendFrame(dst, append([]byte{'A'}, name...)), true
}

func (s *session) forget(id broker.AttemptID) {
	if name := s.names[id]; s.out[name] == id {
		delete(s.out, name)
	}
	delete(s.names, id)
}

var ends = map[string]yw.Outcome{"OK": yw.Served, "ERROR": yw.Errored, "REJECTED": yw.Rejected}

// Feed takes in bytes from the worker and returns what they end.
func (s *session) Feed(b []byte) ([]broker.Reply, error) {
	s.buf = append(s.buf, b...)
	var replies []broker.Reply
	for len(s.buf) >= 4 {
		n := int(binary.BigEndian.Uint32(s.buf))
		if n < 1 || n > maxFrame {
			return replies, fmt.Errorf("frame of %d bytes", n)
		}
		if len(s.buf) < 4+n {
			break
		}
		letter, rest := s.buf[4], s.buf[5:4+n]
		s.buf = s.buf[4+n:]
		switch letter {
		case 'Y':
			r, known, err := s.reply(rest)
			if err != nil {
				return replies, err
			}
			if known {
				replies = append(replies, r)
			}
		case 'N':
			return replies, fmt.Errorf("the worker could not use a frame: %q", rest)
		default:
			return replies, fmt.Errorf("unknown frame %q", letter)
		}
	}
	return replies, nil
}

// Closed says that the worker has ended the connection.
func (s *session) Closed() []broker.Reply { return nil }

func (s *session) reply(b []byte) (r broker.Reply, known bool, err error) {
	line, value, ok := bytes.Cut(b, []byte{'\n'})
	f := strings.Split(string(line), " ")
	if !ok || len(f) != 4 {
		return r, false, fmt.Errorf("answer line %q", line)
	}
	if r.Outcome, ok = ends[f[1]]; !ok {
		return r, false, fmt.Errorf("answer with unknown end %q", f[1])
	}
	if r.Attempt, known = s.out[f[0]]; !known {
		return r, false, nil // given up before: a late answer is dropped
	}
	s.forget(r.Attempt)
	r.Value, r.Report = bytes.Clone(value), report(f[3])
	return r, true, nil
}

// report reads a load report; figures that are not known are skipped.
func report(text string) *yw.LoadReport {
	if text == "-" || text == "" {
		return nil
	}
	l := &yw.LoadReport{Queue: -1, InFlight: -1, Throughput: -1, Utilization: -1}
	fields := map[string]*float64{"queue": &l.Queue, "inflight": &l.InFlight, "qps": &l.Throughput, "util": &l.Utilization}
	for _, pair := range strings.Split(text, ",") {
		key, figure, _ := strings.Cut(pair, "=")
		if v, err := strconv.ParseFloat(figure, 64); err == nil && fields[key] != nil {
			*fields[key] = v
		}
	}
	return l
}
