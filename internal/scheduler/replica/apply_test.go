package replica

import (
	"math"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// Proposals with unknown outcome are completed in index order up to the given index, so that
// simulations are deterministic.
func TestAbandonWaiters_IndexOrder(t *testing.T) {
	for _, c := range []struct {
		name      string
		last      uint64
		abandoned []uint64
	}{
		{"up to an index", 7, []uint64{3, 4, 5, 6, 7}},
		{"all", math.MaxUint64, []uint64{3, 4, 5, 6, 7, 8, 9}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := &group{waiters: map[uint64]waiter{}}
			var abandoned []uint64
			for index := uint64(3); index <= 9; index++ {
				g.waiters[index] = waiter{done: func(p ProposalResult) {
					is.Equal(p.Outcome, rpc.Outcome_OUTCOME_UNKNOWN)
					abandoned = append(abandoned, index)
				}}
			}
			g.abandonWaiters(c.last)
			is.Equal(abandoned, c.abandoned)
			is.Equal(len(g.waiters), 7-len(abandoned))
		})
	}
}
