package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// Runner is the T of the harness where no test runs. Its methods are safe for concurrent use, except that Fatal and Fatalf panic: call them
// on the goroutine that recovers with FatalReason, and call Close there in the end.
type Runner struct {
	mu      sync.Mutex
	dir     string
	dirs    int
	cleanup []func()
	errors  []string
	say     func(string, ...any)
}

// fatal is what Fatal panics with.
type fatal string

// NewRunner makes a Runner with a new directory below dir. Messages go to say.
func NewRunner(dir string, say func(format string, args ...any)) (*Runner, error) {
	own, err := os.MkdirTemp(dir, "run-")
	if err != nil {
		return nil, err
	}
	return &Runner{dir: own, say: say}, nil
}

// FatalReason returns the text that Fatal was called with, from the recovered value: a state that was never reached, or a failure of the
// harness. It is empty for nil, and panics again with any other value.
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

// Helper does nothing: a Runner reports no lines of source.
func (r *Runner) Helper() {}

// Errorf keeps an error; the run continues.
func (r *Runner) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// Errors returns a copy of the errors kept so far.
func (r *Runner) Errors() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.errors)
}

// Fatal ends the run by a panic: see FatalReason.
func (r *Runner) Fatal(args ...any) { panic(fatal(fmt.Sprint(args...))) }

// Fatalf ends the run by a panic: see FatalReason.
func (r *Runner) Fatalf(format string, args ...any) { panic(fatal(fmt.Sprintf(format, args...))) }

// Log passes a message to say.
func (r *Runner) Log(args ...any) { r.say("%s", fmt.Sprint(args...)) }

// Logf passes a message to say.
func (r *Runner) Logf(format string, args ...any) { r.say(format, args...) }

// Cleanup registers f to be called by Close, the last registered first.
func (r *Runner) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanup = append(r.cleanup, f)
}

// Failed returns whether an error was kept.
func (r *Runner) Failed() bool { return len(r.Errors()) > 0 }

// TempDir makes a new directory that Close removes; it ends the run by a panic where it can't.
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

// Close calls the registered cleanups and removes the directories.
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
