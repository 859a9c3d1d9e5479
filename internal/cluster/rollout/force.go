package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// forcedIndexGap is how far a fleet that was made anew jumps in its log, so that no message of the old one passes for a later one.
	forcedIndexGap = 1 << 20
	// forcedVersionGap is how far the numbers of versions jump then, so that no number of the new fleet is one that only the lost voters know.
	forcedVersionGap = 1000
)

// ForceReport is what operators lose, and have to know, when they make a fleet anew from one voter's disk.
type ForceReport struct {
	Version   uint64   // in force from now on
	Term      uint64   // of the last entry of this disk's log; of several survivors the one with the highest term, then index, knows most
	Index     uint64   // of that entry
	Uncertain int      // entries that may never have been committed; they count from now on
	Open      uint64   // the number of a proposal that was open, and is aborted; 0: none
	Voters    []string // who voted, and votes no more
}

// ForceNewFleet makes a fleet anew from the disk of one voter, where the majority is lost for good: it votes alone, under an identity that has to
// be new, and has everyone else on the roster as a non-voter. Versions that only the lost voters committed are gone, so rule 5 does not hold over
// it; nor does rule 2, if any of the lost voters still runs. It changes nothing itself: the returned disk has to replace the old one, with the
// new identity, while the gatherer does not run.
// current is the version that was in force last at this gatherer: it counts where the log does not have it yet.
func ForceNewFleet(disk Disk, current *wire.Document, name string, identity uint64) (Disk, ForceReport, error) {
	var s state
	if disk.ID == 0 || disk.Snapshot == nil {
		return Disk{}, ForceReport{}, fmt.Errorf("rollout: nobody has voted by this disk: take one of a voter's")
	}
	report, err := s.replay(disk)
	if err != nil {
		return Disk{}, report, err
	}
	if s.member(name) == nil {
		return Disk{}, report, fmt.Errorf("rollout: %s is not on the roster of this disk", name)
	}
	index := report.Index + forcedIndexGap
	report.Open = s.Open.GetDocument().GetNumber()
	s.abortForced()
	if current.GetNumber() > s.number() {
		s.Previous, s.Current = s.Current, current
	}
	if c := s.Current; c != nil && s.Region == "" { // a region's numbers are the global agreement's
		s.Current = &wire.Document{Number: c.Number + forcedVersionGap, Hash: c.Hash, Text: c.Text, Keep: c.Keep, Parts: c.Parts}
	}
	report.Voters = slices.DeleteFunc(voterNames(s.Members), func(v string) bool { return v == name })
	report.Version = s.number()
	id := addedVoterBase + index + 1
	s.setOnlyVoter(&wire.Member{Name: name, Id: id, Identity: identity}, index)
	data, err := proto.Marshal(&s.State)
	if err != nil {
		return Disk{}, report, fmt.Errorf("rollout: state: %w", err)
	}
	term := max(disk.HardState.GetTerm(), report.Term) + 1
	return Disk{
		ID: id, HardState: &pb.HardState{Term: &term, Vote: proto.Uint64(0), Commit: &index},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{id}}}},
	}, report, nil
}

// replay makes the state from a voter's disk, with all entries of its log, and reports the log's end.
func (s *state) replay(disk Disk) (report ForceReport, err error) {
	if err := proto.Unmarshal(disk.Snapshot.Data, &s.State); err != nil {
		return report, fmt.Errorf("rollout: snapshot: %w", err)
	}
	report.Index, report.Term = disk.Snapshot.Metadata.GetIndex(), disk.Snapshot.Metadata.GetTerm()
	for _, e := range disk.Entries {
		data := e.Data
		if e.GetType() == pb.EntryConfChangeV2 {
			cc := &pb.ConfChangeV2{}
			if err := proto.Unmarshal(e.Data, cc); err != nil {
				return report, fmt.Errorf("rollout: entry %d: %w", e.GetIndex(), err)
			}
			data = cc.Context
		}
		report.Index, report.Term = e.GetIndex(), e.GetTerm()
		if report.Index > disk.HardState.GetCommit() {
			report.Uncertain++
		}
		if len(data) == 0 {
			continue
		}
		if err := s.apply(e.GetIndex(), data); err != nil {
			return report, err
		}
	}
	return report, nil
}

// abortForced aborts the open proposal, and refuses it to the global agreement where a region followed it.
func (s *state) abortForced() {
	p := s.Open
	if p == nil {
		return
	}
	s.Open = nil
	s.Decided, s.Committed = p.Attempt, false
	s.recordOutcome(p, false, "the fleet was made anew")
	if p.Global != 0 && !p.Decided {
		s.GlobalRefused, s.GlobalReason = p.Global, "the region was made anew"
	}
}

// setOnlyVoter takes all votes but one.
func (s *state) setOnlyVoter(voter *wire.Member, index uint64) {
	s.Change, s.Retired, s.MembersIndex = nil, nil, index
	for _, m := range slices.Clone(s.Members) {
		x := &wire.Member{Name: m.Name, Address: m.Address, Region: m.Region, Global: m.Global}
		if m.Name == voter.Name {
			x.Id, x.Identity = voter.Id, voter.Identity
		}
		s.putMember(x)
	}
}
