package server

import (
	"errors"
	"fmt"
	"runtime/debug"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/swim"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	sq "saffronquay"
)

// members is this gatherer's view of its fleet, and the number that budgets are divided by. The view is told of on the driver's
// goroutine; the number belongs to the gatherer's own.
type fleetView struct {
	peers           *peering.Peers
	counts          chan memberCount // the newest
	divisorFollower swim.Divisor
	effectiveSize   int          // 0: nobody was met yet, and the file's numbers hold
	currentDivisor  atomic.Int64 // 0: the file's
	stepTimer       *time.Timer
}

type memberCount struct {
	effectiveSize int
	joined        bool
}

var errNoFleet = errors.New("no view of a fleet is set up")

// programVersion is what members tell each other of their builds.
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

// meet opens the view, and begins to take part. A process that takes another one's place serves meanwhile, and takes part once that one
// has let the address go.
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

// takePart has the view run, on the gatherer's goroutine or before it runs.
func (g *Gatherer) startFleetView(m *fleetView) {
	g.fleetView = m
	g.publishedFleetView.Store(m)
	go m.peers.Run()
	m.peers.SetMetadata(g.fleetMetadata)
}

// facts are what this gatherer tells of itself now.
func (g *Gatherer) fleetMetadata(f swim.Metadata) swim.Metadata {
	_, word := g.lifecycle.Status()
	f.Draining, f.Standby = word == "leaving", word == "standby" || g.isStandby()
	f.PolicyVersion = g.policyNumber.Load()
	if op := g.currentFile.Load(); op != nil && op.Rollout != nil {
		f.PolicyAddress = op.Rollout.Members[op.Name]
	}
	return f
}

// hear keeps the newest word for the gatherer's goroutine.
func (m *fleetView) receive(_, reckon int, joined bool) {
	select {
	case <-m.counts:
	default:
	}
	m.counts <- memberCount{reckon, joined}
}

// news is where the view's word comes; nil where there is no view.
func (m *fleetView) updates() <-chan memberCount {
	if m == nil {
		return nil
	}
	return m.counts
}

// step is when the number may go on towards the view's; nil where there is no view.
func (m *fleetView) divisorDue() <-chan time.Time {
	if m == nil {
		return nil
	}
	return m.stepTimer.C
}

// reckoned takes the view's word in. Until anybody was met the file's numbers hold: a gatherer that begins alone must not take
// everything for its own.
func (g *Gatherer) applyMemberCount(c memberCount) {
	if c.joined {
		g.fleetView.effectiveSize = c.effectiveSize
		g.updateDivisor()
	}
}

// redivide moves the number that budgets are divided by towards the members to reckon with, and puts it in force.
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

// module is the module's settings, with the view's number where it is followed.
func (g *Gatherer) moduleSettings() sq.Settings {
	s := g.settings.Module
	if g.quotas != nil && g.contracts != nil {
		s.Aggregators = g.quotas.aggregators(g.contracts)
		s.Self = min(s.Self, s.Aggregators-1)
		return s
	}
	if f := g.fleetFile; f != nil && f.Balancers && g.fleetView.divisor() > 0 {
		s.Aggregators = g.fleetView.divisor()
		s.Self = min(s.Self, s.Aggregators-1)
	}
	return s
}

// shares is the contracts, with the view's number where it is followed.
func (g *Gatherer) dividedContracts() *admission.Config {
	if g.quotas != nil {
		return g.quotas.divideContracts(g.contracts)
	}
	if f := g.fleetFile; f != nil && f.Contracts && g.contracts != nil && g.fleetView.divisor() > 0 {
		c := *g.contracts
		c.Gatherers = g.fleetView.divisor()
		return &c
	}
	return g.contracts
}

func (m *fleetView) divisor() int {
	if m == nil {
		return 0
	}
	return int(m.currentDivisor.Load())
}

// Peers is where others reach this gatherer's view of the fleet; empty where there is none.
func (g *Gatherer) FleetAddress() string {
	if m := g.publishedFleetView.Load(); m != nil {
		return m.peers.Address().String()
	}
	return ""
}

// Members are how many this gatherer sees alive, and how many it reckons with; nought where it keeps no view, or the view is late.
func (g *Gatherer) MemberCounts() (alive, reckon int) {
	if m := g.publishedFleetView.Load(); m != nil {
		k := m.peers.Counts()
		return k.AliveCount, k.EffectiveSize
	}
	return 0, 0
}

// part leaves the fleet; it is told before this returns.
func (m *fleetView) leave() {
	if m != nil {
		m.peers.Stop()
	}
}

// change has what this gatherer tells of itself looked at again.
func (m *fleetView) updateMetadata(facts func(swim.Metadata) swim.Metadata) {
	if m != nil {
		m.peers.SetMetadata(facts)
	}
}

func trafficMetrics(t peering.Traffic) adminapi.TrafficMetrics {
	return adminapi.TrafficMetrics{Sent: t.Sent, Received: t.Received, SentBytes: t.SentBytes, ReceivedBytes: t.ReceivedBytes, QuotaBytes: t.QuotaBytes, Links: t.Links}
}

func (m *fleetView) metrics() adminapi.FleetMetrics {
	if m == nil {
		return adminapi.FleetMetrics{} // not yet
	}
	k := m.peers.Counts()
	return adminapi.FleetMetrics{
		Alive: int64(k.AliveCount), EffectiveSize: int64(k.EffectiveSize), Suspected: int64(k.Suspected), Dead: int64(k.Dead), HealthScore: int64(k.HealthScore), NameConflict: int64(k.NameConflict),
		Sent: k.Sent, Received: k.Received, Dropped: k.Dropped + k.DroppedByAddress, Bytes: k.SentBytes + k.FrameBytes, Exchanges: k.Exchanges, FailedProbes: k.FailedProbes,
		Suspicions: k.Counts.Suspicions, Refutations: k.Refutations, Deaths: k.Deaths, Stalls: k.Stalls, DroppedByLimit: k.DroppedByLimit,
		Traffic: trafficMetrics(k.Traffic),
	}
}

// Fleet appends the view of the fleet: a line of its own, then one for each member.
func (d adminProgram) Fleet(dst []byte) []byte {
	m := d.fleetView()
	if m == nil {
		return nil
	}
	v, now, err := m.peers.View()
	if err != nil {
		return nil
	}
	dst = fmt.Appendf(dst, "view digest=%016x changed_ms=%d alive=%d reckon=%d divide=%d ill=%d alone=%t twin=%t member=%t\n", v.Digest, (now-v.DigestChanged)/1000, v.AliveCount, v.EffectiveSize,
		m.divisor(), v.HealthScore, v.Isolated, v.NameConflict, !v.Superseded)
	for _, x := range v.Members {
		dst = fmt.Appendf(dst, "member name=%s state=%s since_ms=%d address=%s zone=%s start=%d incarnation=%d version=%s draining=%t standby=%t policy=%d self=%t by=%s\n",
			x.Name, x.State, (now-x.Since)/1000, x.Address, x.Zone, x.Start, x.Incarnation, x.Version, x.Metadata.Draining, x.Metadata.Standby, x.Metadata.PolicyVersion, x.Self, strings.Join(x.Accusers, ","))
	}
	return dst
}

// Forget has a dead member taken for one that has left.
func (d adminProgram) Forget(name string) error {
	if m := d.fleetView(); m != nil {
		return m.peers.Forget(name)
	}
	return errNoFleet
}

// LeaveFleet has this gatherer leave its fleet, until it is started again.
func (d adminProgram) LeaveFleet() error {
	if m := d.fleetView(); m != nil {
		return m.peers.Leave()
	}
	return errNoFleet
}
