package simulation

import (
	"fmt"
	"math/rand/v2"
	"slices"

	sq "saffronquay"
)

// world is the state of a day that is being simulated. It runs on one goroutine.
type world struct {
	Day
	rng         *rand.Rand
	now         int64
	sequence    int // of the last scheduled event
	queue       eventQueue
	servers     []*server
	byID        map[sq.ServerID]*server
	gatherers   []*gatherer
	totalWeight float64 // sum of the gatherers' weights
	lastID      sq.ID
	loadFactor  float64 // current factor on the load
	result      Result
}

// Play simulates a day. It fails only if the settings are invalid.
func Play(d Day) (Result, error) {
	w := &world{
		Day: d, rng: rand.New(rand.NewPCG(d.Seed, 77)), byID: map[sq.ServerID]*server{}, loadFactor: 1, now: epochStart,
	}
	w.result.Windows = make([]Window, d.Length/second+1)
	w.result.Classes = make([]Portion, len(d.ClassMix))
	w.result.Thirds = make([]Portion, 3)
	w.result.Tenants = make([]Portion, len(d.TenantMix))
	w.addServers()
	if err := w.addGatherers(); err != nil {
		return Result{}, err
	}
	for _, e := range d.Events {
		w.schedule(epochStart+e.At, func() { w.beginDisturbance(e) })
	}
	if d.FleetSize != nil {
		w.updateFleetSize()
	}
	w.scheduleQuery()
	end := epochStart + d.Length + 4*second
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
	w.computeResult()
	return w.result, nil
}

// addServers creates the servers and draws their speeds.
func (w *world) addServers() {
	for i := range w.Servers {
		s := &server{
			id: sq.ServerID(fmt.Sprint("s", i)), index: i, zone: fmt.Sprint("z", i%max(1, w.Zones)), up: true,
			speed: 0.7 + 0.4*w.rng.Float64(),
		}
		if w.Slow != nil {
			s.speed /= w.Slow(i)
		}
		w.servers, w.byID[s.id] = append(w.servers, s), s
	}
}

// addGatherers creates and starts the gatherers, and draws their traffic. One in ten has three
// times the traffic.
func (w *world) addGatherers() error {
	for i := range w.Settings.Aggregators {
		g := &gatherer{self: i, zone: fmt.Sprint("z", i%max(1, w.Zones)), weight: 0.3 + 1.4*w.rng.Float64()}
		if i%10 == 0 {
			g.weight *= 3
		}
		w.totalWeight += g.weight
		w.gatherers = append(w.gatherers, g)
		if err := w.startGatherer(g); err != nil {
			return err
		}
	}
	return nil
}

// computeResult computes the results of the day from its windows and servers.
func (w *world) computeResult() {
	requested, inTime := 0.0, 0.0
	for _, x := range w.result.Windows {
		requested, inTime = requested+x.Requested, inTime+x.InTime
	}
	w.result.Served, w.result.LeastWarmUpWork = inTime/max(requested, 1e-9), 1
	for _, s := range w.servers {
		w.recordWarmUp(s)
	}
}

// schedule schedules a function at a time, or now if that time has passed.
func (w *world) schedule(t int64, do func()) {
	w.sequence++
	w.queue.push(event{at: max(t, w.now), sequence: w.sequence, do: do})
}

// scheduleAfter schedules a function after a delay.
func (w *world) scheduleAfter(d int64, do func()) { w.schedule(w.now+d, do) }

// beginDisturbance starts a disturbance and schedules its end.
func (w *world) beginDisturbance(e Disturbance) {
	if e.Load > 0 {
		w.loadFactor = e.Load
		w.scheduleAfter(e.Duration, func() { w.loadFactor = 1 })
	}
	if e.Servers != nil {
		w.disturbServers(e)
	}
	if e.Gatherers != nil {
		w.disturbGatherers(e)
	}
}

// disturbServers stops or drains servers and restarts them after the disturbance. The list follows
// with a delay.
func (w *world) disturbServers(e Disturbance) {
	var changed []sq.ServerID
	for _, s := range w.servers {
		if !e.Servers(s.index) {
			continue
		}
		changed = append(changed, s.id)
		if s.draining = e.Drain; !e.Drain {
			w.stopServer(s)
		}
		w.scheduleAfter(e.Duration, func() {
			w.stopServer(s)
			s.up, s.draining, s.startedAt, s.warmUpWork, s.busy = true, false, w.now, nil, 0
		})
	}
	if changed != nil {
		delay := w.MembershipDelay
		if e.Drain {
			delay /= 6
		}
		w.scheduleAfter(delay, func() { w.announce(changed) })
		w.scheduleAfter(e.Duration+w.MembershipDelay/3, func() { w.announce(changed) })
	}
}

// disturbGatherers kills gatherers, whose clients retry elsewhere, and restarts them after the
// disturbance.
func (w *world) disturbGatherers(e Disturbance) {
	for _, g := range w.gatherers {
		if !e.Gatherers(g.self) {
			continue
		}
		g.up = false
		g.run++
		for _, id := range sorted(g.queries) {
			w.retry(g.queries[id], 200*ms)
		}
		// The error is ignored: the settings were valid at the first start.
		w.scheduleAfter(e.Duration, func() { _ = w.startGatherer(g) })
	}
}

// updateFleetSize notifies every gatherer's module of the number of gatherers if it has changed,
// each in an event of its own, and schedules itself again.
func (w *world) updateFleetSize() {
	n := max(1, w.FleetSize(w.now-epochStart))
	for _, g := range w.gatherers {
		if g.up && g.fleetSize != n {
			g.fleetSize = n
			w.notify(g, sq.SettingsChanged{Settings: w.settingsOf(g, n)})
		}
	}
	w.scheduleAfter(500*ms, w.updateFleetSize)
}

// settingsOf returns the settings of a gatherer in a fleet of n.
func (w *world) settingsOf(g *gatherer, n int) sq.Settings {
	cfg := w.Settings
	cfg.Aggregators, cfg.Self, cfg.Zone = n, min(g.self, n-1), g.zone
	return cfg
}

// serverList returns the current list of servers.
func (w *world) serverList() []sq.Server {
	var l []sq.Server
	for _, s := range w.servers {
		v := sq.Server{ID: s.id, Zone: s.zone, Cell: s.index, Health: sq.Ready, StartedAt: s.startedAt}
		if s.draining {
			v.Health = sq.Draining
		} else if !s.up {
			v.Health = sq.Gone
		}
		l = append(l, v)
	}
	return l
}

// announce notifies all gatherers of the current state of servers, each after its own delay.
func (w *world) announce(ids []sq.ServerID) {
	var l []sq.Server
	for _, v := range w.serverList() {
		if slices.Contains(ids, v.ID) {
			l = append(l, v)
		}
	}
	for _, g := range w.gatherers {
		run := g.run
		w.scheduleAfter(w.rng.Int64N(300*ms), func() {
			if g.up && g.run == run {
				w.notify(g, sq.FleetChanged{Kind: sq.FleetDelta, Servers: l})
			}
		})
	}
}

// sorted returns the IDs of a map in order, so that results do not depend on the order of
// iteration.
func sorted[V any](m map[sq.ID]V) []sq.ID {
	ids := make([]sq.ID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
