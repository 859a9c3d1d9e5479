package server

import (
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/transport"
	"time"

	sq "saffronquay"
)

const (
	clientMargin     = 10_000      // microseconds subtracted from a client's deadline, which counts from its send
	reservedSockets  = 32          // descriptors for discovery, VRRP, listeners and the process itself; the admin endpoint has its own
	quietPeriod      = 1_000_000   // no request must have arrived for so long before an exit, in microseconds
	firstListTimeout = time.Second // that a process waits for the first list of servers or layout
)

// smallMachineSockets is the number of descriptors up to which servers get a third. All beyond it go to servers, since what a gatherer needs for
// clients grows with its traffic and not with the fleet.
const smallMachineSockets = 1024

// availableSockets is how many descriptors this process may use: those of the other process of this gatherer are subtracted.
func (g *Gatherer) availableSockets() int {
	return max(g.Plan.maxSockets-g.siblingSockets, 3*reservedSockets)
}

// maxServerConns is how many descriptors connections to servers may use. A part that finds no connection is rejected, so that a gatherer before thousands
// of servers with too few of them would never complete a query to all.
func (g *Gatherer) maxServerConns() int {
	return min(192, g.availableSockets()/3) + max(0, g.availableSockets()-smallMachineSockets)
}

// listenerConfig bounds what one listener may use. Clients must never take the descriptors that servers, discovery and operators need.
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

// poolConfig is the configuration of the connections to servers.
func (g *Gatherer) poolConfig() transport.PoolConfig {
	return transport.PoolConfig{
		ConnectTimeout: g.settings.ConnectTimeout, IdleClose: g.settings.IdleClose,
		MaxConns: g.maxServerConns(),
	}
}

// coreTerms are the terms of the core by the settings in force. It registers the classes for the metrics too.
func (g *Gatherer) coreTerms() core.Config {
	set := g.settings
	for _, c := range set.Module.Classes {
		g.metrics.RegisterClasses(c.Name)
	}
	budgets := g.budgets
	if g.quotas != nil && g.contracts != nil {
		budgets = g.quotas.divideBudgets(g.clock.Now(), budgets, g.contracts)
	}
	held := int64(0)
	if g.newWatcher == nil { // a search front: the size of its answers is not known
		held = int64(g.memoryMB) << 20 / 4
	}
	return core.Config{
		MaxValueBytes: held, Period: set.Module.Period, Shards: set.Module.Shards, MaxOpen: set.MaxOpen,
		PartsPerCall: g.partsPerCall, RetryAfter: set.Module.Limits.RetryAfter,
		MaxRetryAfter: set.Module.Limits.MaxRetryAfter, AnswerGrace: set.Module.Period,
		Classes: set.Module.Classes, Tenants: budgets,
	}
}

// moduleSettings are the decision module's settings; the number of gatherers is the quotas' or the fleet view's where one of them is followed.
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

// dividedContracts are the contracts as this gatherer applies them: by its quotas, or divided by the fleet view's number, where one of them is followed.
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

// memoryLimit is the soft limit of the Go runtime in bytes: three quarters of the process's memory.
func (p Plan) memoryLimit() int64 { return int64(p.memoryMB) << 20 * 3 / 4 }
