package controlplane

import (
	"saffronquay/internal/scheduler/batchjobs"
	"saffronquay/internal/scheduler/directory"
	"saffronquay/internal/scheduler/registry"
	"saffronquay/internal/scheduler/replica"
	"saffronquay/internal/scheduler/rpc"
	"saffronquay/internal/scheduler/settings"
)

// controlGroups names the replica groups that controllers run.
func controlGroups() []string {
	names := []string{directory.Shard}
	for n := range registry.ShardCount {
		names = append(names, registry.ShardName(n))
	}
	return names
}

// jobGroups names the replica groups that storage machines run. Shard 0 comes last: when it is placed, all are, and the number of shards is
// fixed.
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

// stateMachine returns the state of a group that this role runs; nil for any other group.
func (s *Server) stateMachine(group string) replica.StateMachine {
	if group == directory.Shard {
		return s.directory
	}
	if sh := s.shards[group]; sh != nil {
		return sh.registry
	}
	return nil
}

// foundGroups starts the groups at the first start of the system, where the settings say so and the seeds name this machine: the
// machines that the seeds name are the founders. A group that is on this disk already stays as it is.
func (s *Server) foundGroups() {
	if !s.settings.Bootstrap {
		return
	}
	var founders []*rpc.Replica
	included := false
	for _, seed := range s.settings.Seeds {
		id := replica.FounderID(seed)
		founders = append(founders, &rpc.Replica{Id: id, Address: s.settings.PeerAddressOf(seed)})
		included = included || id == s.identity.ID
	}
	if !included {
		return
	}
	for _, name := range controlGroups() {
		s.host.CreateGroup(name, founders)
	}
}
