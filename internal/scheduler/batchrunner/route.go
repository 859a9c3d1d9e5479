package batchrunner

import (
	"context"
	"saffronquay/internal/scheduler/configuration"
	"saffronquay/internal/scheduler/rpc"
	"time"
)

// scoreRouteInterval is how often a missing route of a reward call is looked up again.
const scoreRouteInterval = 100 * time.Millisecond

// findRoute returns the item's route. If there is none that may be used, it returns the report that ends the
// lease instead.
func (r *itemRun) findRoute() (*configuration.Route, *rpc.Report) {
	host, path := r.lease.Host, r.lease.Item.Path
	route, report := r.lookUpRoute(host, path)
	if route != nil || report != nil {
		return route, report
	}
	r.Log.Warn("item abandoned: its route was removed", "job", r.lease.Job, "item", r.lease.Item.Id, "host", host, "path", path,
		"configuration", r.configurationVersion(), "accepted", r.lease.ConfigurationVersion)
	return nil, incompleteReport()
}

// lookUpRoute returns the route of a request of the lease: the item itself or its reward call. If the
// configuration in force does not prove that there is none, it returns the report that hands the item back.
// Both are nil if the route was removed.
func (r *itemRun) lookUpRoute(host, path string) (*configuration.Route, *rpc.Report) {
	table := r.Configuration()
	if table.Version < r.lease.ConfigurationVersion {
		return nil, outdatedReport(table.Version)
	}
	if route := table.Find(host, path); route != nil {
		return route, nil
	}
	if table.Version < r.lease.NewestConfiguration || r.isVersionUnknown() {
		return nil, outdatedReport(table.Version) // a newer configuration may have the route
	}
	return nil, nil
}

// isVersionUnknown reports whether the shard no longer has the configuration version of the lease's job, since
// an earlier build left it out of a snapshot. No configuration proves then that the route was removed. An
// owner of an earlier build names neither version and would grant the item again at once.
func (r *itemRun) isVersionUnknown() bool {
	return r.lease.ConfigurationVersion == 0 && r.lease.NewestConfiguration > 0
}

// awaitScoreRoute returns the route of a reward call. If the configuration in force has none, it keeps the
// text and waits for a configuration that has one, until the item's deadline: the operator may add the
// route again, and only the end of the item's own route ends the item. Without a route it returns the
// report that hands the item back, or neither if ctx was cancelled.
func (r *itemRun) awaitScoreRoute(ctx context.Context, scorer *rpc.Scorer) (*configuration.Route, *rpc.Report) {
	for waiting := false; ctx.Err() == nil; waiting = true {
		route, report := r.lookUpRoute(scorer.Host, scorer.Path)
		if route != nil || report != nil {
			return route, report
		}
		log := r.Log.With("job", r.lease.Job, "item", r.lease.Item.Id, "host", scorer.Host, "path", scorer.Path, "configuration", r.configurationVersion())
		if !time.Now().Before(r.deadline) {
			log.Warn("item handed back: its reward call has no route")
			return nil, releaseReport()
		}
		if !waiting {
			log.Info("reward call waits: the configuration has no route for it")
		}
		backOff(ctx, scoreRouteInterval)
	}
	return nil, nil
}
