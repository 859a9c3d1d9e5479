package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// proposedVoters takes an operator's change of who votes. It begins with a learner, which has no vote before it has the whole log; then
// the old and the new voters agree jointly, so that no majority of either can be alone. One change at a time.
func (v *voter) proposeVoterChange(now int64, p *wire.Propose, a *wire.Answer) *wire.Answer {
	if c := v.state.Change; c != nil && c.Nonce == p.Nonce {
		return a // under way
	}
	c := &wire.VoterChange{Nonce: p.Nonce, By: p.By, Remove: p.VoterRemove}
	if a.Reason = v.checkVoterChange(now, p, c); a.Reason != "" {
		if a.End = 2; now-v.leaderSince < v.cfg.Lease {
			a.End, a.Reason = 0, "" // a new leader has not heard of everybody yet
		}
		return a
	}
	last, err := v.storage.LastIndex()
	if err != nil {
		a.End, a.Reason = 3, err.Error()
		return a
	}
	e := &wire.Entry{Kind: entryVoters, Voters: c}
	change := &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeAddLearnerNode.Enum()}
	if c.Add != nil {
		c.Add.Id = addedVoterBase + last + 1 // nobody had it before: entries of that index in other terms are never agreed on beside it
		change.NodeId = proto.Uint64(c.Add.Id)
	} else {
		e.Kind, e.Made = entryVotersEnd, true
		change.Type, change.NodeId = pb.ConfChangeType_ConfChangeRemoveNode.Enum(), proto.Uint64(c.RemoveId)
	}
	if err := v.proposeConfChange(e, change); err != nil {
		a.End, a.Reason = 3, err.Error()
	}
	return a
}

// unfitVoters is why a change of who votes can't be made; empty: it can, and c is filled in.
func (v *voter) checkVoterChange(now int64, p *wire.Propose, c *wire.VoterChange) string {
	voters := voterNames(v.state.Members)
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
	if p.VoterAdd == "" {
		if len(voters) < 4 {
			return fmt.Sprintf("of %d voters none can be taken without another in its place", len(voters))
		}
		return v.missingQuorum(now, 0, c.RemoveId)
	}
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
	case p.VoterRemove == "" && len(voters) >= maxVoters:
		return fmt.Sprintf("there are %d voters already", len(voters))
	}
	c.Add = &wire.Member{Name: m.Name, Address: m.Address, Identity: g.identity, Region: m.Region, Global: m.Global}
	return v.missingQuorum(now, 0, 0)
}

// alone is why those who would vote could not agree: too few of them were heard lately. With one added, and one taken; 0: none.
func (v *voter) missingQuorum(now int64, added, taken uint64) string {
	all, up := 0, 0
	var silent []string
	count := func(id uint64, name string) {
		all++
		if id == v.id || v.heardFrom[id] > 0 && now-v.heardFrom[id] < v.cfg.ElectionTimeout {
			up++
		} else {
			silent = append(silent, name)
		}
	}
	for _, m := range v.state.Members {
		if m.Id != 0 && m.Id != taken {
			count(m.Id, m.Name)
		}
	}
	if added != 0 {
		count(added, v.state.voterByID(added).GetName())
	}
	if 2*up > all {
		return ""
	}
	return "no majority of those who would vote is there: " + strings.Join(silent, ", ") + " fell silent"
}

// reconfigure puts a change of raft's own voters into the log, with what it means for the state.
func (v *voter) proposeConfChange(e *wire.Entry, changes ...*pb.ConfChangeSingle) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	return v.raftNode.ProposeConfChange(&pb.ConfChangeV2{Changes: changes, Context: b})
}

// driveVoters ends the change of voters that is under way: made, once the learner has the log; given up, where it does not get there.
func (v *voter) advanceVoterChange(now int64) {
	c := v.state.Change
	if v.changeIndex != c.Index {
		v.changeIndex, v.changeSince, v.changeTriedAt = c.Index, now, 0
	}
	if v.changeTriedAt != 0 && now-v.changeTriedAt < v.cfg.ElectionTimeout {
		return
	}
	e := &wire.Entry{Kind: entryVotersEnd, Voters: c}
	progress := v.raftNode.Status().Progress[c.Add.Id]
	switch why := v.missingQuorum(now, c.Add.Id, c.RemoveId); {
	case progress.Match >= c.Index && why == "":
		v.changeTriedAt, e.Made = now, true
		changes := []*pb.ConfChangeSingle{{Type: pb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: proto.Uint64(c.Add.Id)}}
		if c.RemoveId != 0 {
			changes = append(changes, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.RemoveId)})
		}
		v.proposeConfChange(e, changes...) // where it is lost it is tried again
	case now-v.changeSince > 5*v.cfg.Lease:
		if e.Reason = why; why == "" {
			e.Reason = c.Add.Name + " did not take the log over in time"
		}
		v.changeTriedAt = now
		v.proposeConfChange(e, &pb.ConfChangeSingle{Type: pb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(c.Add.Id)})
	}
}

// reshape applies an agreed change of raft's voters, and takes what it means into the state.
func (v *voter) applyConfChange(entry *pb.Entry) error {
	cc := &pb.ConfChangeV2{}
	if err := proto.Unmarshal(entry.Data, cc); err != nil {
		return fmt.Errorf("rollout: entry %d: %w", entry.GetIndex(), err)
	}
	v.confState = v.raftNode.ApplyConfChange(cc)
	if len(cc.Context) == 0 {
		return nil // raft's own: the old voters are let go
	}
	v.announced = false
	return v.state.apply(entry.GetIndex(), cc.Context)
}
