package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"runtime"
	"saffronquay/internal/testing/harness"
	"slices"
	"strings"
	"time"
)

// Plan is what a run measures: fleets of each size, with each number of busy teams and each policy
// length, and scenes.
type Plan struct {
	Fleet   Config // its Gatherers is the fleet size wherever something else varies
	Effort  MeasureOptions
	Sizes   []int
	Busy    []int
	Padding []int
	Scenes  []string
	Delay   time.Duration // between regions: from Delay to twice Delay
	Runs    int
	Out     string // writes Out.json and Out.md; an existing record is extended
	Limit   time.Duration
}

// Record contains all measurements, over several runs of the command.
type Record struct {
	Runs    []RunInfo     `json:"runs"`
	Sizes   []FleetResult `json:"sizes"`
	Busy    []FleetResult `json:"busy"`
	Padding []FleetResult `json:"padding"`
	Events  []Event       `json:"events"`
	Faults  []string      `json:"faults"` // measurements that did not complete
}

// RunInfo is the date, machine and build of a run.
type RunInfo struct {
	Date     string `json:"date"`
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	Build    string `json:"build"`
	Load     string `json:"load_average"` // at the start
}

func currentRunInfo(seed uint64) RunInfo {
	o := RunInfo{Date: time.Now().UTC().Format("2006-01-02 15:04Z"), Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Seed: seed, Build: runtime.Version()}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		fmt.Sscanf(string(text), "MemTotal: %d kB", &o.MemoryMB)
		o.MemoryMB >>= 10
	}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		if fields := strings.Fields(string(text)); len(fields) > 0 {
			o.Load = fields[0]
		}
	}
	return o
}

// ErrLimit is returned when a run reaches its time limit before the plan is complete.
var ErrLimit = errors.New("scale: time limit reached before the plan was complete")

// Run executes a plan. The result of each fleet is written before the next one starts.
func Run(ctx context.Context, p Plan) (rec Record, err error) {
	if text, err := os.ReadFile(p.Out + ".json"); err == nil {
		if err := json.Unmarshal(text, &rec); err != nil {
			return rec, fmt.Errorf("scale: decode record %s.json: %w", p.Out, err)
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return rec, err
	}
	rec.Runs = append(rec.Runs, currentRunInfo(p.Fleet.Seed))
	began := time.Now()
	runStep := func(what string, do func(t harness.T) error) error {
		if err := ctx.Err(); err != nil || time.Since(began) > p.Limit {
			return errors.Join(ErrLimit, err)
		}
		p.Fleet.Logf("%s", what)
		fault, err := runFleet(ctx, p.Fleet, do)
		if err != nil {
			return err
		}
		if fault != "" {
			rec.Faults = append(rec.Faults, what+": "+fault)
		}
		return rec.write(p.Out)
	}
	for run := range p.Runs {
		first := len(rec.Runs) + run
		vary := func(to *[]FleetResult, what string, values []int, set func(*Config, int)) error {
			for _, v := range values {
				cfg := p.Fleet
				cfg.Seed += uint64(run)
				set(&cfg, v)
				if err := runStep(fmt.Sprintf("%s %d, run %d", what, v, run+1), func(t harness.T) error {
					s, err := Measure(t, cfg, p.Effort)
					s.Run = first
					*to = append(*to, s)
					return err
				}); err != nil {
					return err
				}
			}
			return nil
		}
		if err := errors.Join(vary(&rec.Sizes, "gatherers", p.Sizes, func(c *Config, n int) { c.Gatherers = n }),
			vary(&rec.Busy, "busy teams", p.Busy, func(c *Config, n int) { c.Busy, c.Teams = n, max(c.Teams, n) }),
			vary(&rec.Padding, "padding", p.Padding, func(c *Config, n int) { c.Padding = n })); err != nil {
			return rec, err
		}
		for _, s := range Scenes {
			if !slices.Contains(p.Scenes, s.Name) {
				continue
			}
			cfg := p.Fleet
			cfg.Seed += uint64(run)
			if err := runStep(fmt.Sprintf("%s, run %d", s.Name, run+1), func(t harness.T) error {
				e, err := PlayScene(t, cfg, s, p.Delay, p.Effort.Calm)
				e.Run = first
				rec.Events = append(rec.Events, e)
				return err
			}); err != nil {
				return rec, err
			}
		}
	}
	return rec, nil
}

// runFleet runs one fleet and ends everything that it started. If the context ends first, the
// cleanup runs and the program exits.
func runFleet(ctx context.Context, cfg Config, do func(harness.T) error) (fault string, err error) {
	t, err := harness.NewRunner(cfg.Dir, cfg.Logf)
	if err != nil {
		return "", err
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-ctx.Done():
			t.Close()
			os.Exit(1)
		case <-done:
		}
	}()
	defer t.Close()
	defer func() {
		if reason := harness.FatalReason(recover()); reason != "" {
			fault = reason
		} else {
			fault = strings.Join(t.Errors(), "; ")
		}
	}()
	return "", do(t)
}

func (r Record) write(out string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return errors.Join(os.WriteFile(out+".json", append(text, '\n'), 0o644), os.WriteFile(out+".md", []byte(r.Markdown()), 0o644))
}
