package simulation

import "saffronquay/internal/cluster/rollout"

// checkEnd checks the state at the end of a run: every node on the roster admits queries under the
// newest version, and no proposal is open.
func (w *world) checkEnd() {
	if w.Regions > 0 {
		w.checkRegionsEnd()
	}
	roster, known := w.endRoster()
	for _, x := range w.nodes[:len(w.nodes)-w.Down] {
		if !w.hasRegions() { // with regions, decisions of different regions are not comparable
			w.checkDecisions(w.outcomes, x.core.Decisions())
		}
		admission, number, _ := x.core.Admit(w.localTime(x))
		switch {
		case w.Witness && x.region == w.Regions:
			if admission == rollout.Admitted {
				w.violation(&w.result.Unlisted, "the witness lets queries in")
			}
		case known && !roster[x.name]:
			if admission == rollout.Admitted {
				w.violation(&w.result.Unlisted, "%s is not on the roster, and lets queries in at the end", x.name)
			}
		default:
			w.checkNodeEnd(x, admission, number)
		}
	}
	for _, p := range w.proposals {
		if !p.resolved {
			w.violation(&w.result.Stuck, "the outcome of a proposal of %.3f s is not known at the end: %v", seconds(p.proposedAt-epoch), p.request)
		}
	}
}

// endRoster returns the names on the roster at the end; known is false if no disk has a roster.
func (w *world) endRoster() (roster map[string]bool, known bool) {
	if w.hasRegions() {
		return w.regionRosters(), true
	}
	roster = map[string]bool{}
	voters, others, known := w.currentVoters()
	for _, i := range append(voters, others...) {
		roster[w.nodes[i].name] = true
	}
	return roster, known
}

// checkNodeEnd checks the state of a node on the roster at the end of a run.
func (w *world) checkNodeEnd(x *node, admission rollout.Admission, number uint64) {
	if admission != rollout.Admitted {
		w.violation(&w.result.Stuck, "%s lets nothing in at the end: %s", x.name, admission)
	} else if number < w.acknowledged {
		w.violation(&w.result.Lost, "version %d was told to be in force, and %s has %d", w.acknowledged, x.name, number)
	}
	if x.core.IsLeader() && x.core.OpenAttempt() != 0 {
		w.violation(&w.result.Stuck, "proposal %d is open at the end", x.core.OpenAttempt())
	}
}
