package simulation

import (
	"fmt"
	"maps"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/feed"
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

const (
	gathererPrefix        = "gatherer"
	watchIntervalMS       = 150
	pollIntervalMS        = 200
	callIntervalMS        = 70
	leaseReportIntervalMS = 1000 // interval of complete reports of the leases
	leaseTimeoutMS        = 2400 // time without a response of the shard's owner after which leases are dropped
	workTimeoutMS         = 900  // timeout of one work exchange
	itemsWanted           = 4    // items requested in one exchange
	maxLeases             = 8    // number of leases above which a gatherer requests no items
)

// gatherer is a machine without a disk. It combines an agent, which tails the feed, and a proxy, which
// works on items and forwards calls.
type gatherer struct {
	world       *world
	name        string
	incarnation int
	up          bool
	restartAt   int64 // set while it is down

	feed             *feed.Table
	rotation         feed.Rotation
	version          uint64 // of the configuration in force
	instances        map[string]*rpc.Instance
	startedAt        int64
	partitionedUntil int64 // end of a partition from most machines

	leaders          map[string]string // by shard: the storage node that is believed to be the owner
	leases           map[leaseKey]*lease
	ownerHeardAt     map[string]int64  // by shard: time of the last response of its owner
	leasesReportedAt map[string]int64  // by shard: time of the last complete report of the leases
	epochs           map[string]uint64 // by shard: the owner's epoch in the last response
	connections      map[string]*connection
	calls            int
}

// leaseKey identifies a lease.
type leaseKey struct {
	shard  string
	number uint64
}

// lease is a granted item that is in progress, or whose report is not acknowledged yet.
type lease struct {
	*rpc.Lease
	report *rpc.Report // nil while the item is in progress
}

// addGatherer starts a gatherer.
func (w *world) addGatherer(n int) {
	g := &gatherer{world: w, name: fmt.Sprintf("%s%d", gathererPrefix, n)}
	w.gatherers = append(w.gatherers, g)
	g.start()
}

// start starts a new process, without any state of the previous one.
func (g *gatherer) start() {
	g.incarnation++
	g.up, g.startedAt = true, g.world.now
	g.feed, g.rotation, g.version = feed.NewTable(), feed.Rotation{}, 0
	g.instances = map[string]*rpc.Instance{}
	g.leaders = map[string]string{}
	g.leases = map[leaseKey]*lease{}
	g.connections = map[string]*connection{}
	g.ownerHeardAt, g.leasesReportedAt = map[string]int64{}, map[string]int64{}
	g.epochs = map[string]uint64{}
	g.repeat(watchIntervalMS, g.watchFeed)
	for n := range jobShards {
		g.repeat(pollIntervalMS, func() { g.exchangeWork(batchjobs.ShardName(n)) })
	}
	g.repeat(callIntervalMS, g.forwardCall)
}

// repeat runs a function about every intervalMS milliseconds until the current process ends.
func (g *gatherer) repeat(intervalMS int64, run func()) {
	w, incarnation := g.world, g.incarnation
	var next func()
	next = func() {
		if g.incarnation == incarnation && g.up {
			run()
			w.schedule(intervalMS+w.randomBetween(0, intervalMS/4+1), next)
		}
	}
	w.schedule(w.randomBetween(1, intervalMS), next)
}

// kill stops the process. A new one starts within two seconds.
func (g *gatherer) kill() {
	g.up, g.restartAt = false, g.world.now+g.world.randomBetween(100, 2000)
	g.world.schedule(g.restartAt-g.world.now, g.start)
}

// watchFeed reads the feed from the next controller of the rotation.
func (g *gatherer) watchFeed() {
	w, incarnation := g.world, g.incarnation
	source := w.machine(g.rotation.Next(w.machineNames(controllerKind)))
	call(w, g.name, source, watchTimeoutMS, func(answer func(feedAnswer)) { answer(source.feedSince(g.feed.Offsets())) }, func(answer feedAnswer, ok bool) {
		if g.incarnation != incarnation {
			return
		}
		if ok && answer.fresh {
			g.rotation.Succeeded()
		} else {
			g.rotation.Failed()
		}
		g.applyFeeds(answer.feeds)
	})
}

// applyFeeds applies new events, and checks that no state regresses.
func (g *gatherer) applyFeeds(feeds []*rpc.ShardFeed) {
	before := g.feed.Offsets()
	for _, e := range g.feed.Merge(feeds) {
		switch event := e.Event.(type) {
		case *rpc.FeedEvent_Configuration:
			if event.Configuration.Version < g.version {
				g.world.reportViolation(Regressed, "%s had configuration %d and was told %d", g.name, g.version, event.Configuration.Version)
			}
			g.version = event.Configuration.Version
		case *rpc.FeedEvent_Instance:
			g.instances[event.Instance.Id] = event.Instance
		case *rpc.FeedEvent_Gone:
			delete(g.instances, event.Gone)
		}
	}
	for shard, offset := range g.feed.Offsets() {
		if offset < before[shard] {
			g.world.reportViolation(Regressed, "%s stepped back in %s from %d to %d", g.name, shard, before[shard], offset)
		}
	}
}

// exchangeWork sends reports to the owner of a shard, and requests items.
func (g *gatherer) exchangeWork(shard string) {
	w, incarnation := g.world, g.incarnation
	request, reported := g.workRequest(shard)
	exchange := &ownerCall{world: w, from: g.name, shard: shard, until: w.now + workTimeoutMS, leaders: g.leaders}
	exchange.serve = func(to *machine, answer func(ownerAnswer)) { to.exchangeWork(request, answer) }
	exchange.done = func(answer ownerAnswer, ok bool) {
		if g.incarnation != incarnation {
			return
		}
		if !ok {
			delete(g.epochs, shard)
			return
		}
		g.applyWork(shard, reported, answer.work)
	}
	exchange.attempt()
}

// workRequest drops leases that have timed out, and returns the request of one exchange and the leases
// whose reports it contains.
func (g *gatherer) workRequest(shard string) (request *rpc.WorkRequest, reported []leaseKey) {
	now := g.world.now
	request = &rpc.WorkRequest{
		Shard: shard, Gatherer: g.name, Want: itemsWanted,
		Rooms: []*rpc.Room{{Model: modelName, Version: 1 << 30, Free: itemsWanted}},
	}
	for _, key := range g.leaseKeys(shard) {
		l := g.leases[key]
		if heardAt, ok := g.ownerHeardAt[shard]; ok && now-heardAt > leaseTimeoutMS && l.report == nil {
			delete(g.leases, key)
			continue
		}
		if l.report != nil {
			request.Reports = append(request.Reports, l.report)
			reported = append(reported, key)
		}
		request.Held = append(request.Held, &rpc.HeldLease{Job: l.Job, Item: l.Item.Id, Number: key.number})
	}
	if len(request.Held) > maxLeases {
		request.Want = 0
	}
	request.HeldTold = g.epochs[shard] == 0 || now-g.leasesReportedAt[shard] >= leaseReportIntervalMS
	if request.HeldTold {
		g.leasesReportedAt[shard] = now
	} else {
		request.Held = nil
	}
	return request, reported
}

// leaseKeys returns the keys of the leases of a shard, sorted by number.
func (g *gatherer) leaseKeys(shard string) []leaseKey {
	var keys []leaseKey
	for key := range g.leases {
		if key.shard == shard {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b leaseKey) int { return int(int64(a.number) - int64(b.number)) })
	return keys
}

// applyWork handles the response of an exchange. After a change of the owner's epoch, all leases are
// reported again.
func (g *gatherer) applyWork(shard string, reported []leaseKey, response *rpc.WorkResponse) {
	g.ownerHeardAt[shard] = g.world.now
	if old := g.epochs[shard]; old != 0 && old != response.Epoch {
		delete(g.epochs, shard)
	} else {
		g.epochs[shard] = response.Epoch
	}
	if response.ReportsTaken {
		for _, key := range reported {
			delete(g.leases, key)
		}
	}
	for _, number := range response.Cancelled {
		delete(g.leases, leaseKey{shard, number})
	}
	for _, granted := range response.Leases {
		key := leaseKey{shard, granted.Number}
		if g.leases[key] == nil {
			g.workOn(key, granted)
		}
	}
}

// workOn works on a granted item for a random time. With a small probability the run fails or is
// released.
func (g *gatherer) workOn(key leaseKey, granted *rpc.Lease) {
	w, incarnation := g.world, g.incarnation
	l := &lease{Lease: granted}
	g.leases[key] = l
	w.schedule(w.randomBetween(30, 700), func() {
		if g.incarnation != incarnation || g.leases[key] != l {
			return
		}
		l.report = &rpc.Report{Job: l.Job, Item: l.Item.Id, Number: granted.Number}
		switch fate := w.random.IntN(12); {
		case fate == 0 || w.alwaysFails(l.Item):
			l.report.Failed = true
			w.failuresMade[l.Item.Id]++
		case fate == 1:
			l.report.Released = true
		default:
			l.report.Result = &rpc.Result{Item: l.Item.Id, Completed: true, Text: []byte(resultText(l.Item.Id))}
		}
	})
}

// usableWorkers returns the workers that requests may be sent to, sorted by id.
func (g *gatherer) usableWorkers() (list []*rpc.Instance) {
	for _, id := range slices.Sorted(maps.Keys(g.instances)) {
		if instance := g.instances[id]; !instance.Draining && !instance.Lost {
			list = append(list, instance)
		}
	}
	return list
}
