package simulation

import (
	"fmt"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/testing/harness"
	"testing"
)

// twoRegions is a run of 24 gatherers in two regions with no faults but those of a script; most global voters are in the first one.
func twoRegions(seed uint64, script func(*world)) Config {
	return Config{
		Seed: seed, Regions: 2, Voters: 10, Others: 14, Global: 5, Between: 60 * ms, Calm: 42 * second, Length: 48 * second, Every: 2 * second, Admit: 20 * ms, Share: true, Wants: busy,
		Spares: 2, Slots: 30, script: script,
	}
}

// few is how many seeds a case has; under the race detector one, since there are many cases.
func few(n uint64) uint64 {
	if harness.Raced {
		return 1
	}
	return n
}

// when does something at the first moment, from a time on.
func (w *world) when(from int64, moment func() bool, do func()) {
	var look func()
	look = func() {
		if moment() {
			do()
			return
		}
		w.later(ms/4, look)
	}
	w.later(from, look)
}

func (w *world) globalLeader() *node {
	for _, x := range w.nodes {
		if x.up && x.n.GlobalLeads() && len(x.n.GlobalGrants()) == w.Regions {
			return x
		}
	}
	return nil
}

// holds tells that somebody holds queries in a region.
func (w *world) holds(region int) bool {
	for _, x := range w.nodes {
		if x.up && x.region == region && x.n.Holding() {
			return true
		}
	}
	return false
}

// leads is who leads a region.
func (w *world) leads(region int) *node {
	for _, x := range w.nodes {
		if x.up && x.region == region && x.n.Leads() {
			return x
		}
	}
	return nil
}

// grants looks at how the regions stand with the global leader, while a proposal is open or none is.
func (w *world) grants(open bool, such func(attempt uint64, g rollout.Grant) bool) bool {
	x := w.globalLeader()
	if x == nil || open != (x.n.GlobalOpen() != 0) {
		return false
	}
	for _, g := range x.n.GlobalGrants() {
		if !such(x.n.GlobalOpen(), g) {
			return false
		}
	}
	return true
}

// fine judges a run whose regions were apart: both let in as before, and one version is in force soon afterwards.
func fine(t *testing.T, what string, cfg Config) Result {
	t.Helper()
	r, err := Run(cfg)
	x := r.Region
	if err != nil || r.Bad() || x.Served[1] < 0.99*x.Served[0] || len(x.Rejoined) == 0 || x.Rejoined[len(x.Rejoined)-1] > 7*second {
		t.Errorf("%s, seed %d: %v %s; let in %.4f, and %.4f while apart; joined again after %v us; %d everywhere, %d in some regions; %v", what, cfg.Seed, err, r.First, x.Served[0], x.Served[1], x.Rejoined,
			x.Everywhere, x.Partly, r.Reasons)
	}
	return r
}

// The regions are cut from each other in the middle of a judgement, of a hold, and of a commit, both ways or one way. The one without the
// global majority stands still, as long as it hears nothing, and its gatherers tell so; the other one goes on changing.
func TestCutInTheMiddle(t *testing.T) {
	moments := map[string]func(w *world) bool{
		"judge": func(w *world) bool {
			return w.grants(true, func(attempt uint64, g rollout.Grant) bool { return g.Ready != attempt })
		},
		"ready": func(w *world) bool {
			return w.grants(true, func(attempt uint64, g rollout.Grant) bool { return g.Ready == attempt })
		},
		"hold": func(w *world) bool { return w.holds(0) && !w.holds(1) },
		"held": func(w *world) bool { return w.holds(0) && w.holds(1) },
		"commit": func(w *world) bool {
			return w.grants(true, func(attempt uint64, g rollout.Grant) bool { return g.Held == attempt })
		},
		"told": func(w *world) bool {
			return w.holds(1) && w.grants(false, func(uint64, rollout.Grant) bool { return true })
		},
	}
	for name, moment := range moments {
		if harness.Raced && name != "hold" && name != "told" {
			continue // the others are played without the race detector
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range few(6) {
				oneWay := int(seed % 3)
				var still, told bool
				cfg := twoRegions(seed, func(w *world) {
					w.when(14*second, func() bool { return moment(w) }, func() {
						w.divide(Cut{For: 16 * second, OneWay: oneWay})
						w.later(4*second, func() {
							was := w.nodes[1].n.Number()
							w.later(11*second, func() {
								x := w.nodes[w.Voters+1]
								s, _ := x.n.Region(w.local(x))
								still, told = x.n.Number() == was && w.nodes[0].n.Number() > was, s.Apart > 12*second && s.Apart < 16*second && s.Number == was
							})
						})
					})
				})
				if r := fine(t, name, cfg); oneWay != 2 && (!still || !told) || r.Region.Partly == 0 {
					t.Errorf("seed %d: it stood still: %t, told so: %t; %d changes in one region", seed, still, told, r.Region.Partly)
				}
			}
		})
	}
}

// The link between the regions comes and goes every second.
func TestFlapping(t *testing.T) {
	for seed := range few(4) {
		r := fine(t, "flapping", twoRegions(seed, func(w *world) { w.later(14*second, func() { w.divide(Cut{For: 20 * second, Flaps: second}) }) }))
		if r.Region.Everywhere == 0 {
			t.Errorf("seed %d: nothing took hold", seed)
		}
	}
}

// While the regions are apart the leader of each dies, and so does the next one.
func TestLeaderDiesWhileCutOff(t *testing.T) {
	for seed := range few(4) {
		fine(t, "a leader dies", twoRegions(seed, func(w *world) {
			w.later(14*second, func() { w.divide(Cut{For: 18 * second}) })
			for _, at := range []int64{17 * second, 22 * second} {
				w.later(at, func() {
					for region := range 2 {
						if x := w.leads(region); x != nil {
							w.kill(x, 4*second)
						}
					}
				})
			}
		}))
	}
}

// The leader of a region dies while the region is prepared: the one after it knows what was promised, and the region is not let go before the
// global agreement's end of it is known, or the lease of the one before is over.
func TestLeaderDiesPrepared(t *testing.T) {
	for seed := range few(6) {
		r, err := Run(twoRegions(seed, func(w *world) {
			for at := 10 * second; at < 34*second; at += 6 * second {
				w.when(at, func() bool {
					return w.grants(true, func(attempt uint64, g rollout.Grant) bool { return g.Name != "r1" || g.Held == attempt })
				}, func() { w.kill(w.leads(1), 2*second) })
			}
		}))
		if err != nil || r.Bad() || r.InForce < 6 {
			t.Errorf("seed %d: %v %s; %d in force; %v", seed, err, r.First, r.InForce, r.Reasons)
		}
	}
}

// The region with the global majority is lost as a whole, and comes back.
func TestMajoritysRegionIsLost(t *testing.T) {
	for seed := range few(4) {
		r := fine(t, "the majority's region is lost", twoRegions(seed, func(w *world) {
			w.later(14*second, func() {
				w.apartAt, w.apartTo = w.now, w.now+14*second
				for _, x := range w.nodes {
					if x.region == 0 {
						w.kill(x, 14*second)
					}
				}
				w.later(14*second+ms, func() { w.rejoin(w.now) })
			})
		}))
		if r.Region.Everywhere < 5 {
			t.Errorf("seed %d: %d changes took hold", seed, r.Region.Everywhere)
		}
	}
}

// A gatherer and a voter of the region that is cut off are started again: their region's leader lets them in again, under its version.
func TestRestartWhileCutOff(t *testing.T) {
	for seed := range few(4) {
		lets := 0
		fine(t, "restarts", twoRegions(seed, func(w *world) {
			w.later(14*second, func() { w.divide(Cut{For: 16 * second}) })
			for _, x := range []*node{w.nodes[w.Voters+1], w.nodes[7]} {
				w.later(19*second, func() { w.kill(x, 500*ms) })
				w.later(21*second, func() {
					if v, n, _ := x.n.Admit(w.local(x)); v == rollout.Let && n == w.nodes[1].n.Number() {
						lets++
					}
				})
			}
		}))
		if lets != 2 {
			t.Errorf("seed %d: %d of two let in again", seed, lets)
		}
	}
}

// The roster changes while the regions are apart: at once in the one with the majority, in the other one when they are joined. What of the
// budgets the one gives up the other one has only a version later.
func TestRosterChangesWhileCutOff(t *testing.T) {
	for seed := range few(4) {
		var meanwhile, after [3]bool
		var parts string
		fine(t, "roster", twoRegions(seed, func(w *world) {
			lets := func() (all [3]bool) {
				for i, at := range []int{24, 25, 11} { // two spares, and one that is taken off
					v, _, _ := w.nodes[at].n.Admit(w.local(w.nodes[at]))
					all[i] = v == rollout.Let
				}
				return all
			}
			change := func(p *wire.Propose) {
				w.proposed++
				p.Nonce, p.By = w.proposed, "operator"
				w.submit(&proposal{p: p, at: w.now, to: 0, op: func(bool, string) {}})
			}
			w.later(14*second, func() { w.divide(Cut{For: 16 * second}) })
			w.later(18*second, func() {
				change(&wire.Propose{Add: []*wire.Member{{Name: "n024", Address: "n024", Region: "r0"}, {Name: "n025", Address: "n025", Region: "r1"}}})
				change(&wire.Propose{Remove: []string{"n011", "n013"}})
			})
			w.later(28*second, func() { meanwhile = lets() })
			w.later(47*second, func() {
				after = lets()
				parts = fmt.Sprint(w.parts[w.nodes[0].n.Number()])
			})
		}))
		if meanwhile != [3]bool{true, false, true} || after != [3]bool{true, true, false} || parts != "parts r0=541666 r1=458333" {
			t.Errorf("seed %d: let in while apart %v, and joined %v; %s", seed, meanwhile, after, parts)
		}
	}
}

// A contract is halved, and the regions are cut right then: the one that is cut off goes on with its part of the whole one.
func TestCutRightAfterAContractWasHalved(t *testing.T) {
	for seed := range few(4) {
		r := fine(t, "halved", twoRegions(seed, func(w *world) {
			w.when(10*second, func() bool {
				return w.holds(1) && contract(w.agreed()) == 50 && w.grants(false, func(uint64, rollout.Grant) bool { return true })
			}, func() { w.divide(Cut{For: 16 * second}) })
		}))
		if r.Region.Halved < 20 || r.Region.Most["r1"] < 0.9 {
			t.Errorf("seed %d: the contracts differed %d times, and r1 used %.2f of its part", seed, r.Region.Halved, r.Region.Most["r1"])
		}
	}
}

// A third place has nothing but one global voter: whichever region it still reaches goes on changing, and it never lets anything in.
func TestWitness(t *testing.T) {
	cfg := twoRegions(1, func(w *world) {
		w.later(14*second, func() { w.divide(Cut{For: 16 * second}) })
	})
	cfg.Witness = true
	r := fine(t, "witness", cfg)
	if r.Region.Partly == 0 {
		t.Errorf("no change took hold while the regions were apart: %v", r.Reasons)
	}
}
