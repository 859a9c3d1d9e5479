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

	stewardrole "saffronquay/internal/scheduler/controlplane"
)

const (
	leaderSettleMS   = 1200
	submitTimeoutMS  = 1500
	forwardTimeoutMS = 850
	forwardRetryMS   = 50
	forgetWorkerMS   = 120_000
	dispatchLeaseMS  = 3000 // of whoever sends orders to workers
	watchTimeoutMS   = 1100
)

// control keeps what this machine leads in order, as the roles' control loops do.
func (m *machine) runControlLoop() {
	if m.kind == storageKind {
		m.watchFeed()
		m.expireItems()
		return
	}
	placements := m.directory.Placements()
	for _, group := range slices.Sorted(maps.Keys(placements)) {
		if m.stateMachineOf(group) != nil {
			m.engine.SetWanted(placements[group])
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(m.heartbeatHandlers)) {
		for _, command := range m.heartbeatHandlers[shard].OverdueCommands(m.ownership(shard), forgetWorkerMS) {
			m.propose(shard, replica.Marshal(command), func(replica.ProposalResult) {})
		}
		m.dispatchOrders(shard)
	}
	if status := m.engine.Status(directory.Shard); status != nil && status.HasLease(m.world.now) && m.world.now-status.LeaderSince >= leaderSettleMS {
		m.updatePlacements(status)
		m.completeRetirements()
	}
}

func (m *machine) ownership(shard string) registry.Ownership {
	status := m.engine.Status(shard)
	if status == nil {
		return registry.Ownership{}
	}
	return registry.Ownership{NowMS: m.world.now, Epoch: status.Epoch, HasLease: status.HasLease(m.world.now) || m.world.bug(IgnoreLease)}
}

// place sees to it that each group's wanted replicas are those that the machines allow.
func (m *machine) updatePlacements(status *replica.Status) {
	listened := m.world.now - status.LeaderSince
	placements := m.directory.Placements()
	for _, group := range controllerGroups() {
		current := placements[group].GetReplicas()
		if current == nil {
			current = status.Membership.GetVoters()
		}
		m.updatePlacement(group, current, placement.WithForgotten(m.visibleMachines(controllerKind), current, listened), false)
	}
	for n := range jobShards {
		group := batchjobs.ShardName(n)
		current := placements[group].GetReplicas()
		m.updatePlacement(group, current, placement.WithForgotten(m.visibleMachines(storageKind), current, listened), current == nil)
	}
}

func (m *machine) updatePlacement(group string, current []*rpc.Replica, machines []placement.Machine, founding bool) {
	size := m.world.groupSize()
	if founding && len(machines) < size {
		return
	}
	if m.world.bug(NoRepair) {
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
	m.world.trace("%s wants %s on %v", m.name, group, plan)
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{Group: group, Replicas: plan, Founding: founding}}}
	m.propose(directory.Shard, replica.Marshal(command), func(replica.ProposalResult) {})
}

// completeRetirements notes which machines hold nothing any more.
func (m *machine) completeRetirements() {
	retirements := m.directory.Retirements()
	for _, node := range slices.Sorted(maps.Keys(retirements)) {
		if retirements[node] || !m.isEmptied(node) {
			continue
		}
		command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Retire{Retire: &rpc.Retirement{Node: node, Completed: true}}}
		m.propose(directory.Shard, replica.Marshal(command), func(replica.ProposalResult) {})
	}
}

func (m *machine) isEmptied(node string) bool {
	placements := m.directory.Placements()
	for n := range jobShards {
		wanted := placements[batchjobs.ShardName(n)]
		if wanted == nil {
			continue
		}
		if slices.ContainsFunc(wanted.Replicas, func(r *rpc.Replica) bool { return r.Node == node }) {
			return false
		}
		if !m.world.bug(RetireEarly) && !m.isPlacementComplete(wanted) {
			return false
		}
	}
	return true
}

func (m *machine) isPlacementComplete(wanted *rpc.Placement) bool {
	return slices.ContainsFunc(wanted.Replicas, func(r *rpc.Replica) bool {
		at := m.world.machine(r.Address)
		if at == nil || !at.isRunning() || at.isPowerless() || m.world.isPartitioned(m.name, at.name) {
			return false
		}
		s := at.engine.Status(wanted.Group)
		return s != nil && stewardrole.MatchesPlacement(&rpc.GroupStatus{Leads: s.HasLease(m.world.now), Settled: s.MembershipCommitted, HeldByAll: s.FullyReplicated, Membership: s.Membership}, wanted)
	})
}

// watchFeed has a store follow the placements.
func (m *machine) watchFeed() {
	w, incarnation := m.world, m.incarnation
	if m.watching {
		return
	}
	var names []string
	for _, s := range w.machinesOf(controllerKind) {
		names = append(names, s.name)
	}
	source := w.machine(m.rotation.Next(names))
	m.watching = true
	call(w, m.name, source, watchTimeoutMS, func(answer func(feedAnswer)) { answer(source.feedSince(m.feed.Offsets())) }, func(reported feedAnswer, ok bool) {
		if m.incarnation != incarnation {
			return
		}
		m.watching = false
		if !ok || !reported.fresh {
			m.rotation.Failed()
		}
		for _, e := range m.feed.Merge(reported.feeds) {
			if p := e.GetPlacement(); p != nil {
				m.followPlacement(p)
			}
		}
	})
}

// follow acts on a new placement.
func (m *machine) followPlacement(p *rpc.Placement) {
	if m.stateMachineOf(p.Group) == nil {
		return
	}
	own := slices.ContainsFunc(p.Replicas, func(r *rpc.Replica) bool { return r.Id == m.identity })
	if p.Founding && own {
		m.engine.CreateGroup(p.Group, p.Replicas)
	}
	m.engine.Tick(m.world.now) // so that the group is there before its wanted members are set
	m.engine.SetWanted(p)
	m.nextTickAt = 0
}

// orderWorkers sends the orders of a registry shard that this machine holds, as weights.Dispatcher does.
func (m *machine) dispatchOrders(shard string) {
	w := m.world
	status := m.engine.Status(shard)
	if status == nil || !status.HasLease(w.now) {
		return
	}
	wanted := m.directory.NamedVersions()
	present := m.heartbeatHandlers[shard].ResponsiveInstances(w.now)
	slices.SortFunc(present, func(a, b *rpc.Instance) int { return cmp.Compare(a.Id, b.Id) })
	orders := weights.Plan(present, wanted, nil, &weights.Rules{
		SingleVersion: func(string) bool { return false }, MaxConcurrent: func(n int) int { return n },
		Slots: func(string) float64 { return 100 },
	})
	if len(orders) == 0 {
		return
	}
	slices.SortFunc(orders, func(a, b weights.Order) int { return cmp.Compare(a.Instance.Id, b.Instance.Id) })
	if m.dispatchEpochs[shard] != status.Epoch {
		last := m.registries[shard].Holder()
		holder := w.machine(last.GetNode())
		ended := holder == nil || uint64(holder.incarnation) != last.GetStart()
		owned := time.Duration(w.now-status.LeaderSince) * time.Millisecond
		may := weights.MayTakeOver(m.name, last.GetNode(), ended, w.options.Fencing, owned, dispatchLeaseMS*time.Millisecond) || w.bug(ImmediateTakeover)
		if !may || m.takingOver {
			return
		}
		m.takingOver = true
		hold := &rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: &rpc.Holder{Node: m.name, Epoch: status.Epoch, Start: uint64(m.incarnation)}}}
		m.propose(shard, replica.Marshal(hold), func(p replica.ProposalResult) {
			if m.takingOver = false; p.Outcome == rpc.Outcome_DONE {
				m.dispatchEpochs[shard] = status.Epoch
			}
		})
		return
	}
	for _, o := range orders {
		if target := w.worker(o.Instance.Id); target != nil && m.hasLease(shard) {
			target.receiveOrder(m, shard, status.Epoch, o.Version)
		}
	}
}
