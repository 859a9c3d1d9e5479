package server

import (
	"errors"
	"runtime/debug"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/swim"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

var errNoFleet = errors.New("no view of a fleet is set up")

// fleetView is this gatherer's view of its fleet, and the number of gatherers by which budgets are
// divided. The peering goroutine sends updates of the view through counts. currentDivisor may be read
// from any goroutine; the other fields belong to the gatherer's goroutine.
type fleetView struct {
	peers           *peering.Peers
	counts          chan memberCount // has the newest count only
	divisorFollower swim.Divisor
	effectiveSize   int          // 0: no contact with another member yet, the configured number applies
	currentDivisor  atomic.Int64 // 0: the configured number applies
	stepTimer       *time.Timer
}

// memberCount is the size of the fleet. joined is false until there was contact with another member.
type memberCount struct {
	effectiveSize int
	joined        bool
}

// programVersion returns the revision of this build, which members publish to each other.
func programVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(12, len(s.Value))]
		}
	}
	return strings.Trim(info.Main.Version, "()")
}

// joinFleet opens the view of the fleet and joins the fleet. If the process that this one replaces
// still has the address, joinFleet retries in the background while the gatherer serves, and passes the
// view to the gatherer's goroutine when the address is free.
func (g *Gatherer) joinFleet() error {
	f := g.fleetFile
	if f == nil {
		return nil
	}
	m := &fleetView{counts: make(chan memberCount, 1), stepTimer: time.NewTimer(time.Hour)}
	m.stepTimer.Stop()
	cfg := peering.Config{Listen: f.Listen, Allow: f.Allow, Seed: g.seed, Core: swim.Config{
		Fleet: f.Name, Name: g.name, Start: uint64(time.Now().UnixMicro()),
		Address: f.Advertise, Zone: g.settings.Module.Zone, Version: programVersion(), Join: f.Join, ProbePeriod: f.ProbePeriod.Microseconds(),
		SuspicionFactor: f.SuspicionFactor, CountDeadFor: f.CountDeadFor.Microseconds(),
	}, OnView: g.updatePolicyPeers}
	seedBugs(&cfg.Core, nil)
	open := func() (err error) {
		m.peers, err = peering.Open(cfg, g.clock.Now, m.receive, g.logger)
		return err
	}
	err := open()
	if err == nil {
		g.startFleetView(m)
		return nil
	}
	if g.passedSocket == 0 || !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	logging.Warn(g.logger, logging.Peers, "listen", f.Listen, "error", err)
	go func() {
		tick := time.NewTicker(listenRetryInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-g.ended:
				return
			}
			if open() == nil {
				break
			}
		}
		select {
		case g.lateFleetView <- m:
		case <-g.ended:
			m.peers.Close()
		}
	}()
	return nil
}

// startFleetView starts the view. It is called on the gatherer's goroutine, or by Start before that
// goroutine runs.
func (g *Gatherer) startFleetView(m *fleetView) {
	g.fleetView = m
	g.publishedFleetView.Store(m)
	go m.peers.Run()
	m.peers.SetMetadata(g.fleetMetadata)
}

// fleetMetadata returns f with the fields that this gatherer publishes of itself set to their present
// values.
func (g *Gatherer) fleetMetadata(f swim.Metadata) swim.Metadata {
	_, state := g.lifecycle.Status()
	f.Draining, f.Standby = state == "leaving", state == "standby" || g.isStandby()
	f.PolicyVersion = g.policyNumber.Load()
	if op := g.currentFile.Load(); op != nil && op.Rollout != nil {
		f.PolicyAddress = op.Rollout.Members[op.Name]
	}
	return f
}

// receive passes the newest count to the gatherer's goroutine, replacing an older one that was not yet
// read. It does not block. It must not be called concurrently.
func (m *fleetView) receive(_, effectiveSize int, joined bool) {
	select {
	case <-m.counts:
	default:
	}
	m.counts <- memberCount{effectiveSize, joined}
}

// updates returns the channel of new counts; nil without a view.
func (m *fleetView) updates() <-chan memberCount {
	if m == nil {
		return nil
	}
	return m.counts
}

// divisorDue returns the channel that fires when the divisor may take its next step; nil without a
// view.
func (m *fleetView) divisorDue() <-chan time.Time {
	if m == nil {
		return nil
	}
	return m.stepTimer.C
}

// applyMemberCount applies a new size of the fleet. Until there was contact with another member the
// configured numbers apply: a gatherer that starts in isolation must not use the whole of every budget.
func (g *Gatherer) applyMemberCount(c memberCount) {
	if c.joined {
		g.fleetView.effectiveSize = c.effectiveSize
		g.updateDivisor()
	}
}

// updateDivisor moves the divisor towards the size of the fleet and applies it to the engine.
func (g *Gatherer) updateDivisor() {
	m := g.fleetView
	n, next := m.divisorFollower.Update(g.clock.Now(), m.effectiveSize)
	if next > 0 {
		m.stepTimer.Reset(time.Duration(max(0, next-g.clock.Now())) * time.Microsecond)
	}
	if n == m.divisor() {
		return
	}
	m.currentDivisor.Store(int64(n))
	logging.Info(g.logger, logging.PeersReckon, "members", m.effectiveSize, "divide", n)
	g.engine.Reconfigure(g.coreConfig(), g.moduleSettings(), g.poolConfig(), g.dialect)
	g.engine.SetContracts(g.dividedContracts())
}

// divisor returns the number by which budgets are divided; 0 means that the configured number applies.
func (m *fleetView) divisor() int {
	if m == nil {
		return 0
	}
	return int(m.currentDivisor.Load())
}

// leave leaves the fleet. The other members are notified before it returns.
func (m *fleetView) leave() {
	if m != nil {
		m.peers.Stop()
	}
}

// updateMetadata publishes the metadata that update returns.
func (m *fleetView) updateMetadata(update func(swim.Metadata) swim.Metadata) {
	if m != nil {
		m.peers.SetMetadata(update)
	}
}

// trafficMetrics converts the counters of one kind of control traffic.
func trafficMetrics(t peering.Traffic) adminapi.TrafficMetrics {
	return adminapi.TrafficMetrics{Sent: t.Sent, Received: t.Received, SentBytes: t.SentBytes, ReceivedBytes: t.ReceivedBytes, QuotaBytes: t.QuotaBytes, Links: t.Links}
}

// metrics returns the metrics of the view; the zero value before the view is open.
func (m *fleetView) metrics() adminapi.FleetMetrics {
	if m == nil {
		return adminapi.FleetMetrics{}
	}
	k := m.peers.Counts()
	return adminapi.FleetMetrics{
		Alive: int64(k.AliveCount), EffectiveSize: int64(k.EffectiveSize), Suspected: int64(k.Suspected), Dead: int64(k.Dead), HealthScore: int64(k.HealthScore), NameConflict: int64(k.NameConflict),
		Sent: k.Sent, Received: k.Received, Dropped: k.Dropped + k.DroppedByAddress, Bytes: k.SentBytes + k.FrameBytes, Exchanges: k.Exchanges, FailedProbes: k.FailedProbes,
		Suspicions: k.Counts.Suspicions, Refutations: k.Refutations, Deaths: k.Deaths, Stalls: k.Stalls, DroppedByLimit: k.DroppedByLimit,
		Traffic: trafficMetrics(k.Traffic),
	}
}
