package harness

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Patience is for what has to happen; no verdict hangs on how soon it does.
const WaitTimeout = 90 * time.Second

// Raced tells that the race detector is on: the program is then built with it too.
var RaceEnabled = func() bool {
	info, ok := debug.ReadBuildInfo()
	return ok && slices.Contains(info.Settings, debug.BuildSetting{Key: "-race", Value: "true"})
}()

// Binary is the program, built once for each test binary.
var Binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "saffronquay-lab")
	if err != nil {
		return "", fmt.Errorf("lab: %w", err)
	}
	path := filepath.Join(dir, "saffronquay")
	build := []string{"build", "-o", path}
	if RaceEnabled {
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "saffronquay/cmd/saffronquay")...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("lab: build: %w: %s", err, out)
	}
	return path, nil
})

// Main runs the tests of a package that uses Binary, and removes what was built.
func Main(m interface{ Run() int }) {
	code := m.Run()
	if path, err := Binary(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// Place is where the program runs, again and again, with files and, where set, a listening socket that outlast it.
type Place struct {
	T       T
	Dir     string   // for files; the program's TMPDIR
	File    string   // the operator's, in Dir
	Env     []string // beside the usual
	Socket  *os.File // handed to the program as the clients' socket; nil: it opens its own
	Program string   // the program's file; empty: it is built
	Quiet   bool     // cries of the program are not errors: the test expects them

	mu      sync.Mutex
	log     []string
	times   []time.Time
	changed chan struct{} // closed, and replaced, with each line
}

// NewPlace makes a place with a directory that the test removes.
func NewPlace(t T) *Place {
	p := &Place{T: t, Dir: t.TempDir(), changed: make(chan struct{})}
	p.File = filepath.Join(p.Dir, "operator.json")
	return p
}

// Passed opens a listening socket that each life of the program gets passed, and returns its address.
func (p *Place) PassSocket() string {
	p.T.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		p.T.Fatal(err)
	}
	defer l.Close()
	if p.Socket, err = l.(*net.TCPListener).File(); err != nil {
		p.T.Fatal(err)
	}
	p.T.Cleanup(func() { p.Socket.Close() })
	p.Env = append(p.Env, "LB_PASSED_SOCKET=3")
	return l.Addr().String()
}

// Write writes the operator's file.
func (p *Place) Write(text []byte) {
	p.T.Helper()
	if err := os.WriteFile(p.File, text, 0o600); err != nil {
		p.T.Fatal(err)
	}
}

// Life is one process of the program.
type Process struct {
	Listen, AdminAddress string        // once it is up
	Exited               chan struct{} // closed at its end

	place *Place
	cmd   *exec.Cmd
	up    chan struct{}
}

var started = regexp.MustCompile(`event=start .*listen=(\S+) operator=(\S+)`)

// Begin starts the program.
func (p *Place) Begin() *Process {
	p.T.Helper()
	path, err := p.Program, error(nil)
	if path == "" {
		path, err = Binary()
	}
	if err != nil {
		p.T.Fatal(err)
	}
	l := &Process{place: p, cmd: exec.Command(path), Exited: make(chan struct{}), up: make(chan struct{})}
	l.cmd.Env = append(append(os.Environ(), "SAFFRONQUAY_OPERATOR_FILE="+p.File, "LB_OPERATOR=", "LB_PASSED_SOCKET=", "TMPDIR="+p.Dir), p.Env...)
	if p.Socket != nil {
		l.cmd.ExtraFiles = []*os.File{p.Socket}
	}
	errs, err := l.cmd.StderrPipe()
	if err != nil {
		p.T.Fatal(err)
	}
	if err := l.cmd.Start(); err != nil {
		p.T.Fatal(err)
	}
	go l.read(errs)
	p.T.Cleanup(func() { l.cmd.Process.Kill(); <-l.Exited })
	return l
}

func (l *Process) read(errs io.Reader) {
	defer close(l.Exited)
	serves := false
	for lines := bufio.NewScanner(errs); lines.Scan(); {
		text := lines.Text()
		if !l.place.Quiet && (strings.Contains(text, "panic") || strings.Contains(text, "DATA RACE") || strings.Contains(text, "deadline guard")) {
			l.place.T.Errorf("the program said: %s", text)
		}
		l.place.appendLine(text)
		if m := started.FindStringSubmatch(text); m != nil && !serves {
			serves = true
			l.Listen, l.AdminAddress = m[1], m[2]
			close(l.up)
		}
	}
	l.cmd.Wait()
}

func (p *Place) appendLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log, p.times = append(p.log, line), append(p.times, time.Now())
	close(p.changed)
	p.changed = make(chan struct{})
}

// Up waits until the process serves; false where it ended instead.
func (l *Process) Up() bool {
	l.place.T.Helper()
	select {
	case <-l.up:
		return true
	case <-l.Exited:
	case <-time.After(WaitTimeout):
		l.place.T.Fatal("the program neither started nor ended")
	}
	select {
	case <-l.up: // it has served, and ended
		return true
	default:
		return false
	}
}

// Start starts the program and waits until it serves.
func (p *Place) Start() *Process {
	p.T.Helper()
	l := p.Begin()
	if !l.Up() {
		p.T.Fatalf("the program ended at its start: %s", p.Output())
	}
	return l
}

// Said is all that the program has said here.
func (p *Place) Output() string { return strings.Join(p.Lines(), "\n") }

// Lines are all lines that the program has said here.
func (p *Place) Lines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log[:len(p.log):len(p.log)]
}

// Says waits until a line, from the given number on, holds all of some words, and returns its number.
func (p *Place) WaitForLine(from int, words ...string) int {
	p.T.Helper()
	end := time.After(WaitTimeout)
	for {
		p.mu.Lock()
		log, news := p.log, p.changed
		p.mu.Unlock()
		for i := from; i < len(log); i++ {
			if !slices.ContainsFunc(words, func(w string) bool { return !strings.Contains(log[i], w) }) {
				return i
			}
		}
		select {
		case <-news:
		case <-end:
			p.T.Fatalf("the program never said %q: %s", words, strings.Join(log[min(from, len(log)):], "\n"))
		}
	}
}

// PID is the process's id.
func (l *Process) PID() int { return l.cmd.Process.Pid }

// Signal sends it a signal.
func (l *Process) Signal(s syscall.Signal) { l.cmd.Process.Signal(s) }

// Kill kills it, and waits for its end.
func (l *Process) Kill() {
	l.cmd.Process.Kill()
	<-l.Exited
}

// Leave has it end by SIGTERM, and waits for that.
func (l *Process) Leave() {
	l.place.T.Helper()
	l.Signal(syscall.SIGTERM)
	select {
	case <-l.Exited:
	case <-time.After(WaitTimeout):
		l.place.T.Fatal("the program never ended")
	}
}

// Call makes a call at its door; empty where it can't be reached.
func (l *Process) Call(words string) string {
	conn, err := net.DialTimeout("tcp", l.AdminAddress, WaitTimeout)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(WaitTimeout))
	fmt.Fprintln(conn, words)
	answer, err := io.ReadAll(conn)
	if err != nil {
		return ""
	}
	return string(answer)
}

// Run runs a command of the program to its end.
func Run(t T, words ...string) (out string, code int) {
	t.Helper()
	path, err := Binary()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path, words...)
	text, _ := cmd.CombinedOutput()
	return string(text), cmd.ProcessState.ExitCode()
}
