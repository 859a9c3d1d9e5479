package simulation

import (
	"saffronquay/internal/cluster/swim"
	"slices"
	"time"
)

// Result is the outcome of a run. The recorded histories hold its values in this order.
type Result struct {
	Samples            []Sample
	DetectionTimes     []time.Duration // from each crash to each live view that has the process dead, left or replaced
	FalseDeaths        int             // times that a view declared a running process dead
	HealthyFalseDeaths int             // of those, processes that were never stopped or slow
	Isolations         int             // times that no join address answered a process
	Restarts           int             // times that a view replaced the start of a name
	SettledAt          time.Duration   // from here to the end all views were correct; -1 if they are not at the end
	Stalls             int             // of all processes
	NameConflicts      int             // times that a process reported another one of its name
	Counts             swim.Counts
	BytesPerSecond     float64      // sent by a member on average, from Config.RateFrom on
	Seconds            []Second     // traffic of each second of the run
	Cores              []*swim.Core // of the processes that run at the end
}

// SettledAfter returns how long after a moment all views became correct for good, or -1 if they did not.
func (r Result) SettledAfter(after time.Duration) time.Duration {
	if r.SettledAt < 0 {
		return -1
	}
	return max(0, r.SettledAt-after)
}

// Sample is an observation of all views at one time.
type Sample struct {
	At                                 time.Duration
	Live, Correct                      int // processes that run, and those of them with a correct view
	MinEffectiveSize, MaxEffectiveSize int // of the views
	MinAlive                           int // smallest number of members alive in a view
}

// Quantile returns the value that a fraction q of a list is at or below; 0 for an empty list.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(int(q*float64(len(d))), len(d)-1)]
}
