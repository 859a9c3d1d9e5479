package transport

import (
	"log/slog"
	"os"
	"path/filepath"
	"saffronquay/internal/broker/handover"
	"testing"
	"time"
)

// Two processes receive each other's states while both run, and no other state. A starting process
// must ignore the files left by a dead process, another gatherer or another version.
func TestStateExchange(t *testing.T) {
	dir, clock, quiet := t.TempDir(), NewClock(), slog.New(slog.DiscardHandler)
	leave := func(name string, s handover.State) {
		if err := os.WriteFile(filepath.Join(dir, stateFilePrefix+name), s.Append(nil), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	leave("1"+stateFileSuffix, handover.State{Name: "n0", At: clock.Now() - handover.StaleAfter})
	leave("2"+stateFileSuffix, handover.State{Name: "n1", At: clock.Now() + handover.StaleAfter/2})
	leave("3"+stateFileSuffix+".part", handover.State{Name: "n0", At: clock.Now()})
	leave("4"+stateFileSuffix, handover.State{Name: "n0", At: clock.Now()})
	old := time.Now().Add(-2 * staleFileAge)
	if err := os.Chtimes(filepath.Join(dir, stateFilePrefix+"4"+stateFileSuffix), old, old); err != nil {
		t.Fatal(err)
	}
	begin := func(open int) (*StateExchange, chan []handover.State) {
		met := make(chan []handover.State, 1000)
		b := NewStateExchange(dir, "n0", clock, func() (handover.State, bool) { return handover.State{Open: open}, true },
			func(others []handover.State) { met <- others }, quiet)
		go b.Run()
		return b, met
	}
	until := func(met chan []handover.State, want int) {
		t.Helper()
		for end := time.After(testTimeout); ; {
			select {
			case others := <-met:
				if want < 0 && len(others) == 0 || len(others) == 1 && others[0].Open == want {
					return
				}
			case <-end:
				t.Fatal("timed out waiting for the peers' states")
			}
		}
	}
	a, metA := begin(1)
	until(metA, -1)
	b, metB := begin(2)
	until(metA, 2)
	until(metB, 1)
	a.Stop()
	until(metB, -1)
	b.Stop()
	left, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(left) != 3 {
		t.Errorf("remaining files: %v, %v; want 3", left, err)
	}
}

// Followers that lose their directory at the same moment reconnect at different times, each within
// its bounds.
func TestFollowersReconnectWithJitter(t *testing.T) {
	seen := map[time.Duration]int{}
	for seed := range uint64(300) {
		f := newFollower("", 1, nil, nil)
		f.SetJitterSeed(seed)
		for _, pause := range []time.Duration{watchBackoffMin, watchBackoffMax} {
			d := f.jitter(pause)
			if d < pause/2 || d > pause*3/2+1 {
				t.Fatalf("wait %v for backoff %v", d, pause)
			}
			if pause == watchBackoffMax {
				seen[d/(100*time.Millisecond)]++
			}
		}
	}
	for at, n := range seen {
		if n > 40 { // the mean is 30: 300 waits over 10 intervals of 100 ms
			t.Errorf("%d of 300 followers reconnect within the same 100 ms, interval %d; want at most 40", n, at)
		}
	}
	if f := newFollower("", 1, nil, nil); f.jitter(time.Second) != time.Second {
		t.Error("a backoff has jitter without a seed")
	}
}
