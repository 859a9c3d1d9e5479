package simulation

import (
	"runtime"
	"sync"
	"sync/atomic"
)

// Result is what came of one seed.
type Result struct {
	Seed   uint64
	Report Report
	Err    error // a *Violation, or nil
}

// Scan plays the histories of so many seeds, several at a time, and hands each result over, in no certain order. visit is called by one
// goroutine at a time; once it returns false no further seed is begun.
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
