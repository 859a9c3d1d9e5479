// Package endtoend tests the program as it is started, over loopback sockets, in both dialects. A scenario is
// a text of one step a line; the same text runs in each dialect and has to come out the same.
//
//	only DIALECT                      the scenario is not for the other one
//	passed                            as the first step: clients' socket is held by the test and passed on
//	replace                           the program is started once more, beside the one that runs; what follows is
//	                                  about the new one, and "old" means the other
//	junk                              what can't be read lies where the two tell each other how they stand
//	wait handed N                     until a process has told of N open queries
//	wait open N                       until a process has told of N open queries and parts
//	wait standby 1|0                  until a process has told that it is on standby, or not
//	twin Q P                          a client sends what P has sent, under the same id
//	call WORDS... = ANSWER            an operator calls; the answer begins like this
//	callers N TEXT                    so many operators connect, send so much, and stay
//	server NAME|* BEHAVIOUR           how a stand-in server treats calls from here on; hold keeps the answers
//	                                  back until the next one
//	fleet NAME STATE                  discovery tells of a server
//	fleet break                       discovery ends its watch without a word
//	send Q CLASS SHARDS [MS]          a client sends a query; shards in any order. The same Q again, once it
//	                                  has its answer, is sent on the same connection
//	idle N                            so many clients connect and send nothing
//	raw Q NAME                        a client sends one of the malformed requests
//	conceal Q SHARD                   a request that can be read in two ways, with a whole one in its body
//	flood Q SHARD N                   so many requests at once on one connection
//	close Q                           the client goes away
//	stop [old]                        SIGTERM to the program
//	reload bad | reload NAME...       SIGHUP, with a file that can't be used or one by which these servers are gone;
//	                                  discovery is then at another address, where versions begin anew
//	retune TRIES NAME:EFFECT[:LIMIT]...  SIGHUP, with these classes and most attempts; a faulty file where a deadline or
//	                                  the attempts are not above nought
//	wait shard S received|dropped N   until servers have seen so much
//	wait told N                       until the program has heard of discovery's version N
//	expect Q OUTCOME                  the one final answer of a query
//	expect Q closing                  its answer, which has come, ended the connection
//	expect Q ended                    its connection, once it has its answer
//	expect shard S received N         how many calls for a shard servers have seen in all
//	expect figure NAME N              what the program counts, once it has
//	expect ready|leaving|exit [old]   the program's health, or its orderly end
package endtoend

import (
	"bufio"
	"encoding/json"
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
	"syscall"
	"testing"
	"time"
)

const patience = 20 * time.Second // for what has to happen; no verdict hangs on how soon it does

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

// dialect is what differs between the two fronts for a test.
type dialect interface {
	// config writes the program's configuration and returns the environment that names it.
	config(t *testing.T, w *world) []string
	// rewrite writes the file anew, with a list that lacks some servers.
	rewrite(t *testing.T, w *world, gone []string)
	request(class string, shards []int, ms int) []byte
	// outcome reads an answer: "answered 0,2", "refused later", "refused", "failed" or "malformed STATUS".
	outcome(m *http1.Message) string
	serve(w *world, s *standIn, conn net.Conn)
}

// world is one run of the program with its stand-ins.
type world struct {
	t       *testing.T
	d       dialect
	servers []*standIn
	address string
	process
	old         process  // the one that was replaced
	env         []string // of the program
	socket      *os.File // passed to the program; nil where it opens its own
	clients     map[string]*client
	lists       chan string // changes that discovery has to tell
	file        string      // the program's configuration
	classes     []class     // in it
	tries       int
	shared      string            // directory of the two processes
	descriptors int               // that the program may open; 0: as many as this test
	sent        map[string][]byte // by client

	mu       sync.Mutex
	changed  *sync.Cond
	received map[int]int
	dropped  map[int]int
	told     map[int]int // by version of the list
}

// process is one start of the program.
type process struct {
	cmd    *exec.Cmd
	door   string // where operators call
	exited chan error
}

type client struct {
	conn    net.Conn
	r       *bufio.Reader
	got     chan string
	closing bool // by its last answer
}

func (w *world) count(of map[int]int, shard int) {
	w.mu.Lock()
	of[shard]++
	w.changed.Broadcast()
	w.mu.Unlock()
}

// standIn is one server: it serves, or treats calls in another way that a scenario names.
type standIn struct {
	name      string
	cell      int
	mu        sync.Mutex
	l         net.Listener
	address   string
	behaviour string
	changed   chan struct{} // closed when the behaviour changes
}

func (s *standIn) does() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour
}

// held waits until the server is told to do something else than hold its answer back.
func (s *standIn) held() string {
	for {
		s.mu.Lock()
		does, changed := s.behaviour, s.changed
		s.mu.Unlock()
		if does != "hold" {
			return does
		}
		<-changed
	}
}

func (s *standIn) set(w *world, behaviour string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = behaviour
	close(s.changed)
	s.changed = make(chan struct{})
	if behaviour == "down" {
		s.l.Close()
	}
}

func (s *standIn) listen(w *world) {
	// An address of this process's own: a port let go by "down" must stay closed, while other tests open ports beside this one.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
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

// These stand among the versions for word that the program has heard a signal.
const (
	leaving  = -1
	reloaded = -2
	keptOld  = -3
	active   = -4 // as a router
)

const (
	badFile = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:1","indices":[],"servers":[],"settings":7}`
)

// faultyKey is how the log names the fault of each bad file here.
var faultyKey = regexp.MustCompile(`settings: want object|classes\[\d\]\.hard_limit_us: |permissions\.most_tries: `)

var told = regexp.MustCompile(`event=fleet generation=(\d+)`)

var started = regexp.MustCompile(`event=start .*listen=(\S+) operator=(\S+)`)

func newWorld(t *testing.T, d dialect, passed bool) *world {
	w := prepare(t, d)
	if passed {
		w.pass()
	}
	w.start(d.config(t, w))
	return w
}

// pass has the clients' socket held here, and passed to every process.
func (w *world) pass() {
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

// prepare makes a world whose stand-ins listen and whose program is not started.
func prepare(t *testing.T, d dialect) *world {
	w := &world{
		t: t, d: d, classes: usual, tries: usualTries, shared: t.TempDir(), sent: map[string][]byte{}, clients: map[string]*client{}, lists: make(chan string, 8),
		received: map[int]int{}, dropped: map[int]int{}, told: map[int]int{},
	}
	w.changed = sync.NewCond(&w.mu)
	for i := range 4 {
		s := &standIn{name: fmt.Sprintf("s%d", i), cell: i}
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
	cmd.Env = append(append(os.Environ(), "LB_OPERATOR=", "TMPDIR="+w.shared), env...)
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
				w.count(w.told, active)
			}
			if strings.Contains(lines.Text(), "event=leaving") {
				w.count(w.told, leaving)
			}
			if strings.Contains(lines.Text(), "event=reload kept=old") && faultyKey.MatchString(lines.Text()) {
				w.count(w.told, keptOld)
			} else if strings.Contains(lines.Text(), "event=reload") {
				w.count(w.told, reloaded)
			}
			if m := told.FindStringSubmatch(lines.Text()); m != nil {
				n, _ := strconv.Atoi(m[1])
				w.count(w.told, n)
			}
			if strings.Contains(lines.Text(), "panic") || strings.Contains(lines.Text(), "DATA RACE") ||
				strings.Contains(lines.Text(), "deadline guard") {
				t.Errorf("the program said: %s", lines.Text())
			}
		}
	}()
	go func() { <-ended; exited <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill(); <-ended })
	select {
	case m := <-addresses:
		w.address, w.process = m[1], process{cmd, m[2], exited}
	case <-ended:
		t.Fatal("the program ended at its start")
	case <-time.After(patience):
		t.Fatal("the program did not start")
	}
}

// which is the process that a step means.
func (w *world) which(f []string, i int) process {
	if len(f) > i && f[i] == "old" {
		return w.old
	}
	return w.process
}

// handed tells that some process has told of so much.
func (w *world) handed(what string, n int) bool {
	files, err := filepath.Glob(filepath.Join(w.shared, "*.handover"))
	if err != nil {
		w.t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // it was taken back just now
		}
		s, err := handover.Parse(text)
		if err == nil && (what == "open" && s.Open == n || what == "standby" && s.Standby == (n == 1) || what == "handed" && len(s.Labels) == n) {
			return true
		}
	}
	return false
}

// hup sends SIGHUP and waits until the program has heard it.
func (w *world) hup(heard int) error {
	w.mu.Lock()
	before := w.told[heard]
	w.mu.Unlock()
	if err := w.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if !w.await(w.told, heard, before+1) {
		return fmt.Errorf("the program did not hear it")
	}
	return nil
}

// call has an operator call, byte by byte, and returns the answer.
func (w *world) call(words string) string {
	conn := w.dialTo(w.door)
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	for _, b := range []byte(words + "\n") {
		if _, err := conn.Write([]byte{b}); err != nil {
			break // a line that is too long is answered before its end
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
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	return conn
}

// send writes a request on its client's connection and reads the answer in the background.
func (w *world) send(name string, request []byte) {
	w.sent[name] = request
	c := w.clients[name]
	if c == nil {
		conn := w.dial()
		c = &client{conn: conn, r: bufio.NewReader(conn), got: make(chan string, 1)}
		w.clients[name] = c
	}
	if _, err := c.conn.Write(request); err != nil {
		w.t.Fatalf("send %s: %v", name, err)
	}
	go func() {
		m, err := readMessage(c.conn, c.r, true)
		if err != nil {
			c.got <- "no answer: " + err.Error()
			return
		}
		c.closing = m.Close
		c.got <- w.d.outcome(m)
	}()
}

func readMessage(conn net.Conn, r *bufio.Reader, response bool) (*http1.Message, error) {
	p := http1.Parser{Response: response}
	for {
		if m, err := p.Next(); m != nil || err != nil {
			return m, err
		}
		conn.SetReadDeadline(time.Now().Add(patience))
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

// await waits until a count is reached.
func (w *world) await(of map[int]int, shard, n int) bool {
	timer := time.AfterFunc(patience, w.changed.Broadcast)
	defer timer.Stop()
	end := time.Now().Add(patience)
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

// play runs a scenario and returns what its queries came to.
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
		w.old = w.process
		w.start(w.env)
	case "junk":
		for name, text := range map[string]string{
			"1": "", "2": "{\"v\":1", "3": "{\"v\":2}", "4": "\x00",
			"5": `{"v":1,"name":"n0","at":-1,"sockets":-5,"open":1e300,"labels":7}`,
		} {
			if err := os.WriteFile(filepath.Join(w.shared, "saffronquay-"+name+".handover"), []byte(text), 0o600); err != nil {
				return err
			}
		}
	case "twin":
		w.send(f[1], w.sent[f[2]])
	case "later": // the twin is taken once the other process has told that the first one has ended
		for end := time.Now().Add(patience); ; time.Sleep(5 * time.Millisecond) {
			w.send(f[1], w.sent[f[2]])
			c := w.clients[f[1]]
			got := <-c.got
			if got != "status 409" || time.Now().After(end) {
				c.got <- got
				break
			}
			if c.closing {
				delete(w.clients, f[1])
			}
		}
	case "call":
		words, want, _ := strings.Cut(strings.Join(f[1:], " "), " = ")
		if got := w.call(words); !strings.HasPrefix(got, want) {
			return fmt.Errorf("got %q", got)
		}
	case "callers":
		for range num(1) {
			fmt.Fprint(w.dialTo(w.door), strings.Join(f[2:], " "))
		}
	case "server":
		for _, s := range w.servers {
			if f[1] == "*" || f[1] == s.name {
				s.set(w, f[2])
			}
		}
	case "fleet":
		w.lists <- strings.Join(f[1:], " ")
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
	case "conceal": // a whole request in the body of one whose length can be read in two ways
		inner := w.d.request("once", []int{num(2)}, 3000)
		w.send(f[1], fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s",
			5+len(inner), inner))
	case "flood": // many requests on one connection, without waiting for answers
		var all []byte
		for range num(3) {
			all = append(all, w.d.request("once", []int{num(2)}, 3000)...)
		}
		w.send(f[1], all)
	case "raw":
		if malformed[f[2]] == "" {
			return fmt.Errorf("unknown request")
		}
		w.send(f[1], []byte(malformed[f[2]]))
	case "close":
		w.clients[f[1]].conn.Close()
	case "stop":
		// A signal takes its time: what follows is about a program that has heard it.
		w.mu.Lock()
		before := w.told[leaving]
		w.mu.Unlock()
		if err := w.which(f, 1).cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if !w.await(w.told, leaving, before+1) {
			return fmt.Errorf("the program did not hear it")
		}
	case "retune":
		before, tries, heard := w.classes, w.tries, reloaded
		w.classes, w.tries = nil, num(1)
		for _, text := range f[2:] {
			c := class{limit: 4_000_000}
			fields := strings.Split(text, ":")
			if c.name, c.effect = fields[0], fields[1]; len(fields) > 2 {
				c.limit, _ = strconv.Atoi(fields[2])
			}
			if w.classes = append(w.classes, c); c.limit <= 0 || w.tries <= 0 {
				heard = keptOld
			}
		}
		w.d.rewrite(w.t, w, nil)
		if heard == keptOld {
			w.classes, w.tries = before, tries
		}
		return w.hup(heard)
	case "reload":
		heard, gone := reloaded, f[1:]
		if f[1] == "bad" {
			heard = keptOld
			if err := os.WriteFile(w.file, []byte(badFile), 0o600); err != nil {
				return err
			}
		} else {
			w.d.rewrite(w.t, w, gone)
		}
		return w.hup(heard)
	case "wait":
		if f[1] == "handed" || f[1] == "open" || f[1] == "standby" {
			for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if w.handed(f[1], num(2)) {
					return nil
				}
			}
			return fmt.Errorf("it never came to that")
		}
		if f[1] == "told" {
			f = []string{"wait", "shard", f[2], "told", "1"}
		}
		of := map[string]map[int]int{"received": w.received, "dropped": w.dropped, "told": w.told}[f[3]]
		if !w.await(of, num(2), num(4)) {
			return fmt.Errorf("it never came to that")
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
			for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				if got = "\n" + w.call("stats"); strings.Contains(got, want) && strings.HasSuffix(got, "\nEND\n") {
					return nil
				}
			}
		case "ready", "leaving":
			got, want = w.health(), f[1]
		case "exit":
			select {
			case err := <-w.which(f, 2).exited:
				got, want = fmt.Sprint(err), fmt.Sprint(error(nil))
			case <-time.After(patience):
				got = "still running"
			}
		default:
			if want == "closing" {
				if !w.clients[f[1]].closing {
					return fmt.Errorf("its answer keeps the connection")
				}
				return nil
			}
			if want == "ended" {
				c := w.clients[f[1]]
				c.conn.SetReadDeadline(time.Now().Add(patience))
				if b, err := c.r.ReadByte(); err != io.EOF {
					return fmt.Errorf("got %q and %v, not the end", b, err) //nolint:errorlint // the error may be nil
				}
				return nil
			}
			select {
			case got = <-w.clients[f[1]].got:
				*seen = append(*seen, f[1]+" "+got)
			case <-time.After(patience):
				got = "no answer"
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
		t.Fatalf("no scenarios: %v", err)
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
				t.Errorf("the dialects differ:\n%s\n--\n%s", results["platform"], results["opensearch"])
			}
		})
	}
}

// class is one class of the settings.
type class struct {
	name, effect string
	limit        int // microseconds
}

// The classes and the most attempts that a program starts with.
var usual = []class{{"safe", "free", 4_000_000}, {"once", "single_shot", 4_000_000}}

const usualTries = 2

// settings are those of both dialects: four shards in four cells, each held by two.
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
		strings.Join(classes, ","), each("0"), each("0.9"), each("1"), w.tries)
}

func writeJSON(t *testing.T, w *world, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if w.file == "" {
		w.file = filepath.Join(t.TempDir(), "config.json")
	}
	if err := os.WriteFile(w.file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
