package simulation

import (
	"saffronquay/internal/cluster/swim"
	"slices"
	"time"
)

// Result is the outcome of a run. The recorded histories contain its values in the order of the
// fields.
type Result struct {
	Samples            []Sample
	DetectionTimes     []time.Duration // from each crash until each live view has the process dead, left or replaced
	FalseDeaths        int             // times that a view declared a running process dead
	HealthyFalseDeaths int             // false deaths of processes that were never stopped or slow
	Isolations         int             // times that no join address answered a process
	Restarts           int             // times that a view replaced the start of a name
	ConvergedAt        time.Duration   // time from which on all views were correct until the end; -1 if they are not at the end
	Stalls             int             // stalls detected by all processes
	NameConflicts      int             // times that a process reported another one of its name
	Counts             swim.Counts
	BytesPerSecond     float64      // mean bytes sent by a member, from Config.RateFrom on
	Seconds            []Second     // traffic of each second of the run
	Cores              []*swim.Core // cores of the processes that run at the end
}

// ConvergedAfter returns how long after a time all views became correct until the end, or -1 if
// they did not.
func (r Result) ConvergedAfter(after time.Duration) time.Duration {
	if r.ConvergedAt < 0 {
		return -1
	}
	return max(0, r.ConvergedAt-after)
}

// Sample is the state of all views at one time.
type Sample struct {
	At                                 time.Duration
	Live, Correct                      int // running processes, and those among them with a correct view
	MinEffectiveSize, MaxEffectiveSize int // over all views
	MinAlive                           int // smallest number of live members in a view
}

// Quantile returns the quantile q of a list of durations, or 0 for an empty list.
func Quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	d = slices.Sorted(slices.Values(d))
	return d[min(int(q*float64(len(d))), len(d)-1)]
}
