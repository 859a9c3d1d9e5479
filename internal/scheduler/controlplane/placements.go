package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"time"
)

const (
	// minLeadTime is how long a process must have led the directory before it decides on machines:
	// before that, members whose state it has not received yet would count as failed.
	minLeadTime = 1200 * time.Millisecond
	// firstPlacementDelay is the delay before the first placement if enough storage machines are
	// alive: all of them start at about the same time, and more of them allow a better choice.
	firstPlacementDelay = 2500 * time.Millisecond
	// maxFirstPlacementDelay is the delay after which the first placement uses fewer machines than
	// the group size.
	maxFirstPlacementDelay = 6 * time.Second
)

const microsecondsPerMS = 1000

// machines returns the machines of a kind known to the membership, including failed ones.
func (s *Server) machines(kind string) (list []placement.Machine) {
	view := s.membership.View()
	retirements := s.directory.Retirements()
	for _, m := range view.Members {
		if m.Kind != kind {
			continue
		}
		_, retiring := retirements[m.Name]
		machine := placement.Machine{Node: m.Name, Identity: m.Identity, Address: m.Address, Zone: m.Zone, Alive: m.Alive, Retiring: retiring}
		if !m.Alive {
			machine.DeadMS = (view.At - m.Since) / microsecondsPerMS
		}
		list = append(list, machine)
	}
	return list
}

// updatePlacements decides on the placement of each group's replicas, based on the live machines.
// Only the directory's leader calls it; it does nothing until that has led for minLeadTime.
func (s *Server) updatePlacements(ctx context.Context) {
	status := s.host.Status(directory.Shard)
	if status == nil {
		return
	}
	ledMS := s.host.Now() - status.LeaderSince
	if ledMS < minLeadTime.Milliseconds() {
		return
	}
	placements := s.directory.Placements()
	s.placeControlGroups(ctx, placements, status.Membership.GetVoters(), ledMS)
	s.placeJobGroups(ctx, placements, ledMS)
}

// placeControlGroups decides on the groups run by controllers. directoryVoters are the voters of
// the directory: a group without a placement has the same ones.
func (s *Server) placeControlGroups(ctx context.Context, placements map[string]*rpc.Placement, directoryVoters []*rpc.Replica, ledMS int64) {
	machines := s.machines(settings.ServesControlPlane)
	for _, name := range controlGroups() {
		current := placements[name].GetReplicas()
		if current == nil {
			current = withNodeNames(directoryVoters, machines)
		}
		plan := placement.Plan(current, placement.WithMissingMachines(machines, current, ledMS), s.settings.GroupSize(), nil)
		s.proposePlacement(ctx, name, current, plan)
	}
}

// placeJobGroups decides on the groups run by storage machines. New groups are placed on the
// machines with the fewest replicas.
func (s *Server) placeJobGroups(ctx context.Context, placements map[string]*rpc.Placement, ledMS int64) {
	machines := s.machines(settings.ServesStorage)
	size := s.settings.GroupSize()
	load := map[string]int{} // number of replicas by node
	for _, name := range s.jobGroups() {
		countReplicas(load, placements[name].GetReplicas())
	}
	for _, name := range s.jobGroups() {
		current := placements[name].GetReplicas()
		if current == nil && !s.mayPlaceFirst(machines, size) {
			continue
		}
		plan := placement.Plan(current, placement.WithMissingMachines(machines, current, ledMS), size, load)
		if current == nil {
			countReplicas(load, plan)
		}
		s.proposePlacement(ctx, name, current, plan)
	}
}

func countReplicas(byNode map[string]int, replicas []*rpc.Replica) {
	for _, r := range replicas {
		byNode[r.Node]++
	}
}

// mayPlaceFirst reports whether enough storage machines are known for the first placement of a
// group.
func (s *Server) mayPlaceFirst(machines []placement.Machine, size int) bool {
	alive := 0
	for _, m := range machines {
		if m.Alive {
			alive++
		}
	}
	age := time.Since(s.started)
	return alive >= size && age > firstPlacementDelay || alive > 0 && age > maxFirstPlacementDelay
}

// withNodeNames returns the replicas with the names of their machines; bootstrap members know only
// each other's addresses. A replica whose machine is unknown is named by its id.
func withNodeNames(replicas []*rpc.Replica, machines []placement.Machine) (named []*rpc.Replica) {
	for _, r := range replicas {
		x := &rpc.Replica{Id: r.Id, Address: r.Address, Node: r.Node}
		for _, m := range machines {
			if m.Identity == r.Id {
				x.Node = m.Node
			}
		}
		if x.Node == "" {
			x.Node = r.Id
		}
		named = append(named, x)
	}
	return named
}

// proposePlacement commits a plan that differs from the current placement. If it is not committed
// in time, a later iteration proposes it again.
func (s *Server) proposePlacement(ctx context.Context, group string, current, plan []*rpc.Replica) {
	if len(plan) == 0 || placement.Equal(current, plan) && s.directory.Placements()[group] != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	command := &rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{
		Group: group, Replicas: plan, Founding: current == nil,
	}}}
	if s.host.ProposeMessage(ctx, directory.Shard, command).Outcome == rpc.Outcome_DONE {
		s.log.Info("placement changed", "group", group, "replicas", nodeNames(plan))
	}
}

func nodeNames(replicas []*rpc.Replica) (names []string) {
	for _, r := range replicas {
		names = append(names, r.Node)
	}
	return names
}
