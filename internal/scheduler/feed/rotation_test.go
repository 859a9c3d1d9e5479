package feed

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Sources are used in turn while they fail, with a longer delay after all have failed; a source
// that succeeds is used again.
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

// The delay doubles after each round in which all sources fail, up to a limit; a success resets it.
func TestRotation_RoundDelay(t *testing.T) {
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

// simulatePartition simulates clients while all sources but one are partitioned from them, and the
// reachable one is not fresh. It returns the maximum number of calls per second to the reachable
// source after five seconds, and how long after the end of the partition the last client has
// reached a fresh source.
func simulatePartition(clients, sources int, rotation func(random *rand.Rand) Rotation) (callsPerSecond int, freshAfter time.Duration) {
	const (
		dialTimeout  = 400 * time.Millisecond // of a call to a partitioned source
		answerTime   = 2 * time.Millisecond
		partitionEnd = 30 * time.Second
		steadyFrom   = 5 * time.Second
	)
	names := make([]string, sources)
	for i := range names {
		names[i] = string(rune('a' + i))
	}
	perSecond := make([]int, partitionEnd/time.Second)
	for n := range clients {
		random := rand.New(rand.NewPCG(uint64(n), 1))
		r := rotation(random)
		now := time.Duration(random.Int64N(int64(time.Second)))
		for {
			source := r.Next(names)
			if now >= partitionEnd {
				freshAfter = max(freshAfter, now+answerTime-partitionEnd)
				break
			}
			callTime := dialTimeout
			if source == names[0] {
				perSecond[now/time.Second]++
				callTime = answerTime
			}
			now += callTime + r.Failed()
		}
	}
	return slices.Max(perSecond[steadyFrom/time.Second:]), freshAfter
}

// If all sources but one are partitioned, 300 clients call the reachable one at a limited rate, and
// reach a fresh source soon after the partition ends.
func TestRotation_PartitionedSources(t *testing.T) {
	is := is.New(t)
	for sources, maxCalls := range map[int]int{1: 700, 3: 300, 5: 300} {
		calls, freshAfter := simulatePartition(300, sources, func(random *rand.Rand) Rotation { return Rotation{Random: random.Float64} })
		t.Logf("%d sources: %d calls per second to the reachable one, all clients fresh %v after the partition", sources, calls, freshAfter)
		is.True(calls <= maxCalls)
		is.True(freshAfter <= 1500*time.Millisecond) // the longest delay plus calls to partitioned sources
	}
}
