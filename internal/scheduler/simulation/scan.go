package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Result is the result of the history of one seed.
type Result struct {
	Seed   uint64
	Report Report
	Err    error // a *ViolationError, or nil
}

// Scan runs the histories of consecutive seeds, GOMAXPROCS at a time, and passes each result to visit,
// in no particular order. visit is not called concurrently. After visit has returned false it is not
// called again, and no further history is started. Scan returns when all started histories have ended.
func Scan(first, count uint64, bug Bug, visit func(Result) bool) {
	var next atomic.Uint64
	var mu sync.Mutex
	var wait sync.WaitGroup
	var stopped atomic.Bool
	next.Store(first)
	for range runtime.GOMAXPROCS(0) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for !stopped.Load() {
				seed := next.Add(1) - 1
				if seed >= first+count {
					return
				}
				report, err := Play(OptionsForSeed(seed, bug))
				mu.Lock()
				if !stopped.Load() && !visit(Result{seed, report, err}) {
					stopped.Store(true)
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
}
