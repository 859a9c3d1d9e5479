package routing

import (
	"fmt"
	"saffronquay/internal/scheduler/featuregate"
	"saffronquay/internal/scheduler/rpc"
	"testing"

	"github.com/matryer/is"
)

// pickZones counts the picks per zone of a number of requests, each released before the next.
func pickZones(table *Table, query *Query, requests int) map[string]int {
	zones := map[string]int{}
	for range requests {
		reservation := table.Pick(0, query, 10)
		zones[reservation.Worker.Zone]++
		reservation.Release()
	}
	return zones
}

// Requests prefer the workers of their zone while these have at most one request more in flight
// than the others.
func TestPickPrefersOwnZone(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	is.Equal(pickZones(table, anyWorker, 100)["z0"], 100)
	var reservations []*Reservation
	for range 2 {
		reservations = append(reservations, table.Pick(0, anyWorker, 10))
	}
	for _, reservation := range reservations {
		is.Equal(reservation.Worker.Zone, "z0")
	}
	var far int
	for range 8 {
		if reservation := table.Pick(0, anyWorker, 10); reservation.Worker.Zone != "z0" {
			far++
		}
	}
	is.True(far >= 4) // each worker of the zone has a request in flight: the others score the same
}

// If the workers of the zone have failed, have rejected a request or are excluded, requests are
// sent to other zones immediately.
func TestPickLeavesUnavailableZone(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	table.RecordFailure(0, table.byID["w00"])
	table.RecordRejection(0, table.byID["w04"], "", RejectedNotExecuted)
	is.Equal(pickZones(table, anyWorker, 50)["z0"], 0)
	other := newFleet(featuregate.All(), 8, 8, 4, 6)[0]
	is.Equal(pickZones(other, &Query{Services: []string{"s"}, Exclude: map[string]bool{"w00": true, "w04": true}}, 50)["z0"], 0)
}

// The gatherers of a zone with many gatherers and few workers prefer no zone, since these workers
// would be overloaded.
func TestPreferredWorkersLowZoneCapacity(t *testing.T) {
	is := is.New(t)
	table := newFleet(featuregate.All(), 1, 0, 1, 6)[0]
	for i := range 9 {
		table.PutGatherer(Gatherer{Name: fmt.Sprintf("more%d", i), Zone: "z0"})
	}
	table.PutGatherer(Gatherer{Name: "other", Zone: "z1"})
	for i := range 4 {
		table.PutWorker(&rpc.Instance{Id: fmt.Sprintf("w%d", i), Service: "s", Zone: []string{"z0", "z1"}[min(i, 1)], Capacity: 6})
	}
	is.True(pickZones(table, anyWorker, 400)["z1"] > 200)
}

// With the gate off, requests do not prefer their own zone.
func TestNearbyWorkersDisabled(t *testing.T) {
	is := is.New(t)
	gates := featuregate.All()
	gates.NearbyWorkers = false
	is.True(pickZones(newFleet(gates, 8, 8, 4, 6)[0], anyWorker, 400)["z0"] < 200)
}
