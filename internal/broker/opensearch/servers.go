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

// maxAnswerBytes is the maximum size of the body of a server's answer.
const maxAnswerBytes = 1 << 20

// asOfField is the header field of a request for a part and of its answer with the time of the
// searched state, in Unix microseconds. statusGone is the status of a server that no longer has
// that state.
const (
	asOfField  = "X-As-Of"
	statusGone = 410
)

// statusMisdirected is the status of a server that does not have the requested span (RFC 9110,
// 15.5.20).
const statusMisdirected = 421

// ServerProtocol is the search API for servers. A connection carries one search at a time.
type ServerProtocol struct{}

// Streams returns the number of concurrent calls per connection.
func (ServerProtocol) Streams() int { return 1 }

// NewSession returns the state of a new connection to the server at an address.
func (ServerProtocol) NewSession(address string) core.Session {
	return &session{host: address, parser: http1.Parser{Response: true, BodyLimit: maxAnswerBytes}}
}

// session is the state of one connection. It is not safe for concurrent use.
type session struct {
	host     string
	parser   http1.Parser
	inFlight core.AttemptID // attempt in flight; 0: none
	plan     *merge.Plan    // against which the answer is validated
	place    layout.Place   // requested place; its epoch is 0 if the index is not placed by a layout
}

// Call appends the request for one part, restricted to its shard. now is the time at which it is
// sent, in microseconds.
func (s *session) Call(dst []byte, c core.Call, now int64) []byte {
	a := c.Attempts[0]
	s.plan, _ = a.Plan.(*merge.Plan)
	s.inFlight, s.place = a.ID, layout.Place{Shard: a.Shard, Span: a.Span, Epoch: a.Epoch}
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
		fields = append(fields, [2]string{layout.PlaceHeader, s.place.String()})
	}
	return http1.AppendRequest(dst, "POST", target, s.host, fields, body)
}

// Cancel appends nothing, because this API has no request that cancels a search. It returns false
// if the connection has to be closed instead.
func (s *session) Cancel(dst []byte, id core.AttemptID) ([]byte, bool) { return dst, s.inFlight != id }

// Unsent discards a search that was never sent, so that the connection can carry another.
func (s *session) Unsent(id core.AttemptID) {
	if s.inFlight == id {
		s.inFlight = 0
	}
}

// Feed consumes received bytes and returns the reply that they complete, if any. The reply's Read
// parses the body, so that the caller chooses the goroutine for it. After an error the connection
// must be closed; core.ErrConnectionEnding means that the server closes it after this answer.
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
		if s.inFlight == 0 {
			return nil, errors.New("opensearch: unsolicited answer")
		}
		r := s.newReply(m)
		switch {
		case m.Close:
			return r, core.ErrConnectionEnding
		case !s.parser.Idle():
			return r, errors.New("opensearch: unsolicited bytes after an answer")
		}
		return r, nil
	}
}

// newReply returns the reply to the search in flight, with a body that is not parsed yet. No search
// is in flight afterwards.
func (s *session) newReply(m *http1.Message) []core.Reply {
	r := core.Reply{Attempt: s.inFlight, Size: len(m.Body)}
	s.inFlight = 0
	plan, place := s.plan, s.place
	r.Read = func() core.Reply { return readReply(r, m, plan, place) }
	return []core.Reply{r}
}

// readReply parses the answer to a part and determines its outcome.
func readReply(r core.Reply, m *http1.Message, plan *merge.Plan, place layout.Place) core.Reply {
	r.Read = nil
	if r.Outcome, r.Part = readAnswer(m, plan); place.Epoch > 0 {
		if r.Outcome = checkPlace(place, m, r.Outcome); r.Outcome != sq.Served {
			r.Part = nil
		}
	}
	if part, ok := r.Part.(*merge.Part); ok {
		r.Size += part.Size()
	}
	return r
}

// checkPlace returns the outcome of a part with a requested place, given the outcome of its body.
// It guards against a server that does not have the place: a 421 proves that nothing ran, and its
// epoch shows whether the broker's layout is outdated. Any other answer is valid only if it names
// the same shard and span.
func checkPlace(place layout.Place, m *http1.Message, o sq.Outcome) sq.Outcome {
	if m.Status == statusMisdirected {
		epoch, err := strconv.ParseInt(m.Header.Get(layout.EpochHeader), 10, 64)
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
	in, err := layout.ParsePlace(m.Header.Get(layout.PlaceHeader))
	if in.Epoch = place.Epoch; err != nil || in != place {
		return sq.Errored
	}
	return o
}

// Partial reports whether the session has received part of an answer.
func (s *session) Partial() bool { return !s.parser.Idle() }

// Closed handles the closing of the connection by the server, which completes an answer without a
// declared length.
func (s *session) Closed() []core.Reply {
	if m, err := s.parser.End(); err == nil && m != nil && s.inFlight != 0 {
		return s.newReply(m)
	}
	return nil
}

// readAnswer returns the outcome of a search and its parsed part. A success status is not
// sufficient: a well-formed 200 with an error, a timeout, failed shards, or hits that do not match
// the plan is not a served part.
func readAnswer(m *http1.Message, plan *merge.Plan) (sq.Outcome, any) {
	if plan != nil && plan.AsOf > 0 { // a server without points in time ignores the field
		if m.Header.Get(asOfField) != strconv.FormatInt(plan.AsOf, 10) {
			return sq.Errored, nil
		}
		if m.Status == statusGone {
			return sq.Served, merge.ExpiredPart()
		}
	}
	if plan != nil && plan.Binary && m.Status == 200 && isBinary(m.Header.Get("Content-Type")) {
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
		return sq.Rejected, nil // rejected by a full queue, without running
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
		return sq.Errored, nil // cannot be merged without a plan
	}
	part, err := plan.Read(v, m.Body)
	if err != nil {
		return sq.Errored, nil
	}
	return sq.Served, part
}

// isBinary reports whether a media type is that of the binary form.
func isBinary(mediaType string) bool {
	name, _, _ := strings.Cut(merge.BinaryType, ";")
	is, _, _ := strings.Cut(mediaType, ";")
	return strings.TrimSpace(is) == name
}

// parsers is a pool of parsers. A parsed answer must not be used after its parser is returned.
var parsers fastjson.ParserPool
