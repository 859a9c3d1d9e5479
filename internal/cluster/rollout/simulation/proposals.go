package simulation

import (
	"saffronquay/internal/cluster/rollout/wire"
)

// Values of wire.Answer.End.
const (
	endOpen    = 0
	endInForce = 1
	endUnknown = 3
)

// validForAll is the first byte of documents that no node finds invalid.
const validForAll = 255

// propose makes an operator propose a policy at a random initial voter, and schedules the next
// proposal.
func (w *world) propose() {
	if w.now > epoch+w.FaultsEnd {
		return
	}
	w.schedule(w.ProposeInterval/2+w.rng.Int64N(w.ProposeInterval), w.propose)
	w.lastNonce++
	base := w.newest
	if w.rng.IntN(8) == 0 && base > 0 {
		base--
	}
	keep := w.KeepSome && w.rng.IntN(4) == 0
	text := w.newText()
	if w.RejectSome && w.rng.IntN(6) == 0 {
		text[0] = byte(1 + w.rng.IntN(min(len(w.nodes), 250)))
	}
	if w.hasRegions() {
		base = max(base, w.newestVersion())
	}
	request := &wire.Propose{Nonce: w.lastNonce, Base: base, Text: text, By: "operator", Keep: keep}
	p := &proposal{request: request, proposedAt: w.now, target: w.rng.IntN(w.Voters)}
	w.result.Changes++
	w.submit(p)
}

// newText returns a document that differs from those of other proposals and that all nodes find
// valid.
func (w *world) newText() []byte {
	return []byte{validForAll, byte(w.lastNonce), byte(w.lastNonce >> 8)}
}

// submit submits a proposal, and polls until its outcome is known.
func (w *world) submit(p *proposal) {
	w.proposals[p.request.Nonce] = p
	w.poll(p)
}

// poll sends a proposal and repeats it until its outcome is known: to the leader that the last
// answer names, or else to a random node.
func (w *world) poll(p *proposal) {
	if p.resolved || w.now > epoch+w.Length-second {
		return
	}
	w.schedule(30*ms+w.rng.Int64N(40*ms), func() { w.poll(p) })
	x := w.nodes[p.target]
	if !x.runs() {
		p.target = w.rng.IntN(len(w.nodes))
		return
	}
	answer := x.core.Propose(w.localTime(x), p.request)
	w.execute(x)
	if answer.End != endUnknown {
		w.handleAnswer(answer)
		return
	}
	if i := w.nodeIndex(answer.Leader); i >= 0 && i != p.target {
		p.target = i
	} else {
		p.target = w.rng.IntN(len(w.nodes))
	}
}

// handleAnswer records the outcome of a proposal.
func (w *world) handleAnswer(answer *wire.Answer) {
	p := w.proposals[answer.Nonce]
	if p == nil || p.resolved || answer.End == endOpen || answer.End == endUnknown {
		return
	}
	p.resolved = true
	made := answer.End == endInForce
	if p.onEnd != nil {
		p.onEnd(made, answer.Reason)
		return
	}
	w.result.ChangeTimes = append(w.result.ChangeTimes, w.now-p.proposedAt)
	if !made {
		w.result.Aborted++
		if w.result.AbortReasons == nil {
			w.result.AbortReasons = map[string]int{}
		}
		w.result.AbortReasons[numberPattern.ReplaceAllString(answer.Reason, "N")]++
		return
	}
	if w.hasRegions() {
		w.checkRegionAnswer(answer)
	}
	w.result.InForce++
	if w.History {
		w.result.Operations = append(w.result.Operations, Operation{Write: true, Number: answer.Number, Call: p.proposedAt, Return: w.now})
	}
	w.acknowledged = max(w.acknowledged, answer.Number) // all regions must have this or a later one at the end
}
