package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Result is the result of one seed.
type Result struct {
	Seed   uint64
	Report Report
	Err    error // a *ViolationError, or nil
}

// Scan plays the histories of consecutive seeds, as many at a time as there are processors, and passes each result to visit, in no certain
// order. visit is called by one goroutine at a time; after it has returned false it is not called again, and no further seed is begun. Scan
// returns when all histories that have begun are over.
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
				report, err := Play(Seeded(seed, bug))
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
