package server

import (
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/transport"
	"time"

	sq "saffronquay"
)

const (
	clientMarginMicros = 10_000      // subtracted from a client's deadline, which counts from its send
	reservedSockets    = 32          // for discovery, VRRP, listeners and the process, without the admin endpoint
	quietPeriodMicros  = 1_000_000   // without a request before a shutdown closes the listening socket
	firstListTimeout   = time.Second // for the first list of servers or the first layout
)

// smallMachineSockets is the number of descriptors of which connections to servers get a third, 192 at
// most. All descriptors beyond it go to servers, since the number of client connections grows with
// the traffic of a gatherer and not with the fleet.
const smallMachineSockets = 1024

// availableSockets returns the number of descriptors that this process may use. Those of the other
// processes of this gatherer are subtracted.
func (g *Gatherer) availableSockets() int {
	return max(g.Plan.maxSockets-g.siblingSockets, 3*reservedSockets)
}

// maxServerConns returns the maximum number of connections to servers. A part for which no
// connection is free is rejected, so with too few connections a gatherer in front of thousands of
// servers would never complete a query that goes to all of them.
func (g *Gatherer) maxServerConns() int {
	return min(192, g.availableSockets()/3) + max(0, g.availableSockets()-smallMachineSockets)
}

// listenerConfig returns the limits of one client listener. Client connections must never use up the
// descriptors that servers, discovery and operators need.
func (g *Gatherer) listenerConfig() transport.ListenerConfig {
	b := transport.ListenerConfig{
		MaxConns: g.availableSockets() - g.maxServerConns() - reservedSockets, MaxKeepAlive: min(g.availableSockets(), smallMachineSockets) / 4,
		IdleTimeout: 15 * time.Second, FirstRequestTimeout: 2500 * time.Millisecond, RequestTimeout: 2500 * time.Millisecond,
		MaxPartialBytes: int64(g.memoryMB) << 20 / 8,
	}
	if g.adminListen != "" {
		b.MaxConns -= transport.AdminSockets
	}
	if l := g.settings.Module.Limits; l.RetryAfter {
		b.RetryAfter = time.Duration(l.MaxRetryAfter) * time.Microsecond
	}
	if g.vrrp != nil {
		b.MaxConns /= 2 // the virtual address has a listener of its own
		b.MaxKeepAlive /= 2
	}
	return b
}

// poolConfig returns the configuration of the connections to servers.
func (g *Gatherer) poolConfig() transport.PoolConfig {
	return transport.PoolConfig{
		ConnectTimeout: g.settings.ConnectTimeout, IdleClose: g.settings.IdleClose,
		MaxConns: g.maxServerConns(),
	}
}

// coreConfig returns the configuration of the core for the settings in force. It also registers the
// classes for the metrics.
func (g *Gatherer) coreConfig() core.Config {
	set := g.settings
	for _, c := range set.Module.Classes {
		g.metrics.RegisterClasses(c.Name)
	}
	budgets := g.budgets
	if g.quotas != nil && g.contracts != nil {
		budgets = g.quotas.divideBudgets(g.clock.Now(), budgets, g.contracts)
	}
	maxValueBytes := int64(0)
	if g.newWatcher == nil { // a search front: the size of its answers is not known in advance
		maxValueBytes = int64(g.memoryMB) << 20 / 4
	}
	return core.Config{
		MaxValueBytes: maxValueBytes, Period: set.Module.Period, Shards: set.Module.Shards, MaxOpen: set.MaxOpen,
		PartsPerCall: g.partsPerCall, RetryAfter: set.Module.Limits.RetryAfter,
		MaxRetryAfter: set.Module.Limits.MaxRetryAfter, AnswerGrace: set.Module.Period,
		Classes: set.Module.Classes, Tenants: budgets,
	}
}

// moduleSettings returns the settings of the decision module. The number of gatherers in them follows
// from the quotas or from the view of the fleet if one of them is configured to determine it.
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

// dividedContracts returns the contracts as this gatherer applies them: limited by its quotas, or
// divided by the size of the fleet view, if one of them is configured.
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

// memoryLimit returns the soft memory limit of the Go runtime in bytes: three quarters of the process's
// memory.
func (p Plan) memoryLimit() int64 { return int64(p.memoryMB) << 20 * 3 / 4 }
