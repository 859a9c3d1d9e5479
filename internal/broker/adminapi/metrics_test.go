package adminapi

import (
	"strings"
	"testing"
	"time"
)

// Stats must not hold the lock of Metrics while it calls the functions in Metrics. Otherwise there
// is a deadlock: Rollout waits for the policy node, which waits until a goroutine that registers
// classes has put a policy in force.
func TestMetricsStats_CallsFunctionsUnlocked(t *testing.T) {
	f := NewMetrics()
	f.RegisterClasses("search")
	var blocked []string
	checkUnlocked := func(function string) {
		done := make(chan struct{})
		go func() {
			f.RegisterClasses("files")
			f.CountAnswer("search", 200)
			close(done)
		}()
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			blocked = append(blocked, function)
		}
	}
	f.Cursors = func() int { checkUnlocked("cursors"); return 1 }
	f.Store = func() StoreMetrics { checkUnlocked("store"); return StoreMetrics{} }
	f.Fleet = func() FleetMetrics { checkUnlocked("fleet"); return FleetMetrics{} }
	f.Rollout = func() RolloutMetrics { checkUnlocked("rollout"); return RolloutMetrics{} }
	if text := string(f.Stats(nil)); !strings.Contains(text, "svc.rollout.number:0|g") || len(blocked) > 0 {
		t.Errorf("the lock is held during the calls of %v; %s", blocked, text)
	}
}
