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

// fleetView is this gatherer's view of its fleet, and the number that budgets are divided by. Updates of the view arrive on the peering goroutine and go
// through counts; currentDivisor may be read anywhere; the other fields belong to the gatherer's goroutine.
type fleetView struct {
	peers           *peering.Peers
	counts          chan memberCount // the newest
	divisorFollower swim.Divisor
	effectiveSize   int          // 0: no other member was met yet, and the file's number applies
	currentDivisor  atomic.Int64 // 0: the file's number applies
	stepTimer       *time.Timer
}

// memberCount is the newest size of the fleet. joined is false until another member was met.
type memberCount struct {
	effectiveSize int
	joined        bool
}

// programVersion is the build that members report to each other.
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

// joinFleet opens the view and begins to take part. Where the process that this one replaces still has the address, it tries again in the background
// while the gatherer serves, and hands the view to the gatherer's goroutine when the address is free.
func (g *Gatherer) joinFleet() error {
	f := g.fleetFile
	if f == nil {
		return nil
	}
	m := &fleetView{counts: make(chan memberCount, 1), stepTimer: time.NewTimer(time.Hour)}
	m.stepTimer.Stop()
	cfg := peering.Config{Listen: f.Listen, Allow: f.Allow, Seed: g.seed, Core: swim.Config{
		Fleet: f.Name, Name: g.name, Start: uint64(time.Now().UnixMicro()),
		Address: f.Advertise, Zone: g.settings.Module.Zone, Version: programVersion(), Join: f.Join, ProbePeriod: f.Period.Microseconds(),
		SuspicionFactor: f.Suspect, CountDeadFor: f.CountLostFor.Microseconds(),
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

// startFleetView has the view run. The gatherer's goroutine calls it, or Start before that goroutine runs.
func (g *Gatherer) startFleetView(m *fleetView) {
	g.fleetView = m
	g.publishedFleetView.Store(m)
	go m.peers.Run()
	m.peers.SetMetadata(g.fleetMetadata)
}

// fleetMetadata updates what this gatherer publishes of itself in the view.
func (g *Gatherer) fleetMetadata(f swim.Metadata) swim.Metadata {
	_, state := g.lifecycle.Status()
	f.Draining, f.Standby = state == "leaving", state == "standby" || g.isStandby()
	f.PolicyVersion = g.policyNumber.Load()
	if op := g.currentFile.Load(); op != nil && op.Rollout != nil {
		f.PolicyAddress = op.Rollout.Members[op.Name]
	}
	return f
}

// receive keeps the newest count for the gatherer's goroutine. It does not block.
func (m *fleetView) receive(_, effectiveSize int, joined bool) {
	select {
	case <-m.counts:
	default:
	}
	m.counts <- memberCount{effectiveSize, joined}
}

// updates is where counts arrive; nil where there is no view.
func (m *fleetView) updates() <-chan memberCount {
	if m == nil {
		return nil
	}
	return m.counts
}

// divisorDue fires when the divisor may take its next step; nil where there is no view.
func (m *fleetView) divisorDue() <-chan time.Time {
	if m == nil {
		return nil
	}
	return m.stepTimer.C
}

// applyMemberCount takes a new count in. Until another member was met the file's numbers apply: a gatherer that starts alone must not take every budget
// for its own.
func (g *Gatherer) applyMemberCount(c memberCount) {
	if c.joined {
		g.fleetView.effectiveSize = c.effectiveSize
		g.updateDivisor()
	}
}

// updateDivisor moves the divisor towards the size of the fleet, and puts it in force.
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
	g.engine.Reconfigure(g.coreTerms(), g.moduleSettings(), g.poolConfig(), g.dialect)
	g.engine.SetContracts(g.dividedContracts())
}

// divisor is the number that budgets are divided by; 0: the file's number applies.
func (m *fleetView) divisor() int {
	if m == nil {
		return 0
	}
	return int(m.currentDivisor.Load())
}

// leave leaves the fleet; the other members are notified before it returns.
func (m *fleetView) leave() {
	if m != nil {
		m.peers.Stop()
	}
}

// updateMetadata publishes this gatherer's metadata again.
func (m *fleetView) updateMetadata(facts func(swim.Metadata) swim.Metadata) {
	if m != nil {
		m.peers.SetMetadata(facts)
	}
}

// trafficMetrics are the metrics of one part of the control traffic.
func trafficMetrics(t peering.Traffic) adminapi.TrafficMetrics {
	return adminapi.TrafficMetrics{Sent: t.Sent, Received: t.Received, SentBytes: t.SentBytes, ReceivedBytes: t.ReceivedBytes, QuotaBytes: t.QuotaBytes, Links: t.Links}
}

// metrics are the view's metrics; zero before it is open.
func (m *fleetView) metrics() adminapi.FleetMetrics {
	if m == nil {
		return adminapi.FleetMetrics{} // it is not open yet
	}
	k := m.peers.Counts()
	return adminapi.FleetMetrics{
		Alive: int64(k.AliveCount), EffectiveSize: int64(k.EffectiveSize), Suspected: int64(k.Suspected), Dead: int64(k.Dead), HealthScore: int64(k.HealthScore), NameConflict: int64(k.NameConflict),
		Sent: k.Sent, Received: k.Received, Dropped: k.Dropped + k.DroppedByAddress, Bytes: k.SentBytes + k.FrameBytes, Exchanges: k.Exchanges, FailedProbes: k.FailedProbes,
		Suspicions: k.Counts.Suspicions, Refutations: k.Refutations, Deaths: k.Deaths, Stalls: k.Stalls, DroppedByLimit: k.DroppedByLimit,
		Traffic: trafficMetrics(k.Traffic),
	}
}
