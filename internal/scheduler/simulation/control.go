package simulation

import (
	"cmp"
	"maps"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/weights"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	stewardrole "saffronquay/internal/scheduler/controlplane"
)

const (
	settleMS     = 1200
	submitMS     = 1500
	passMS       = 850
	passPauseMS  = 50
	forgetMS     = 120_000
	leaseMS      = 3000 // of whoever sends orders to workers
	watchTimeout = 1100
)

// control keeps what this machine leads in order, as the roles' control loops do.
func (m *machine) control() {
	if m.kind == store {
		m.watchFeed()
		m.tickLedgers()
		return
	}
	placements := m.directory.Placements()
	for _, group := range slices.Sorted(maps.Keys(placements)) {
		if m.machineOf(group) != nil {
			m.engine.SetWanted(placements[group])
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(m.desks)) {
		for _, command := range m.desks[shard].OverdueCommands(m.ownership(shard), forgetMS) {
			m.propose(shard, replica.Marshal(command), func(replica.ProposalResult) {})
		}
		m.orderWorkers(shard)
	}
	if status := m.engine.Status(directory.Shard); status != nil && status.HasLease(m.w.now) && m.w.now-status.LeaderSince >= settleMS {
		m.place(status)
		m.completeRetirements()
	}
}

func (m *machine) ownership(shard string) registry.Ownership {
	status := m.engine.Status(shard)
	if status == nil {
		return registry.Ownership{}
	}
	return registry.Ownership{NowMS: m.w.now, Epoch: status.Epoch, HasLease: status.HasLease(m.w.now) || m.w.bug(LeaseIgnored)}
}

// place sees to it that each group's wanted replicas are those that the machines allow.
func (m *machine) place(status *replica.Status) {
	listened := m.w.now - status.LeaderSince
	placements := m.directory.Placements()
	for _, group := range stewardGroups() {
		current := placements[group].GetReplicas()
		if current == nil {
			current = status.Membership.GetVoters()
		}
		m.placeGroup(group, current, placement.WithForgotten(m.knows(steward), current, listened), false)
	}
	for n := range ledgerShards {
		group := batchjobs.ShardName(n)
		current := placements[group].GetReplicas()
		m.placeGroup(group, current, placement.WithForgotten(m.knows(store), current, listened), current == nil)
	}
}

func (m *machine) placeGroup(group string, current []*rpc.Replica, machines []placement.Machine, founding bool) {
	size := m.w.groupSize()
	if founding && len(machines) < size {
		return
	}
	if m.w.bug(NoRepair) {
		for i := range machines {
			for _, r := range current {
				if r.Node == machines[i].Node {
					machines[i].Identity = r.Id
				}
			}
		}
	}
	plan := placement.Plan(current, machines, size, nil)
	if len(plan) == 0 || placement.Same(current, plan) && m.directory.Placements()[group] != nil {
		return
	}
	m.w.trace("%s wants %s on %v", m.name, group, plan)
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{Group: group, Replicas: plan, Founding: founding}}}
	m.propose(directory.Shard, replica.Marshal(command), func(replica.ProposalResult) {})
}

// completeRetirements notes which machines hold nothing any more.
func (m *machine) completeRetirements() {
	retirements := m.directory.Retirements()
	for _, node := range slices.Sorted(maps.Keys(retirements)) {
		if retirements[node] || !m.emptied(node) {
			continue
		}
		command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: node, Completed: true}}}
		m.propose(directory.Shard, replica.Marshal(command), func(replica.ProposalResult) {})
	}
}

func (m *machine) emptied(node string) bool {
	placements := m.directory.Placements()
	for n := range ledgerShards {
		wanted := placements[batchjobs.ShardName(n)]
		if wanted == nil {
			continue
		}
		if slices.ContainsFunc(wanted.Replicas, func(r *rpc.Replica) bool { return r.Node == node }) {
			return false
		}
		if !m.w.bug(EmptiedEarly) && !m.settled(wanted) {
			return false
		}
	}
	return true
}

func (m *machine) settled(wanted *rpc.Placement) bool {
	return slices.ContainsFunc(wanted.Replicas, func(r *rpc.Replica) bool {
		at := m.w.machine(r.Address)
		if at == nil || !at.alive() || at.dark() || m.w.isCut(m.name, at.name) {
			return false
		}
		s := at.engine.Status(wanted.Group)
		return s != nil && stewardrole.MatchesPlacement(&rpc.GroupStatus{Leads: s.HasLease(m.w.now), Settled: s.MembershipCommitted, HeldByAll: s.FullyReplicated, Membership: s.Membership}, wanted)
	})
}

// replaceConfiguration takes an operator's order and answers with a status.
func (m *machine) replaceConfiguration(o *configurationOrder, answer func(int)) {
	m.decide(directory.ReplaceCommand(o.base, o.version, o.patch, o.body), func(result *rpc.DirectoryResult) {
		if result == nil {
			answer(503)
			return
		}
		answer(stewardrole.HTTPStatus(result.Status))
	})
}

// localRead is the mistake of answering a read without asking the leader.
func (m *machine) localRead() *rpc.DirectoryResult {
	record, ok := m.directory.Snapshot()().(*rpc.DirectorySnapshot)
	if !ok {
		return nil
	}
	return &rpc.DirectoryResult{Configuration: record.Configuration}
}

// decide has the directory decide on a command; nil where it can't.
func (m *machine) decide(command *rpc.DirectoryCommand, done func(*rpc.DirectoryResult)) {
	if m.w.bug(LocalReads) && command.GetRead() != nil {
		done(m.localRead())
		return
	}
	m.submit(directory.Shard, replica.Marshal(command), m.w.now+submitMS, func(p replica.ProposalResult) {
		result := &rpc.DirectoryResult{}
		if p.Outcome != rpc.Outcome_DONE || proto.Unmarshal(p.Result, result) != nil {
			done(nil)
			return
		}
		done(result)
	})
}

// retire takes an order to empty a machine and answers with a status.
func (m *machine) retire(node string, until int64, answer func(int)) {
	w, life := m.w, m.life
	var try func()
	again := func() { w.after(passPauseMS, try) }
	try = func() {
		status := m.engine.Status(directory.Shard)
		switch {
		case m.life != life:
			return
		case w.now >= until:
			answer(503)
		case m.leased(directory.Shard) || w.bug(LocalRefusals):
			m.judgeRetire(node, status, answer, again)
		case status != nil && status.LeaderAddress != "" && status.LeaderAddress != m.name:
			to := w.machine(status.LeaderAddress)
			call(w, m.name, to, until-w.now, func(answer func(int)) {
				if !to.leased(directory.Shard) {
					answer(0)
					return
				}
				to.judgeRetire(node, to.engine.Status(directory.Shard), answer, func() { answer(0) })
			}, func(status int, ok bool) {
				if !ok || status == 0 {
					again()
					return
				}
				answer(status)
			})
		default:
			again()
		}
	}
	try()
}

func (m *machine) judgeRetire(node string, status *replica.Status, answer func(int), later func()) {
	if _, begun := m.directory.Retirements()[node]; begun {
		answer(200)
		return
	}
	if m.w.now-status.LeaderSince < settleMS && !m.w.bug(LocalRefusals) {
		later()
		return
	}
	var placements []*rpc.Placement
	for n := range ledgerShards {
		if p := m.directory.Placements()[batchjobs.ShardName(n)]; p != nil {
			placements = append(placements, p)
		}
	}
	switch stewardrole.RetireRefusal(node, m.knows(store), placements, m.w.groupSize()) {
	case rpc.RetireState_RETIRE_NO_SUCH_MACHINE:
		answer(404)
		return
	case rpc.RetireState_RETIRE_TOO_FEW_LEFT:
		answer(409)
		return
	}
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: node}}}
	m.propose(directory.Shard, replica.Marshal(command), func(p replica.ProposalResult) {
		if p.Outcome != rpc.Outcome_DONE {
			later()
			return
		}
		answer(200)
	})
}

// heartbeat takes in what a worker says of itself, and answers whether the owner of the shard has.
func (m *machine) heartbeat(shard string, r *rpc.HeartbeatRequest, until int64, answer func(bool)) {
	w, life := m.w, m.life
	var try func()
	again := func() { w.after(passPauseMS, try) }
	try = func() {
		if m.life != life {
			return
		}
		if w.now >= until {
			answer(false)
			return
		}
		m.hear(shard, r, func(result rpc.Outcome) {
			status := m.engine.Status(shard)
			switch {
			case result == rpc.Outcome_DONE:
				answer(true)
			case result == rpc.Outcome_NOT_LEADER && status.LeaderAddress != "" && status.LeaderAddress != m.name:
				to := w.machine(status.LeaderAddress)
				call(w, m.name, to, until-w.now, func(answer func(rpc.Outcome)) { to.hear(shard, r, answer) }, func(result rpc.Outcome, ok bool) {
					if ok && result == rpc.Outcome_DONE {
						answer(true)
						return
					}
					again()
				})
			default:
				again()
			}
		})
	}
	try()
}

// hear decides on a heartbeat where this machine owns the shard.
func (m *machine) hear(shard string, r *rpc.HeartbeatRequest, answer func(rpc.Outcome)) {
	if m.engine.Status(shard) == nil {
		answer(rpc.Outcome_UNAVAILABLE)
		return
	}
	result, command := m.desks[shard].Decide(m.ownership(shard), r)
	if result != rpc.Outcome_DONE || command == nil || m.w.bug(LeaseIgnored) {
		if command != nil {
			m.propose(shard, replica.Marshal(command), func(replica.ProposalResult) {})
		}
		answer(result)
		return
	}
	m.propose(shard, replica.Marshal(command), func(p replica.ProposalResult) { answer(p.Outcome) })
}

// watchAnswer is what a watcher is told.
type watchAnswer struct {
	feeds []*rpc.ShardFeed
	fresh bool
}

func (m *machine) tell(offsets map[string]uint64) watchAnswer {
	feeds, _ := m.feed.Since(offsets)
	return watchAnswer{feeds, m.fresh()}
}

// watchFeed has a store follow the placements.
func (m *machine) watchFeed() {
	w, life := m.w, m.life
	if m.watching {
		return
	}
	var names []string
	for _, s := range w.of(steward) {
		names = append(names, s.name)
	}
	source := w.machine(m.tail.Next(names))
	m.watching = true
	call(w, m.name, source, watchTimeout, func(answer func(watchAnswer)) { answer(source.tell(m.feed.Offsets())) }, func(told watchAnswer, ok bool) {
		if m.life != life {
			return
		}
		m.watching = false
		if !ok || !told.fresh {
			m.tail.Failed()
		}
		for _, e := range m.feed.Merge(told.feeds) {
			if p := e.GetPlacement(); p != nil {
				m.follow(p)
			}
		}
	})
}

// follow acts on a new placement.
func (m *machine) follow(p *rpc.Placement) {
	if m.machineOf(p.Group) == nil {
		return
	}
	own := slices.ContainsFunc(p.Replicas, func(r *rpc.Replica) bool { return r.Id == m.identity })
	if p.Founding && own {
		m.engine.CreateGroup(p.Group, p.Replicas)
	}
	m.engine.Tick(m.w.now) // so that the group is there before its wanted members are set
	m.engine.SetWanted(p)
	m.turnAt = 0
}

// orderWorkers sends the orders of a registry shard that this machine holds, as weights.Dispatcher does.
func (m *machine) orderWorkers(shard string) {
	w := m.w
	status := m.engine.Status(shard)
	if status == nil || !status.HasLease(w.now) {
		return
	}
	wanted := m.directory.NamedVersions()
	present := m.desks[shard].ResponsiveInstances(w.now)
	slices.SortFunc(present, func(a, b *rpc.Instance) int { return cmp.Compare(a.Id, b.Id) })
	orders := weights.Plan(present, wanted, nil, &weights.Rules{
		SingleVersion: func(string) bool { return false }, MaxConcurrent: func(n int) int { return n },
		Slots: func(string) float64 { return 100 },
	})
	if len(orders) == 0 {
		return
	}
	slices.SortFunc(orders, func(a, b weights.Order) int { return cmp.Compare(a.Instance.Id, b.Instance.Id) })
	if m.held[shard] != status.Epoch {
		last := m.registry[shard].Holder()
		holder := w.machine(last.GetNode())
		ended := holder == nil || uint64(holder.life) != last.GetStart()
		owned := time.Duration(w.now-status.LeaderSince) * time.Millisecond
		may := weights.MayTakeOver(m.name, last.GetNode(), ended, w.options.Fencing, owned, leaseMS*time.Millisecond) || w.bug(HolderAtOnce)
		if !may || m.holding {
			return
		}
		m.holding = true
		hold := &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: &rpc.Holder{Node: m.name, Epoch: status.Epoch, Start: uint64(m.life)}}}
		m.propose(shard, replica.Marshal(hold), func(p replica.ProposalResult) {
			if m.holding = false; p.Outcome == rpc.Outcome_DONE {
				m.held[shard] = status.Epoch
			}
		})
		return
	}
	for _, o := range orders {
		if target := w.worker(o.Instance.Id); target != nil && m.leased(shard) {
			target.order(m, shard, status.Epoch, o.Version)
		}
	}
}
