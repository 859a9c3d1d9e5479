package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// forcedBy is how far a fleet that was made anew jumps in its log, so that no word of the old one passes for a later one.
const forcedIndexGap = 1 << 20

// forcedVersions is how far the numbers of versions jump then, so that none of the new fleet's is one that only the lost ones know.
const forcedVersionGap = 1000

// GivenUp is what operators give up, and what they have to know, where they make a fleet anew out of one voter's disk.
type ForceReport struct {
	Version   uint64   // in force from now on
	Term      uint64   // of the last entry of this disk's log; of several survivors the one with the highest term, then index, knows most
	Index     uint64   // of that entry
	Uncertain int      // entries that may never have been agreed on; they count from now on
	Open      uint64   // the number of a proposal that was open, and is given up; 0: none
	Voters    []string // who voted, and votes no more
}

// ForceNew makes a fleet anew out of the disk of one voter that is left, where the majority is lost for good: it votes alone, under an
// identity that has to be new, and everybody else on the roster only follows. Versions that only the lost ones agreed on are gone, so rule
// 5 does not hold over it; nor does rule 2, if any of the lost ones still runs. It changes nothing itself: the disk that it gives has to be
// put in the place of the old one, with the new identity, while the gatherer does not run.
// current is the version that was in force last at this gatherer: it counts where the log does not know of it yet.
func ForceNewFleet(disk Disk, current *wire.Document, name string, identity uint64) (Disk, ForceReport, error) {
	var s state
	var g ForceReport
	if disk.ID == 0 || disk.Snapshot == nil {
		return Disk{}, g, fmt.Errorf("rollout: nobody has voted by this disk: take one of a voter's")
	}
	if err := proto.Unmarshal(disk.Snapshot.Data, &s.State); err != nil {
		return Disk{}, g, fmt.Errorf("rollout: snapshot: %w", err)
	}
	g.Index, g.Term = disk.Snapshot.Metadata.GetIndex(), disk.Snapshot.Metadata.GetTerm()
	for _, e := range disk.Entries {
		data := e.Data
		if e.GetType() == pb.EntryConfChangeV2 {
			cc := &pb.ConfChangeV2{}
			if err := proto.Unmarshal(e.Data, cc); err != nil {
				return Disk{}, g, fmt.Errorf("rollout: entry %d: %w", e.GetIndex(), err)
			}
			data = cc.Context
		}
		if g.Index, g.Term = e.GetIndex(), e.GetTerm(); g.Index > disk.HardState.GetCommit() {
			g.Uncertain++
		}
		if len(data) > 0 {
			if err := s.apply(e.GetIndex(), data); err != nil {
				return Disk{}, g, err
			}
		}
	}
	if s.member(name) == nil {
		return Disk{}, g, fmt.Errorf("rollout: %s is not on the roster of this disk", name)
	}
	index := g.Index + forcedIndexGap
	if p := s.Open; p != nil {
		g.Open, s.Open = p.Document.GetNumber(), nil
		s.Decided, s.Committed = p.Attempt, false
		s.recordOutcome(p, false, "the fleet was made anew")
		if p.Global != 0 && !p.Decided {
			s.GlobalRefused, s.GlobalReason = p.Global, "the region was made anew"
		}
	}
	if current.GetNumber() > s.number() {
		s.Previous, s.Current = s.Current, current
	}
	if c := s.Current; c != nil && s.Region == "" { // a region's numbers are the global agreement's
		s.Current = &wire.Document{Number: c.Number + forcedVersionGap, Hash: c.Hash, Text: c.Text, Keep: c.Keep, Parts: c.Parts}
	}
	g.Voters = slices.DeleteFunc(voterNames(s.Members), func(v string) bool { return v == name })
	id := addedVoterBase + index + 1
	s.Change, s.Retired, s.MembersIndex, g.Version = nil, nil, index, s.number()
	for _, m := range slices.Clone(s.Members) {
		x := &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global}
		if m.Name == name {
			x.Id, x.Identity = id, identity
		}
		s.putMember(x)
	}
	data, err := proto.Marshal(&s.State)
	if err != nil {
		return Disk{}, g, fmt.Errorf("rollout: state: %w", err)
	}
	term := max(disk.HardState.GetTerm(), g.Term) + 1
	return Disk{
		ID: id, HardState: &pb.HardState{Term: &term, Vote: proto.Uint64(0), Commit: &index},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{id}}}},
	}, g, nil
}
