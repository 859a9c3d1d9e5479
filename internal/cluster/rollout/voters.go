package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	maxVoters = 7
	// minVotersToRemove is the minimum number of voters for removing one without a replacement.
	minVotersToRemove = 4
	// addedVoterBase is the offset of the ids of voters that were added later: an id is this plus
	// the index of the entry that started the change. Initial voters have lower ids.
	addedVoterBase = 16
	// voterChangeLeases is the number of lease lengths after which an incomplete voter change is
	// abandoned.
	voterChangeLeases = 5
)

// proposeVoterChange handles an operator's voter change. A new voter starts as a learner, without a
// vote, until it has the complete log; the change is then committed by joint consensus, so that
// neither the old nor the new majority decides alone. Only one change is made at a time.
func (v *voter) proposeVoterChange(now int64, p *wire.Propose, a *wire.Answer) *wire.Answer {
	if c := v.state.Change; c != nil && c.Nonce == p.Nonce {
		return a // in progress
	}
	c := &wire.VoterChange{Nonce: p.Nonce, By: p.By, Remove: p.VoterRemove}
	if reason := v.checkVoterChange(now, p, c); reason != "" {
		if now-v.leaderSince < v.cfg.Lease {
			return a // a new leader may not have heard from all gatherers yet
		}
		a.End, a.Reason = endAborted, reason
		return a
	}
	last, err := v.storage.LastIndex()
	if err != nil {
		a.End, a.Reason = endUnknown, err.Error()
		return a
	}
	e := &wire.Entry{Kind: entryVoters, Voters: c}
	change := &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeAddLearnerNode.Enum()}
	if c.Add != nil {
		c.Add.Id = addedVoterBase + last + 1 // unique: only one entry is ever committed at that index
		change.NodeId = proto.Uint64(c.Add.Id)
	} else {
		e.Kind, e.Made = entryVotersEnd, true
		change.Type, change.NodeId = pb.ConfChangeType_ConfChangeRemoveNode.Enum(), proto.Uint64(c.RemoveId)
	}
	if err := v.proposeConfChange(e, change); err != nil {
		a.End, a.Reason = endUnknown, err.Error()
	}
	return a
}

// checkVoterChange returns why a voter change is rejected, or "" if it is valid; then it completes
// c.
func (v *voter) checkVoterChange(now int64, p *wire.Propose, c *wire.VoterChange) string {
	switch {
	case v.state.Change != nil:
		return "a voter change by " + v.state.Change.By + " is in progress"
	case v.state.Open != nil:
		return "a proposal of " + v.state.Open.By + " is open"
	}
	if p.VoterRemove != "" {
		m := v.state.member(p.VoterRemove)
		if m.GetId() == 0 {
			return p.VoterRemove + " is not a voter"
		}
		c.RemoveId = m.Id
	}
	voters := len(voterNames(v.state.Members))
	if p.VoterAdd == "" {
		if voters < minVotersToRemove {
			return fmt.Sprintf("with %d voters none can be removed without a replacement", voters)
		}
		return v.missingQuorum(now, 0, c.RemoveId)
	}
	return v.checkAddedVoter(now, p, c, voters)
}

// checkAddedVoter returns why a gatherer can't get a vote, or "" if it can; then it sets c.Add.
func (v *voter) checkAddedVoter(now int64, p *wire.Propose, c *wire.VoterChange, voters int) string {
	m, g := v.leaseMember(p.VoterAdd), v.grantees[p.VoterAdd]
	if v.cfg.isGlobal {
		m, g = v.state.member(p.VoterAdd), v.globalPeers[p.VoterAdd]
	}
	switch {
	case m == nil:
		return p.VoterAdd + " is not on the roster"
	case m.Id != 0 && p.VoterAdd != p.VoterRemove:
		return p.VoterAdd + " is already a voter"
	case g == nil || g.identity == 0 || g.left || now-g.seenAt > v.cfg.Lease:
		return p.VoterAdd + " has sent no request lately"
	case m.Id != 0 && g.identity == m.Identity:
		return p.VoterAdd + " still has the disk of its vote: there is nothing to replace"
	case p.VoterRemove == "" && voters >= maxVoters:
		return fmt.Sprintf("there are %d voters already, which is the limit", voters)
	}
	c.Add = &wire.Member{Name: m.Name, Address: m.Address, Identity: g.identity, Region: m.Region, Global: m.Global}
	return v.missingQuorum(now, 0, 0)
}

// missingQuorum returns why the voters would have no reachable majority after a change that adds
// and removes a voter (0: none), or "" if they would.
func (v *voter) missingQuorum(now int64, added, removed uint64) string {
	total, responsive := 0, 0
	var unresponsive []string
	count := func(id uint64, name string) {
		total++
		if id == v.id || v.heardFrom[id] > 0 && now-v.heardFrom[id] < v.cfg.ElectionTimeout {
			responsive++
		} else {
			unresponsive = append(unresponsive, name)
		}
	}
	for _, m := range v.state.Members {
		if m.Id != 0 && m.Id != removed {
			count(m.Id, m.Name)
		}
	}
	if added != 0 {
		count(added, v.state.voterByID(added).GetName())
	}
	if 2*responsive > total {
		return ""
	}
	return "the changed set of voters would have no reachable majority: " + strings.Join(unresponsive, ", ") + " sent no recent message"
}

// proposeConfChange proposes a change of raft's configuration to the log, together with the entry
// for the state.
func (v *voter) proposeConfChange(e *wire.Entry, changes ...*pb.ConfChangeSingle) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return v.raftNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: b})
}

// advanceVoterChange ends the voter change in progress: it commits the change once the learner has
// the log, and abandons it after voterChangeLeases.
func (v *voter) advanceVoterChange(now int64) {
	c := v.state.Change
	if v.changeIndex != c.Index {
		v.changeIndex, v.changeSince, v.changeTriedAt = c.Index, now, 0
	}
	if v.changeTriedAt != 0 && now-v.changeTriedAt < v.cfg.ElectionTimeout {
		return
	}
	e := &wire.Entry{Kind: entryVotersEnd, Voters: c}
	var changes []*pb.ConfChangeSingle
	match := v.raftNode.Status().Progress[c.Add.Id].Match
	switch missing := v.missingQuorum(now, c.Add.Id, c.RemoveId); {
	case match >= c.Index && missing == "":
		e.Made = true
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: proto.Uint64(c.Add.Id)})
		if c.RemoveId != 0 {
			changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.RemoveId)})
		}
	case now-v.changeSince > voterChangeLeases*v.cfg.Lease:
		if e.Reason = missing; missing == "" {
			e.Reason = c.Add.Name + " did not catch up with the log in time"
		}
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.Add.Id)})
	default:
		return
	}
	v.changeTriedAt = now
	_ = v.proposeConfChange(e, changes...) // if refused or lost, retried after an election timeout
}

// applyConfChange applies a committed configuration change to raft, and its entry to the state.
func (v *voter) applyConfChange(entry *pb.Entry) error {
	cc := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.Data, cc); err != nil {
		return fmt.Errorf("rollout: decode log entry %d: %w", entry.GetIndex(), err)
	}
	v.confState = v.raftNode.ApplyConfChange(cc)
	if len(cc.Context) == 0 {
		return nil // raft's own entry that leaves the joint configuration
	}
	v.announced = false
	return v.state.apply(entry.GetIndex(), cc.Context)
}
