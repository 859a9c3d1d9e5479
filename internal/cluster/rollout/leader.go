package rollout

import (
	"math"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"

	"go.etcd.io/raft/v3"
	"google.golang.org/protobuf/proto"
)

// updateLeadership follows a change of raft's role; nil means no change.
func (v *voter) updateLeadership(now int64, s *raft.SoftState) {
	if s == nil {
		return
	}
	term := v.raftNode.BasicStatus().HardState.GetTerm()
	leads := s.RaftState == raft.StateLeader
	if leads && (!v.isLeader || term != v.term) {
		v.startLeading(now, term)
	} else if !leads && v.isLeader {
		v.isLeader = false
		v.scheduleCampaign(now)
	}
}

// startLeading begins a term as leader. The leases that earlier leaders granted are not known.
func (v *voter) startLeading(now int64, term uint64) {
	last, _ := v.storage.LastIndex() // memory storage has no errors here
	v.isLeader, v.term, v.leaderSince, v.leaderHeardAt = true, term, now, now
	v.termFirstIndex = last // raft appends the term's first entry on election
	v.grantees, v.readBatches, v.unconfirmed = map[string]*grantee{}, map[uint64][]leaseRequest{}, nil
	v.phase, v.attempt = idle, 0
	v.changeIndex, v.followIndex, v.syncedGlobalRoster = 0, 0, 0
	clear(v.globalPeers)
	if v.follower != nil {
		v.follower.startLeading(now, v.endAtLatest(now, v.cfg.RegionLease))
	}
	v.quotaAllocator = nil
	if v.quotaHolder != nil {
		v.quotaAllocator = quota.NewAllocator(v.term, v.leaseEndAtLatest(now), v.cfg.Bugs.Quota)
	}
}

// leaseEndAtLatest returns the time of this clock by which a lease that was requested no later than
// now has expired at its holder, for any clock drift within Config.Drift.
func (v *voter) leaseEndAtLatest(now int64) int64 { return v.endAtLatest(now, v.cfg.Lease) }

// endAtLatest is leaseEndAtLatest for a lease of the given length.
func (v *voter) endAtLatest(now, lease int64) int64 {
	return now + lease + int64(math.Ceil(2*v.cfg.Drift*float64(lease)))
}

// grantee returns the record of a lease holder, and creates it if needed. A new record assumes that
// an earlier leader granted a lease as late as the start of this term.
func (v *voter) grantee(name string) *grantee {
	g := v.grantees[name]
	if g == nil {
		g = &grantee{leaseUntil: v.leaseEndAtLatest(v.leaderSince)}
		if v.cfg.Bugs.SkipLeaseWait {
			g.leaseUntil = 0
		}
		v.grantees[name] = g
	}
	return g
}

// leaseRoster returns those that may have a lease: all members of the roster, the members of the
// region or, in the global agreement, the regions.
func (v *voter) leaseRoster() []*wire.Member {
	if !v.cfg.isGlobal && v.cfg.Region == "" {
		return v.state.Members
	}
	if v.rosterCache != nil && v.rosterCacheIndex == v.state.MembersIndex {
		return v.rosterCache
	}
	v.rosterCache, v.rosterCacheIndex = nil, v.state.MembersIndex
	for _, r := range v.state.Regions {
		v.rosterCache = append(v.rosterCache, &wire.Member{Name: r})
	}
	for _, m := range v.state.Members {
		if !v.cfg.isGlobal && m.Region == v.cfg.Region {
			v.rosterCache = append(v.rosterCache, m)
		}
	}
	return v.rosterCache
}

// leaseMember returns the named entry of the lease roster, or nil.
func (v *voter) leaseMember(name string) *wire.Member { return findMember(v.leaseRoster(), name) }

// propose proposes an entry to the log. After an error the entry was not appended; without an error
// it may still be lost.
func (v *voter) propose(e *wire.Entry) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return v.raftNode.Propose(b)
}

// status returns the state of the agreement in answer to a request, or for an unsolicited message
// if request is nil.
func (v *voter) status(now int64, request *wire.Ask) *wire.Word {
	w := &wire.Word{
		Leader: v.name, Index: v.applied, Number: v.state.number(), Decided: v.state.Decided, Committed: v.state.Committed, Open: v.state.openAttempt(),
		Hold: v.isPausing() && v.attempt == v.state.openAttempt() && v.attempt != 0,
	}
	if v.cfg.isGlobal {
		w.CurrentAttempt, w.Parts = v.state.CurrentAttempt, v.cfg.partsOf(v.state.Current)
	}
	if v.follower != nil {
		w.Standing = v.regionStanding(now)
	}
	if request == nil {
		return w
	}
	w.Nonce = request.Nonce
	if request.MembersIndex < v.state.MembersIndex {
		w.Members, w.MembersIndex = v.state.Members, v.state.MembersIndex
	}
	if request.Number != v.state.number() && (request.Want || !v.cfg.isGlobal) {
		w.Current = v.state.Current
	}
	if w.Open != 0 && (request.Judge || !v.cfg.isGlobal) && request.Ready != w.Open && request.Refused != w.Open {
		w.Proposed = v.state.Open.Document
	}
	return w
}

// broadcast sends an unsolicited status to the lease roster. A receiver that has to act on it sends
// a request at once.
func (v *voter) broadcast(now int64, withDocuments bool) {
	for _, m := range v.leaseRoster() {
		w := v.status(now, nil)
		if g := v.grantees[m.Name]; withDocuments && g != nil {
			if w.Open != 0 && g.ready != w.Open {
				w.Proposed = v.state.Open.Document
			}
			if g.number != w.Number && !(v.cfg.isGlobal && g.paused == w.CurrentAttempt) {
				w.Current = v.state.Current
			}
		}
		v.sendTo(m.Name, w)
	}
}

// remind sends a status to those that have not validated the open proposal or paused for it yet,
// since messages may be lost.
func (v *voter) remind(now int64) {
	for _, m := range v.leaseRoster() {
		g := v.grantees[m.Name]
		if g == nil || v.phase >= closing {
			continue
		}
		w := v.status(now, nil)
		if v.phase == validating && !v.cfg.isGlobal && g.ready != v.attempt && g.refused != v.attempt {
			w.Proposed = v.state.Open.Document
		} else if v.phase != pausing || g.paused == v.attempt {
			continue
		}
		v.sendTo(m.Name, w)
	}
}

// sendTo sends an unsolicited status. A region's status goes to the voter that sent the region's
// last request.
func (v *voter) sendTo(to string, w *wire.Word) {
	if v.cfg.isGlobal {
		if to = v.grantee(to).lastSender; to == "" {
			return
		}
	}
	v.outbox = append(v.outbox, &wire.Message{From: v.name, To: to, Word: w})
}
