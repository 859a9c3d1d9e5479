// Package endtoend tests the program as a process, over loopback sockets, in both dialects. A scenario
// is a text with one step per line; the same text runs in each dialect and must have the same outcome.
//
//	only DIALECT                      run the scenario in this dialect only
//	passed                            first step: the test opens the clients' socket and passes it on
//	replace                           start the program again while the first process runs; later steps
//	                                  refer to the new process, and "old" to the first one
//	junk                              write malformed files where the two processes exchange their state
//	wait handed N                     until a process has published N open queries
//	wait open N                       until a process has published N open queries and parts
//	wait standby 1|0                  until a process has published that it is (not) on standby
//	twin Q P                          send the request of P again as Q, with the same id
//	later Q P                         as twin, retried while the response is status 409
//	call WORDS... = ANSWER            send an admin command; the response must start with ANSWER
//	callers N TEXT                    open N admin connections, send TEXT on each, keep them open
//	server NAME|* BEHAVIOUR           set the behaviour of a fake server; hold delays its responses
//	                                  until the behaviour changes
//	fleet NAME STATE                  discovery publishes the state of a server
//	fleet break                       discovery closes the watch
//	send Q CLASS SHARDS [MS]          send a query; shards in any order. A Q that has its response can
//	                                  be sent again, on the same connection
//	idle N                            open N client connections that send nothing
//	raw Q NAME                        send one of the malformed requests
//	conceal Q SHARD                   send a request of ambiguous length with a valid one in its body
//	flood Q SHARD N                   send N pipelined requests on one connection
//	close Q                           close the client's connection
//	stop [old]                        send SIGTERM to the program
//	reload bad | reload NAME...       send SIGHUP with an invalid file, or with a file without these
//	                                  servers; discovery then has a new address and restarts its versions
//	retune TRIES NAME:EFFECT[:LIMIT]...  send SIGHUP with these classes and maximum attempts; the file is
//	                                  invalid if a limit or TRIES is not positive
//	wait shard S received|dropped N   until the servers have counted N calls
//	wait told N                       until the program has logged discovery's version N
//	expect Q OUTCOME                  the only response of a query
//	expect Q closing                  its response, which was received, closes the connection
//	expect Q ended                    its connection is closed after the response
//	expect shard S received N         the total number of calls that servers received for a shard
//	expect figure NAME N              a metric of the program, once it has this value
//	expect ready|leaving|exit [old]   the program's health, or its exit with status 0
package endtoend

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/http1"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const waitTimeout = 20 * time.Second // bounds each wait; no check depends on how soon a state is reached

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "saffronquay")
	if err == nil {
		program = filepath.Join(dir, "saffronquay")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, "saffronquay/cmd/saffronquay").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// dialect abstracts the differences between the two front ends.
type dialect interface {
	// config writes the program's configuration and returns the environment that names it.
	config(t *testing.T, w *world) []string
	// rewrite replaces the configuration by one without the servers named in removed.
	rewrite(t *testing.T, w *world, removed []string)
	// request returns a request of a class for shards with a timeout in milliseconds.
	request(class string, shards []int, ms int) []byte
	// outcome summarizes a response: "answered 0,2", "refused later", "refused", "failed", "malformed
	// STATUS" or "status STATUS".
	outcome(m *http1.Message) string
	// serve runs the protocol of a fake server on one connection until it ends.
	serve(w *world, s *fakeServer, conn net.Conn)
}

// world is one run of the program with its fake servers and clients.
type world struct {
	t       *testing.T
	d       dialect
	servers []*fakeServer
	host    string // where the servers listen; see newHost
	address string
	process
	replaced     process  // replaced by process
	env          []string // of the program
	socket       *os.File // passed to the program; nil: it opens its own
	clients      map[string]*client
	fleetChanges chan string       // changes for discovery to publish
	configFile   string            // path of the program's configuration
	classes      []class           // in the configuration
	maxAttempts  int               // maximum attempts in the configuration
	handoverDir  string            // TMPDIR of all processes, for their handover files
	descriptors  int               // file descriptor limit of the program; 0: that of this test
	sent         map[string][]byte // last request by client

	mu       sync.Mutex
	changed  *sync.Cond  // broadcast when one of the counts below changes
	received map[int]int // calls by shard
	dropped  map[int]int // canceled calls by shard
	logged   map[int]int // log lines by fleet generation, or by one of the constants below
}

// process is one run of the program.
type process struct {
	cmd    *exec.Cmd
	admin  string // address of the admin endpoint
	exited chan error
}

type client struct {
	conn     net.Conn
	r        *bufio.Reader
	outcomes chan string
	closing  bool // the last response closes the connection
}

func (w *world) count(of map[int]int, shard int) {
	w.mu.Lock()
	of[shard]++
	w.changed.Broadcast()
	w.mu.Unlock()
}

// fakeServer is a fake server. Its behaviour is "serve" or another one that the scenario sets.
type fakeServer struct {
	name      string
	cell      int
	mu        sync.Mutex
	l         net.Listener
	address   string
	behaviour string
	changed   chan struct{} // closed and replaced when the behaviour changes
}

func (s *fakeServer) currentBehaviour() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// waitNotHeld waits while the behaviour is "hold", and returns the next one.
func (s *fakeServer) waitNotHeld() string {
	for {
		s.mu.Lock()
		behaviour, changed := s.behaviour, s.changed
		s.mu.Unlock()
		if behaviour != "hold" {
			return behaviour
		}
		<-changed
	}
}

func (s *fakeServer) set(w *world, behaviour string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
	close(s.changed)
	s.changed = make(chan struct{})
	if behaviour == "down" {
		stopListening(w.t, s.l)
	}
}

// stopListening closes a listener, so that its port refuses connections from now on. Close alone does not: a program
// that is being started has a copy of the socket until its exec.
func stopListening(t *testing.T, l net.Listener) {
	t.Helper()
	socket, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = socket.Control(func(descriptor uintptr) { _ = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
	if err != nil && !errors.Is(err, net.ErrClosed) {
		t.Fatal(err)
	}
	l.Close()
}

// worldCount is the number of worlds of this test process.
var worldCount atomic.Int64

// newHost returns an address of the loopback that no other world uses, in this process or in another: after "down"
// the port must stay closed, although other tests open ports at the same time.
func newHost() string {
	const (
		values = 250 // of each part of the address
		first  = 3   // of the last part; unavailableDiscovery has the one before
	)
	process, world := os.Getpid(), int(worldCount.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+process%values, 1+process/values%values, first+world%values)
}

func (s *fakeServer) listen(w *world) {
	l, err := net.Listen("tcp", net.JoinHostPort(w.host, "0"))
	if err != nil {
		w.t.Fatal(err)
	}
	s.l, s.address, s.behaviour, s.changed = l, l.Addr().String(), "serve", make(chan struct{})
	w.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				w.d.serve(w, s, conn)
			}()
		}
	}()
}

// Keys of world.logged for log events other than fleet generations, which are not negative.
const (
	loggedLeaving     = -1 // shutdown after SIGTERM
	loggedReload      = -2 // configuration replaced after SIGHUP
	loggedReloadError = -3 // configuration rejected after SIGHUP
	loggedVRRPActive  = -4 // VRRP address acquired
)

const (
	badFile = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","indices":[],"servers":[],"settings":7}`
)

// faultyKey matches the log line with the error of each invalid configuration of these tests.
var faultyKey = regexp.MustCompile(`settings: want object|classes\[\d\]\.hard_limit_us: |permissions\.most_tries: `)

var fleetLogged = regexp.MustCompile(`event=fleet generation=(\d+)`)

var started = regexp.MustCompile(`event=start .*listen=(\S+) operator=(\S+)`)

func newWorld(t *testing.T, d dialect, passed bool) *world {
	w := prepare(t, d)
	if passed {
		w.passSocket()
	}
	w.start(d.config(t, w))
	return w
}

// passSocket opens the clients' listening socket, which start passes to every process.
func (w *world) passSocket() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	defer l.Close()
	if w.socket, err = l.(*net.TCPListener).File(); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { w.socket.Close() })
}

// prepare returns a world whose fake servers listen and whose program is not started.
func prepare(t *testing.T, d dialect) *world {
	w := &world{
		t: t, d: d, host: newHost(), classes: defaultClasses, maxAttempts: defaultMaxAttempts, handoverDir: t.TempDir(), sent: map[string][]byte{}, clients: map[string]*client{}, fleetChanges: make(chan string, 8),
		received: map[int]int{}, dropped: map[int]int{}, logged: map[int]int{},
	}
	w.changed = sync.NewCond(&w.mu)
	for i := range 4 {
		s := &fakeServer{name: fmt.Sprintf("s%d", i), cell: i}
		s.listen(w)
		w.servers = append(w.servers, s)
	}
	return w
}

// start starts the program and waits until it listens.
func (w *world) start(env []string) {
	t := w.t
	w.env = env
	cmd, exited := exec.Command(program), make(chan error, 1)
	if w.descriptors > 0 {
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %s", w.descriptors, program))
	}
	cmd.Env = append(append(os.Environ(), "LB_OPERATOR=", "TMPDIR="+w.handoverDir), env...)
	if w.socket != nil {
		cmd.ExtraFiles = []*os.File{w.socket}
		cmd.Env = append(cmd.Env, "LB_PASSED_SOCKET=3")
	}
	errs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	addresses, ended := make(chan []string, 1), make(chan struct{})
	go func() {
		defer close(ended)
		for lines := bufio.NewScanner(errs); lines.Scan(); {
			if m := started.FindStringSubmatch(lines.Text()); m != nil {
				addresses <- m
			}
			if strings.Contains(lines.Text(), "level=info event=vrrp_service address") {
				w.count(w.logged, loggedVRRPActive)
			}
			if strings.Contains(lines.Text(), "event=leaving") {
				w.count(w.logged, loggedLeaving)
			}
			if strings.Contains(lines.Text(), "event=reload kept=old") && faultyKey.MatchString(lines.Text()) {
				w.count(w.logged, loggedReloadError)
			} else if strings.Contains(lines.Text(), "event=reload") {
				w.count(w.logged, loggedReload)
			}
			if m := fleetLogged.FindStringSubmatch(lines.Text()); m != nil {
				n, _ := strconv.Atoi(m[1])
				w.count(w.logged, n)
			}
			if strings.Contains(lines.Text(), "panic") || strings.Contains(lines.Text(), "DATA RACE") ||
				strings.Contains(lines.Text(), "deadline guard") {
				t.Errorf("program logged a panic, data race or deadline guard message: %s", lines.Text())
			}
		}
	}()
	go func() { <-ended; exited <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill(); <-ended })
	select {
	case m := <-addresses:
		w.address, w.process = m[1], process{cmd, m[2], exited}
	case <-ended:
		t.Fatal("program exited before it served")
	case <-time.After(waitTimeout):
		t.Fatal("program did not serve in time")
	}
}

// processOf returns the process that a step refers to by its word i: "old" or the current one.
func (w *world) processOf(f []string, i int) process {
	if len(f) > i && f[i] == "old" {
		return w.replaced
	}
	return w.process
}

// handoverFileShows reports whether some process's handover file has the value n for what: open (open
// queries and parts), standby (1 or 0) or handed (labels of open queries).
func (w *world) handoverFileShows(what string, n int) bool {
	files, err := filepath.Glob(filepath.Join(w.handoverDir, "*.handover"))
	if err != nil {
		w.t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // removed since Glob
		}
		s, err := handover.Parse(text)
		if err == nil && (what == "open" && s.Open == n || what == "standby" && s.Standby == (n == 1) || what == "handed" && len(s.Labels) == n) {
			return true
		}
	}
	return false
}

// sendSIGHUP sends SIGHUP and waits until the program has logged event.
func (w *world) sendSIGHUP(event int) error {
	w.mu.Lock()
	before := w.logged[event]
	w.mu.Unlock()
	if err := w.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if !w.await(w.logged, event, before+1) {
		return fmt.Errorf("program did not log the expected reload after SIGHUP")
	}
	return nil
}

// call sends a command to the admin endpoint, byte by byte, and returns the response.
func (w *world) call(words string) string {
	conn := w.dialTo(w.admin)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitTimeout))
	for _, b := range []byte(words + "\n") {
		if _, err := conn.Write([]byte{b}); err != nil {
			break // an overlong line is rejected before its end
		}
	}
	answer, err := io.ReadAll(conn)
	if err != nil && len(answer) == 0 {
		return err.Error()
	}
	return string(answer)
}

func (w *world) dial() net.Conn { return w.dialTo(w.address) }

func (w *world) dialTo(address string) net.Conn {
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	return conn
}

// send writes a request on the client's connection and reads the response in the background.
func (w *world) send(name string, request []byte) {
	w.sent[name] = request
	c := w.clients[name]
	if c == nil {
		conn := w.dial()
		c = &client{conn: conn, r: bufio.NewReader(conn), outcomes: make(chan string, 1)}
		w.clients[name] = c
	}
	if _, err := c.conn.Write(request); err != nil {
		w.t.Fatalf("send %s: %v", name, err)
	}
	go func() {
		m, err := readMessage(c.conn, c.r, true)
		if err != nil {
			c.outcomes <- "no response: " + err.Error()
			return
		}
		c.closing = m.Close
		c.outcomes <- w.d.outcome(m)
	}()
}

func readMessage(conn net.Conn, r *bufio.Reader, response bool) (*http1.Message, error) {
	p := http1.Parser{Response: response}
	for {
		if m, err := p.Next(); m != nil || err != nil {
			return m, err
		}
		conn.SetReadDeadline(time.Now().Add(waitTimeout))
		b, err := r.ReadByte()
		if err != nil {
			return nil, err
		}
		p.Feed([]byte{b})
	}
}

func (w *world) health() string {
	conn := w.dial()
	defer conn.Close()
	conn.Write([]byte("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"))
	m, err := readMessage(conn, bufio.NewReader(conn), true)
	switch {
	case err != nil:
		return err.Error()
	case m.Status == 200:
		return "ready"
	case m.Status == 503:
		return "leaving"
	}
	return strconv.Itoa(m.Status)
}

// await waits until the count of a key is at least n, and returns false after the timeout.
func (w *world) await(of map[int]int, shard, n int) bool {
	timer := time.AfterFunc(waitTimeout, w.changed.Broadcast)
	defer timer.Stop()
	end := time.Now().Add(waitTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	for of[shard] < n {
		if !time.Now().Before(end) {
			return false
		}
		w.changed.Wait()
	}
	return true
}

var malformed = map[string]string{
	"bad-line":     "BOGUS\r\n\r\n",
	"no-host":      "GET /_health HTTP/1.1\r\n\r\n",
	"both-lengths": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"big-body":     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n",
	"big-head":     "GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 20000) + "\r\n\r\n",
	"half":         "POST / HTTP/1.1\r\nHost: x\r\nContent-",
	"negative":     "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
	"huge":         "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n",
	"sent-anyway":  "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 600000\r\n\r\n" + strings.Repeat("y", 600000),
	"control":      "GET / HTTP/1.1\r\nHost: x\r\nX: a\rContent-Length: 4\r\n\r\n",
	"bad-chunk":    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
}

// play runs a scenario and returns the outcomes of its queries, in the order of the expect steps.
func play(t *testing.T, d dialect, text string) []string {
	w := newWorld(t, d, strings.Contains(text, "\npassed\n"))
	var seen []string
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		f := strings.Fields(line)
		if len(f) == 0 {
			continue
		}
		if err := w.step(f, &seen); err != nil {
			t.Fatalf("line %d: %s: %v", i+1, line, err)
		}
	}
	return seen
}

func (w *world) step(f []string, seen *[]string) error {
	num := func(i int) int {
		n, err := strconv.Atoi(f[i])
		if err != nil {
			w.t.Fatalf("%v: %v", f, err)
		}
		return n
	}
	switch verb := f[0]; verb {
	case "only", "passed":
	case "replace":
		w.replaced = w.process
		w.start(w.env)
	case "junk":
		for name, text := range map[string]string{
			"1": "", "2": "{\"v\":1", "3": "{\"v\":2}", "4": "\x00",
			"5": `{"v":1,"name":"n0","at":-1,"sockets":-5,"open":1e300,"labels":7}`,
		} {
			if err := os.WriteFile(filepath.Join(w.handoverDir, "saffronquay-"+name+".handover"), []byte(text), 0o600); err != nil {
				return err
			}
		}
	case "twin":
		w.send(f[1], w.sent[f[2]])
	case "later": // accepted only after the other process has published that the first request ended
		for end := time.Now().Add(waitTimeout); ; time.Sleep(5 * time.Millisecond) {
			w.send(f[1], w.sent[f[2]])
			c := w.clients[f[1]]
			got := <-c.outcomes
			if got != "status 409" || time.Now().After(end) {
				c.outcomes <- got
				break
			}
			if c.closing {
				delete(w.clients, f[1])
			}
		}
	case "call":
		words, want, _ := strings.Cut(strings.Join(f[1:], " "), " = ")
		if got := w.call(words); !strings.HasPrefix(got, want) {
			return fmt.Errorf("admin endpoint responded %q", got)
		}
	case "callers":
		for range num(1) {
			fmt.Fprint(w.dialTo(w.admin), strings.Join(f[2:], " "))
		}
	case "server":
		for _, s := range w.servers {
			if f[1] == "*" || f[1] == s.name {
				s.set(w, f[2])
			}
		}
	case "fleet":
		w.fleetChanges <- strings.Join(f[1:], " ")
	case "send":
		var shards []int
		for _, s := range strings.Split(f[3], ",") {
			n, err := strconv.Atoi(s)
			if err != nil {
				return err
			}
			shards = append(shards, n)
		}
		ms := 3000
		if len(f) > 4 {
			ms = num(4)
		}
		w.send(f[1], w.d.request(f[2], shards, ms))
	case "idle":
		for range num(1) {
			w.dial()
		}
	case "conceal": // request smuggling: a valid request in the body of one with two lengths
		inner := w.d.request("once", []int{num(2)}, 3000)
		w.send(f[1], fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
			5+len(inner), inner))
	case "flood": // pipelined requests on one connection
		var all []byte
		for range num(3) {
			all = append(all, w.d.request("once", []int{num(2)}, 3000)...)
		}
		w.send(f[1], all)
	case "raw":
		if malformed[f[2]] == "" {
			return fmt.Errorf("unknown malformed request")
		}
		w.send(f[1], []byte(malformed[f[2]]))
	case "close":
		w.clients[f[1]].conn.Close()
	case "stop":
		// Signals are asynchronous: wait until the program has handled it before the next step.
		w.mu.Lock()
		before := w.logged[loggedLeaving]
		w.mu.Unlock()
		if err := w.processOf(f, 1).cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if !w.await(w.logged, loggedLeaving, before+1) {
			return fmt.Errorf("program did not log its shutdown after SIGTERM")
		}
	case "retune":
		before, tries, event := w.classes, w.maxAttempts, loggedReload
		w.classes, w.maxAttempts = nil, num(1)
		for _, text := range f[2:] {
			c := class{limit: 4_000_000}
			fields := strings.Split(text, ":")
			if c.name, c.effect = fields[0], fields[1]; len(fields) > 2 {
				c.limit, _ = strconv.Atoi(fields[2])
			}
			if w.classes = append(w.classes, c); c.limit <= 0 || w.maxAttempts <= 0 {
				event = loggedReloadError
			}
		}
		w.d.rewrite(w.t, w, nil)
		if event == loggedReloadError {
			w.classes, w.maxAttempts = before, tries
		}
		return w.sendSIGHUP(event)
	case "reload":
		event, removed := loggedReload, f[1:]
		if f[1] == "bad" {
			event = loggedReloadError
			if err := os.WriteFile(w.configFile, []byte(badFile), 0o600); err != nil {
				return err
			}
		} else {
			w.d.rewrite(w.t, w, removed)
		}
		return w.sendSIGHUP(event)
	case "wait":
		if f[1] == "handed" || f[1] == "open" || f[1] == "standby" {
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if w.handoverFileShows(f[1], num(2)) {
					return nil
				}
			}
			return fmt.Errorf("no handover file had this value in time")
		}
		if f[1] == "told" {
			f = []string{"wait", "shard", f[2], "told", "1"}
		}
		of := map[string]map[int]int{"received": w.received, "dropped": w.dropped, "told": w.logged}[f[3]]
		if !w.await(of, num(2), num(4)) {
			return fmt.Errorf("count was not reached in time")
		}
	case "expect":
		got, want := "", strings.Join(f[2:], " ")
		switch f[1] {
		case "shard":
			w.mu.Lock()
			got, want = strconv.Itoa(w.received[num(2)]), f[4]
			w.mu.Unlock()
		case "figure":
			want = fmt.Sprintf("\nsvc.%s:%s|", f[2], f[3])
			for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if got = "\n" + w.call("stats"); strings.Contains(got, want) && strings.HasSuffix(got, "\nEND\n") {
					return nil
				}
			}
		case "ready", "leaving":
			got, want = w.health(), f[1]
		case "exit":
			select {
			case err := <-w.processOf(f, 2).exited:
				got, want = fmt.Sprint(err), fmt.Sprint(error(nil))
			case <-time.After(waitTimeout):
				got = "still running"
			}
		default:
			if want == "closing" {
				if !w.clients[f[1]].closing {
					return fmt.Errorf("response does not close the connection")
				}
				return nil
			}
			if want == "ended" {
				c := w.clients[f[1]]
				c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
				if b, err := c.r.ReadByte(); err != io.EOF {
					return fmt.Errorf("read %q and error %v, want EOF", b, err) //nolint:errorlint // the error may be nil
				}
				return nil
			}
			select {
			case got = <-w.clients[f[1]].outcomes:
				*seen = append(*seen, f[1]+" "+got)
			case <-time.After(waitTimeout):
				got = "no response"
			}
		}
		if got != want {
			return fmt.Errorf("got %q", got)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios in testdata: %v", err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			results := map[string]string{}
			for name, d := range map[string]dialect{"platform": platformDialect{}, "opensearch": openSearchDialect{}} {
				if strings.Contains(string(text), "only ") && !strings.Contains(string(text), "only "+name) {
					continue
				}
				t.Run(name, func(t *testing.T) {
					results[name] = strings.Join(play(t, d, string(text)), "\n")
				})
			}
			if len(results) == 2 && results["platform"] != results["opensearch"] {
				t.Errorf("outcomes differ between the dialects: platform:\n%s\n--\nopensearch:\n%s", results["platform"], results["opensearch"])
			}
		})
	}
}

// class is one request class of the settings.
type class struct {
	name, effect string
	limit        int // microseconds
}

// defaultClasses and usualTries are the classes and the maximum attempts that a program starts with.
var defaultClasses = []class{{"safe", "free", 4_000_000}, {"once", "single_shot", 4_000_000}}

const defaultMaxAttempts = 2

// settings returns the settings of both dialects: four shards in four cells, each with two replicas.
func (w *world) settings() json.RawMessage {
	var classes []string
	for _, c := range w.classes {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"aim_us":2000000,"hard_limit_us":%d,"worth":1,"late_worth":0.5,"effect":%q,
   "repeat_window_us":5000000}`, c.name, c.limit, c.effect))
	}
	each := func(v string) string { return strings.Repeat(v+",", len(classes)-1) + v }
	return fmt.Appendf(nil, `{"me":0,"balancers":1,"zone":"a","period_us":5000,"membership_mode":"push","areas":["a"],
 "classes":[%s],
 "family_info":{"class_fetch":[%s],"class_partial":[%s],"floor_by_class":[%s],"whole_at":[%[4]s],
  "overhead_us":0,"parts_a_call":1,"positions":4,"reach":2,"shards":4},
 "permissions":{"max_open":12,"connect_timeout_us":250000,"idle_close_us":15000000,"streams_per_conn":32,
  "may_cancel":true,"most_tries":%[5]d,"second_copies":true,"retry_after":true,"max_retry_after_us":500000},
 "parties":[{"name":"desk","quota_per_s":100}],"over_share_worth":0.1,"prices":{"cross_zone":0},
 "rules":{"cold_share":0.2,"fall_multiple":2.5,"fall_us":1500000,"grace_to_answer_us":20000,
  "stop_sending_within_us":250000,"warm_within_us":14000000,"ask_within_us":10000000}}`,
		strings.Join(classes, ","), each("0"), each("0.9"), each("1"), w.maxAttempts)
}

func writeJSON(t *testing.T, w *world, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if w.configFile == "" {
		w.configFile = filepath.Join(t.TempDir(), "config.json")
	}
	if err := os.WriteFile(w.configFile, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
