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
	// minVotersToRemove is how many voters there have to be for one to be removed without a replacement.
	minVotersToRemove = 4
	// addedVoterBase is below the ids of voters that were added later: an id is this and the index of the entry that began the change.
	addedVoterBase = 16
	// voterChangeLeases is after how many leases a change of voters is abandoned.
	voterChangeLeases = 5
)

// proposeVoterChange handles an operator's change of who votes. It begins with a learner, which has no vote before it has the complete log; then the old
// and the new voters agree jointly, so that no majority of either decides alone. One change is made at a time.
func (v *voter) proposeVoterChange(now int64, p *wire.Propose, a *wire.Answer) *wire.Answer {
	if c := v.state.Change; c != nil && c.Nonce == p.Nonce {
		return a // under way
	}
	c := &wire.VoterChange{Nonce: p.Nonce, By: p.By, Remove: p.VoterRemove}
	if reason := v.checkVoterChange(now, p, c); reason != "" {
		if now-v.leaderSince < v.cfg.Lease {
			return a // a new leader has not heard from everyone yet
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
		c.Add.Id = addedVoterBase + last + 1 // no voter had it before: no entry of that index in another term is ever committed beside it
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

// checkVoterChange returns why a change of who votes can't be made; empty: it can, and c is completed.
func (v *voter) checkVoterChange(now int64, p *wire.Propose, c *wire.VoterChange) string {
	switch {
	case v.state.Change != nil:
		return "a change of voters by " + v.state.Change.By + " is under way"
	case v.state.Open != nil:
		return "a proposal of " + v.state.Open.By + " is open"
	}
	if p.VoterRemove != "" {
		m := v.state.member(p.VoterRemove)
		if m.GetId() == 0 {
			return p.VoterRemove + " does not vote"
		}
		c.RemoveId = m.Id
	}
	voters := len(voterNames(v.state.Members))
	if p.VoterAdd == "" {
		if voters < minVotersToRemove {
			return fmt.Sprintf("of %d voters none can be taken without another in its place", voters)
		}
		return v.missingQuorum(now, 0, c.RemoveId)
	}
	return v.checkAddedVoter(now, p, c, voters)
}

// checkAddedVoter returns why a gatherer can't get a vote; empty: it can, and c names it.
func (v *voter) checkAddedVoter(now int64, p *wire.Propose, c *wire.VoterChange, voters int) string {
	m, g := v.leaseMember(p.VoterAdd), v.grantees[p.VoterAdd]
	if v.cfg.isGlobal {
		m, g = v.state.member(p.VoterAdd), v.globalPeers[p.VoterAdd]
	}
	switch {
	case m == nil:
		return p.VoterAdd + " is not on the roster"
	case m.Id != 0 && p.VoterAdd != p.VoterRemove:
		return p.VoterAdd + " votes already"
	case g == nil || g.identity == 0 || g.left || now-g.seenAt > v.cfg.Lease:
		return p.VoterAdd + " was not heard of lately"
	case m.Id != 0 && g.identity == m.Identity:
		return p.VoterAdd + " has the disk that it votes by: there is nothing to replace"
	case p.VoterRemove == "" && voters >= maxVoters:
		return fmt.Sprintf("there are %d voters already", voters)
	}
	c.Add = &wire.Member{Name: m.Name, Address: m.Address, Identity: g.identity, Region: m.Region, Global: m.Global}
	return v.missingQuorum(now, 0, 0)
}

// missingQuorum returns why the voters could not agree after one was added and one removed (0: none): too few of them were heard lately. Empty: they
// can.
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
	return "no majority of those who would vote is there: " + strings.Join(unresponsive, ", ") + " fell silent"
}

// proposeConfChange puts a change of raft's voters into the log, together with the entry for the state.
func (v *voter) proposeConfChange(e *wire.Entry, changes ...*pb.ConfChangeSingle) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return v.raftNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: b})
}

// advanceVoterChange ends the change of voters that is under way: it is made once the learner has the log, and abandoned where that takes too long.
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
			e.Reason = c.Add.Name + " did not take the log over in time"
		}
		changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.Add.Id)})
	default:
		return
	}
	v.changeTriedAt = now
	_ = v.proposeConfChange(e, changes...) // whether refused or lost, it is proposed again after an election timeout
}

// applyConfChange applies a committed change of raft's voters, and its entry to the state.
func (v *voter) applyConfChange(entry *pb.Entry) error {
	cc := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.Data, cc); err != nil {
		return fmt.Errorf("rollout: entry %d: %w", entry.GetIndex(), err)
	}
	v.confState = v.raftNode.ApplyConfChange(cc)
	if len(cc.Context) == 0 {
		return nil // raft's own: it leaves the joint configuration
	}
	v.announced = false
	return v.state.apply(entry.GetIndex(), cc.Context)
}
