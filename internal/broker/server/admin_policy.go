package server

import (
	"fmt"
	"saffronquay/internal/broker/adminapi"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"strconv"
)

// rolloutMetrics returns the metrics of the policy rollout. It returns the zero value before the
// policy node is open, and only the traffic metrics when the node does not answer.
func (g *Gatherer) rolloutMetrics() (f adminapi.RolloutMetrics) {
	p := g.policyNode.Load()
	if p == nil {
		return f // not open yet
	}
	toInt := map[bool]int64{true: 1}
	got := make(chan adminapi.RolloutMetrics, 1)
	if p.Inspect(func(n *rollout.Node, now int64) {
		v, _, _ := n.Admit(now)
		f := adminapi.RolloutMetrics{Number: int64(n.Number()), Admits: toInt[v == rollout.Admitted], Paused: toInt[n.IsPaused()], LeaseMs: max(0, n.LeaseUntil()-now) / 1000, Leads: toInt[n.IsLeader()]}
		if r, hasRegions := n.Region(now); hasRegions {
			f.Region = &adminapi.RegionMetrics{Behind: int64(r.Newest - r.Number), IsolatedMs: r.IsolatedFor / 1000, Leads: toInt[n.IsGlobalLeader()]}
		}
		got <- f
	}) == nil {
		f = <-got
	}
	f.Traffic = trafficMetrics(p.Traffic())
	return f
}

// Policy appends the state of the policy rollout: one line for this gatherer, one for each member and
// each decision and, on the leader, one for each lease that it has granted. It returns nil when there
// is no policy node or the node is closed.
func (d adminProgram) Policy(dst []byte) []byte {
	p := d.policyNode()
	if p == nil {
		return nil
	}
	got := make(chan []byte, 1)
	err := p.Inspect(func(n *rollout.Node, now int64) {
		var dst []byte
		v, number, _ := n.Admit(now)
		ready, refused, reason := n.Validations()
		hash := ""
		if doc := n.Current(); doc != nil {
			hash = fmt.Sprintf("%x", doc.Hash)
		}
		dst = fmt.Appendf(dst, "policy number=%d hash=%s admits=%s lease_ms=%d keeps=%t holding=%t leader=%s leads=%t ready=%d refused=%d reason=%s open=%d founding=%t lost_disk=%t\n",
			max(number, n.Number()), hash, v, max(0, n.LeaseUntil()-now)/1000, n.AdmitsWithoutLease(), n.IsPaused(), n.Leader(), n.IsLeader(), ready, refused, strconv.Quote(reason), n.OpenAttempt(), n.IsBootstrapping(), n.HasIdentityConflict())
		region, hasRegions := n.Region(now)
		if hasRegions {
			dst = appendRegion(dst, n, region, now)
		}
		for _, m := range n.Members() {
			dst = fmt.Appendf(dst, "member name=%s address=%s voter=%t id=%d", m.Name, m.Address, m.Id != 0, m.Id)
			if hasRegions {
				dst = fmt.Appendf(dst, " region=%s global=%t", m.Region, m.Global)
			}
			dst = append(dst, '\n')
		}
		dst = appendDecisions(dst, n, region, hasRegions)
		for _, x := range n.Grants() {
			dst = fmt.Appendf(dst, "holder name=%s number=%d lease_ms=%d seen_ms=%d ready=%d held=%d refused=%d voter=%t lost_disk=%t left=%t reason=%s\n", x.Name, x.Number, max(0, x.LeaseUntil-now)/1000, millisecondsSinceSeen(x, now),
				x.Ready, x.Paused, x.Refused, x.Voter, x.DiskReplaced, x.Left, strconv.Quote(x.Reason))
		}
		for _, x := range n.GlobalGrants() {
			dst = fmt.Appendf(dst, "region_holder name=%s number=%d lease_ms=%d seen_ms=%d ready=%d held=%d refused=%d reason=%s\n", x.Name, x.Number, max(0, x.LeaseUntil-now)/1000, millisecondsSinceSeen(x, now),
				x.Ready, x.Paused, x.Refused, strconv.Quote(x.Reason))
		}
		got <- dst
	})
	if err != nil {
		return nil
	}
	return append(dst, <-got...)
}

// appendRegion appends the line with the state of this gatherer's region relative to the global
// agreement. Decisions made on the other side of a network partition are unknown here, so that behind
// is a lower bound.
func appendRegion(dst []byte, n *rollout.Node, r rollout.RegionStatus, now int64) []byte {
	statusAge := int64(-1)
	if r.StatusAge >= 0 {
		statusAge = r.StatusAge / 1000
	}
	reason := r.Reason
	if r.IsolatedFor > 0 && reason == "" {
		reason = "no lease: a majority of the voters of the global agreement cannot be reached"
	}
	return fmt.Appendf(dst, "region name=%s number=%d newest=%d behind=%d apart=%t apart_ms=%d lease_ms=%d asked_ms=%d global_leader=%s global_leads=%t global_votes=%t global_open=%d reason=%s\n",
		r.Name, r.Number, r.Newest, r.Newest-r.Number, r.IsolatedFor > 0, r.IsolatedFor/1000, max(0, r.LeaseUntil-now)/1000, statusAge, r.Leader, n.IsGlobalLeader(), n.HasGlobalVote(), n.GlobalOpenAttempt(), strconv.Quote(reason))
}

// appendDecisions appends one line for each decision. Without regions these are all decisions that
// this voter knows. With regions they are those of the global agreement if this gatherer votes in it,
// otherwise those of its region; changes of the region's voters are included in both cases.
func appendDecisions(dst []byte, n *rollout.Node, r rollout.RegionStatus, hasRegions bool) []byte {
	appendAll := func(all []*wire.Decision, region string, include func(*wire.Decision) bool) {
		for _, x := range all {
			if !include(x) {
				continue
			}
			dst = fmt.Appendf(dst, "decision number=%d in_force=%t by=%s hash=%x what=%s reason=%s", x.Number, x.Committed, x.By, x.Hash, strconv.Quote(x.What), strconv.Quote(x.Reason))
			if region != "" {
				dst = fmt.Appendf(dst, " region=%s", region)
			}
			dst = append(dst, '\n')
		}
	}
	global := n.HasGlobalVote()
	appendAll(n.GlobalDecisions(), "", func(*wire.Decision) bool { return global })
	if !hasRegions {
		r.Name = ""
	}
	appendAll(n.Decisions(), r.Name, func(x *wire.Decision) bool { return !global || x.What != "" })
	return dst
}

// millisecondsSinceSeen returns the time since a lease holder's last request to this leader, or -1 if
// there was none.
func millisecondsSinceSeen(x rollout.Grant, now int64) int64 {
	if x.LastSeen == 0 {
		return -1
	}
	return (now - x.LastSeen) / 1000
}

// PolicyText appends the text of the policy in force or, with previous, of the version before it, which
// only voters have. The result is empty when there is no such version, and nil when there is no policy
// node or it is closed.
func (d adminProgram) PolicyText(dst []byte, previous bool) []byte {
	p := d.policyNode()
	if p == nil {
		return nil
	}
	got := make(chan []byte, 1)
	if p.Inspect(func(n *rollout.Node, _ int64) {
		text, doc := []byte{}, n.Current()
		if previous {
			if doc = n.Previous(); n.HasGlobalVote() {
				doc = n.GlobalPrevious()
			}
		}
		if doc != nil {
			text = append(append(text, doc.Text...), '\n')
		}
		got <- text
	}) != nil {
		return nil
	}
	return append(append([]byte{}, dst...), <-got...)
}
