package soak

import (
	"saffronquay/internal/testing/faults"
	"testing"
	"time"
)

// Each check detects its violation and reports nothing on a valid history.
func TestHistoryChecks(t *testing.T) {
	s := time.Second
	good := []Query{{0, s, 1, "a", 200}, {s / 2, 3 * s, 1, "b", 200}, {s, 2 * s, 2, "a", 200}, {3 * s, 4 * s, 2, "b", 200}}
	if n, first := OutdatedAdmissions(good); n != 0 {
		t.Error(first)
	}
	if n, _ := OutdatedAdmissions(append(good, Query{5 * s, 6 * s, 1, "c", 200})); n != 1 {
		t.Errorf("OutdatedAdmissions found %d violations, want 1", n)
	}
	// 15 parts of the limit move from a to b, which is valid; then both have them, which is not.
	moves := []Reading{{0, 1, "a", 20}, {0, 1, "b", 5}, {s, s + 1, "a", 5}, {s, s + 2, "b", 20}, {2 * s, 2*s + 1, "a", 5}, {2 * s, 2*s + 1, "b", 20}}
	if n, most, first := Over(moves, 25, 0); n != 0 || most != 25 {
		t.Errorf("Over found %d violations, maximum %d, want 0 and 25: %s", n, most, first)
	}
	both := append(moves, Reading{3 * s, 3*s + 1, "a", 20}, Reading{3 * s, 3*s + 1, "b", 20}, Reading{4 * s, 4*s + 1, "a", 20}, Reading{4 * s, 4*s + 1, "b", 20}, Reading{5 * s, 5*s + 1, "a", 20}, Reading{5 * s, 5*s + 1, "b", 20})
	if n, _, _ := Over(both, 25, 0); n == 0 {
		t.Error("Over found no violation although two processes have the same part of the limit")
	}
	script, err := faults.Parse("at 2s kill 1\nat 4s start 1\nat 6s for 1s stop 0", 2)
	if err != nil {
		t.Fatal(err)
	}
	all := downtimes(script, 2)
	for _, c := range []struct {
		who      int
		from, to time.Duration
		want     bool
	}{{1, s, 3 * s, true}, {0, s, 3 * s, false}, {0, 13 * s / 2, 20 * s / 3, true}, {1, 5 * s, 6 * s, false}} {
		if disturbed(all, c.who, c.from, c.to, 0) != c.want {
			t.Errorf("disturbed: wrong result for %+v", c)
		}
	}
	var flat, rising []int
	for i := range 100 {
		flat, rising = append(flat, 60+i%7), append(rising, 40+i)
	}
	if memoryGrows(flat) || !memoryGrows(rising) {
		t.Error("memoryGrows: want false for flat samples and true for rising ones")
	}
}
