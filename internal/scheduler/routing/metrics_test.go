package routing

import (
	"math/rand/v2"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/metrics"
	"saffronquay/internal/scheduler/rpc"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A worker's rejections are exported until the worker is removed.
func TestRejectionsAreCountedByWorker(t *testing.T) {
	is := is.New(t)
	x := NewTable(Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	x.PutWorker(&rpc.Instance{Id: "counted", Service: "s", Capacity: 1})
	w := x.byID["counted"]
	counted := func() bool {
		return strings.Contains(metrics.Text(), `saffronquay_refusals_total{service="s",worker="counted",model="m",cause="misdirected"} 1`)
	}
	x.RecordRejection(1000, w, "m", RejectedMisdirected)
	is.True(counted())
	x.RemoveWorker("counted")
	is.True(!counted())
	x.RecordRejection(2000, w, "m", RejectedMisdirected) // of a request that was in flight
	is.True(!counted())
}
