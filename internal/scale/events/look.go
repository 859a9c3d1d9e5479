package events

import (
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
)

// sample samples whether queries are admitted, and records which changes are in force at every
// gatherer that admits any.
func (w *world) sample() {
	w.schedule(sampleInterval.Microseconds(), w.sample)
	l := Look{At: time.Duration(w.now-startMicros) * time.Microsecond}
	var count [4]int
	least, versions := ^uint64(0), map[uint64]bool{}
	believers := make([]int, len(w.nodes)) // how many gatherers consider each the leader
	for _, x := range w.nodes {
		if !x.up {
			continue
		}
		l.Live++
		if i, known := w.index[x.n.Leader()]; known {
			believers[i]++
		}
		v, number, _ := x.n.Admit(w.now)
		if count[v]++; v == rollout.Admitted {
			least, versions[number] = min(least, number), true
		}
	}
	if n := float64(l.Live); n > 0 {
		l.Let, l.Held, l.Doubt, l.Lapse = float64(count[rollout.Admitted])/n, float64(count[rollout.Paused])/n, float64(count[rollout.InDoubt])/n, float64(count[rollout.NoLease])/n
	}
	l.Versions = len(versions)
	most := slices.Max(believers)
	w.res.Leader = slices.Index(believers, most)
	w.leaderBySecond[(w.now-startMicros)/1_000_000] = w.res.Leader
	w.res.Looks = append(w.res.Looks, l)
	for i := range w.res.Changes {
		if c := &w.res.Changes[i]; c.InForce && c.All == 0 && count[rollout.Admitted] > 0 && count[rollout.Paused] == 0 && least >= c.number {
			c.All = l.At - c.At
		}
	}
}

// summarize computes the traffic of all gatherers second by second.
func (w *world) summarize(seconds int) {
	for s := range seconds {
		var x Second
		for _, n := range w.nodes {
			x.Messages, x.Sent = x.Messages+n.out[s], x.Sent+n.sent[s]
			x.MostSent, x.MostReceived, x.MostMessages = max(x.MostSent, n.sent[s]), max(x.MostReceived, n.received[s]), max(x.MostMessages, n.out[s]+n.in[s])
			switch both := n.sent[s] + n.received[s]; {
			case n.index == w.leaderBySecond[s]:
				x.Leader = both
			case n.voter:
				x.Voter = max(x.Voter, both)
			default:
				x.Follower = max(x.Follower, both)
				x.FollowerMean += both
			}
		}
		x.FollowerMean /= int64(max(1, len(w.nodes)-len(w.Voters)))
		w.res.Seconds = append(w.res.Seconds, x)
	}
}

// Peak returns the maximum of each figure over some seconds.
func Peak(all []Second) (most Second) {
	for _, s := range all {
		most.Messages, most.Sent, most.MostSent = max(most.Messages, s.Messages), max(most.Sent, s.Sent), max(most.MostSent, s.MostSent)
		most.MostReceived, most.MostMessages, most.Follower = max(most.MostReceived, s.MostReceived), max(most.MostMessages, s.MostMessages), max(most.Follower, s.Follower)
		most.Leader, most.Voter, most.FollowerMean = max(most.Leader, s.Leader), max(most.Voter, s.Voter), max(most.FollowerMean, s.FollowerMean)
	}
	return most
}

// disk is the state of a gatherer that survives its process.
type disk struct {
	identity        uint64
	id              uint64
	voterIdentities map[string]uint64
	roster          *wire.State
	current         *wire.Document
	staged          *wire.Proposal
	hard            *pb.HardState
	entries         []*pb.Entry
	snapshot        *pb.Snapshot
}

func (d *disk) persistentState() rollout.PersistentState {
	return rollout.PersistentState{
		Identity: d.identity, VoterIdentities: d.voterIdentities, Members: d.roster.GetMembers(), MembersIndex: d.roster.GetMembersIndex(), Current: d.current, Staged: d.staged,
		Disk: rollout.Disk{ID: d.id, HardState: d.hard, Entries: slices.Clone(d.entries), Snapshot: d.snapshot},
	}
}

func (d *disk) write(s *rollout.Save) {
	if s.VoterIdentities != nil {
		d.voterIdentities = s.VoterIdentities
		return
	}
	if s.ID != d.id {
		d.id, d.hard, d.entries, d.snapshot = s.ID, nil, nil, nil
	}
	if s.Snapshot != nil {
		d.snapshot, d.entries = s.Snapshot, nil
	}
	for _, e := range s.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries[:len(d.entries):len(d.entries)], e)
	}
	if s.HardState != nil {
		d.hard = s.HardState
	}
}

func (d *disk) compact(s *pb.Snapshot) {
	d.snapshot = s
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e *pb.Entry) bool { return e.GetIndex() <= s.Metadata.GetIndex() })
}
