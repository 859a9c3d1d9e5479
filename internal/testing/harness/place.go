package harness

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// WaitTimeout bounds each wait for a state. It only distinguishes a run that hangs from a slow one: no
// check depends on its value.
const WaitTimeout = 90 * time.Second

// Place is a directory in which the program runs, one process after another. All processes share its
// files, its log and, if PassSocket was called, a listening socket. Output, Lines and WaitForLine are
// safe for concurrent use.
type Place struct {
	T       T
	Dir     string   // for files; the program's TMPDIR
	File    string   // path of the configuration, in Dir
	Env     []string // added to the environment
	Socket  *os.File // listening socket passed to the program for clients; nil: it opens its own
	Program string   // path of the executable; empty: Binary
	Quiet   bool     // the test expects a panic, data race or deadline guard message: do not report it

	mu      sync.Mutex
	log     []string
	changed chan struct{} // closed and replaced with each line
}

// NewPlace returns a place with a new directory that T removes. The configuration is not written yet.
func NewPlace(t T) *Place {
	p := &Place{T: t, Dir: t.TempDir(), changed: make(chan struct{})}
	p.File = filepath.Join(p.Dir, "operator.json")
	return p
}

// PassSocket opens a listening socket that is passed to every process of this place, and returns its
// address.
func (p *Place) PassSocket() string {
	p.T.Helper()
	l, err := listen("127.0.0.1:0")
	if err != nil {
		p.T.Fatal(err)
	}
	defer l.Close()
	socket, ok := l.(*net.TCPListener)
	if !ok {
		p.T.Fatalf("pass socket: listener is a %T, not a *net.TCPListener", l)
	}
	if p.Socket, err = socket.File(); err != nil {
		p.T.Fatal(err)
	}
	p.T.Cleanup(func() { p.Socket.Close() })
	p.Env = append(p.Env, "LB_PASSED_SOCKET=3")
	return l.Addr().String()
}

// Write replaces the configuration file. A running process is not notified.
func (p *Place) Write(text []byte) {
	p.T.Helper()
	if err := os.WriteFile(p.File, text, 0o600); err != nil {
		p.T.Fatal(err)
	}
}

// Start starts the program and waits until it serves.
func (p *Place) Start() *Process {
	p.T.Helper()
	l := p.Begin()
	if !l.Up() {
		p.T.Fatalf("program exited before it served; log: %s", p.Output())
	}
	return l
}

// Output returns the complete log of this place.
func (p *Place) Output() string { return strings.Join(p.Lines(), "\n") }

// Lines returns all lines of the log so far. The caller must not change them.
func (p *Place) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log[:len(p.log):len(p.log)]
}

// WaitForLine waits for a line that contains each of words, starting at line number from, and returns
// its number.
func (p *Place) WaitForLine(from int, words ...string) int {
	p.T.Helper()
	end := time.After(WaitTimeout)
	for {
		p.mu.Lock()
		log, news := p.log, p.changed
		p.mu.Unlock()
		for i := from; i < len(log); i++ {
			if containsAll(log[i], words) {
				return i
			}
		}
		select {
		case <-news:
		case <-end:
			p.T.Fatalf("timed out waiting for a log line with %q; log: %s", words, strings.Join(log[min(from, len(log)):], "\n"))
		}
	}
}

// containsAll returns whether a line contains each of words.
func containsAll(line string, words []string) bool {
	return !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(line, w) })
}

// appendLine adds a line to the log and wakes up the waiters of WaitForLine.
func (p *Place) appendLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log = append(p.log, line)
	close(p.changed)
	p.changed = make(chan struct{})
}
