package opensearch

import (
	"bytes"
	"errors"
	"fmt"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/http1"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/broker/merge"
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	sq "saffronquay"
)

// maxAnswer bounds a server's answer.
const maxAnswer = 1 << 20

// asOfField has the time whose state a part asks for, and its answer shows, in Unix microseconds; gone is the status of a server that
// holds that state no longer.
const (
	asOfField = "X-As-Of"
	gone      = 410
)

// misdirected is the status by which a server says that it does not hold what it was asked for (RFC 9110, 15.5.20).
const misdirected = 421

// Servers is the search API towards servers: one search at a time on a connection.
type Servers struct{}

// Streams is how many calls one connection carries at a time.
func (Servers) Streams() int { return 1 }

// Session begins a connection to the server at an address.
func (Servers) NewSession(address string) core.Session {
	return &session{host: address, parser: http1.Parser{Response: true, BodyLimit: maxAnswer}}
}

type session struct {
	host   string
	parser http1.Parser
	out    core.AttemptID // 0: none
	plan   *merge.Plan    // by which its answer is read
	place  layout.Place   // what it asks for, under a layout; else its epoch is 0
}

// Call writes the search for one part, kept to its shard.
func (s *session) Call(dst []byte, c core.Call, now int64) []byte {
	a := c.Attempts[0]
	s.plan, _ = a.Plan.(*merge.Plan)
	s.out, s.place = a.ID, layout.Place{Shard: a.Shard, Span: a.Span, Epoch: a.Epoch}
	index, body, _ := bytes.Cut(a.Text, []byte{'\n'})
	target := fmt.Sprintf("/%s/_search?preference=_shards:%d&timeout=%dms&allow_partial_search_results=false", index,
		a.Shard, max(1, (a.Due-now)/1000))
	fields := [][2]string{{"Content-Type", "application/json"}}
	if s.plan != nil && s.plan.AsOf > 0 {
		fields = append(fields, [2]string{asOfField, strconv.FormatInt(s.plan.AsOf, 10)})
	}
	if s.plan != nil && s.plan.Binary {
		fields = append(fields, [2]string{"Accept", merge.BinaryType + ", application/json"})
	}
	if a.Label != "" {
		fields = append(fields, [2]string{"X-Opaque-Id", a.Label})
	}
	if a.Epoch > 0 {
		fields = append(fields, [2]string{layout.PlaceField, s.place.String()})
	}
	return http1.AppendRequest(dst, "POST", target, s.host, fields, body)
}

// Drop has no words in this dialect: only closing the connection gives a search up.
func (s *session) Cancel(dst []byte, id core.AttemptID) ([]byte, bool) { return dst, s.out != id }

// Unsent forgets a search that never left; the connection can take another.
func (s *session) Unsent(id core.AttemptID) {
	if s.out == id {
		s.out = 0
	}
}

// Feed takes in bytes from the server and returns what they end.
func (s *session) Feed(b []byte) ([]core.Reply, error) {
	s.parser.Feed(b)
	for {
		m, err := s.parser.Next()
		if err != nil {
			return nil, err
		}
		if m == nil {
			return nil, nil
		}
		if m.Status >= 100 && m.Status < 200 {
			continue
		}
		if s.out == 0 {
			return nil, errors.New("an answer that nothing asked for")
		}
		r := s.take(m)
		switch {
		case m.Close:
			return r, core.ErrConnectionEnding
		case !s.parser.Idle():
			return r, errors.New("bytes behind an answer")
		}
		return r, nil
	}
}

func (s *session) take(m *http1.Message) []core.Reply {
	r := core.Reply{Attempt: s.out, Size: len(m.Body)}
	s.out = 0
	plan, place := s.plan, s.place
	r.Read = func() core.Reply { return reading(r, m, plan, place) }
	return []core.Reply{r}
}

// reading judges an answer to a part.
func reading(r core.Reply, m *http1.Message, plan *merge.Plan, place layout.Place) core.Reply {
	r.Read = nil
	if r.Outcome, r.Part = judge(m, plan); place.Epoch > 0 {
		if r.Outcome = placedAt(place, m, r.Outcome); r.Outcome != sq.Served {
			r.Part = nil
		}
	}
	if part, ok := r.Part.(*merge.Part); ok {
		r.Size += part.Size()
	}
	return r
}

// placedAt judges an answer to a part that asked for a place. Guards against a server that has lost it or never held it: a 421
// proves that nothing ran, and says by its epoch which side is late; any other answer counts only where it names the same
// shard and span again.
func placedAt(place layout.Place, m *http1.Message, o sq.Outcome) sq.Outcome {
	if m.Status == misdirected {
		epoch, err := strconv.ParseInt(m.Header.Get(layout.EpochField), 10, 64)
		switch {
		case err != nil:
			return sq.Errored
		case epoch > place.Epoch:
			return sq.Misplaced
		}
		return sq.Rejected
	}
	if o != sq.Served {
		return o
	}
	in, err := layout.ParsePlace(m.Header.Get(layout.PlaceField))
	if in.Epoch = place.Epoch; err != nil || in != place {
		return sq.Errored
	}
	return o
}

// Partial tells that bytes of an unfinished answer are held.
func (s *session) Partial() bool { return !s.parser.Idle() }

// Closed says that the server has ended the connection, which may be what ends its answer.
func (s *session) Closed() []core.Reply {
	if m, err := s.parser.End(); err == nil && m != nil && s.out != 0 {
		return s.take(m)
	}
	return nil
}

// judge tells how a search came out. A success status proves nothing: guards against errors, time-outs and
// failed shards inside a well-formed 200, and against hits that are not as asked, none of which may pass for a served part.
func judge(m *http1.Message, plan *merge.Plan) (sq.Outcome, any) {
	if plan != nil && plan.AsOf > 0 { // guards a page against a server that knows nothing of points in time
		if m.Header.Get(asOfField) != strconv.FormatInt(plan.AsOf, 10) {
			return sq.Errored, nil
		}
		if m.Status == gone {
			return sq.Served, merge.ExpiredPart()
		}
	}
	if plan != nil && plan.Binary && m.Status == 200 && binary(m.Header.Get("Content-Type")) {
		part, err := plan.ReadBinary(m.Body)
		if err != nil {
			return sq.Errored, nil
		}
		return sq.Served, part
	}
	parser := parsers.Get()
	defer parsers.Put(parser)
	v, err := parser.ParseBytes(m.Body)
	if err != nil {
		return sq.Errored, nil
	}
	if m.Status == 429 && strings.HasSuffix(string(v.GetStringBytes("error", "type")), "rejected_execution_exception") {
		return sq.Rejected, nil // turned away from a full queue: it never ran
	}
	hits := v.Get("hits")
	shards := v.Get("_shards")
	switch {
	case m.Status != 200, v.Get("error") != nil, v.Get("timed_out") == nil, v.GetBool("timed_out"),
		shards == nil, shards.GetInt("failed") > 0, len(shards.GetArray("failures")) > 0,
		shards.GetInt("successful") < shards.GetInt("total"), hits == nil, hits.Type() != fastjson.TypeObject,
		hits.Get("hits") == nil, hits.Get("hits").Type() != fastjson.TypeArray:
		return sq.Errored, nil
	}
	if plan == nil {
		return sq.Errored, nil // nobody could merge it
	}
	part, err := plan.Read(v, m.Body)
	if err != nil {
		return sq.Errored, nil
	}
	return sq.Served, part
}

// binary tells the binary form by its media type.
func binary(mediaType string) bool {
	name, _, _ := strings.Cut(merge.BinaryType, ";")
	is, _, _ := strings.Cut(mediaType, ";")
	return strings.TrimSpace(is) == name
}

// parsers are shared, since a parsed answer is dropped before the next one is read.
var parsers fastjson.ParserPool
