package feed

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Sources are used in turn while they fail, with a longer delay after all have failed; one that succeeds is used restarted.
func TestRotation(t *testing.T) {
	is := is.New(t)
	var r Rotation
	is.Equal(r.Next(nil), "")
	sources := []string{"a", "b"}
	is.Equal(r.Next(sources), "a")
	is.Equal(r.Failed(), failureDelay)
	is.Equal(r.Next(sources), "b")
	is.Equal(r.Failed(), allFailedDelay)
	is.Equal(r.Next(sources), "a")
	r.Succeeded()
	is.Equal(r.Next(sources), "a")
	is.Equal(r.Failed(), failureDelay)
	for range returnToFirstAfter {
		is.Equal(r.Next(sources), "b")
		r.Succeeded()
	}
	is.Equal(r.Next(sources), "a") // back to the first
}

// Rounds in which all sources fail are followed by longer and longer delays, up to a bound; a success begins anew.
func TestDelaysBetweenRounds(t *testing.T) {
	is := is.New(t)
	var r Rotation
	r.Next([]string{"a"})
	for _, want := range []time.Duration{1, 2, 4, 8, 8, 8} {
		is.Equal(r.Failed(), min(want*allFailedDelay, maxRoundDelay))
	}
	r.Succeeded()
	is.Equal(r.Failed(), allFailedDelay)
	for _, drawn := range []float64{0, 0.5, 0.999} {
		r = Rotation{Random: func() float64 { return drawn }}
		r.Next([]string{"a"})
		delay := r.Failed()
		is.True(delay >= allFailedDelay/2 && delay < 2*allFailedDelay)
	}
}

// cutOff is what 300 clients do while all sources but one are cut off, which is not fresh: the greatest number of calls that it gets in a second once
// the clients have gone round for five seconds, and how long after the cut has healed the last client has heard a fresh source.
func cutOff(clients, sources int, rotation func(random *rand.Rand) Rotation) (callsPerSecond int, freshAfter time.Duration) {
	const (
		dialTimeout = 400 * time.Millisecond // of a call to a source that is cut off
		answerTime  = 2 * time.Millisecond
		healsAt     = 30 * time.Second
		steadyFrom  = 5 * time.Second
	)
	names := make([]string, sources)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	perSecond := make([]int, healsAt/time.Second)
	for n := range clients {
		random := rand.New(rand.NewPCG(uint64(n), 1))
		r := rotation(random)
		now := time.Duration(random.Int64N(int64(time.Second)))
		for {
			source := r.Next(names)
			if now >= healsAt {
				freshAfter = max(freshAfter, now+answerTime-healsAt)
				break
			}
			took := dialTimeout
			if source == names[0] {
				perSecond[now/time.Second]++
				took = answerTime
			}
			now += took + r.Failed()
		}
	}
	return slices.Max(perSecond[steadyFrom/time.Second:]), freshAfter
}

// Where all sources but one are cut off, 300 clients call the remaining one at a bounded rate, and have a fresh one soon after.
func TestAllSourcesButOneCutOff(t *testing.T) {
	is := is.New(t)
	for sources, most := range map[int]int{1: 700, 3: 300, 5: 300} {
		calls, freshAfter := cutOff(300, sources, func(random *rand.Rand) Rotation { return Rotation{Random: random.Float64} })
		t.Logf("%d sources: %d calls in a second at the one that is left, fresh everywhere %v after", sources, calls, freshAfter)
		is.True(calls <= most)
		is.True(freshAfter <= 1500*time.Millisecond) // the longest delay and calls to those that were cut off
	}
}
