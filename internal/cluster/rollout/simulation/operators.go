package simulation

import (
	"saffronquay/internal/cluster/rollout/wire"
	"slices"
	"strings"
)

// currentVoters returns the voters and the other members of the newest roster on any disk; ok is
// false if no disk has a roster.
func (w *world) currentVoters() (voters, others []int, ok bool) {
	newest := w.newestRoster(func(*node) bool { return true })
	for _, m := range newest {
		if i := w.nodeIndex(m.Name); m.Id != 0 {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	return voters, others, newest != nil
}

// newestRoster returns the newest roster on the disks of matching nodes, or nil if there is none.
func (w *world) newestRoster(matches func(*node) bool) (newest []*wire.Member) {
	index := uint64(0)
	for _, x := range w.nodes {
		if s := x.disk.roster; matches(x) && s.GetMembersIndex() > index {
			index, newest = s.MembersIndex, s.Members
		}
	}
	return newest
}

// rosterNodes returns the voters and the other members of the newest roster, or of the initial one
// before any disk has a roster.
func (w *world) rosterNodes() (voters, others []int) {
	voters, others, ok := w.currentVoters()
	if ok {
		return voters, others
	}
	voters, others = []int{}, []int{}
	for i := range w.Voters + w.Others {
		if i < w.Voters {
			voters = append(voters, i)
		} else {
			others = append(others, i)
		}
	}
	return voters, others
}

// intactVoters returns the number of voters that still have the disk of their vote.
func (w *world) intactVoters(voters []int) (n int) {
	for _, i := range voters {
		d := w.nodes[i].disk
		if m := findMember(d.roster.GetMembers(), w.nodes[i].name); d.id != 0 && (m == nil || m.Identity == d.identity) {
			n++
		}
	}
	return n
}

// operatorAction makes an operator change the roster or the voters, or a voter lose its disk and
// get a new vote. It schedules the next action.
func (w *world) operatorAction() {
	if w.now > epoch+w.FaultsEnd {
		return
	}
	w.schedule(w.OperatorInterval/2+w.rng.Int64N(w.OperatorInterval), w.operatorAction)
	if w.hasRegions() {
		w.operatorRegionAction()
		return
	}
	voters, others := w.rosterNodes()
	w.lastNonce++
	p := &wire.Propose{Nonce: w.lastNonce, By: "operator"}
	count := &w.result.VoterChanges
	switch k := w.rng.IntN(6); {
	case k == 0 && len(others) > 0 && len(voters) < 7:
		p.VoterAdd = w.anyName(others)
	case k == 1 && len(voters) > 3:
		p.VoterRemove = w.anyName(voters)
	case k == 2 && len(others) > 0:
		p.VoterAdd = w.anyName(others)
		p.VoterRemove = w.anyName(voters)
	case k == 3 && w.Spares > 0:
		count = &w.result.RosterChanges
		x := w.anySpare()
		p.Add = []*wire.Member{{Name: x.name, Address: x.name}}
	case k == 4 && len(others) > 3:
		count = &w.result.RosterChanges
		p.Remove = []string{w.anyName(others)}
	case k == 5 && w.intactVoters(voters)-1 >= len(voters)/2+2: // keeps a margin: other changes may be in progress
		w.replaceDisk(w.nodes[voters[w.rng.IntN(len(voters))]])
		return
	default:
		return
	}
	w.submitChange(p, count)
}

// anyName returns the name of a random node of a list.
func (w *world) anyName(indices []int) string { return w.nodes[indices[w.rng.IntN(len(indices))]].name }

// anySpare returns a random node that is not on the initial roster.
func (w *world) anySpare() *node { return w.nodes[len(w.nodes)-1-w.rng.IntN(w.Spares)] }

// submitChange proposes a change of the roster or the voters at a random node, and increments count
// when it is committed.
func (w *world) submitChange(p *wire.Propose, count *int) {
	w.submit(&proposal{request: p, proposedAt: w.now, target: w.rng.IntN(len(w.nodes)), onEnd: func(made bool, _ string) {
		if made {
			*count++
		}
	}})
}

// replaceDisk makes a running voter lose its disk, and gives it a new vote after its restart.
func (w *world) replaceDisk(x *node) {
	if !x.running || x.disk.id == 0 {
		return
	}
	duration := 100*ms + w.rng.Int64N(second)
	w.loseDisk(x, duration)
	w.schedule(duration, func() { w.restoreVote(x) })
}

// loseDisk kills a node, and restarts it without its disk.
func (w *world) loseDisk(x *node, duration int64) {
	w.result.DisksLost++
	w.kill(x, duration)
	x.disk, x.readyAttempt = disk{}, 0
}

// restoreVote gives a voter that lost its disk a new vote, and retries until that succeeds.
func (w *world) restoreVote(x *node) {
	w.lastNonce++
	p := &wire.Propose{Nonce: w.lastNonce, By: "operator", VoterAdd: x.name, VoterRemove: x.name}
	w.submit(&proposal{request: p, proposedAt: w.now, target: w.rng.IntN(len(w.nodes)), onEnd: func(made bool, reason string) {
		if made {
			w.result.VoterChanges++
			return
		}
		voters, _, _ := w.currentVoters()
		// An earlier attempt has succeeded.
		if !slices.Contains(voters, x.index) || strings.Contains(reason, "still has the disk of its vote") {
			return
		}
		w.schedule(300*ms, func() { w.restoreVote(x) })
	}})
}

// operatorRegionAction makes an operator change the roster or the voters of a region.
func (w *world) operatorRegionAction() {
	w.lastNonce++
	p := &wire.Propose{Nonce: w.lastNonce, By: "operator"}
	count := &w.result.RosterChanges
	x := w.nodes[w.rng.IntN(w.Voters+w.Others)]
	switch w.rng.IntN(4) {
	case 0:
		if w.Spares == 0 {
			return
		}
		x = w.anySpare()
		p.Add = []*wire.Member{{Name: x.name, Address: x.name, Region: w.regionName(x)}}
	case 1:
		p.Remove = []string{w.nodes[w.Voters+w.rng.IntN(w.Others+w.Spares)].name}
	case 2:
		count = &w.result.VoterChanges
		p.VoterAdd, p.Region = x.name, w.regionName(x)
	case 3:
		count = &w.result.VoterChanges
		p.VoterRemove, p.Region = x.name, w.regionName(x)
	}
	w.submitChange(p, count)
}
