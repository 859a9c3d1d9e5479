package adminapi

import (
	"strings"
	"testing"
	"time"
)

// The functions in Metrics may wait for a goroutine that counts: a policy is put in force by a goroutine that registers classes, while the policy node
// waits for it. No goroutine waits for the lock of Metrics meanwhile.
func TestStatsCallProvidersWithoutTheLock(t *testing.T) {
	f := NewMetrics()
	f.RegisterClasses("search")
	var late []string
	asks := func(what string) {
		done := make(chan struct{})
		go func() {
			f.RegisterClasses("files")
			f.CountAnswer("search", 200)
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			late = append(late, what)
		}
	}
	f.Cursors = func() int { asks("cursors"); return 1 }
	f.Store = func() StoreMetrics { asks("store"); return StoreMetrics{} }
	f.Fleet = func() FleetMetrics { asks("fleet"); return FleetMetrics{} }
	f.Rollout = func() RolloutMetrics { asks("rollout"); return RolloutMetrics{} }
	if text := string(f.Stats(nil)); !strings.Contains(text, "svc.rollout.number:0|g") || len(late) > 0 {
		t.Errorf("who counts waits while these are asked: %v; %s", late, text)
	}
}
