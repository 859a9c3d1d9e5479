package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/directory"
	"time"
)

const (
	controlInterval = 150 * time.Millisecond
	// controlTimeout bounds one command or question of the control loop.
	controlTimeout = 800 * time.Millisecond
)

// controlLoop carries out the work of the groups' leaders until ctx ends: it leads groups to their placements, declares workers lost,
// decides on placements and completes retirements. Each step checks whether this process leads; a turn that fails is made up by the next.
func (s *Server) controlLoop(ctx context.Context) {
	ticker := time.NewTicker(controlInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for name, placement := range s.directory.Placements() {
			if s.stateMachine(name) != nil {
				s.host.SetWanted(placement)
			}
		}
		for _, sh := range s.shards {
			sh.removeOverdue(ctx)
		}
		if status := s.host.Status(directory.Shard); status != nil && status.HasLease(s.host.Now()) {
			s.updatePlacements(ctx)
			s.completeRetirements(ctx)
		}
	}
}
