package routing

import (
	"fmt"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// spread counts the zones that a number of requests go to, each released before the next.
func spread(x *Table, q *Query, requests int) map[string]int {
	zones := map[string]int{}
	for range requests {
		k := x.Pick(0, q, 10)
		zones[k.Worker.Zone]++
		k.Release()
	}
	return zones
}

// Requests stay in their zone while its workers have no more than one request more in flight than others.
func TestRequestsStayNear(t *testing.T) {
	is := is.New(t)
	x := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	is.Equal(spread(x, anywhere, 100)["z0"], 100)
	var out []*Reservation
	for range 2 {
		out = append(out, x.Pick(0, anywhere, 10))
	}
	for _, k := range out {
		is.Equal(k.Worker.Zone, "z0")
	}
	var far int
	for range 8 {
		if k := x.Pick(0, anywhere, 10); k.Worker.Zone != "z0" {
			far++
		}
	}
	is.True(far >= 4) // each worker of the zone has one in flight: the others are equal
}

// Where the workers of the zone have failed, rejected a request or are excluded, requests go to others immediately.
func TestRequestsLeaveTheirZone(t *testing.T) {
	is := is.New(t)
	x := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	x.RecordFailure(0, x.byID["w00"])
	x.RecordRejection(0, x.byID["w04"], "", RejectedNotExecuted)
	is.Equal(spread(x, anywhere, 50)["z0"], 0)
	y := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	is.Equal(spread(y, &Query{Services: []string{"s"}, Exclude: map[string]bool{"w00": true, "w04": true}}, 50)["z0"], 0)
}

// The gatherers of a zone with many gatherers and few workers prefer no zone: these workers would be overloaded.
func TestStarvedZonePrefersNone(t *testing.T) {
	is := is.New(t)
	x := newFleet(featuregate.All(), 1, 0, 1, 6)[0]
	for i := range 9 {
		x.PutGatherer(Gatherer{Name: fmt.Sprintf("more%d", i), Zone: "z0"})
	}
	x.PutGatherer(Gatherer{Name: "other", Zone: "z1"})
	for i := range 4 {
		x.PutWorker(&rpc.Instance{Id: fmt.Sprintf("w%d", i), Service: "s", Zone: []string{"z0", "z1"}[min(i, 1)], Capacity: 6})
	}
	is.True(spread(x, anywhere, 400)["z1"] > 200)
}

// Without the gate requests go to all zones alike.
func TestNearbyWorkersSwitchedOff(t *testing.T) {
	is := is.New(t)
	gates := featuregate.All()
	gates.NearbyWorkers = false
	is.True(spread(newFleet(gates, 8, 8, 4, 6)[0], anywhere, 400)["z0"] < 200)
}
