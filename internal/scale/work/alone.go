package work

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
)

// alone is who runs the harness where no test does.
type alone struct {
	mu      sync.Mutex
	dir     string
	dirs    int
	cleanup []func()
	failed  string // the first error
	say     func(string, ...any)
}

// fatal is what ends a measurement early.
type fatal string

func (f fatal) Error() string { return string(f) }

func (a *alone) Helper() {}

func (a *alone) Errorf(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failed == "" {
		a.failed = fmt.Sprintf(format, args...)
	}
}

func (a *alone) Fatal(args ...any) { panic(fatal(fmt.Sprint(args...))) }

func (a *alone) Fatalf(format string, args ...any) { panic(fatal(fmt.Sprintf(format, args...))) }

func (a *alone) Log(args ...any) { a.say("%s", fmt.Sprint(args...)) }

func (a *alone) Logf(format string, args ...any) { a.say(format, args...) }

func (a *alone) Cleanup(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cleanup = append(a.cleanup, f)
}

func (a *alone) Failed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.failed != ""
}

func (a *alone) TempDir() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dirs++
	dir := filepath.Join(a.dir, fmt.Sprintf("place-%02d", a.dirs))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		panic(fatal(err.Error()))
	}
	return dir
}

func (a *alone) close() {
	for i := len(a.cleanup) - 1; i >= 0; i-- {
		a.cleanup[i]()
	}
	os.RemoveAll(a.dir)
}
