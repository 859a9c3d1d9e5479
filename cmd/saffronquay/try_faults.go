package main

import (
	"context"
	"fmt"
	"io"
	"saffronquay/internal/broker/layout"
	"saffronquay/internal/testing/fakebackend"
	"time"

	sq "saffronquay"
)

const (
	firstFaultDelay  = 3 * time.Second // from the start to the first fault
	gathererDowntime = 2 * time.Second
	backendDowntime  = 5 * time.Second
	layoutStepPause  = time.Second
)

// trialFaults injects the faults of a trial. It is not safe for concurrent use.
type trialFaults struct {
	trial
	out      io.Writer
	backends *fakebackend.Cluster
	fleet    *trialFleet
}

// run injects the faults that the flags specify, one after the other, until ctx is done.
func (f *trialFaults) run(ctx context.Context) {
	if !sleep(ctx, firstFaultDelay) {
		return
	}
	if f.policy {
		f.fleet.proposePolicy(f.reportf, 1)
	}
	if (f.kill || f.policy) && f.gatherers > 1 && !f.restartGatherer(ctx) {
		return
	}
	if f.kill && !f.restartBackend(ctx) {
		return
	}
	if f.slow && !f.stallBackend(ctx) {
		return
	}
	if f.split {
		f.splitRange(ctx)
	}
}

func (f *trialFaults) reportf(format string, args ...any) {
	fmt.Fprintf(f.out, "  >> "+format+"\n", args...)
}

// sleep waits for d, and reports false if ctx was done before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// restartGatherer stops the last gatherer for gathererDowntime. With --policy the policy is changed
// meanwhile. It reports false if ctx is done.
func (f *trialFaults) restartGatherer(ctx context.Context) bool {
	last := f.gatherers - 1
	f.reportf("gatherer try-%d is stopped", f.gatherers)
	if err := f.fleet.stop(last); err != nil {
		f.reportf("%v", err)
	}
	if f.policy {
		f.fleet.proposePolicy(f.reportf, 2)
	}
	if !sleep(ctx, gathererDowntime) {
		return false
	}
	if err := f.fleet.start(ctx, last); err != nil {
		f.reportf("%v", err)
	}
	f.reportf("gatherer try-%d is back", f.gatherers)
	return true
}

// restartBackend kills a backend and restarts it after backendDowntime. It reports false if ctx is
// done.
func (f *trialFaults) restartBackend(ctx context.Context) bool {
	f.reportf("ledger-1 is killed")
	f.backends.Servers[1].Kill()
	if !sleep(ctx, backendDowntime) {
		return false
	}
	if err := f.backends.Servers[1].Start(); err == nil {
		f.reportf("ledger-1 is back")
	}
	return true
}

// stallBackend makes a backend unresponsive for backendDowntime. It reports false if ctx is done.
func (f *trialFaults) stallBackend(ctx context.Context) bool {
	f.reportf("ledger-2 is unresponsive")
	f.backends.Servers[2].Set(fakebackend.Silent)
	if !sleep(ctx, backendDowntime) {
		return false
	}
	f.backends.Servers[2].Set(fakebackend.None)
	f.reportf("ledger-2 answers again")
	return true
}

// splitRange takes a split of the first range through all its steps, until ctx is done.
func (f *trialFaults) splitRange(ctx context.Context) {
	steps := []layout.Step{
		{Change: "try", Do: layout.Announce, Kind: layout.Split, From: []int{0}, To: []layout.Range{
			{Span: layout.Span{From: 0, To: 500}, Shard: trialRanges, Holders: []sq.ServerID{"ledger-0", "ledger-1"}},
			{Span: layout.Span{From: 500, To: 1000}, Shard: trialRanges + 1, Holders: []sq.ServerID{"ledger-3", "ledger-4"}},
		}},
		{Change: "try", Do: layout.Copy},
		{Change: "try", Do: layout.MarkReady},
		{Change: "try", Do: layout.Cut},
		{Change: "try", Do: layout.Retire},
	}
	for _, step := range steps {
		if err := f.backends.Do(step); err != nil {
			f.reportf("split: %v", err)
			return
		}
		f.reportf("keys 0 to 1000 are split in two: %s", step.Do)
		if !sleep(ctx, layoutStepPause) {
			return
		}
	}
}
