package storage

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// followPlacements applies new placements of batch job groups: it creates a group if this machine is
// one of its initial members, and passes the placement to the local replica, which changes the
// membership if it is the leader.
func (s *Server) followPlacements(events []*rpc.FeedEvent) {
	for _, e := range events {
		p := e.GetPlacement()
		if p == nil || s.service.StateMachine(p.Group) == nil {
			continue
		}
		included := slices.ContainsFunc(p.Replicas, func(r *rpc.Replica) bool { return r.Id == s.identity.ID })
		if p.Founding && included {
			s.host.CreateGroup(p.Group, p.Replicas)
		}
		s.host.SetPlacement(p)
	}
}
