package rollout

import (
	"fmt"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	// forcedIndexGap is added to the log index of a rebuilt fleet, so that no message of the old
	// fleet counts as a later one.
	forcedIndexGap = 1 << 20
	// forcedVersionGap is added to the version number of a rebuilt fleet, so that it reuses no
	// number that only the lost voters know.
	forcedVersionGap = 1000
)

// ForceReport describes what is lost when a fleet is rebuilt from one voter's disk.
type ForceReport struct {
	Version uint64 // in force from now on
	// Term is that of the last entry of this disk's log. Of several surviving disks, use the one
	// with the highest term, then index.
	Term      uint64
	Index     uint64   // of the last entry of this disk's log
	Uncertain int      // entries that may never have been committed; they are kept as committed
	Open      uint64   // number of a proposal that was open, and is aborted; 0: none
	Voters    []string // former voters, which lose their votes
}

// ForceNewFleet returns a disk that rebuilds the fleet from the disk of one voter after the
// majority was lost for good. That voter is the only one, under the given identity, which has to be
// new; all others on the roster are non-voters. Versions that only the lost voters committed are
// lost, so rule 5 does not hold across a rebuild; nor does rule 2 if any of the lost voters still
// runs. current is the version that was last in force at this gatherer; it is used if the log does
// not have it yet.
//
// ForceNewFleet changes nothing itself: the returned disk has to replace the old one, together with
// the new identity, while the gatherer does not run.
func ForceNewFleet(disk Disk, current *wire.Document, name string, identity uint64) (Disk, ForceReport, error) {
	var s state
	if disk.ID == 0 || disk.Snapshot == nil {
		return Disk{}, ForceReport{}, fmt.Errorf("rollout: rebuild fleet: the disk has no voter state; use the disk of a voter")
	}
	report, err := s.replay(disk)
	if err != nil {
		return Disk{}, report, err
	}
	if s.member(name) == nil {
		return Disk{}, report, fmt.Errorf("rollout: rebuild fleet: %s is not on the roster of this disk", name)
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
		return Disk{}, report, fmt.Errorf("rollout: encode state: %w", err)
	}
	term := max(disk.HardState.GetTerm(), report.Term) + 1
	return Disk{
		ID: id, HardState: &pb.HardState{Term: &term, Vote: proto.Uint64(0), Commit: &index},
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &pb.ConfState{Voters: []uint64{id}}}},
	}, report, nil
}

// replay rebuilds the state from a voter's snapshot and all entries of its log, committed or not,
// and reports the end of the log.
func (s *state) replay(disk Disk) (report ForceReport, err error) {
	if err := proto.Unmarshal(disk.Snapshot.Data, &s.State); err != nil {
		return report, fmt.Errorf("rollout: decode snapshot: %w", err)
	}
	report.Index, report.Term = disk.Snapshot.Metadata.GetIndex(), disk.Snapshot.Metadata.GetTerm()
	for _, e := range disk.Entries {
		data := e.Data
		if e.GetType() == pb.EntryConfChangeV2 {
			cc := &pb.ConfChangeV2{}
			if err := proto.Unmarshal(e.Data, cc); err != nil {
				return report, fmt.Errorf("rollout: decode log entry %d: %w", e.GetIndex(), err)
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

// abortForced aborts the open proposal. If the region followed the global agreement with it, the
// region rejects that attempt.
func (s *state) abortForced() {
	p := s.Open
	if p == nil {
		return
	}
	s.Open = nil
	s.Decided, s.Committed = p.Attempt, false
	s.recordOutcome(p, false, "the fleet was rebuilt from one voter's disk")
	if p.Global != 0 && !p.Decided {
		s.GlobalRefused, s.GlobalReason = p.Global, "the region was rebuilt from one voter's disk"
	}
}

// setOnlyVoter makes one member the only voter, and cancels a pending voter change.
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
