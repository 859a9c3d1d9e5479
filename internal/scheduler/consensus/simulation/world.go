package simulation

import (
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/rpc"
)

const (
	electionTimeoutMS   = 550
	heartbeatIntervalMS = 110
	tickMS              = 10
	startMS             = 1000 // virtual time at which a history starts
	quietMS             = 6000 // period without faults at the end

	randomStream = 7 // PCG stream of each history
)

// world is a replica group, its machines, and the network between them.
type world struct {
	options  Options
	random   *rand.Rand
	now      int64
	machines []*machine
	wanted   []*rpc.Replica // the placement
	report   Report

	inFlight         []delivery
	partitionedUntil map[link]int64

	appliedAt    map[uint64]string // by index: the entry applied by the first replica
	leaders      map[uint64]string // by epoch: the leader's id
	proposed     map[string]uint64 // by command: its log index
	acknowledged map[string]bool   // by command
	commands     int               // number of commands proposed so far

	// At most one machine may have failed at a time. It counts as failed until recoveryMS after it
	// has recovered.
	failedMachine string // name
	failedUntil   int64
}

// Play runs one history and checks it. The error is nil, a *ViolationError, or errGap.
func Play(options Options) (Report, error) {
	w := &world{
		options: options, random: rand.New(rand.NewPCG(options.Seed, randomStream)), partitionedUntil: map[link]int64{},
		appliedAt: map[uint64]string{}, leaders: map[uint64]string{}, acknowledged: map[string]bool{}, proposed: map[string]uint64{},
	}
	w.createGroup()
	for w.now = startMS; w.now < max(options.LengthMS, w.failedUntil+quietMS); w.now += tickMS {
		if err := w.step(); err != nil {
			return w.report, err
		}
	}
	return w.report, w.checkEnd()
}

// createGroup starts all machines; the first ones have the initial members of the group, the spares
// are empty.
func (w *world) createGroup() {
	var initialVoters []*rpc.Replica
	for i := range w.options.Machines + w.options.Spares {
		m := &machine{name: fmt.Sprintf("m%d", i), up: true}
		m.id = m.name + "/0"
		w.machines = append(w.machines, m)
		if i < w.options.Machines {
			initialVoters = append(initialVoters, &rpc.Replica{Id: m.id, Address: m.name, Node: m.name})
		}
	}
	w.wanted = initialVoters
	for i, m := range w.machines {
		if i < w.options.Machines {
			m.disk = disk{
				hardState: &rpc.HardState{Epoch: 1},
				snapshot:  &rpc.Snapshot{Index: 1, Epoch: 1, Membership: &rpc.Membership{Voters: initialVoters}},
			}
		}
		w.start(m)
	}
}

func (w *world) trace(format string, values ...any) {
	if w.options.Trace != nil {
		w.options.Trace("%6d "+format, append([]any{w.now}, values...)...)
	}
}

// faultsEnabled reports whether new faults may be injected now.
func (w *world) faultsEnabled() bool { return w.now < w.options.LengthMS-quietMS }

// step runs one tick: faults, arriving messages, each machine's driver, and the placement.
func (w *world) step() error {
	if w.faultsEnabled() {
		w.injectFault()
	}
	w.deliver()
	for _, m := range w.machines {
		if !m.up && w.now >= m.restartAt {
			w.start(m)
		}
		if m.up && w.now >= m.frozenUntil {
			if err := w.runDriver(m); err != nil {
				return err
			}
		}
	}
	w.updatePlacement()
	return nil
}

// updatePlacement updates the wanted replicas as the controller does. A machine that is down counts
// as failed immediately.
func (w *world) updatePlacement() {
	var list []placement.Machine
	for _, m := range w.machines {
		dead := int64(0)
		if !m.up {
			dead = placement.ReplaceAfterMS
		}
		list = append(list, placement.Machine{Node: m.name, Identity: m.id, Address: m.name, Zone: m.name, Alive: m.up, DeadMS: dead})
	}
	plan := placement.Plan(w.wanted, list, w.options.Machines, nil)
	if !placement.Equal(plan, w.wanted) {
		w.report.PlacementChanges++
		w.trace("wanted %v", plan)
		w.wanted = plan
	}
}
