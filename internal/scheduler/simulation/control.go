package simulation

import (
	"cmp"
	"maps"
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/controlplane"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/weights"
	"slices"
	"time"
)

const (
	forgetWorkerMS  = 120_000 // time after which an unresponsive worker is removed
	dispatchLeaseMS = 3000    // lease of the machine that sends orders to the workers of a shard
	workerSlots     = 100     // slots of each worker
)

// runControlLoop runs one iteration of the role's control loops, for the groups that this machine
// leads.
func (m *machine) runControlLoop() {
	if m.kind == storageKind {
		m.watchFeed()
		m.expireItems()
		return
	}
	placements := m.directory.Placements()
	for _, group := range slices.Sorted(maps.Keys(placements)) {
		if m.stateMachineOf(group) != nil {
			m.engine.SetPlacement(placements[group])
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(m.heartbeatHandlers)) {
		for _, command := range m.heartbeatHandlers[shard].OverdueCommands(m.ownership(shard), forgetWorkerMS) {
			m.proposeOnly(shard, encode(command))
		}
		m.dispatchOrders(shard)
	}
	status := m.engine.Status(directory.Shard)
	if m.hasLease(directory.Shard) && m.world.now-status.LeaderSince >= newLeaderDelayMS {
		m.updatePlacements(status)
		m.completeRetirements()
	}
}

// updatePlacements updates the placement of each group so that its members are on live machines. It
// runs at the directory's leader.
func (m *machine) updatePlacements(status *replica.Status) {
	listenedMS := m.world.now - status.LeaderSince
	placements := m.directory.Placements()
	for _, group := range controllerGroups() {
		current := placements[group].GetReplicas()
		if current == nil {
			current = status.Membership.GetVoters()
		}
		machines := placement.WithMissingMachines(m.visibleMachines(controllerKind), current, listenedMS)
		m.updatePlacement(&rpc.Placement{Group: group, Replicas: current}, machines)
	}
	for n := range jobShards {
		group := batchjobs.ShardName(n)
		current := placements[group].GetReplicas()
		machines := placement.WithMissingMachines(m.visibleMachines(storageKind), current, listenedMS)
		m.updatePlacement(&rpc.Placement{Group: group, Replicas: current, Founding: current == nil}, machines)
	}
}

// updatePlacement proposes a new placement of a group if the state of the machines requires one. A
// group is created only when there are enough machines.
func (m *machine) updatePlacement(current *rpc.Placement, machines []placement.Machine) {
	size := m.world.groupSize()
	if current.Founding && len(machines) < size {
		return
	}
	if m.world.bug(NoRepair) {
		hideLostDisks(machines, current.Replicas)
	}
	plan := placement.Plan(current.Replicas, machines, size, nil)
	if len(plan) == 0 || placement.Equal(current.Replicas, plan) && m.directory.Placements()[current.Group] != nil {
		return
	}
	m.world.trace("%s wants %s on %v", m.name, current.Group, plan)
	wanted := &rpc.Placement{Group: current.Group, Replicas: plan, Founding: current.Founding}
	m.proposeOnly(directory.Shard, encode(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: wanted}}))
}

// completeRetirements records the completed retirements in the directory.
func (m *machine) completeRetirements() {
	retirements := m.directory.Retirements()
	for _, node := range slices.Sorted(maps.Keys(retirements)) {
		if completed := retirements[node]; !completed && m.isEmptied(node) {
			m.proposeOnly(directory.Shard, retireCommand(node, true))
		}
	}
}

// isEmptied reports whether a machine has no replica of a job shard: none is placed on it, and all
// placements are complete.
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

// isPlacementComplete reports whether a reachable leader of the group confirms that the group matches
// its placement.
func (m *machine) isPlacementComplete(wanted *rpc.Placement) bool {
	return slices.ContainsFunc(wanted.Replicas, func(r *rpc.Replica) bool {
		holder := m.world.machine(r.Address)
		if holder == nil || !holder.isRunning() || holder.isPowerless() || m.world.isPartitioned(m.name, holder.name) {
			return false
		}
		s := holder.engine.Status(wanted.Group)
		if s == nil {
			return false
		}
		return controlplane.MatchesPlacement(&rpc.GroupStatus{
			Leads: s.HasLease(m.world.now), Settled: s.MembershipCommitted, HeldByAll: s.FullyReplicated, Membership: s.Membership,
		}, wanted)
	})
}

// watchFeed reads the feed for placements at a storage node, one read at a time.
func (m *machine) watchFeed() {
	w, incarnation := m.world, m.incarnation
	if m.watching {
		return
	}
	source := w.machine(m.rotation.Next(w.machineNames(controllerKind)))
	m.watching = true
	call(w, m.name, source, watchTimeoutMS, func(answer func(feedAnswer)) { answer(source.feedSince(m.feed.Offsets())) }, func(answer feedAnswer, ok bool) {
		if m.incarnation != incarnation {
			return
		}
		m.watching = false
		if !ok || !answer.fresh {
			m.rotation.Failed()
		}
		for _, event := range m.feed.Merge(answer.feeds) {
			if wanted := event.GetPlacement(); wanted != nil {
				m.followPlacement(wanted)
			}
		}
	})
}

// followPlacement creates a group if this machine is one of its initial members, and passes the wanted
// members to the engine.
func (m *machine) followPlacement(wanted *rpc.Placement) {
	if m.stateMachineOf(wanted.Group) == nil {
		return
	}
	own := slices.ContainsFunc(wanted.Replicas, func(r *rpc.Replica) bool { return r.Id == m.identity })
	if wanted.Founding && own {
		m.engine.CreateGroup(wanted.Group, wanted.Replicas)
	}
	m.engine.Tick(m.world.now) // the group must exist before its wanted members are set
	m.engine.SetPlacement(wanted)
	m.nextTickAt = 0
}

// dispatchOrders sends the orders of a registry shard that this machine owns, like weights.Dispatcher.
// Before the first order of an epoch, it commits itself as the holder of the shard.
func (m *machine) dispatchOrders(shard string) {
	w := m.world
	status := m.engine.Status(shard)
	if status == nil || !status.HasLease(w.now) {
		return
	}
	orders := m.plannedOrders(shard)
	if len(orders) == 0 {
		return
	}
	if m.dispatchEpochs[shard] != status.Epoch {
		m.takeOverDispatch(shard, status)
		return
	}
	for _, order := range orders {
		if target := w.worker(order.Instance.Id); target != nil && m.hasLease(shard) {
			target.receiveOrder(m, shard, status.Epoch, order.Version)
		}
	}
}

// plannedOrders returns the orders that are due in a shard, sorted by worker. All workers may load
// weights at the same time.
func (m *machine) plannedOrders(shard string) []weights.Order {
	present := m.heartbeatHandlers[shard].ResponsiveInstances(m.world.now)
	slices.SortFunc(present, func(a, b *rpc.Instance) int { return cmp.Compare(a.Id, b.Id) })
	orders := weights.Plan(present, m.directory.LatestVersions(), nil, &weights.Rules{
		SingleVersion: func(string) bool { return false },
		MaxConcurrent: func(n int) int { return n },
		Slots:         func(string) float64 { return workerSlots },
	})
	slices.SortFunc(orders, func(a, b weights.Order) int { return cmp.Compare(a.Instance.Id, b.Instance.Id) })
	return orders
}

// takeOverDispatch commits this machine as the holder of a shard if the last holder can no longer send
// orders.
func (m *machine) takeOverDispatch(shard string, status *replica.Status) {
	w := m.world
	last := m.registries[shard].Holder()
	holder := w.machine(last.GetNode())
	ended := holder == nil || uint64(holder.incarnation) != last.GetStart()
	owned := time.Duration(w.now-status.LeaderSince) * time.Millisecond
	allowed := weights.MayTakeOver(m.name, last.GetNode(), ended, w.options.Fencing, owned, dispatchLeaseMS*time.Millisecond)
	if !allowed && !w.bug(ImmediateTakeover) || m.takingOver {
		return
	}
	m.takingOver = true
	hold := &rpc.Holder{Node: m.name, Epoch: status.Epoch, Start: uint64(m.incarnation)}
	m.propose(shard, encode(&rpc.RegistryCommand{Command: &rpc.RegistryCommand_Hold{Hold: hold}}), func(p replica.ProposalResult) {
		m.takingOver = false
		if p.Outcome == rpc.Outcome_DONE {
			m.dispatchEpochs[shard] = status.Epoch
		}
	})
}
