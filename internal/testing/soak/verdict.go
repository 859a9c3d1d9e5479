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
	maxMemoryMB   = 192             // MB of a process
	downtimeSlack = 3 * time.Second // a query without a response is excused this long before and after a downtime
)

// check checks the history and adds the violations to the result. began is the start of the script;
// number is the policy version at the end.
func (run *campaign) check(began time.Duration, number uint64) {
	res := run.res
	violation := func(count int, format string, args ...any) {
		if count > 0 {
			res.Violations = append(res.Violations, fmt.Sprintf(format, args...))
		}
	}
	gone := downtimes(res.Script, run.cfg.Processes)
	for _, x := range res.Script {
		if x.Do == faults.Kill {
			res.Kills += len(x.A)
		}
	}
	first := ""
	for _, q := range res.queries {
		if res.Queries++; q.Version >= 0 {
			res.Admitted++
		}
		var who int
		fmt.Sscanf(q.At, "g%d", &who)
		if q.Status == 0 && !disturbed(gone, who, q.Sent-began, q.Came-began, downtimeSlack) {
			if res.Unanswered++; first == "" {
				first = fmt.Sprintf("query to %s, sent at %s, failed at %s", q.At, q.Sent, q.Came)
			}
		}
	}
	violation(res.Unanswered, "%d queries got no response although their broker was not stopped or suspended; first: %s", res.Unanswered, first)
	res.PartsRun, res.RunTwice, _ = run.cluster.Ledger.Counts()
	violation(res.RunTwice, "%d parts of at-most-once queries ran more than once", res.RunTwice)
	res.Mixed, first = Mixed(res.queries)
	violation(res.Mixed, "%d queries were admitted under an outdated policy version; first: %s", res.Mixed, first)
	run.mu.Lock()
	if acked := run.acked; number < acked {
		violation(1, "policy version %d was reported as committed, but version %d is in effect at the end", acked, number)
	}
	run.mu.Unlock()
	res.OverContract, res.MaxInFlight, first = Over(res.readings, res.Contract, maxPartsPerQuery)
	violation(res.OverContract, "limits of all processes exceeded the contract in %d readings; first: %s", res.OverContract, first)
	for name, all := range res.memory {
		byProcess := map[int][]int{}
		most := 0
		for _, s := range all {
			byProcess[s.id] = append(byProcess[s.id], s.mb)
			most = max(most, s.mb)
		}
		for _, samples := range byProcess {
			if memoryGrows(samples) || most > maxMemoryMB {
				res.MemoryGrowth++
				violation(1, "memory of %s grows or exceeds its limit: maximum %d MB, from %d to %d MB in one process", name, most, samples[0], samples[len(samples)-1])
				break
			}
		}
	}
	res.Violations = append(res.Violations, run.r.Errors()...)
	if res.Admitted < 100 { // an absolute minimum: rejected clients retry at once, so most queries are rejected
		violation(1, "%d of %d queries were admitted, want at least 100 for a conclusive campaign", res.Admitted, res.Queries)
	}
	run.writeHistory()
}

// writeHistory writes the history to disk: a JSON line with the seed, the script and the events of the group,
// then a line for each query and each reading.
func (run *campaign) writeHistory() {
	f, err := os.Create(filepath.Join(run.cfg.Dir, fmt.Sprintf("history-%d.jsonl", run.cfg.Seed)))
	if err != nil {
		run.cfg.Logf("write history: %v", err)
		return
	}
	defer f.Close()
	e := json.NewEncoder(f)
	e.Encode(map[string]any{"seed": run.cfg.Seed, "script": strings.Split(strings.TrimSpace(run.res.Script.String()), "\n"), "notes": run.g.History()})
	for _, q := range run.res.queries {
		e.Encode(q)
	}
	for _, r := range run.res.readings {
		e.Encode(r)
	}
}

// Shrink minimizes a script that causes a violation. It plays parts of the script, at most runs times,
// and returns the smallest part found that still causes one. If play fails, it returns the smallest
// part found so far and the error.
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
			if len(r.Violations) > 0 {
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
