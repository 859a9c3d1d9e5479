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
	Exited               chan struct{} // closed when the process has exited and its log has been read

	place *Place
	cmd   *exec.Cmd
	up    chan struct{}
}

// started matches the log line that the program writes once it serves.
var started = regexp.MustCompile(`event=start .*listen=(\S+) operator=(\S+)`)

// Begin starts the program without waiting until it serves. Cleanup kills the process if it still runs
// and waits for its exit.
func (p *Place) Begin() *Process {
	p.T.Helper()
	path, err := p.Program, error(nil)
	if path == "" {
		path, err = Binary()
	}
	if err != nil {
		p.T.Fatal(err)
	}
	command := exec.Command(path) //nolint:noctx // the process is ended by Kill or Leave, not by a context
	proc := &Process{place: p, cmd: command, Exited: make(chan struct{}), up: make(chan struct{})}
	baseEnv := append(os.Environ(), "SAFFRONQUAY_OPERATOR_FILE="+p.File, "LB_OPERATOR=", "LB_PASSED_SOCKET=", "TMPDIR="+p.Dir)
	proc.cmd.Env = append(baseEnv, p.Env...)
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

// read reads the log until the process closes it, then waits for the process to exit.
func (proc *Process) read(errs io.Reader) {
	defer close(proc.Exited)
	serves := false
	for lines := bufio.NewScanner(errs); lines.Scan(); {
		text := lines.Text()
		if !proc.place.Quiet && reportsBug(text) {
			proc.place.T.Errorf("program logged a panic, data race or deadline guard message: %s", text)
		}
		proc.place.appendLine(text)
		if m := started.FindStringSubmatch(text); m != nil && !serves {
			serves = true
			proc.Listen, proc.AdminAddress = m[1], m[2]
			close(proc.up)
		}
	}
	_ = proc.cmd.Wait() // tests end processes by signals, so a non-zero exit status is not an error
}

// reportsBug reports whether a log line shows a failure that is an error in every test.
func reportsBug(line string) bool {
	return strings.Contains(line, "panic") || strings.Contains(line, "DATA RACE") || strings.Contains(line, "deadline guard")
}

// Up waits until the process serves. It returns false if the process exited before it served.
func (proc *Process) Up() bool {
	proc.place.T.Helper()
	select {
	case <-proc.up:
		return true
	case <-proc.Exited:
	case <-time.After(WaitTimeout):
		proc.place.T.Fatal("program neither served nor exited within WaitTimeout")
	}
	select {
	case <-proc.up: // it served before it exited
		return true
	default:
		return false
	}
}

// PID returns the process id.
func (proc *Process) PID() int { return proc.cmd.Process.Pid }

// Signal sends a signal to the process. It is a no-op if the process has exited.
func (proc *Process) Signal(s syscall.Signal) { _ = proc.cmd.Process.Signal(s) }

// Kill kills the process by SIGKILL and waits for its exit.
func (proc *Process) Kill() {
	_ = proc.cmd.Process.Kill() // fails if the process has already exited
	<-proc.Exited
}

// Leave shuts the process down by SIGTERM and waits for its exit.
func (proc *Process) Leave() {
	proc.place.T.Helper()
	proc.Signal(syscall.SIGTERM)
	select {
	case <-proc.Exited:
	case <-time.After(WaitTimeout):
		proc.place.T.Fatal("program did not exit within WaitTimeout after SIGTERM")
	}
}

// Call sends a command to the admin endpoint and returns the response. It returns an empty string if
// the endpoint is unreachable or the response is truncated.
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
