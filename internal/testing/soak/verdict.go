package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"saffronquay/internal/testing/faults"
	"strings"
	"time"
)

const (
	mostMemory = 192 // MB
	timeGiven  = 3 * time.Second
)

// judge holds the history against what is promised.
func (d *day) judge(began time.Duration, number uint64) {
	res := d.res
	broken := func(count int, format string, args ...any) {
		if count > 0 {
			res.Broken = append(res.Broken, fmt.Sprintf(format, args...))
		}
	}
	gone := aways(res.Script, d.cfg.Processes)
	for _, x := range res.Script {
		if x.Do == faults.Kill {
			res.Kills += len(x.A)
		}
	}
	first := ""
	for _, q := range res.queries {
		if res.Queries++; q.Version >= 0 {
			res.LetIn++
		}
		var who int
		fmt.Sscanf(q.At, "g%d", &who)
		if q.Status == 0 && !disturbed(gone, who, q.Sent-began, q.Came-began, timeGiven) {
			if res.Unanswered++; first == "" {
				first = fmt.Sprintf("at %s, sent at %s, given up at %s", q.At, q.Sent, q.Came)
			}
		}
	}
	broken(res.Unanswered, "%d queries had no answer, and nothing befell their gatherer: %s", res.Unanswered, first)
	res.Runs, res.Twice, _ = d.cluster.Ledger.Counts()
	broken(res.Twice, "%d parts ran twice that must not", res.Twice)
	res.Mixed, first = Mixed(res.queries)
	broken(res.Mixed, "%d queries under a version after a later one: %s", res.Mixed, first)
	d.mu.Lock()
	if acked := d.acked; number < acked {
		broken(1, "version %d was told to be in force, and %d is", acked, number)
	}
	d.mu.Unlock()
	res.Over, res.Most, first = Over(res.readings, res.Whole, widest)
	broken(res.Over, "%d times over the contract: %s", res.Over, first)
	for name, all := range res.memory {
		life := map[int][]int{}
		most := 0
		for _, s := range all {
			life[s.id] = append(life[s.id], s.mb)
			most = max(most, s.mb)
		}
		for _, samples := range life {
			if grown(samples) || most > mostMemory {
				res.Grown++
				broken(1, "the memory of %s grows: %d MB at most, from %d to %d MB in one life", name, most, samples[0], samples[len(samples)-1])
				break
			}
		}
	}
	res.Broken = append(res.Broken, d.r.Errors()...)
	if res.LetIn < 100 { // loud clients that are turned away come again at once, so most of them are
		broken(1, "%d of %d queries were let in: the campaign shows nothing", res.LetIn, res.Queries)
	}
	d.keep()
}

// keep writes the history: what befell the fleet, then a JSON line for each query and reading.
func (d *day) keep() {
	f, err := os.Create(filepath.Join(d.cfg.Dir, fmt.Sprintf("history-%d.jsonl", d.cfg.Seed)))
	if err != nil {
		d.cfg.Say("the history is not kept: %v", err)
		return
	}
	defer f.Close()
	e := json.NewEncoder(f)
	e.Encode(map[string]any{"seed": d.cfg.Seed, "script": strings.Split(strings.TrimSpace(d.res.Script.String()), "\n"), "notes": d.g.History()})
	for _, q := range d.res.queries {
		e.Encode(q)
	}
	for _, r := range d.res.readings {
		e.Encode(r)
	}
}

// Shrink plays parts of a script that breaks something, so many times at most, and gives the smallest one found that still does.
func Shrink(cfg Config, s faults.Script, runs int, play func(Config) (Result, error)) (faults.Script, error) {
	for size := len(s) / 2; size > 0 && runs > 0; {
		smaller := false
		for from := 0; from < len(s) && runs > 0; from += size {
			rest := append(append(faults.Script{}, s[:from]...), s[min(from+size, len(s)):]...)
			if len(rest) == 0 {
				continue
			}
			runs--
			cfg.Script = rest
			r, err := play(cfg)
			if err != nil {
				return s, err
			}
			if len(r.Broken) > 0 {
				s, smaller = rest, true
				break
			}
		}
		if !smaller {
			size /= 2
		} else {
			size = min(size, max(1, len(s)/2))
		}
	}
	return s, nil
}
