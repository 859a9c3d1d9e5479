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
type members struct {
	peers    *peering.Peers
	told     chan count // the newest
	follower swim.Divisor
	reckon   int          // 0: nobody was met yet, and the file's numbers hold
	divide   atomic.Int64 // 0: the file's
	again    *time.Timer
}

type count struct {
	reckon int
	joined bool
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
func (g *Gatherer) meet() error {
	f := g.fleetFile
	if f == nil {
		return nil
	}
	m := &members{told: make(chan count, 1), again: time.NewTimer(time.Hour)}
	m.again.Stop()
	cfg := peering.Config{Listen: f.Listen, Allow: f.Allow, Seed: g.seed, Core: swim.Config{
		Fleet: f.Name, Name: g.name, Start: uint64(time.Now().UnixMicro()),
		Address: f.Advertise, Zone: g.settings.Module.Zone, Version: programVersion(), Join: f.Join, ProbePeriod: f.Period.Microseconds(),
		SuspicionFactor: f.Suspect, CountDeadFor: f.Reckon.Microseconds(),
	}, OnView: g.sees}
	seed(&cfg.Core, nil)
	open := func() (err error) {
		m.peers, err = peering.Open(cfg, g.clock.Now, m.hear, g.logger)
		return err
	}
	err := open()
	if err == nil {
		g.takePart(m)
		return nil
	}
	if g.passed == 0 || !errors.Is(err, syscall.EADDRINUSE) {
		return err
	}
	logging.Warn(g.logger, logging.Peers, "listen", f.Listen, "error", err)
	go func() {
		tick := time.NewTicker(listenAgain)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-g.over:
				return
			}
			if open() == nil {
				break
			}
		}
		select {
		case g.late <- m:
		case <-g.over:
			m.peers.Close()
		}
	}()
	return nil
}

// takePart has the view run, on the gatherer's goroutine or before it runs.
func (g *Gatherer) takePart(m *members) {
	g.fleetView = m
	g.view.Store(m)
	go m.peers.Run()
	m.peers.SetMetadata(g.facts)
}

// facts are what this gatherer tells of itself now.
func (g *Gatherer) facts(f swim.Metadata) swim.Metadata {
	_, word := g.duty.Status()
	f.Draining, f.Standby = word == "leaving", word == "standby" || g.standsBy()
	f.PolicyVersion = g.number.Load()
	if op := g.inForce.Load(); op != nil && op.Rollout != nil {
		f.PolicyAddress = op.Rollout.Members[op.Name]
	}
	return f
}

// hear keeps the newest word for the gatherer's goroutine.
func (m *members) hear(_, reckon int, joined bool) {
	select {
	case <-m.told:
	default:
	}
	m.told <- count{reckon, joined}
}

// news is where the view's word comes; nil where there is no view.
func (m *members) news() <-chan count {
	if m == nil {
		return nil
	}
	return m.told
}

// step is when the number may go on towards the view's; nil where there is no view.
func (m *members) step() <-chan time.Time {
	if m == nil {
		return nil
	}
	return m.again.C
}

// reckoned takes the view's word in. Until anybody was met the file's numbers hold: a gatherer that begins alone must not take
// everything for its own.
func (g *Gatherer) reckoned(c count) {
	if c.joined {
		g.fleetView.reckon = c.reckon
		g.redivide()
	}
}

// redivide moves the number that budgets are divided by towards the members to reckon with, and puts it in force.
func (g *Gatherer) redivide() {
	m := g.fleetView
	n, next := m.follower.Update(g.clock.Now(), m.reckon)
	if next > 0 {
		m.again.Reset(time.Duration(max(0, next-g.clock.Now())) * time.Microsecond)
	}
	if n == m.divisor() {
		return
	}
	m.divide.Store(int64(n))
	logging.Info(g.logger, logging.PeersReckon, "members", m.reckon, "divide", n)
	g.engine.Reconfigure(g.terms(), g.module(), g.pool(), g.dialect)
	g.engine.SetContracts(g.shares())
}

// module is the module's settings, with the view's number where it is followed.
func (g *Gatherer) module() sq.Settings {
	s := g.settings.Module
	if g.parts != nil && g.contracts != nil {
		s.Aggregators = g.parts.aggregators(g.contracts)
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
func (g *Gatherer) shares() *admission.Config {
	if g.parts != nil {
		return g.parts.divided(g.contracts)
	}
	if f := g.fleetFile; f != nil && f.Contracts && g.contracts != nil && g.fleetView.divisor() > 0 {
		c := *g.contracts
		c.Gatherers = g.fleetView.divisor()
		return &c
	}
	return g.contracts
}

func (m *members) divisor() int {
	if m == nil {
		return 0
	}
	return int(m.divide.Load())
}

// Peers is where others reach this gatherer's view of the fleet; empty where there is none.
func (g *Gatherer) Peers() string {
	if m := g.view.Load(); m != nil {
		return m.peers.Address().String()
	}
	return ""
}

// Members are how many this gatherer sees alive, and how many it reckons with; nought where it keeps no view, or the view is late.
func (g *Gatherer) Members() (alive, reckon int) {
	if m := g.view.Load(); m != nil {
		k := m.peers.Counts()
		return k.AliveCount, k.EffectiveSize
	}
	return 0, 0
}

// part leaves the fleet; it is told before this returns.
func (m *members) part() {
	if m != nil {
		m.peers.Stop()
	}
}

// change has what this gatherer tells of itself looked at again.
func (m *members) change(facts func(swim.Metadata) swim.Metadata) {
	if m != nil {
		m.peers.SetMetadata(facts)
	}
}

func trafficFigures(t peering.Traffic) adminapi.TrafficFigures {
	return adminapi.TrafficFigures{Sent: t.Sent, Received: t.Received, SentBytes: t.SentBytes, ReceivedBytes: t.ReceivedBytes, ShareBytes: t.QuotaBytes, Links: t.Links}
}

func (m *members) figures() adminapi.FleetFigures {
	if m == nil {
		return adminapi.FleetFigures{} // not yet
	}
	k := m.peers.Counts()
	return adminapi.FleetFigures{
		Alive: int64(k.AliveCount), Reckon: int64(k.EffectiveSize), Suspected: int64(k.Suspected), Dead: int64(k.Dead), Ill: int64(k.HealthScore), Twin: int64(k.NameConflict),
		Sent: k.Sent, Received: k.Received, Dropped: k.Dropped + k.DroppedByAddress, Bytes: k.SentBytes + k.FrameBytes, Exchanges: k.Exchanges, Failed: k.FailedProbes,
		Accused: k.Counts.Suspicions, Refuted: k.Refutations, Died: k.Deaths, Naps: k.Stalls, Full: k.DroppedByLimit,
		Traffic: trafficFigures(k.Traffic),
	}
}

// Fleet appends the view of the fleet: a line of its own, then one for each member.
func (d desk) Fleet(dst []byte) []byte {
	m := d.members()
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
func (d desk) Forget(name string) error {
	if m := d.members(); m != nil {
		return m.peers.Forget(name)
	}
	return errNoFleet
}

// LeaveFleet has this gatherer leave its fleet, until it is started again.
func (d desk) LeaveFleet() error {
	if m := d.members(); m != nil {
		return m.peers.Leave()
	}
	return errNoFleet
}
