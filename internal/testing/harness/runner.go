package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// Runner is who runs the harness where no test does.
type Runner struct {
	mu      sync.Mutex
	dir     string
	dirs    int
	cleanup []func()
	errors  []string
	say     func(string, ...any)
}

// fatal is what ends a run early.
type fatal string

// NewRunner makes one with a directory of its own below dir.
func NewRunner(dir string, say func(format string, args ...any)) (*Runner, error) {
	own, err := os.MkdirTemp(dir, "run-")
	if err != nil {
		return nil, err
	}
	return &Runner{dir: own, say: say}, nil
}

// Never is why a run ended early, from what was recovered: a state that never came, or a fault of the harness. Empty: nothing was. What is
// no such end panics on.
func FatalReason(recovered any) string {
	switch x := recovered.(type) {
	case nil:
		return ""
	case fatal:
		return string(x)
	default:
		panic(x)
	}
}

// Helper does nothing.
func (r *Runner) Helper() {}

// Errorf keeps an error; the run goes on.
func (r *Runner) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// Errors are those kept so far.
func (r *Runner) Errors() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.errors)
}

// Fatal ends the run: see Never.
func (r *Runner) Fatal(args ...any) { panic(fatal(fmt.Sprint(args...))) }

// Fatalf ends the run: see Never.
func (r *Runner) Fatalf(format string, args ...any) { panic(fatal(fmt.Sprintf(format, args...))) }

// Log says something.
func (r *Runner) Log(args ...any) { r.say("%s", fmt.Sprint(args...)) }

// Logf says something.
func (r *Runner) Logf(format string, args ...any) { r.say(format, args...) }

// Cleanup has something done at Close, the last one first.
func (r *Runner) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanup = append(r.cleanup, f)
}

// Failed tells whether an error was kept.
func (r *Runner) Failed() bool { return len(r.Errors()) > 0 }

// TempDir makes a directory that Close removes.
func (r *Runner) TempDir() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dirs++
	dir := filepath.Join(r.dir, fmt.Sprintf("place-%02d", r.dirs))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		panic(fatal(err.Error()))
	}
	return dir
}

// Close ends what the run began, and removes its directories.
func (r *Runner) Close() {
	r.mu.Lock()
	cleanup := r.cleanup
	r.cleanup = nil
	r.mu.Unlock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	os.RemoveAll(r.dir)
}
