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
	watchEach  = 150
	pollEach   = 200
	tellEach   = 1000
	leaseTime  = 2400 // how long items are worked on without a word of their shard's owner
	gathererIs = "gatherer"
)

// gatherer is a machine without a disk: an agent that tails the feed and a proxy that works on items and forwards calls.
type gatherer struct {
	w    *world
	name string
	life int
	up   bool
	upAt int64

	feed       *feed.Table
	tail       feed.Rotation
	version    uint64 // of the configuration in force
	instances  map[string]*rpc.Instance
	freshAt    int64
	inTouch    int64 // since when it has been up
	apartUntil int64 // it is cut off from most machines

	leaders map[string]string
	leases  map[leaseKey]*lease
	heardAt map[string]int64
	toldAt  map[string]int64
	epochs  map[string]uint64
	pool    map[string]*connection
	calls   int
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
	g := &gatherer{w: w, name: fmt.Sprintf("%s%d", gathererIs, n)}
	w.gatherers = append(w.gatherers, g)
	g.start()
}

func (g *gatherer) start() {
	w := g.w
	g.life++
	g.up, g.feed, g.tail, g.version, g.freshAt, g.inTouch = true, feed.NewTable(), feed.Rotation{}, 0, 0, w.now
	g.instances, g.leaders, g.leases, g.pool = map[string]*rpc.Instance{}, map[string]string{}, map[leaseKey]*lease{}, map[string]*connection{}
	g.heardAt, g.toldAt, g.epochs = map[string]int64{}, map[string]int64{}, map[string]uint64{}
	life := g.life
	g.every(life, watchEach, g.watch)
	for n := range ledgerShards {
		g.every(life, pollEach, func() { g.poll(batchjobs.ShardName(n)) })
	}
	g.every(life, 70, g.forwardCall)
}

// every has something done over and over while this process lives.
func (g *gatherer) every(life int, each int64, do func()) {
	var again func()
	again = func() {
		if g.life == life && g.up {
			do()
			g.w.after(each+g.w.between(0, each/4+1), again)
		}
	}
	g.w.after(g.w.between(1, each), again)
}

func (g *gatherer) kill() {
	g.up, g.upAt = false, g.w.now+g.w.between(100, 2000)
	g.w.after(g.upAt-g.w.now, g.start)
}

// watch asks the source whose turn it is.
func (g *gatherer) watch() {
	w, life := g.w, g.life
	var names []string
	for _, s := range w.of(steward) {
		names = append(names, s.name)
	}
	source := w.machine(g.tail.Next(names))
	call(w, g.name, source, watchTimeout, func(answer func(watchAnswer)) { answer(source.tell(g.feed.Offsets())) }, func(told watchAnswer, ok bool) {
		if g.life != life {
			return
		}
		if ok && told.fresh {
			g.tail.Succeeded()
			g.freshAt = w.now
		} else {
			g.tail.Failed()
		}
		g.take(told.feeds)
	})
}

func (g *gatherer) take(feeds []*rpc.ShardFeed) {
	before := g.feed.Offsets()
	for _, e := range g.feed.Merge(feeds) {
		switch x := e.Event.(type) {
		case *rpc.FeedEvent_Configuration:
			if x.Configuration.Version < g.version {
				g.w.fail(Back, "%s had configuration %d and was told %d", g.name, g.version, x.Configuration.Version)
			}
			g.version = x.Configuration.Version
		case *rpc.FeedEvent_Instance:
			g.instances[x.Instance.Id] = x.Instance
		case *rpc.FeedEvent_Gone:
			delete(g.instances, x.Gone)
		}
	}
	for shard, offset := range g.feed.Offsets() {
		if offset < before[shard] {
			g.w.fail(Back, "%s stepped back in %s from %d to %d", g.name, shard, before[shard], offset)
		}
	}
}

// poll reports to a shard's owner, and asks it for items.
func (g *gatherer) poll(shard string) {
	w, life := g.w, g.life
	request := &rpc.WorkRequest{Shard: shard, Gatherer: g.name, Want: 4, Rooms: []*rpc.Room{{Model: "m", Version: 1 << 30, Free: 4}}}
	var told []leaseKey
	held := 0
	for _, key := range g.keys(shard) {
		l := g.leases[key]
		if at, ok := g.heardAt[shard]; ok && w.now-at > leaseTime && l.report == nil {
			delete(g.leases, key)
			continue
		}
		if l.report != nil {
			request.Reports = append(request.Reports, l.report)
			told = append(told, key)
		}
		held++
		request.Held = append(request.Held, &rpc.HeldLease{Job: l.Job, Item: l.Item.Id, Number: key.number})
	}
	if held > 8 {
		request.Want = 0
	}
	if request.HeldTold = g.epochs[shard] == 0 || w.now-g.toldAt[shard] >= tellEach; request.HeldTold {
		g.toldAt[shard] = w.now
	} else {
		request.Held = nil
	}
	w.toOwner(g.name, w.now+900, g.leaders, shard, func(m *machine, answer func(ownerAnswer)) { m.work(request, answer) }, func(a ownerAnswer, ok, _ bool) {
		if g.life != life {
			return
		}
		if !ok {
			delete(g.epochs, shard)
			return
		}
		g.takeWork(shard, told, a.work)
	})
}

func (g *gatherer) keys(shard string) []leaseKey {
	var keys []leaseKey
	for key := range g.leases {
		if key.shard == shard {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b leaseKey) int { return int(int64(a.number) - int64(b.number)) })
	return keys
}

func (g *gatherer) takeWork(shard string, told []leaseKey, response *rpc.WorkResponse) {
	w, life := g.w, g.life
	g.heardAt[shard] = w.now
	if old := g.epochs[shard]; old != 0 && old != response.Epoch {
		delete(g.epochs, shard)
	} else {
		g.epochs[shard] = response.Epoch
	}
	if response.ReportsTaken {
		for _, key := range told {
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
		w.after(w.between(30, 700), func() {
			if g.life != life || g.leases[key] != l {
				return
			}
			l.report = &rpc.Report{Job: l.Job, Item: l.Item.Id, Number: granted.Number}
			switch w.random.IntN(12) {
			case 0:
				l.report.Failed = true
			case 1:
				l.report.Released = true
			default:
				l.report.Result = &rpc.Result{Item: l.Item.Id, Completed: true, Text: []byte(textOf(l.Item.Id))}
			}
		})
	}
}

// usable lists the workers that a request may go to.
func (g *gatherer) usable() (list []*rpc.Instance) {
	for _, id := range slices.Sorted(maps.Keys(g.instances)) {
		if i := g.instances[id]; !i.Draining && !i.Lost {
			list = append(list, i)
		}
	}
	return list
}
