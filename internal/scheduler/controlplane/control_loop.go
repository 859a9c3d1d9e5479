package controlplane

import (
	"context"
	"saffronquay/internal/scheduler/directory"
	"time"
)

const (
	controlInterval = 150 * time.Millisecond
	// controlTimeout is the timeout of one command or query of the control loop.
	controlTimeout = 800 * time.Millisecond
)

// controlLoop does the periodic work of group leaders until ctx ends: it changes the members of
// groups according to their placements, declares workers lost, decides on placements and completes
// retirements. Each step checks whether this process leads; work that fails is retried in the next
// iteration.
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
				s.host.SetPlacement(placement)
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
