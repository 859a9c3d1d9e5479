package server

import (
	"log/slog"
	"net"
	"runtime/debug"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/platform"
	"testing"
	"time"

	sq "saffronquay"
)

// freeAddress returns a loopback address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// newTestPlan returns a plan without servers and with free listen addresses.
func newTestPlan(t *testing.T) Plan {
	t.Helper()
	return Plan{
		name: "g", listen: freeAddress(t), adminListen: freeAddress(t), maxSockets: 192, memoryMB: 64, dialect: platform.Workers{PerConn: 1},
		settings: config.Settings{Module: sq.Settings{
			Aggregators: 1, Period: 1000, Shards: 1, Cells: 1, CellsPerShard: 1,
			Classes: []sq.Class{{Name: "c", LatencyTarget: 100_000, HardLimit: 200_000, Value: 1, CompleteWeight: 1, MinWeight: 1}},
		}},
	}
}

// A start that fails in its last step must release what it has acquired: its addresses are free again.
func TestStart_FailureReleasesAddresses(t *testing.T) {
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	plan := newTestPlan(t)
	plan.fleetFile = &config.Fleet{Listen: taken.LocalAddr().(*net.UDPAddr).AddrPort(), Name: "f", ProbePeriod: time.Second, SuspicionFactor: 3}
	if _, err := Start(plan, slog.New(slog.DiscardHandler), nil); err == nil {
		t.Fatal("Start succeeded although the fleet address is in use")
	}
	for _, address := range []string{plan.listen, plan.adminListen} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("listen after the failed start: %v", err)
			continue
		}
		l.Close()
	}
}

// While another process of the gatherer runs, each process has half of the memory limit, also after a
// reload.
func TestAdjustToSiblings_HalvesMemoryLimit(t *testing.T) {
	plan := newTestPlan(t)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	g := newGatherer(plan, slog.New(slog.DiscardHandler)) // this test acts as the gatherer's goroutine
	if err := g.startComponents(); err != nil {
		t.Fatal(err)
	}
	defer g.abortStart()
	for _, step := range []struct {
		name   string
		others []handover.State
		want   int64
	}{
		{"a sibling", []handover.State{{Sockets: 10}}, plan.memoryLimit() / 2},
		{"alone again", nil, plan.memoryLimit()},
	} {
		g.adjustToSiblings(step.others)
		if got := debug.SetMemoryLimit(-1); got != step.want {
			t.Errorf("%s: memory limit %d bytes, want %d", step.name, got, step.want)
		}
		if err := g.apply(plan); err != nil {
			t.Fatal(err)
		}
		if got := debug.SetMemoryLimit(-1); got != step.want {
			t.Errorf("%s, after a reload: memory limit %d bytes, want %d", step.name, got, step.want)
		}
	}
}
