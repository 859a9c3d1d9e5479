package peering

import (
	"errors"
	"fmt"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
)

// execute performs the node's output. The order matters: the engine gets the new permit before any
// message is sent, so that a pause is reported only after it has started; and messages are sent
// only if everything that they depend on could be stored.
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
		p.validate(proposal)
	}
	if p.failed != nil {
		return // peers must not learn of state that could not be stored
	}
	peers := *p.peers.Load()
	for _, m := range output.Messages {
		if to := peers[m.To]; to != nil {
			p.enqueue(to, m)
		}
	}
}

// executeGlobal stores the data of the global agreement.
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

// storeRoster updates the peers to a new roster and stores it; nil changes nothing.
func (p *PolicyNode) storeRoster(roster *wire.State) {
	if roster == nil {
		return
	}
	p.setPeers(roster.Members)
	logging.Info(p.log, logging.RolloutRoster, "members", len(roster.Members), "index", roster.MembersIndex)
	p.storeAsync("roster", func() error { return p.host.Roster(roster) })
}

// install puts documents in force and stores them. Nothing is admitted under the old version
// meanwhile, since the permit is revoked first.
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

// validate validates a proposal and, if it is valid, stages it on disk, and then reports the result
// to the node.
func (p *PolicyNode) validate(proposal *wire.Proposal) {
	validateAndStage := func() error {
		if err := p.host.Validate(proposal.Document.Text); err != nil {
			return err
		}
		return p.host.Stage(proposal)
	}
	p.runAsync(validateAndStage, func(now int64, err error) {
		fault := ""
		if err != nil {
			fault = err.Error()
			logging.Warn(p.log, logging.RolloutRefused, "error", err)
		}
		p.node.Validated(now, proposal.Attempt, fault)
	})
}

// updatePermit passes the node's current permit to the engine if it differs from the last one.
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

// storeAsync stores data that nothing waits for. A failure ends this node's part in the agreement.
func (p *PolicyNode) storeAsync(what string, store func() error) {
	p.runAsync(store, func(_ int64, err error) { p.failOn(what, err) })
}

// runAsync runs work on a new goroutine, and then complete on the goroutine that owns the node,
// unless that goroutine has ended.
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

// failOn ends this node's part in the agreement if err is not nil: a decision could not be stored
// or installed here, so no query is admitted any more.
func (p *PolicyNode) failOn(what string, err error) {
	if err == nil {
		return
	}
	if errors.Is(err, ErrClosed) { // the gatherer is shutting down
		p.failed = err
	}
	if p.failed == nil {
		p.failed = fmt.Errorf("%s: %w", what, err)
		logging.Error(p.log, logging.RolloutFails, "what", what, "error", err)
	}
}
