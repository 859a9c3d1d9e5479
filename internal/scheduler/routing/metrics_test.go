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
func TestRejectionCountersByWorker(t *testing.T) {
	is := is.New(t)
	table := NewTable(Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	table.PutWorker(&rpc.Instance{Id: "counted", Service: "s", Capacity: 1})
	w := table.byID["counted"]
	counted := func() bool {
		return strings.Contains(metrics.Text(), `saffronquay_refusals_total{service="s",worker="counted",model="m",cause="misdirected"} 1`)
	}
	table.RecordRejection(1000, w, "m", RejectedMisdirected)
	is.True(counted())
	table.RemoveWorker("counted")
	is.True(!counted())
	table.RecordRejection(2000, w, "m", RejectedMisdirected) // of a request that was in flight
	is.True(!counted())
}
