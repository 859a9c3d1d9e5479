package forward

import (
	"saffronquay/internal/scheduler/outcome"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// The number of attempts allowed depends on the kind of the request and on the outcomes of its
// attempts.
func TestAttempts(t *testing.T) {
	notRun, mayHaveRun, ran := outcome.NotRun, outcome.MayHaveRun, outcome.Ran
	for _, c := range []struct {
		name       string
		idempotent bool
		maxRuns    int
		outcomes   []outcome.Outcome
		attempts   int // number of attempts allowed with these outcomes
	}{
		{"idempotent, may have run", true, 3, []outcome.Outcome{mayHaveRun, mayHaveRun, mayHaveRun, mayHaveRun}, 3},
		{"idempotent, ran", true, 2, []outcome.Outcome{ran, ran, ran}, 2},
		{"idempotent without a maximum", true, 0, []outcome.Outcome{mayHaveRun, mayHaveRun}, 1},
		{"not idempotent, may have run", false, 3, []outcome.Outcome{mayHaveRun, mayHaveRun}, 1},
		{"not idempotent, rejected before", false, 3, []outcome.Outcome{notRun, notRun, mayHaveRun, notRun}, 3},
		{"not idempotent, always rejected", false, 3, slices.Repeat([]outcome.Outcome{notRun}, 9), maxRejections},
		{"idempotent, rejections don't count as runs", true, 2, []outcome.Outcome{notRun, mayHaveRun, notRun, ran, notRun}, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			attempts := NewAttempts(c.idempotent, c.maxRuns)
			made := 1
			for attempts.Record(c.outcomes[made-1]) {
				made++
			}
			is.Equal(made, c.attempts)
		})
	}
}
