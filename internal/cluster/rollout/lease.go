package rollout

import (
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// handleLeaseRequest handles a holder's request at the leader. The request is answered after a
// leadership check that started after its arrival.
func (v *voter) handleLeaseRequest(now int64, from string, identity uint64, request *wire.Ask) {
	var g *grantee
	if !v.cfg.isGlobal {
		g = v.grantee(from)
	} else if g = v.recordRegionRequest(now, from, identity, request); g == nil {
		return
	}
	if !request.Apart {
		g.seenAt = now
	}
	g.number = max(g.number, request.Number)
	g.identity = identity
	if g.left = request.Leaves; g.left { // the holder itself reports that it no longer uses any lease
		g.leaseUntil = min(g.leaseUntil, now)
		v.advance(now)
		return
	}
	g.ready, g.paused = max(g.ready, request.Ready), max(g.paused, request.Held)
	if request.Refused > g.refused {
		g.refused, g.refusalReason = request.Refused, request.Reason
	}
	v.awaitConfirmation(leaseRequest{sender: from, request: request, receivedAt: now})
	v.advance(now)
}

// awaitConfirmation queues a request until a majority has confirmed this voter's leadership.
func (v *voter) awaitConfirmation(r leaseRequest) {
	v.unconfirmed = append(v.unconfirmed, r)
	if len(v.readBatches) < maxEagerBatches {
		v.confirmLeadership()
	}
}

// handleConfirmed answers the requests that arrived before a leadership check that a majority has
// confirmed, in order of arrival.
func (v *voter) handleConfirmed(now int64, check uint64) {
	if !v.isLeader {
		return
	}
	v.leaderHeardAt = now
	for _, c := range slices.Sorted(maps.Keys(v.readBatches)) { // in order of arrival
		if c > check {
			return
		}
		batch := v.readBatches[c]
		delete(v.readBatches, c)
		for _, request := range batch {
			if request.request == nil {
				v.sendGlobalRequest(now, request.receivedAt)
			} else {
				v.answerLeaseRequest(now, request)
			}
		}
	}
}

// answerLeaseRequest answers a request with a lease, or with the reason for its refusal.
func (v *voter) answerLeaseRequest(now int64, r leaseRequest) {
	status := v.status(now, r.request)
	if v.cfg.isGlobal {
		g := v.grantee(r.request.Region)
		if status.Refusal = v.regionRefusal(now, g, r.request); status.Refusal == "" {
			v.grantLease(g, r, status)
		}
		v.outbox = append(v.outbox, &wire.Message{From: v.name, To: r.sender, Word: status})
		return
	}
	g := v.grantee(r.sender)
	if g.left { // the sender left after this request; a new process of its name sends a request of its own
		return
	}
	if status.Refusal = v.refusal(now, g, r); status.Refusal == "" {
		v.grantLease(g, r, status)
		status.Share = v.grantQuota(now, r)
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: r.sender, Word: status})
}

// refusal returns why a gatherer gets no lease now, or "" if it gets one.
func (v *voter) refusal(now int64, g *grantee, r leaseRequest) string {
	switch {
	case v.leaseMember(r.sender) == nil:
		return "the gatherer is not on the roster"
	case r.request.Number != v.state.number():
		return "the gatherer has another version in force" // the status carries the current document
	case v.phase == validating && now-v.phaseSince > v.cfg.ValidationTimeout && g.ready != v.attempt && g.refused != v.attempt:
		return "the gatherer has not validated the open proposal in time"
	case v.isPausing() && g.ready != v.attempt:
		return "a change is being put in force"
	}
	return ""
}

// grantLease adds a lease to the status and records its latest end. That end is computed from the
// arrival of the request, which is no earlier than its sending, where the holder's lease starts.
func (v *voter) grantLease(g *grantee, r leaseRequest, status *wire.Word) {
	status.Lease = v.cfg.Lease
	g.leaseUntil = max(g.leaseUntil, v.leaseEndAtLatest(r.receivedAt))
}

// grantQuota returns the quotas of budgets that accompany a lease, or nil if budgets are not
// divided.
func (v *voter) grantQuota(now int64, r leaseRequest) []byte {
	if v.quotaAllocator == nil {
		return nil
	}
	if v.holderNamesIndex != v.state.MembersIndex {
		v.holderNamesIndex, v.holderNames = v.state.MembersIndex, nil
		for _, m := range v.leaseRoster() {
			v.holderNames = append(v.holderNames, m.Name)
		}
	}
	v.quotaAllocator.SetSlots(v.quotaHolder.Slots())
	return v.quotaAllocator.Grant(now, v.leaseEndAtLatest(r.receivedAt), r.sender, r.request.Share, v.holderNames)
}
