package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

// Runner is the harness's T outside of tests. Its methods are safe for concurrent use, except Fatal
// and Fatalf: these panic and must be called on the goroutine that recovers with FatalReason. That
// goroutine must call Close at the end.
type Runner struct {
	mu      sync.Mutex
	dir     string
	dirs    int
	cleanup []func()
	errors  []string
	logf    func(string, ...any)
}

// fatal is the value that Fatal panics with.
type fatal string

// NewRunner returns a Runner with a new directory below dir. Log messages are passed to say.
func NewRunner(dir string, say func(format string, args ...any)) (*Runner, error) {
	own, err := os.MkdirTemp(dir, "run-")
	if err != nil {
		return nil, err
	}
	return &Runner{dir: own, logf: say}, nil
}

// FatalReason returns the message that Fatal was called with, given the recovered value: a state that
// was not reached in time, or a failure of the harness. It returns an empty string for nil, and panics
// with any other value.
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

// Helper does nothing: a Runner does not report source lines.
func (r *Runner) Helper() {}

// Errorf records an error; the run continues.
func (r *Runner) Errorf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
}

// Errors returns a copy of the errors recorded so far.
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
func (r *Runner) Log(args ...any) { r.logf("%s", fmt.Sprint(args...)) }

// Logf passes a message to say.
func (r *Runner) Logf(format string, args ...any) { r.logf(format, args...) }

// Cleanup registers f to be called by Close, in last-in, first-out order.
func (r *Runner) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanup = append(r.cleanup, f)
}

// Failed reports whether an error was recorded.
func (r *Runner) Failed() bool { return len(r.Errors()) > 0 }

// TempDir creates a directory that Close removes. It ends the run by a panic if that fails.
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
