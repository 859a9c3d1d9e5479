package rollout

import "saffronquay/internal/cluster/rollout/wire"

// recordRegionRequest records a request of a region's leader, or of another voter of a region. It returns the region's record; nil: there is no such
// region.
func (v *voter) recordRegionRequest(now int64, from string, identity uint64, request *wire.Ask) *grantee {
	peer := v.globalPeers[from]
	if peer == nil {
		peer = &grantee{}
		v.globalPeers[from] = peer
	}
	peer.identity, peer.seenAt = identity, now
	if v.leaseMember(request.Region) == nil {
		status := v.status(now, request)
		if request.Region != "" {
			status.Refusal = "no such region"
		}
		v.outbox = append(v.outbox, &wire.Message{From: v.name, To: from, Word: status})
		return nil
	}
	g := v.grantee(request.Region)
	g.lastSender = from
	return g
}

// regionRefusal is why a region gets no lease now; empty: it gets one.
func (v *voter) regionRefusal(now int64, g *grantee, request *wire.Ask) string {
	switch {
	case request.Number != v.state.number():
		return "it has another version"
	case request.Apart:
		return "it was cut off"
	case v.isPausing() && (g.refused == v.attempt || g.paused != v.attempt && (g.ready != v.attempt || g.leaseUntil <= now || v.phase == closing)):
		return "a change is being put in force" // a region takes time to pause: one that is not awaited gets no lease meanwhile
	}
	return ""
}

// regionNotReady is why a region has to be awaited while the open proposal is validated; empty: it has validated it, or goes on by itself.
func (v *voter) regionNotReady(now int64, g *grantee) string {
	recent, leased := now-g.seenAt < v.cfg.Lease/2, g.leaseUntil > now
	switch {
	case g.ready == v.attempt && recent && (leased || g.number < v.state.number()):
		return ""
	case !leased && now-max(g.seenAt, v.leaderSince) > v.cfg.RegionTimeout:
		return "" // its lease is over, and it has sent nothing; the membership view plays no part
	case g.ready == v.attempt:
		return "was not heard of lately"
	}
	return "has not judged it in time"
}

// validateAtRegions waits until every region has validated the open proposal, or goes on by itself.
func (v *voter) validateAtRegions(now int64) {
	for _, m := range v.leaseRoster() {
		g := v.grantee(m.Name)
		if g.refused == v.attempt {
			v.proposeEnd(now, entryAbort, m.Name+": "+g.refusalReason)
			return
		}
		if why := v.regionNotReady(now, g); why != "" {
			if now-v.phaseSince > v.cfg.ValidationTimeout+v.cfg.validationSlack {
				v.proposeEnd(now, entryAbort, m.Name+" "+why)
			}
			return
		}
	}
	v.startPause(now)
}

// reportRegions fills in the regions that have reported a version, or a later one, in force, and the isolated ones. While a region that holds a lease
// has not, the answer stays open: how the change ends there is not known yet.
func (v *voter) reportRegions(now int64, number uint64, a *wire.Answer) {
	for _, m := range v.leaseRoster() {
		switch g := v.grantee(m.Name); {
		case g.number >= number || v.cfg.Bugs.ReportedEverywhere:
			a.InForce = append(a.InForce, m.Name)
		case g.leaseUntil > now:
			a.End, a.InForce, a.Apart = 0, nil, nil
			return
		default:
			a.Apart = append(a.Apart, m.Name)
		}
	}
}

// nextParts is each region's part of the budgets from the open proposal's commit on. The parts move towards the gatherers' share of the roster only
// where all regions have paused and have the version in force. What one region loses the others get with the next version, when it is known to
// have given it up. So whichever of two versions each region is under, all parts add up to at most the budget.
func (v *voter) nextParts() []*wire.Part {
	current := v.cfg.partsOf(v.state.Current)
	for _, m := range v.leaseRoster() {
		if g := v.grantee(m.Name); g.paused != v.attempt || g.number != v.state.number() {
			return current
		}
	}
	return moveParts(current, partsByRoster(v.state.Members, v.state.Regions))
}
