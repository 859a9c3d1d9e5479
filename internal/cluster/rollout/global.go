package rollout

import (
	"saffronquay/internal/cluster/rollout/wire"
)

// askedGlobal takes in what a region's leader, or another voter of a region, says. It gives the region's record; nil: it has none.
func (v *voter) recordRegionRequest(now int64, from string, identity uint64, a *wire.Ask) *grantee {
	x := v.globalPeers[from]
	if x == nil {
		x = &grantee{}
		v.globalPeers[from] = x
	}
	x.identity, x.seenAt = identity, now
	if v.leaseMember(a.Region) == nil {
		w := v.status(now, a)
		if a.Region != "" {
			w.Refusal = "no such region"
		}
		v.outbox = append(v.outbox, &wire.Message{From: v.name, To: from, Word: w})
		return nil
	}
	g := v.grantee(a.Region)
	g.lastSender = from
	return g
}

// refusal is why a region gets no lease now; empty: it does.
func (v *voter) regionRefusal(now int64, g *grantee, a *wire.Ask) string {
	switch {
	case a.Number != v.state.number():
		return "it has another version"
	case a.Apart:
		return "it was cut off"
	case v.isPausing() && (g.refused == v.attempt || g.paused != v.attempt && (g.ready != v.attempt || g.leaseUntil <= now || v.phase == closing)):
		return "a change is being put in force" // to hold takes a region time: who is not waited for gets no lease meanwhile
	}
	return ""
}

// unready is why a region has to be waited for while the open proposal is judged; empty: it has judged, or goes on by itself.
func (v *voter) regionNotReady(now int64, g *grantee) string {
	recent, leased := now-g.seenAt < v.cfg.Lease/2, g.leaseUntil > now
	switch {
	case g.ready == v.attempt && recent && (leased || g.number < v.state.number()):
		return ""
	case !leased && now-max(g.seenAt, v.leaderSince) > v.cfg.RegionTimeout:
		return "" // the view of the others is not asked: its lease is over, and nobody has heard of it
	case g.ready == v.attempt:
		return "was not heard of lately"
	}
	return "has not judged it in time"
}

// judgeRegions waits until every region has judged the open proposal, or goes on by itself.
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

// acknowledged counts who has said that a version, or a later one, is in force there. What holds a lease and has not is waited for: how
// its region ends is not known yet.
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

// divided is what each region has of the budgets from the open proposal's commit on. It moves towards what its gatherers' share of the roster is
// only where all regions hold, and have the version in force; what one loses the others get with the version after, when it is known to
// have given it up. So whichever of two versions each region is under, all together have the whole at most.
func (v *voter) nextParts() []*wire.Part {
	now := v.cfg.partsOf(v.state.Current)
	for _, m := range v.leaseRoster() {
		if g := v.grantee(m.Name); g.paused != v.attempt || g.number != v.state.number() {
			return now
		}
	}
	return moveParts(now, partsByRoster(v.state.Members, v.state.Regions))
}
