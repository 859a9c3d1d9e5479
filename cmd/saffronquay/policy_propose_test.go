package main

import (
	"saffronquay/internal/cluster/rollout/wire"
	"testing"

	"github.com/matryer/is"
)

// A proposal that is refused because the leader was lost, or a gatherer was unresponsive, is made again as a new one. Any other refusal ends the
// command, and so does one of a request to give a proposal up.
func TestRefusalsThatPass(t *testing.T) {
	for _, test := range []struct {
		name   string
		reason string
		abort  bool
		ended  bool
	}{
		{"leader lost", "the leader was lost", false, false},
		{"gatherer unresponsive", "g04 fell silent while queries were held", false, false},
		{"another version", "it replaces version 1, and version 2 is in force", false, true},
		{"abort", "the leader was lost", true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := &submission{cli: &cli{}, proposal: proposal{abort: test.abort}, request: &wire.Propose{Nonce: 2}}
			ended, err := s.handle(&wire.Answer{End: answerRefused, Reason: test.reason})
			is.Equal(ended, test.ended)
			is.Equal(err != nil, test.ended)
			is.Equal(s.request.Nonce == 2, test.ended)
		})
	}
}
