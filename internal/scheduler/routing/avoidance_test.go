package routing

import (
	"saffronquay/internal/scheduler/featuregate"
	"testing"

	"github.com/matryer/is"
)

// A rejection soon after a backoff doubles the next backoff, up to a maximum. Rejections during a
// backoff, of requests that were already in flight, don't extend it, and a much later one starts
// again with the minimum. Requests for another model do not avoid the worker.
func TestRejectionBackoffGrowth(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 1, 1, 1, 6)[0]
	w := table.byID["w00"]
	reject := func(now int64) int64 {
		table.RecordRejection(now, w, "m", RejectedNotExecuted)
		return w.rejections["m"].until - now
	}
	is.Equal(reject(1000), int64(minRejectionBackoffMS))
	table.RecordRejection(1050, w, "m", RejectedNotExecuted)
	is.Equal(w.rejections["m"].until, int64(1100))
	is.Equal(reject(1110), int64(2*minRejectionBackoffMS))
	is.Equal(reject(1320), int64(4*minRejectionBackoffMS))
	is.Equal(reject(1730), int64(maxRejectionBackoffMS))
	is.Equal(reject(9000), int64(minRejectionBackoffMS))
	is.True(!w.avoided(9010, "another"))
}

// With the gate off, every backoff has the minimum length.
func TestRejectionBackoffDisabled(t *testing.T) {
	is := is.New(t)
	gates := featuregate.All()
	gates.RejectionBackoff = false
	table := newFleet(gates, 1, 1, 1, 6)[0]
	w := table.byID["w00"]
	for _, now := range []int64{1000, 1110, 1220} {
		table.RecordRejection(now, w, "m", RejectedNotExecuted)
		is.Equal(w.rejections["m"].until, now+minRejectionBackoffMS)
	}
}
