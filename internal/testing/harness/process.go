package harness

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Process is one run of the program.
type Process struct {
	Listen, AdminAddress string        // set before Up returns true
	Exited               chan struct{} // closed when the process has ended and its log is read

	place *Place
	cmd   *exec.Cmd
	up    chan struct{}
}

// started matches the log line with which the program reports that it serves.
var started = regexp.MustCompile(`event=start .*listen=(\S+) operator=(\S+)`)

// Begin starts the program and does not wait for it. Cleanup kills the process where it still runs, and waits for its end.
func (p *Place) Begin() *Process {
	p.T.Helper()
	path, err := p.Program, error(nil)
	if path == "" {
		path, err = Binary()
	}
	if err != nil {
		p.T.Fatal(err)
	}
	command := exec.Command(path) //nolint:noctx // the process is ended by Kill or Stop, not by a context
	proc := &Process{place: p, cmd: command, Exited: make(chan struct{}), up: make(chan struct{})}
	usual := append(os.Environ(), "SAFFRONQUAY_OPERATOR_FILE="+p.File, "LB_OPERATOR=", "LB_PASSED_SOCKET=", "TMPDIR="+p.Dir)
	proc.cmd.Env = append(usual, p.Env...)
	if p.Socket != nil {
		proc.cmd.ExtraFiles = []*os.File{p.Socket}
	}
	errs, err := proc.cmd.StderrPipe()
	if err != nil {
		p.T.Fatal(err)
	}
	if err := proc.cmd.Start(); err != nil {
		p.T.Fatal(err)
	}
	go proc.read(errs)
	p.T.Cleanup(proc.Kill)
	return proc
}

// read reads the log to its end, and then waits for the process.
func (proc *Process) read(errs io.Reader) {
	defer close(proc.Exited)
	serves := false
	for lines := bufio.NewScanner(errs); lines.Scan(); {
		text := lines.Text()
		if !proc.place.Quiet && reportsBug(text) {
			proc.place.T.Errorf("the program said: %s", text)
		}
		proc.place.appendLine(text)
		if m := started.FindStringSubmatch(text); m != nil && !serves {
			serves = true
			proc.Listen, proc.AdminAddress = m[1], m[2]
			close(proc.up)
		}
	}
	_ = proc.cmd.Wait() // tests end processes by signals: a status other than 0 is no error here
}

// reportsBug returns whether a log line reports what is wrong in every test.
func reportsBug(line string) bool {
	return strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") || strings.Contains(line, "deadline guard")
}

// Up waits until the process serves, and returns false where it ended without.
func (proc *Process) Up() bool {
	proc.place.T.Helper()
	select {
	case <-proc.up:
		return true
	case <-proc.Exited:
	case <-time.After(WaitTimeout):
		proc.place.T.Fatal("the program neither started nor ended")
	}
	select {
	case <-proc.up: // it has served before it ended
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (proc *Process) PID() int { return proc.cmd.Process.Pid }

// Signal sends the process a signal. A process that has ended gets none; that is no error.
func (proc *Process) Signal(s syscall.Signal) { _ = proc.cmd.Process.Signal(s) }

// Kill kills the process by SIGKILL, and waits for its end.
func (proc *Process) Kill() {
	_ = proc.cmd.Process.Kill() // fails where it has ended already
	<-proc.Exited
}

// Leave ends the process by SIGTERM, and waits for its end.
func (proc *Process) Leave() {
	proc.place.T.Helper()
	proc.Signal(syscall.SIGTERM)
	select {
	case <-proc.Exited:
	case <-time.After(WaitTimeout):
		proc.place.T.Fatal("the program never ended")
	}
}

// Call sends a command to the admin endpoint and returns the answer; empty where the endpoint is not reached or the answer breaks off.
func (proc *Process) Call(words string) string {
	conn, err := dial(proc.AdminAddress, WaitTimeout)
	if err != nil {
		return ""
	}
	defer conn.Close()
	if conn.SetDeadline(time.Now().Add(WaitTimeout)) != nil {
		return ""
	}
	fmt.Fprintln(conn, words)
	answer, err := io.ReadAll(conn)
	if err != nil {
		return ""
	}
	return string(answer)
}
