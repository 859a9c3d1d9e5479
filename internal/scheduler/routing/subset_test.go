package routing

import (
	"fmt"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// spread counts the zones that a number of requests go to, each released before the next.
func spread(table *Table, query *Query, requests int) map[string]int {
	zones := map[string]int{}
	for range requests {
		reservation := table.Pick(0, query, 10)
		zones[reservation.Worker.Zone]++
		reservation.Release()
	}
	return zones
}

// Requests stay in their zone while its workers have no more than one request more in flight than others.
func TestRequestsStayNear(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	is.Equal(spread(table, anywhere, 100)["z0"], 100)
	var reservations []*Reservation
	for range 2 {
		reservations = append(reservations, table.Pick(0, anywhere, 10))
	}
	for _, reservation := range reservations {
		is.Equal(reservation.Worker.Zone, "z0")
	}
	var far int
	for range 8 {
		if reservation := table.Pick(0, anywhere, 10); reservation.Worker.Zone != "z0" {
			far++
		}
	}
	is.True(far >= 4) // each worker of the zone has one in flight: the others are equal
}

// Where the workers of the zone have failed, rejected a request or are excluded, requests go to others immediately.
func TestRequestsLeaveTheirZone(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	table.RecordFailure(0, table.byID["w00"])
	table.RecordRejection(0, table.byID["w04"], "", RejectedNotExecuted)
	is.Equal(spread(table, anywhere, 50)["z0"], 0)
	other := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	is.Equal(spread(other, &Query{Services: []string{"s"}, Exclude: map[string]bool{"w00": true, "w04": true}}, 50)["z0"], 0)
}

// The gatherers of a zone with many gatherers and few workers prefer no zone: these workers would be overloaded.
func TestStarvedZonePrefersNone(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 1, 0, 1, 6)[0]
	for i := range 9 {
		table.PutGatherer(Gatherer{Name: fmt.Sprintf("more%d", i), Zone: "z0"})
	}
	table.PutGatherer(Gatherer{Name: "other", Zone: "z1"})
	for i := range 4 {
		table.PutWorker(&rpc.Instance{Id: fmt.Sprintf("w%d", i), Service: "s", Zone: []string{"z0", "z1"}[min(i, 1)], Capacity: 6})
	}
	is.True(spread(table, anywhere, 400)["z1"] > 200)
}

// Without the gate requests go to all zones alike.
func TestNearbyWorkersSwitchedOff(t *testing.T) {
	is := is.New(t)
	gates := featuregate.All()
	gates.NearbyWorkers = false
	is.True(spread(newFleet(gates, 8, 8, 4, 6)[0], anywhere, 400)["z0"] < 200)
}
