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
	watchIntervalMS      = 150
	pollIntervalMS       = 200
	heldReportIntervalMS = 1000
	leaseTimeoutMS       = 2400 // how long items are worked on without a word of their shard's owner
	gathererPrefix       = "gatherer"
)

// gatherer is a machine without a disk: an agent that tails the feed and a proxy that works on items and forwards calls.
type gatherer struct {
	world       *world
	name        string
	incarnation int
	up          bool
	restartAt   int64

	feed             *feed.Table
	rotation         feed.Rotation
	version          uint64 // of the configuration in force
	instances        map[string]*rpc.Instance
	freshAt          int64
	startedAt        int64 // since when it has been up
	partitionedUntil int64 // it is cut off from most machines

	leaders        map[string]string
	leases         map[leaseKey]*lease
	ownerHeardAt   map[string]int64
	heldReportedAt map[string]int64
	epochs         map[string]uint64
	connections    map[string]*connection
	calls          int
}

type leaseKey struct {
	shard  string
	number uint64
}

// lease is an item that is worked on, or whose report is on its way.
type lease struct {
	*rpc.Lease
	report *rpc.Report
	ended  bool // given up
}

func (w *world) addGatherer(n int) {
	g := &gatherer{world: w, name: fmt.Sprintf("%s%d", gathererPrefix, n)}
	w.gatherers = append(w.gatherers, g)
	g.start()
}

func (g *gatherer) start() {
	w := g.world
	g.incarnation++
	g.up, g.feed, g.rotation, g.version, g.freshAt, g.startedAt = true, feed.NewTable(), feed.Rotation{}, 0, 0, w.now
	g.instances, g.leaders, g.leases, g.connections = map[string]*rpc.Instance{}, map[string]string{}, map[leaseKey]*lease{}, map[string]*connection{}
	g.ownerHeardAt, g.heldReportedAt, g.epochs = map[string]int64{}, map[string]int64{}, map[string]uint64{}
	incarnation := g.incarnation
	g.repeat(incarnation, watchIntervalMS, g.watchFeed)
	for n := range jobShards {
		g.repeat(incarnation, pollIntervalMS, func() { g.exchangeWork(batchjobs.ShardName(n)) })
	}
	g.repeat(incarnation, 70, g.forwardCall)
}

// every has something done over and over while this process lives.
func (g *gatherer) repeat(incarnation int, each int64, do func()) {
	var retry func()
	retry = func() {
		if g.incarnation == incarnation && g.up {
			do()
			g.world.schedule(each+g.world.randomBetween(0, each/4+1), retry)
		}
	}
	g.world.schedule(g.world.randomBetween(1, each), retry)
}

func (g *gatherer) kill() {
	g.up, g.restartAt = false, g.world.now+g.world.randomBetween(100, 2000)
	g.world.schedule(g.restartAt-g.world.now, g.start)
}

// watch asks the source whose turn it is.
func (g *gatherer) watchFeed() {
	w, incarnation := g.world, g.incarnation
	var names []string
	for _, s := range w.machinesOf(controllerKind) {
		names = append(names, s.name)
	}
	source := w.machine(g.rotation.Next(names))
	call(w, g.name, source, watchTimeoutMS, func(answer func(feedAnswer)) { answer(source.feedSince(g.feed.Offsets())) }, func(reported feedAnswer, ok bool) {
		if g.incarnation != incarnation {
			return
		}
		if ok && reported.fresh {
			g.rotation.Succeeded()
			g.freshAt = w.now
		} else {
			g.rotation.Failed()
		}
		g.applyFeeds(reported.feeds)
	})
}

func (g *gatherer) applyFeeds(feeds []*rpc.ShardFeed) {
	before := g.feed.Offsets()
	for _, e := range g.feed.Merge(feeds) {
		switch k := e.Event.(type) {
		case *rpc.FeedEvent_Configuration:
			if k.Configuration.Version < g.version {
				g.world.reportViolation(Regressed, "%s had configuration %d and was told %d", g.name, g.version, k.Configuration.Version)
			}
			g.version = k.Configuration.Version
		case *rpc.FeedEvent_Instance:
			g.instances[k.Instance.Id] = k.Instance
		case *rpc.FeedEvent_Gone:
			delete(g.instances, k.Gone)
		}
	}
	for shard, offset := range g.feed.Offsets() {
		if offset < before[shard] {
			g.world.reportViolation(Regressed, "%s stepped back in %s from %d to %d", g.name, shard, before[shard], offset)
		}
	}
}

// poll reports to a shard's owner, and asks it for items.
func (g *gatherer) exchangeWork(shard string) {
	w, incarnation := g.world, g.incarnation
	request := &rpc.WorkRequest{Shard: shard, Gatherer: g.name, Want: 4, Rooms: []*rpc.Room{{Model: "m", Version: 1 << 30, Free: 4}}}
	var reported []leaseKey
	heldCount := 0
	for _, key := range g.leaseKeys(shard) {
		l := g.leases[key]
		if at, ok := g.ownerHeardAt[shard]; ok && w.now-at > leaseTimeoutMS && l.report == nil {
			delete(g.leases, key)
			continue
		}
		if l.report != nil {
			request.Reports = append(request.Reports, l.report)
			reported = append(reported, key)
		}
		heldCount++
		request.Held = append(request.Held, &rpc.HeldLease{Job: l.Job, Item: l.Item.Id, Number: key.number})
	}
	if heldCount > 8 {
		request.Want = 0
	}
	if request.HeldTold = g.epochs[shard] == 0 || w.now-g.heldReportedAt[shard] >= heldReportIntervalMS; request.HeldTold {
		g.heldReportedAt[shard] = w.now
	} else {
		request.Held = nil
	}
	w.callOwner(g.name, w.now+900, g.leaders, shard, func(m *machine, answer func(ownerAnswer)) { m.exchangeWork(request, answer) }, func(a ownerAnswer, ok, _ bool) {
		if g.incarnation != incarnation {
			return
		}
		if !ok {
			delete(g.epochs, shard)
			return
		}
		g.applyWork(shard, reported, a.work)
	})
}

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

func (g *gatherer) applyWork(shard string, reported []leaseKey, response *rpc.WorkResponse) {
	w, incarnation := g.world, g.incarnation
	g.ownerHeardAt[shard] = w.now
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
		if g.leases[key] != nil {
			continue
		}
		l := &lease{Lease: granted}
		g.leases[key] = l
		w.schedule(w.randomBetween(30, 700), func() {
			if g.incarnation != incarnation || g.leases[key] != l {
				return
			}
			l.report = &rpc.Report{Job: l.Job, Item: l.Item.Id, Number: granted.Number}
			switch w.random.IntN(12) {
			case 0:
				l.report.Failed = true
			case 1:
				l.report.Released = true
			default:
				l.report.Result = &rpc.Result{Item: l.Item.Id, Completed: true, Text: []byte(resultText(l.Item.Id))}
			}
		})
	}
}

// usable lists the workers that a request may go to.
func (g *gatherer) usableWorkers() (list []*rpc.Instance) {
	for _, id := range slices.Sorted(maps.Keys(g.instances)) {
		if i := g.instances[id]; !i.Draining && !i.Lost {
			list = append(list, i)
		}
	}
	return list
}
