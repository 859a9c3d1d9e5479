package controlplane

import (
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
)

// controlGroups returns the names of the replica groups run by controllers.
func controlGroups() []string {
	names := []string{directory.Shard}
	for n := range registry.ShardCount {
		names = append(names, registry.ShardName(n))
	}
	return names
}

// jobGroups returns the names of the replica groups run by storage machines. Shard 0 is last: once
// it is placed, all shards are, and their number is fixed.
func (s *Server) jobGroups() (names []string) {
	placements := s.directory.Placements()
	shards := batchjobs.PlacedShardCount(func(group string) bool { return placements[group] != nil })
	if shards == 0 {
		shards = batchjobs.InitialShardCount(len(s.machines(settings.ServesStorage)))
	}
	for n := shards - 1; n >= 0; n-- {
		names = append(names, batchjobs.ShardName(n))
	}
	return names
}

// stateMachine returns the state machine of a group run by this role; nil for any other group.
func (s *Server) stateMachine(group string) replica.StateMachine {
	if group == directory.Shard {
		return s.directory
	}
	if sh := s.shards[group]; sh != nil {
		return sh.registry
	}
	return nil
}

// createInitialGroups creates the groups at the first start of the system, if the settings enable
// it and the seeds include this machine: the machines listed as seeds are the bootstrap members. A
// group that already exists on this disk is unchanged.
func (s *Server) createInitialGroups() {
	if !s.settings.Bootstrap {
		return
	}
	var bootstrapMembers []*rpc.Replica
	included := false
	for _, seed := range s.settings.Seeds {
		id := replica.BootstrapMemberID(seed)
		bootstrapMembers = append(bootstrapMembers, &rpc.Replica{Id: id, Address: s.settings.PeerAddressOf(seed)})
		included = included || id == s.identity.ID
	}
	if !included {
		return
	}
	for _, name := range controlGroups() {
		s.host.CreateGroup(name, bootstrapMembers)
	}
}
