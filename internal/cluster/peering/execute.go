package peering

import (
	"errors"
	"fmt"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
)

// execute does what the node wants done. The order matters: the engine has the new permit before any message leaves, so that held queries are reported only
// when they are held; and messages leave only where all that they depend on could be stored.
func (p *PolicyNode) execute() {
	output := p.node.TakeOutput()
	p.storeRoster(output.Roster)
	p.install(output.Install)
	p.updatePermit()
	if save := output.Save; save != nil && p.failed == nil {
		p.runAsync(func() error { return p.host.Save(save) }, func(now int64, err error) {
			if err == nil {
				err = p.node.Saved(now)
			}
			p.failOn("save", err)
		})
	}
	if snapshot := output.Snapshot; snapshot != nil {
		disk := rollout.Disk{ID: output.SnapshotOf, Snapshot: snapshot}
		p.storeAsync("snapshot", func() error { return p.host.Snapshot(disk) })
	}
	p.executeGlobal(output.Global)
	for _, proposal := range output.Validate {
		p.judge(proposal)
	}
	if p.failed != nil {
		return // no peer may hear of what could not be stored
	}
	peers := *p.peers.Load()
	for _, m := range output.Messages {
		if to := peers[m.To]; to != nil {
			p.enqueue(to, m)
		}
	}
}

// executeGlobal stores what the global agreement wants stored.
func (p *PolicyNode) executeGlobal(output rollout.GlobalOutput) {
	if save := output.Save; save != nil && p.failed == nil {
		p.runAsync(func() error { return p.cfg.Global.SaveGlobal(save) }, func(now int64, err error) {
			if err == nil {
				err = p.node.SavedGlobal(now)
			}
			p.failOn("save global", err)
		})
	}
	if snapshot := output.Snapshot; snapshot != nil {
		disk := rollout.Disk{ID: output.SnapshotOf, Snapshot: snapshot}
		p.storeAsync("snapshot global", func() error { return p.cfg.Global.SnapshotGlobal(disk) })
	}
}

// storeRoster allows links to the members of a new roster and stores it; nil changes nothing.
func (p *PolicyNode) storeRoster(roster *wire.State) {
	if roster == nil {
		return
	}
	p.setPeers(roster.Members)
	logging.Info(p.log, logging.RolloutRoster, "members", len(roster.Members), "index", roster.MembersIndex)
	p.storeAsync("roster", func() error { return p.host.Roster(roster) })
}

// install puts documents in force and stores them. Meanwhile nothing is admitted under the old one.
func (p *PolicyNode) install(documents []*wire.Document) {
	if len(documents) > 0 && !p.permit.Suspended {
		p.permit.Expires = 0
		p.host.Permit(p.permit)
	}
	for _, document := range documents {
		p.failOn("install", p.host.Install(document))
		if holder := p.node.Quota(); holder != nil {
			holder.SetSlots(p.host.Slots())
		}
		logging.Info(p.log, logging.RolloutInForce, "number", document.Number)
		p.storeAsync("keep", func() error { return p.host.Keep(document) })
	}
}

// judge has a proposal judged and, if it is good, stored; then the node is notified.
func (p *PolicyNode) judge(proposal *wire.Proposal) {
	judgeAndStage := func() error {
		if err := p.host.Judge(proposal.Document.Text); err != nil {
			return err
		}
		return p.host.Stage(proposal)
	}
	p.runAsync(judgeAndStage, func(now int64, err error) {
		fault := ""
		if err != nil {
			fault = err.Error()
			logging.Warn(p.log, logging.RolloutRefused, "error", err)
		}
		p.node.Validated(now, proposal.Attempt, fault)
	})
}

// updatePermit gives the engine the node's present permit where it differs from the last one.
func (p *PolicyNode) updatePermit() {
	n := p.node
	permit := transport.Permit{Version: n.Number(), Expires: n.AdmitsUntil(), Suspended: n.IsPaused(), SuspendedUntil: n.PauseEnd(), RetryAfter: p.cfg.Node.Lease / 2}
	if p.failed != nil {
		permit.Expires, permit.Suspended = 0, false
	}
	if permit == p.permit {
		return
	}
	if permit.Suspended != p.permit.Suspended {
		logging.Debug(p.log, logging.RolloutHolds, "on", permit.Suspended, "number", permit.Version)
	}
	p.permit = permit
	p.host.Permit(permit)
}

// storeAsync stores something that nothing waits for.
func (p *PolicyNode) storeAsync(what string, store func() error) {
	p.runAsync(store, func(_ int64, err error) { p.failOn(what, err) })
}

// runAsync runs work on a goroutine of its own, and then complete on the goroutine that owns the node, unless that has ended.
func (p *PolicyNode) runAsync(work func() error, complete func(now int64, err error)) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		err := work()
		select {
		case p.completions <- func(now int64) { complete(now, err) }:
		case <-p.done:
		}
	}()
}

// failOn ends this part in the agreement if err is not nil: what was agreed on can't be stored or installed here, so no query is admitted any more.
func (p *PolicyNode) failOn(what string, err error) {
	if err == nil {
		return
	}
	if errors.Is(err, ErrClosed) { // the gatherer ends
		p.failed = err
	}
	if p.failed == nil {
		p.failed = fmt.Errorf("%s: %w", what, err)
		logging.Error(p.log, logging.RolloutFails, "what", what, "error", err)
	}
}
