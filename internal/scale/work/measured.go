package work

import (
	"io"
	"log/slog"
	"math"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/testing/harness"
	"sync"
	"sync/atomic"
	"time"

	sq "saffronquay"
)

const (
	mb = 1 << 20
	kb = 1 << 10
	// roomy is what a gatherer may hold that is to reach all workers.
	roomySockets, roomyMemory = 8192, 2048
	holders                   = 2
)

// roomy is a gatherer of which only its sockets' and its program's own costs count: nothing is late, and nothing is sent twice.
func (s *stage) roomy(workers int) (Config, Size) {
	cells := max(1, workers/holders)
	return Config{Workers: workers, Cells: cells, Delay: s.Delay, Value: 8, Seed: 1},
		Size{
			Workers: workers, Shards: workers, Cells: cells, Holders: 1, PartsACall: 1, Aim: 4 * time.Second, Whole: 1, Idle: 5 * time.Minute,
			Sockets: roomySockets, MemoryMB: roomyMemory, Cores: s.Cores, Period: 5 * time.Millisecond,
		}
}

func (s *stage) set(cfg Config, size Size, parts int) *Scene {
	scene := Stage(s.t, s.Program, cfg, size)
	if parts > 0 {
		Warm(s.ctx, scene.Gatherer.Listen, parts, size.Shards)
	}
	return scene
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// rest is a gatherer that keeps its list and its connections, and serves nothing; then so many changes of the list, and calls at its operators' door.
func (s *stage) rest(x float64) []float64 {
	servers := int(x)
	cfg, size := s.roomy(servers)
	scene := s.set(cfg, size, 0)
	scene.Rest(s.ctx, time.Second)
	bare := scene.Rest(s.ctx, s.For)
	Warm(s.ctx, scene.Gatherer.Listen, min(servers, 1500), size.Shards)
	for scene.Rest(s.ctx, 0).Fleet.Open < int64(servers)*98/100 && s.ctx.Err() == nil {
		Warm(s.ctx, scene.Gatherer.Listen, min(servers, 1500), size.Shards)
		if scene.Rest(s.ctx, 0).Fleet.Opened > 3*int64(servers) {
			break
		}
	}
	scene.Rest(s.ctx, time.Second)
	connected := scene.Rest(s.ctx, s.For)
	const changes = 40
	changed := scene.Watch(func() (a Answers) {
		for range changes {
			if err := scene.Hollow.Change(1); err != nil {
				s.t.Fatal(err)
			}
		}
		return a
	})
	const calls = 300
	length := 0
	asked := scene.Watch(func() (a Answers) {
		for range calls {
			length = len(scene.Gatherer.Call("stats"))
		}
		return a
	})
	pct := func(r Run) float64 { return 100 * float64(r.Gatherer.Total()) / float64(r.Took) }
	grown := float64(connected.Gatherer.Resident - bare.Gatherer.Resident)
	return []float64{
		pct(bare), pct(connected), float64(bare.Gatherer.Resident) / mb, float64(connected.Gatherer.Resident) / mb,
		grown / kb / float64(max(1, connected.Fleet.Open)), float64(connected.Fleet.Open), ms(changed.Gatherer.Total()) / changes, float64(length),
		us(asked.Gatherer.Total()) / calls,
	}
}

// walk is a gatherer that has one query of one part in each period of the module, so that nearly all that it does is to step.
func (s *stage) walk(x float64) []float64 {
	cfg, size := s.roomy(int(x))
	cfg.Delay = 0
	scene := s.set(cfg, size, min(int(x), 1500))
	scene.Play(s.ctx, Load{Parts: 1, Shards: size.Shards, Rate: 200, For: time.Second, Patience: warmPatience})
	r := scene.Play(s.ctx, Load{Parts: 1, Shards: size.Shards, Rate: 200, For: s.For, Patience: warmPatience})
	return []float64{100 * float64(r.Gatherer.Total()) / float64(r.Took), us(r.Gatherer.Total()) / float64(r.Asked), float64(r.Asked)}
}

// about is how many parts a second are asked for where costs of one are measured: little, so that queries do not wait for each other.
const about = 3000

// parts is what a query costs by its parts.
func (s *stage) parts(x float64) []float64 {
	cfg, size := s.roomy(s.Workers)
	scene := s.set(cfg, size, int(x))
	r := scene.Play(s.ctx, Load{Parts: int(x), Shards: size.Shards, Rate: about / x, For: s.For, Patience: warmPatience})
	n, q := float64(r.Fleet.Parts), float64(r.Asked)
	return []float64{
		ms(r.Gatherer.Total()) / q, us(r.Gatherer.Total()) / n, us(r.Gatherer.System) / n, us(r.Workers.Total()) / n, float64(r.Fleet.Received) / n,
		float64(r.Fleet.Sent) / n, float64(r.Gatherer.Resident) / mb, ms(r.P50), ms(r.P99), float64(r.Whole) / q,
	}
}

// opening is what a query costs whose connections all have to be opened, beside one that finds them.
func (s *stage) opening(x float64) []float64 {
	var cost, opened [2]float64
	for i, idle := range []time.Duration{900 * time.Millisecond, time.Minute} {
		cfg, size := s.roomy(s.Workers)
		cfg.Delay, size.Idle = 0, idle
		scene := s.set(cfg, size, int(x))
		r := scene.Play(s.ctx, Load{Parts: int(x), Shards: size.Shards, Rate: 1, For: s.For, Patience: warmPatience})
		cost[i], opened[i] = ms(r.Gatherer.Total())/float64(r.Asked), float64(r.Fleet.Opened)/float64(r.Asked)
	}
	return []float64{cost[0], cost[1], opened[0], 1000 * (cost[0] - cost[1]) / max(1, opened[0]-opened[1])}
}

// calls is what a part costs where so many of a query go to one worker, in one call.
func (s *stage) calls(x float64) []float64 {
	n := int(x)
	workers := (s.Parts + n - 1) / n
	cfg, size := s.roomy(workers)
	cfg.Cells, size.Cells = workers, workers
	size.Shards, size.PartsACall = workers*n, n
	scene := s.set(cfg, size, s.Parts)
	r := scene.Play(s.ctx, Load{Parts: s.Parts, Shards: size.Shards, Rate: about / float64(s.Parts), For: s.For, Patience: warmPatience})
	parts := float64(r.Fleet.Parts)
	return []float64{
		us(r.Gatherer.Total()) / parts, us(r.Gatherer.System) / parts, us(r.Workers.Total()) / parts, parts / float64(r.Fleet.Calls),
		float64(r.Fleet.Received) / parts, float64(r.Whole) / float64(r.Asked),
	}
}

// guessed is what clients guess a part to take, in microseconds: with more digits a query of 1,500 parts is over 64 KiB.
const guessed = 500

// rates is a gatherer whose queries have an aim of 75 ms and may be sent twice, asked more and more.
func (s *stage) rates(x float64) []float64 {
	cfg, size := s.roomy(s.Workers)
	size.Holders, size.Copies, size.Aim = holders, true, 75*time.Millisecond
	size.Cells, cfg.Cells = s.Workers, s.Workers
	scene := s.set(cfg, size, s.Parts)
	r := scene.Play(s.ctx, Load{Parts: s.Parts, Shards: size.Shards, Rate: x, For: s.For, Patience: 4 * time.Second, Work: guessed})
	q := float64(r.Asked + r.Held)
	return []float64{
		100 * float64(r.Gatherer.Total()) / float64(r.Took), ms(r.Gatherer.Total()) / max(1, float64(r.Whole+r.Partial)), float64(r.Whole) / q,
		float64(r.Partial) / q, float64(r.Refused) / q, float64(r.Failed) / q, float64(r.Lost+r.Held) / q,
		1000 * (float64(r.Fleet.Parts)/max(1, float64(r.Asked)*float64(s.Parts)) - 1), ms(r.P50), ms(r.P99), float64(r.Gatherer.Resident) / mb,
	}
}

// connections is what the connections of all gatherers cost one worker: a hollow one, so its sockets and the least that a program keeps.
func (s *stage) connections(x float64) []float64 {
	h := Begin(s.t, s.Program, Config{Workers: 1, Cells: 1, Value: 8, Seed: 1})
	look := func() Use {
		u, err := UseOf(h.PID)
		if err != nil {
			s.t.Fatal(err)
		}
		return u
	}
	before, kernel := look(), KernelBytes()
	conns := h.Dial(s.t, int(x))
	ask := func() {
		for i, c := range conns {
			if err := Ask(c, i); err != nil {
				s.t.Fatal(err)
			}
		}
	}
	ask()
	after, kernelAfter := look(), KernelBytes()
	rounds := max(1, int(20_000/x))
	for range rounds {
		ask()
	}
	busy := look()
	return []float64{float64(after.Resident) / mb, float64(after.Resident-before.Resident) / kb / x, float64(kernelAfter-kernel) / kb / x / 2, // both ends are here
		us(busy.Total()-after.Total()) / x / float64(rounds)}
}

// watchers is what so many gatherers that follow one list come to, by the program's own watchers: the list as each begins, one change of an
// entry to all of them, and rest.
func (s *stage) watchers(x float64) []float64 {
	h := Begin(s.t, s.Program, Config{Workers: s.Workers, Cells: max(1, s.Workers/holders), Value: 8, Seed: 1})
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	var heard atomic.Int64
	all := make([]*transport.Watcher, int(x))
	told := func() Told {
		t, err := h.Told()
		if err != nil {
			s.t.Fatal(err)
		}
		return t
	}
	began := own()
	var wg sync.WaitGroup
	for i := range all {
		w := transport.NewWatcher(h.Address, 0, false, func(sq.FleetChanged, map[sq.ServerID]string) { heard.Add(1) }, quiet)
		w.RequestFullList()
		all[i] = w
		wg.Add(1)
		go func() { defer wg.Done(); w.Run() }()
	}
	defer wg.Wait()
	defer func() {
		for _, w := range all {
			w.Stop()
		}
	}()
	until := func(n int64) {
		for end := time.Now().Add(harness.WaitTimeout); heard.Load() < n; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				s.t.Fatalf("%d of %d were told", heard.Load(), n)
			}
		}
	}
	until(int64(x))
	for told().Watches < int64(x) {
		time.Sleep(10 * time.Millisecond) // until all watch
	}
	listed, first := own()-began, told()
	const changes = 20
	began = own()
	for i := range int64(changes) {
		if err := h.Change(1); err != nil {
			s.t.Fatal(err)
		}
		until(int64(x) * (i + 2))
	}
	changed, after := own()-began, told()
	time.Sleep(6 * time.Second) // three signs of life
	rest := told()
	return []float64{
		float64(first.ListBytes) / kb / x, float64(after.ListBytes-first.ListBytes) / kb / changes, float64(rest.ListBytes-after.ListBytes) / 6,
		float64(rest.Wholes-int64(x)) + math.Max(0, float64(rest.Watches)-x), ms(listed) / x, us(changed) / x / changes,
	}
}
