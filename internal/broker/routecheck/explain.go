package routecheck

import (
	"fmt"
	"saffronquay/internal/broker/layout"

	sq "saffronquay"
)

// Step is one attempt of a part that the decision module would make.
type Step struct {
	Options []sq.Option `json:"options"` // state of the shard's holders at that time, best first
	Pick    sq.ServerID `json:"pick,omitempty"`
	Why     string      `json:"why"`
}

// Part is one part of an explained query.
type Part struct {
	Shard   int           `json:"shard"`
	Range   string        `json:"range"`
	Holders []sq.ServerID `json:"holders"`
	Steps   []Step        `json:"steps"` // first attempt, and the next ones if each previous attempt fails
	End     string        `json:"end"`   // result of the query after all attempts have failed
}

// Explain returns, for each part of a query over the wanted keys of an index, the attempts that
// would be made if every attempt ended with the given outcome. Each part is simulated separately,
// and nothing is sent. It returns an error if the roster has no such index, if the index has no
// range for these keys, or if the settings are invalid.
func Explain(r Roster, index string, want []layout.Span, failing sq.Outcome) ([]Part, error) {
	ix, ok := r.Indices[index]
	if !ok {
		return nil, fmt.Errorf("routecheck: unknown index %q", index)
	}
	var out []Part
	for _, p := range ix.Ranges {
		wanted := false
		for _, w := range want {
			wanted = wanted || !p.Intersect(w).Empty()
		}
		if !wanted {
			continue
		}
		part, err := explain(r, ix, p, failing)
		if err != nil {
			return nil, err
		}
		out = append(out, part)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("routecheck: index %q has no range for the requested keys", index)
	}
	return out, nil
}

// explain simulates one part with its own decision module, from the first attempt until the query
// ends.
func explain(r Roster, ix Index, p layout.Part, failing sq.Outcome) (Part, error) {
	s, err := newSubject(r)
	if err != nil {
		return Part{}, err
	}
	out := Part{Shard: p.Shard, Range: p.Span.String(), Holders: s.module.Holders(p.Shard)}
	var class sq.Class
	for _, c := range r.Settings.Classes {
		if c.Name == ix.Class {
			class = c
		}
	}
	deadline := s.now + class.HardLimit
	events := []sq.Event{
		sq.Query{ID: 1, Group: 1, Class: class.Name, Deadline: deadline, Work: ix.PartWork},
		sq.Part{ID: 2, Group: 1, Shard: p.Shard, Weight: 1, Work: ix.PartWork},
	}
	for n := 0; s.now < deadline+class.HardLimit; {
		actions := s.step(events...)
		events = nil
		for _, a := range actions {
			switch a := a.(type) {
			case sq.Send:
				options := s.module.Options(2)
				// The attempt is already in flight, but Options reports its server as of the send.
				out.Steps = append(out.Steps, Step{Options: options, Pick: a.Server, Why: why(options, a.Server, n)})
				events = append(events, sq.AttemptEnded{Part: 2, Attempt: n, Server: a.Server, Outcome: failing, Latency: 1})
				n++
			case sq.Refuse:
				out.End = "refused: the query may be retried safely"
				return out, nil
			case sq.Fail:
				out.End = "failed: the query may have run"
				return out, nil
			case sq.Answer:
				out.End = "answered without this part"
				return out, nil
			}
		}
	}
	out.End = "no result before the deadline"
	return out, nil
}

// why returns the reason why the nth attempt goes to the picked server, for the operator.
func why(options []sq.Option, pick sq.ServerID, n int) string {
	reason := "lowest predicted time among the available holders"
	if n > 0 {
		reason = "next attempt: " + reason
	}
	for _, o := range options {
		if o.Server == pick && o.ZoneCharge > 0 {
			return reason + ", including the charge for its zone"
		}
	}
	return reason
}
