package routing

import (
	"saffronquay/internal/scheduler/featuregate"
	"testing"

	"github.com/matryer/is"
)

// A worker that declines again right after it was left alone is left alone for twice as long, up to a bound; refusals that were on their way
// when the first came don't count, nor does one that comes much later.
func TestRefusalsInARow(t *testing.T) {
	is := is.New(t)
	x := newFleet(featuregate.All(), 1, 1, 1, 6)[0]
	w := x.byID["w00"]
	refuse := func(now int64) int64 {
		x.RecordRejection(now, w, "m", RejectedNotExecuted)
		return w.refusals["m"].until - now
	}
	is.Equal(refuse(1000), int64(refusedMS))
	x.RecordRejection(1050, w, "m", RejectedNotExecuted)
	is.Equal(w.refusals["m"].until, int64(1100))
	is.Equal(refuse(1110), int64(2*refusedMS))
	is.Equal(refuse(1320), int64(4*refusedMS))
	is.Equal(refuse(1730), int64(refusedMostMS))
	is.Equal(refuse(9000), int64(refusedMS))
	is.True(!w.avoided(9010, "another"))
}

func TestRefusalBackoffSwitchedOff(t *testing.T) {
	is := is.New(t)
	use := featuregate.All()
	use.RefusalBackoff = false
	x := newFleet(use, 1, 1, 1, 6)[0]
	w := x.byID["w00"]
	for _, now := range []int64{1000, 1110, 1220} {
		x.RecordRejection(now, w, "m", RejectedNotExecuted)
		is.Equal(w.refusals["m"].until, now+refusedMS)
	}
}
