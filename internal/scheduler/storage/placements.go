package storage

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// followPlacements acts on new placements of batch job groups: this machine creates a group whose founder it is, and passes the placement to
// the group's replica here, which acts on it where it leads.
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
		s.host.SetWanted(p)
	}
}
