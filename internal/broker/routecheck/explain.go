package routecheck

import (
	"fmt"
	"saffronquay/internal/broker/layout"

	sq "saffronquay"
)

// Step is one attempt of a part, as the decision module would make it.
type Step struct {
	Options []sq.Option `json:"options"` // the state of the shard's holders at that time, the best first
	Pick    sq.ServerID `json:"pick,omitempty"`
	Why     string      `json:"why"`
}

// Part is one part of an explained query.
type Part struct {
	Shard   int           `json:"shard"`
	Range   string        `json:"range"`
	Holders []sq.ServerID `json:"holders"`
	Steps   []Step        `json:"steps"` // the first attempt, and what follows if each one before it fails
	End     string        `json:"end"`   // the query's result after all of them have failed
}

// Explain returns, for each part of a query over the wanted keys of an index, the attempts that would be made if every attempt ended
// with the given outcome. Each part is played by itself. Nothing is sent. It fails if the roster has no such index, if the index has
// no range there, or if the settings are invalid.
func Explain(r Roster, index string, want []layout.Span, failing sq.Outcome) ([]Part, error) {
	ix, ok := r.Indices[index]
	if !ok {
		return nil, fmt.Errorf("there is no index %q", index)
	}
	var out []Part
	for _, p := range ix.Ranges {
		asked := false
		for _, w := range want {
			asked = asked || !p.Meet(w).Empty()
		}
		if !asked {
			continue
		}
		part, err := explain(r, ix, p, failing)
		if err != nil {
			return nil, err
		}
		out = append(out, part)
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("index %q holds nothing there", index)
	}
	return out, nil
}

// explain plays one part with a decision module of its own, from the first attempt until the query is over.
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
				// The attempt is in flight by now; Options reports its server as it was at the send.
				out.Steps = append(out.Steps, Step{Options: options, Pick: a.Server, Why: why(options, a.Server, n)})
				events = append(events, sq.AttemptEnded{Part: 2, Attempt: n, Server: a.Server, Outcome: failing, Latency: 1})
				n++
			case sq.Refuse:
				out.End = "refused: repeating it does no harm"
				return out, nil
			case sq.Fail:
				out.End = "failed: it may have run"
				return out, nil
			case sq.Answer:
				out.End = "answered without this part"
				return out, nil
			}
		}
	}
	out.End = "nothing until its time is over"
	return out, nil
}

// why returns the reason for the nth attempt's server, for the operator.
func why(options []sq.Option, pick sq.ServerID, n int) string {
	first := "the smallest predicted time of those that may be sent to"
	if n > 0 {
		first = "the next one: " + first
	}
	for _, o := range options {
		if o.Server == pick && o.ZoneCharge > 0 {
			return first + ", its other zone counted in"
		}
	}
	return first
}
