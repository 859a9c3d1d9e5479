package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/placement"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
	"time"
)

const (
	// settleTime is how long the machines of a class must have been complete before the first placement: all of them start at about the
	// same time.
	settleTime     = 1200 * time.Millisecond
	settleStores   = 2500 * time.Millisecond
	settleMost     = 6 * time.Second
	controlTimeout = 800 * time.Millisecond
)

// machines lists those that can hold replicas of a kind.
func (st *Server) machines(kind string) (list []placement.Machine) {
	view := st.membership.View()
	retirements := st.directory.Retirements()
	for _, m := range view.Members {
		if m.Kind != kind {
			continue
		}
		_, retiring := retirements[m.Name]
		machine := placement.Machine{Node: m.Name, Identity: m.Identity, Address: m.Address, Zone: m.Zone, Alive: m.Alive, Retiring: retiring}
		if !m.Alive {
			machine.DeadMS = (view.At - m.Since) / 1000
		}
		list = append(list, machine)
	}
	return list
}

// place sees to it that each group's wanted replicas are those that the machines allow. Only the directory's leader does.
func (st *Server) place(ctx context.Context) {
	status := st.host.Status(directory.Shard)
	if status == nil || st.host.Now()-status.LeaderSince < settleTime.Milliseconds() {
		return // members that were only just heard of again would look dead
	}
	listened := st.host.Now() - status.LeaderSince
	stewards := st.machines(settings.ServesControlPlane)
	placements := st.directory.Placements()
	size := st.settings.GroupSize()
	for _, name := range groups() {
		current := placements[name].GetReplicas()
		if current == nil {
			current = st.withNodes(status.Membership.GetVoters(), stewards)
		}
		st.propose(ctx, name, current, placement.Plan(current, placement.WithForgotten(stewards, current, listened), size, nil))
	}
	stores := st.machines(settings.ServesStorage)
	load := map[string]int{}
	for _, name := range st.ledgerGroups() {
		for _, r := range placements[name].GetReplicas() {
			load[r.Node]++
		}
	}
	for _, name := range st.ledgerGroups() {
		current := placements[name].GetReplicas()
		if current == nil && !st.mayPlaceFirst(stores, size) {
			continue
		}
		plan := placement.Plan(current, placement.WithForgotten(stores, current, listened), size, load)
		if current == nil {
			for _, r := range plan {
				load[r.Node]++
			}
		}
		st.propose(ctx, name, current, plan)
	}
}

// mayPlaceFirst tells whether enough storage machines are known to place a group for the first time.
func (st *Server) mayPlaceFirst(stores []placement.Machine, size int) bool {
	alive := 0
	for _, m := range stores {
		if m.Alive {
			alive++
		}
	}
	age := time.Since(st.begun)
	return alive >= size && age > settleStores || alive > 0 && age > settleMost
}

// withNodes adds the machines' names to founders, who know only each other's addresses.
func (st *Server) withNodes(replicas []*rpc.Replica, machines []placement.Machine) (named []*rpc.Replica) {
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

func (st *Server) propose(ctx context.Context, group string, current, plan []*rpc.Replica) {
	if len(plan) == 0 || placement.Same(current, plan) && st.directory.Placements()[group] != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	command := replica.Marshal(&rpc.DirectoryCommand{Command: &rpc.DirectoryCommand_Place{Place: &rpc.Placement{
		Group: group, Replicas: plan,
		Founding: current == nil,
	}}})
	if st.host.Propose(ctx, directory.Shard, command).Outcome == rpc.Outcome_DONE {
		st.log.Info("placement", "group", group, "replicas", nodes(plan))
	}
}

func nodes(replicas []*rpc.Replica) (names []string) {
	for _, r := range replicas {
		names = append(names, r.Node)
	}
	return names
}
