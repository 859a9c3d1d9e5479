package rollout

import "saffronquay/internal/cluster/rollout/wire"

// isOtherRegion reports whether a gatherer is known to be in another region.
func (n *Node) isOtherRegion(name string) bool {
	if n.global == nil {
		return false
	}
	m := findMember(n.members, name)
	return m != nil && m.Region != n.cfg.Region
}

// tickGlobal performs what is due for the global agreement.
func (n *Node) tickGlobal(now int64) {
	if v := n.global.voter; v != nil {
		v.tick(now)
	}
	for _, m := range n.global.dueHellos(now) {
		m.Global = true
		n.send(now, m)
	}
	if n.local.voter == nil || now < n.follower.requestAt {
		return
	}
	if n.local.voter.isLeader {
		n.local.voter.requestGlobalLease(now)
	} else if to, ping := n.follower.newPing(now); to != "" {
		n.send(now, &wire.Message{From: n.name, To: to, Ask: ping, Global: true})
	}
}

// dispatchGlobal handles a message of the global agreement.
func (n *Node) dispatchGlobal(now int64, m *wire.Message) {
	g := n.global
	if g == nil {
		return
	}
	switch {
	case m.Word != nil:
		n.follower.handleStatus(now, m.From, m.Word)
		if n.local.voter != nil {
			n.local.voter.advance(now)
		}
	case m.Hello != nil:
		if answer := g.handleHello(now, m); answer != nil {
			answer.Global = true
			n.send(now, answer)
		}
	case m.Raft != nil:
		g.handleRaft(now, m)
	case m.Ask != nil && !g.isActiveLeader():
		redirect := g.redirect(m.Ask)
		if g.voter != nil && g.voter.state.MembersIndex > m.Ask.MembersIndex {
			redirect.Members, redirect.MembersIndex = g.voter.state.Members, g.voter.state.MembersIndex
		}
		n.send(now, &wire.Message{From: n.name, To: m.From, Word: redirect, Global: true})
	case m.Ask != nil:
		g.voter.handleLeaseRequest(now, m.From, m.Identity, m.Ask)
	}
}

// proposeWithRegions handles a proposal in a fleet with regions. A change of a region's voters
// belongs to the region's agreement, everything else to the global one.
func (n *Node) proposeWithRegions(now int64, p *wire.Propose) *wire.Answer {
	var a *wire.Answer
	if p.Region != "" {
		a = n.proposeInRegion(now, p)
	} else {
		a = n.proposeGlobally(now, p)
	}
	n.collect(now)
	return a
}

func (n *Node) proposeInRegion(now int64, p *wire.Propose) *wire.Answer {
	switch {
	case p.Region != n.cfg.Region:
		leader := n.randomMember(func(m *wire.Member) bool { return m.Region == p.Region })
		return &wire.Answer{Nonce: p.Nonce, End: endUnknown, Leader: leader}
	case p.VoterAdd == "" && p.VoterRemove == "":
		return &wire.Answer{Nonce: p.Nonce, End: endAborted, Reason: "a region's agreement decides only changes of its voters"}
	case !n.local.hasVote():
		return &wire.Answer{Nonce: p.Nonce, End: endUnknown, Leader: n.Holder.leader}
	}
	return n.local.voter.handleProposal(now, p)
}

func (n *Node) proposeGlobally(now int64, p *wire.Propose) *wire.Answer {
	if n.global.hasVote() {
		return n.global.voter.handleProposal(now, p)
	}
	a := &wire.Answer{Nonce: p.Nonce, End: endUnknown, Leader: n.follower.leader}
	if a.Leader == "" {
		a.Leader = n.randomMember(func(m *wire.Member) bool { return m.Global })
	}
	return a
}

// randomMember returns the name of a random matching member of the roster, or "" if none matches.
func (n *Node) randomMember(matches func(*wire.Member) bool) string {
	var names []string
	for _, m := range n.members {
		if matches(m) {
			names = append(names, m.Name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	return names[n.Holder.rng.IntN(len(names))]
}

// SavedGlobal confirms that Output.Global.Save is on disk. After an error the node must not be used
// any more.
func (n *Node) SavedGlobal(now int64) error {
	snapshot, err := n.global.handleSaved(now)
	if err != nil {
		return err
	}
	if snapshot != nil {
		n.output.Global.Snapshot, n.output.Global.SnapshotOf = snapshot, n.global.voter.id
	}
	n.collect(now)
	return nil
}
