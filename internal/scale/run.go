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

// Plan is what a run plays: fleets of each size, of each number of busy teams and each length of a policy at one size, and scenes.
type Plan struct {
	Fleet   Config // Gatherers is the size of fleets that vary in something else, and of scenes
	Effort  Effort
	Sizes   []int
	Busy    []int
	Padding []int
	Scenes  []string
	Delay   time.Duration // between regions: at least, and up to twice that
	Runs    int
	Out     string // files of that name with .json and .md; what is in the first already is kept, and added to
	Limit   time.Duration
}

// Record is all that was measured, over several runs of the command.
type Record struct {
	Runs    []Occasion `json:"runs"`
	Sizes   []Size     `json:"sizes"`
	Busy    []Size     `json:"busy"`
	Padding []Size     `json:"padding"`
	Events  []Event    `json:"events"`
	Faults  []string   `json:"faults"` // what could not be played to its end
}

// Occasion is when and on what a run was made.
type Occasion struct {
	Date     string `json:"date"`
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	Build    string `json:"build"`
	Load     string `json:"load_average"` // at the beginning
}

func occasion(seed uint64) Occasion {
	o := Occasion{Date: time.Now().UTC().Format("2006-01-02 15:04Z"), Cores: runtime.NumCPU(), System: runtime.GOOS + "/" + runtime.GOARCH, Seed: seed, Build: runtime.Version()}
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		fmt.Sscanf(string(text), "MemTotal: %d kB", &o.MemoryMB)
		o.MemoryMB >>= 10
	}
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		if words := strings.Fields(string(text)); len(words) > 0 {
			o.Load = words[0]
		}
	}
	return o
}

// ErrLimit says that a run was ended by its limit before all was played.
var ErrLimit = errors.New("scale: the limit of time has come before all was played")

// Run plays a plan. What each fleet came to is written before the next one begins.
func Run(ctx context.Context, p Plan) (rec Record, err error) {
	if text, err := os.ReadFile(p.Out + ".json"); err == nil {
		if err := json.Unmarshal(text, &rec); err != nil {
			return rec, fmt.Errorf("%s.json: %w", p.Out, err)
		}
	} else if !errors.Is(err, fs.ErrNotExist) {
		return rec, err
	}
	rec.Runs = append(rec.Runs, occasion(p.Fleet.Seed))
	began := time.Now()
	one := func(what string, do func(t harness.T) error) error {
		if err := ctx.Err(); err != nil || time.Since(began) > p.Limit {
			return errors.Join(ErrLimit, err)
		}
		p.Fleet.Logf("%s", what)
		fault, err := played(ctx, p.Fleet, do)
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
		vary := func(to *[]Size, what string, values []int, set func(*Config, int)) error {
			for _, v := range values {
				cfg := p.Fleet
				cfg.Seed += uint64(run)
				set(&cfg, v)
				if err := one(fmt.Sprintf("%s %d, run %d", what, v, run+1), func(t harness.T) error {
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
			if err := one(fmt.Sprintf("%s, run %d", s.Name, run+1), func(t harness.T) error {
				e, err := Play(t, cfg, s, p.Delay, p.Effort.Calm)
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

// played plays one fleet and ends all that it started, also where the context ends first: then the program ends.
func played(ctx context.Context, cfg Config, do func(harness.T) error) (fault string, err error) {
	t, err := harness.NewRunner(cfg.Dir, cfg.Logf)
	if err != nil {
		return "", err
	}
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case <-ctx.Done():
			t.Close()
			os.Exit(1)
		case <-over:
		}
	}()
	defer t.Close()
	defer func() {
		if never := harness.FatalReason(recover()); never != "" {
			fault = never
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
