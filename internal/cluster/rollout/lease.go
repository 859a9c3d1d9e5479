package rollout

import (
	"maps"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
)

// handleLeaseRequest handles a holder's request, where this voter leads. It is answered once leadership is confirmed after it.
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
	if g.left = request.Leaves; g.left { // it has reported it itself: no earlier lease is used any more
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

// awaitConfirmation queues a request until leadership is confirmed.
func (v *voter) awaitConfirmation(r leaseRequest) {
	v.unconfirmed = append(v.unconfirmed, r)
	if len(v.readBatches) < maxEagerBatches {
		v.confirmLeadership()
	}
}

// handleConfirmed answers the requests that came before a leadership check which a majority has confirmed.
func (v *voter) handleConfirmed(now int64, check uint64) {
	if !v.isLeader {
		return
	}
	v.leaderHeardAt = now
	for _, c := range slices.Sorted(maps.Keys(v.readBatches)) { // in the order in which the requests came
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

// answerLeaseRequest answers a request with a lease, or with the reason why it gets none.
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
	if g.left { // it left after this request, and uses no lease any more; a new process of its name sends a request of its own
		return
	}
	if status.Refusal = v.refusal(now, g, r); status.Refusal == "" {
		v.grantLease(g, r, status)
		status.Share = v.grantQuota(now, r)
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: r.sender, Word: status})
}

// refusal is why a gatherer gets no lease now; empty: it gets one.
func (v *voter) refusal(now int64, g *grantee, r leaseRequest) string {
	switch {
	case v.leaseMember(r.sender) == nil:
		return "it is not on the roster"
	case r.request.Number != v.state.number():
		return "it has another version" // the status has its document
	case v.phase == validating && now-v.phaseSince > v.cfg.ValidationTimeout && g.ready != v.attempt && g.refused != v.attempt:
		return "it has not judged the open proposal"
	case v.isPausing() && g.ready != v.attempt:
		return "a change is being put in force"
	}
	return ""
}

// grantLease gives a lease. It counts from when the request came, which is no earlier than when the holder sent it.
func (v *voter) grantLease(g *grantee, r leaseRequest, status *wire.Word) {
	status.Lease = v.cfg.Lease
	g.leaseUntil = max(g.leaseUntil, v.leaseEndAtLatest(r.receivedAt))
}

// grantQuota returns the quotas of budgets that go with a lease; nil: budgets are not divided.
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
