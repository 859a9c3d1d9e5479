package rollout

import "saffronquay/internal/cluster/rollout/wire"

// recordRegionRequest records a request of a region's leader, or a ping of another voter of a
// region. It returns the region's record, or nil if the request names no known region.
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
			status.Refusal = "unknown region"
		}
		v.outbox = append(v.outbox, &wire.Message{From: v.name, To: from, Word: status})
		return nil
	}
	g := v.grantee(request.Region)
	g.lastSender = from
	return g
}

// regionRefusal returns why a region gets no lease now, or "" if it gets one.
func (v *voter) regionRefusal(now int64, g *grantee, request *wire.Ask) string {
	switch {
	case request.Number != v.state.number():
		return "the region has another version in force"
	case request.Apart:
		return "the region was isolated"
	case v.isPausing() && (g.refused == v.attempt || g.paused != v.attempt && (g.ready != v.attempt || g.leaseUntil <= now || v.phase == closing)):
		// Pausing a region takes time: a region that is not awaited gets no lease meanwhile.
		return "a change is being put in force"
	}
	return ""
}

// regionNotReady returns why a region has to be awaited while the open proposal is validated, or ""
// if the region has validated it or is isolated.
func (v *voter) regionNotReady(now int64, g *grantee) string {
	recent, leased := now-g.seenAt < v.cfg.Lease/2, g.leaseUntil > now
	switch {
	case g.ready == v.attempt && recent && (leased || g.number < v.state.number()):
		return ""
	case !leased && now-max(g.seenAt, v.leaderSince) > v.cfg.RegionTimeout:
		return "" // its lease has expired, and it has sent nothing; the membership view is not used here
	case g.ready == v.attempt:
		return "was not heard of lately"
	}
	return "has not judged it in time"
}

// validateAtRegions waits until every region has validated the open proposal or is isolated. One
// rejection aborts the proposal.
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

// reportRegions fills in the regions that have reported the version, or a later one, in force, and
// the isolated ones. While a region with a lease has not reported it, the answer stays open,
// because the outcome in that region is not known yet.
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

// nextParts returns each region's part of the budgets after the open proposal's commit. The parts
// move towards the regions' fractions of the roster only if all regions have paused and have the
// current version in force. The part that one region loses is given to others with the next
// version, when the region is known to have given it up. All parts therefore add up to at most the
// budget, whichever of two versions each region has in force.
func (v *voter) nextParts() []*wire.Part {
	current := v.cfg.partsOf(v.state.Current)
	for _, m := range v.leaseRoster() {
		if g := v.grantee(m.Name); g.paused != v.attempt || g.number != v.state.number() {
			return current
		}
	}
	return moveParts(current, partsByRoster(v.state.Members, v.state.Regions))
}
