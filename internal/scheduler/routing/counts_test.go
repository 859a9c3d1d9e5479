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

// What a worker has declined is told as long as the worker is there.
func TestRefusalsAreToldByWorker(t *testing.T) {
	is := is.New(t)
	x := NewTable(Gatherer{Name: "g"}, featuregate.All(), rand.New(rand.NewPCG(1, 1)))
	x.Put(&rpc.Instance{Id: "counted", Service: "s", Capacity: 1})
	w := x.byID["counted"]
	told := func() bool {
		return strings.Contains(metrics.Text(), `saffronquay_refusals_total{service="s",worker="counted",model="m",cause="misdirected"} 1`)
	}
	x.Refused(1000, w, "m", RefusedMisdirected)
	is.True(told())
	x.Remove("counted")
	is.True(!told())
	x.Refused(2000, w, "m", RefusedMisdirected) // it was on its way
	is.True(!told())
}
