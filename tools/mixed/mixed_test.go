//go:build mixed

// Package mixed tests two builds of saffronquay-system in one deployment on loopback, and the newer
// build on data of the older one. tools/mixed.sh runs it.
package mixed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Settings of the deployment. Each machine has its own loopback address.
const (
	firstPort     = 27380
	lastPort      = 27395
	controlPort   = 28144
	frontendPort  = 28149
	readinessPort = 28141
	waitLimit     = 40 * time.Second // bounds each wait for a state
	pollInterval  = 50 * time.Millisecond
	callTimeout   = 3 * time.Second
	serviceHost   = "trainer.example"
	model         = "model-1"
	service       = "workers-1"
)

// machine is one machine of the deployment and the processes that run on it.
type machine struct {
	name, class, ip, dir string
	roles                []string
	processes            []*exec.Cmd
	logs                 []string
}

// deployment is a deployment of three controllers, three storage machines and two edge machines.
type deployment struct {
	t        *testing.T
	machines []*machine
	seeds    []string
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t}
	add := func(class string, number int, roles ...string) {
		number++
		m := &machine{name: fmt.Sprintf("%s-%d", class, number), class: class, roles: roles}
		m.ip = fmt.Sprintf("127.71.%d.%d", map[string]int{"core": 1, "storage": 2, "edge": 3}[class], number)
		m.dir = filepath.Join(t.TempDir(), m.name)
		if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
			t.Fatal(err)
		}
		d.machines = append(d.machines, m)
	}
	for i := range 3 {
		add("core", i, "steward")
		d.seeds = append(d.seeds, fmt.Sprintf("127.71.1.%d:%d", i+1, controlPort))
	}
	for i := range 3 {
		add("storage", i, "store")
	}
	for i := range 2 {
		add("edge", i, "agent", "proxy")
	}
	for _, m := range d.machines {
		d.writeSettings(m)
	}
	t.Cleanup(func() {
		for _, m := range d.machines {
			m.stop(syscall.SIGKILL)
		}
	})
	return d
}

func (d *deployment) machine(name string) *machine {
	return d.machines[slices.IndexFunc(d.machines, func(m *machine) bool { return m.name == name })]
}

// writeSettings writes the settings file of a machine in the format of the operator documentation.
func (d *deployment) writeSettings(m *machine) {
	d.t.Helper()
	serves := map[string]string{"core": "control_plane", "storage": "storage", "edge": "edge"}[m.class]
	var text strings.Builder
	fmt.Fprintf(&text, "nodeName = %q\nrole = %q\nmachineClass = %q\nserves = [%q]\nip = %q\nzone = \"a\"\nregion = \"r\"\n", m.name, m.class, m.class, serves, m.ip)
	fmt.Fprintf(&text, "portRange = [%d,%d]\nseeds = [\"%s\"]\nbootstrap = true\ncountsForQuorum = %v\nheartbeatMs = 500\n", firstPort, lastPort, strings.Join(d.seeds, `","`), m.class != "edge")
	if m.class != "edge" {
		fmt.Fprintf(&text, "dataDir = %q\n", filepath.Join(m.dir, "data"))
	}
	text.WriteString("[zones]\na = \"r\"\n[listen]\n")
	switch m.class {
	case "core":
		fmt.Fprintf(&text, "controlPlane = \"%s:%d\"\n", m.ip, controlPort)
	case "edge":
		fmt.Fprintf(&text, "frontend = \"%s:%d\"\nreadiness = \"%s:%d\"\n", m.ip, frontendPort, m.ip, readinessPort)
	}
	text.WriteString("[limits]\nmemoryMb = 256\ndiskMb = 64\n[faultTolerance]\nmachines = 1\n[bounds]\ngraceS = 5\nstatusIntervalS = 120\nfencing = true\nleaseMs = 1000\n")
	if err := os.WriteFile(filepath.Join(m.dir, "settings.toml"), []byte(text.String()), 0o600); err != nil {
		d.t.Fatal(err)
	}
}

// start starts the machine's roles with a build of the program, in dependency order.
func (d *deployment) start(m *machine, program string) {
	d.t.Helper()
	for _, role := range m.roles {
		path := filepath.Join(m.dir, fmt.Sprintf("%s-%d.log", role, len(m.logs)))
		log, err := os.Create(path)
		if err != nil {
			d.t.Fatal(err)
		}
		cmd := exec.Command(program, "--settings", filepath.Join(m.dir, "settings.toml"), "--log-level", "info", role)
		cmd.Stderr, cmd.Stdout = log, log
		err = cmd.Start()
		log.Close()
		if err != nil {
			d.t.Fatal(err)
		}
		m.processes, m.logs = append(m.processes, cmd), append(m.logs, path)
	}
}

// stop sends a signal to the machine's processes and waits for their exit.
func (m *machine) stop(signal syscall.Signal) {
	for _, process := range m.processes {
		_ = process.Process.Signal(signal) // fails if the process has exited
	}
	for _, process := range m.processes {
		_ = process.Wait() // the exit status after a signal is irrelevant
	}
	m.processes = nil
}

// restart stops a machine's processes and starts a build of the program on the same data.
func (d *deployment) restart(name, program string, signal syscall.Signal) {
	d.t.Helper()
	m := d.machine(name)
	m.stop(signal)
	d.start(m, program)
}

// await polls a condition until it returns nil, and fails the test after waitLimit. what names the
// condition.
func (d *deployment) await(what string, condition func() error) {
	d.t.Helper()
	began := time.Now()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := condition()
		if err == nil {
			d.t.Logf("%s after %.2f s", what, time.Since(began).Seconds())
			return
		}
		if time.Since(began) > waitLimit {
			for _, m := range d.machines {
				for _, path := range m.logs {
					text, _ := os.ReadFile(path)
					d.t.Logf("%s: %s", path, text[max(0, len(text)-1500):])
				}
			}
			d.t.Fatalf("%s: not reached within %v: %v", what, waitLimit, err)
		}
		<-ticker.C
	}
}

var client = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one HTTP request and returns the status and body of the response.
func call(method, address, path string, header map[string]string, body []byte) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
		}
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

func control(m *machine) string  { return fmt.Sprintf("%s:%d", m.ip, controlPort) }
func frontend(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, frontendPort) }

// configuration returns a configuration document with a route for batch jobs and their items, and one
// for plain requests below prefix.
func configuration(version int, prefix string) []byte {
	route := func(name, path, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": serviceHost, "pathPrefix": path, "type": kind, "timeoutMs": 5000, "targetLatencyMs": 200, "priority": 1,
			"service": service, "maxAttempts": 4, "maxQueueS": 60, "deadlineMs": 60000, "resumable": true,
		}
	}
	document, err := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("jobs", "/jobs/", "deployment"), route("plain", prefix, "idempotent")},
		"services": []any{map[string]any{
			"name": service, "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": false,
			"engine": map[string]any{"capacity": 8, "kvCacheTokens": 100000, "kvTokenBytes": 1000, "linkMbps": 1000.0, "stride": 10, "models": []any{map[string]any{"name": model}}},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // unreachable: every value can be encoded
	}
	return document
}

// replace replaces the configuration through the controller at, and waits until both edge machines
// serve its plain route.
func (d *deployment) replace(at string, base, version int, prefix string) {
	d.t.Helper()
	document := configuration(version, prefix)
	d.await(fmt.Sprintf("configuration %d accepted by %s", version, at), func() error {
		status, text, err := call(http.MethodPost, control(d.machine(at)), "/api/Config.Replace",
			map[string]string{"Base-Version": fmt.Sprint(base), "Content-Type": "application/json"}, document)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, text)
		}
		return nil
	})
	for _, edge := range []string{"edge-1", "edge-2"} {
		d.await(fmt.Sprintf("configuration %d in effect at %s", version, edge), func() error { return d.plain(edge, prefix) })
	}
}

// plain sends a request on the plain route through an edge machine.
func (d *deployment) plain(edge, prefix string) error {
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	status, text, err := call(http.MethodPost, frontend(d.machine(edge)), prefix+"x", map[string]string{"Host": serviceHost, "Request-Id": id, "Deadline-Ms": "2000"}, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK || text != "plain "+id {
		return fmt.Errorf("status %d: %q", status, text)
	}
	return nil
}

// submit submits a batch job through an edge machine.
func (d *deployment) submit(edge, job string, items int) {
	d.t.Helper()
	var requests []any
	for i := range items {
		requests = append(requests, map[string]any{
			"id": fmt.Sprintf("%s%04x", job, i), "path": fmt.Sprintf("/jobs/%d", i), "body": []byte{1, 2, 3}, "tokens": 40,
			"headers": map[string]string{"Model": model, "Token-Usage": "20,20"}, "group": fmt.Sprintf("g%d", i/2),
		})
	}
	body, err := json.Marshal(map[string]any{"step": 1, "model": model, "minVersion": 1, "desired": items / 2, "requests": requests})
	if err != nil {
		d.t.Fatal(err)
	}
	d.await(fmt.Sprintf("batch job %s accepted by %s", job, edge), func() error {
		status, text, err := call(http.MethodPost, frontend(d.machine(edge)), "/jobs/"+job,
			map[string]string{"Host": serviceHost, "Request-Id": job, "Content-Type": "application/json"}, body)
		if err != nil {
			return err
		}
		if status != http.StatusAccepted {
			return fmt.Errorf("status %d: %s", status, text)
		}
		return nil
	})
}

// page is a page of a batch job's results.
type page struct {
	Total   int `json:"total"`
	Results []struct {
		ID             string   `json:"id"`
		State          string   `json:"state"`
		Text           string   `json:"text"`
		WeightVersions []uint64 `json:"weightVersions"`
	} `json:"results"`
}

// results waits until an edge machine lists all items of a batch job as completed, and returns the raw
// body of its response.
func (d *deployment) results(edge, job string, items int) (text string) {
	d.t.Helper()
	d.await(fmt.Sprintf("results of batch job %s at %s", job, edge), func() error {
		status, body, err := call(http.MethodGet, frontend(d.machine(edge)), "/api/lots/"+job+"?after=0", map[string]string{"Host": serviceHost}, nil)
		if err != nil {
			return err
		}
		if status != http.StatusOK {
			return fmt.Errorf("status %d: %s", status, body)
		}
		var read page
		if err := json.Unmarshal([]byte(body), &read); err != nil {
			return err
		}
		seen := map[string]bool{}
		for _, result := range read.Results {
			if result.State != "completed" || result.Text != "first "+result.ID+"\nlast" || seen[result.ID] {
				return fmt.Errorf("result %+v", result)
			}
			seen[result.ID] = true
		}
		if read.Total != items || len(seen) != items {
			return fmt.Errorf("%d of %d results", len(seen), items)
		}
		text = body
		return nil
	})
	return text
}

// registerVersion registers a version of the weights through the controller at.
func (d *deployment) registerVersion(at string, version int) {
	d.t.Helper()
	d.await(fmt.Sprintf("weight version %d registered through %s", version, at), func() error {
		status, text, err := call(http.MethodPost, control(d.machine(at)), "/api/version-put",
			map[string]string{"Content-Type": "application/json"}, fmt.Appendf(nil, `{"model":%q,"version":%d}`, model, version))
		if err == nil && status/100 != 2 {
			err = fmt.Errorf("status %d: %s", status, text)
		}
		return err
	})
}

// leaderLogLine matches the log line of a controller that became the leader of the group directory.
var leaderLogLine = regexp.MustCompile(`group=directory epoch=(\d+) .*self=true`)

// leader returns the machine that became the leader of the group directory last, and its epoch.
func (d *deployment) leader() (name string, epoch int) {
	for _, m := range d.machines {
		for _, path := range m.logs {
			text, err := os.ReadFile(path)
			if err != nil {
				continue
			}
			for _, match := range leaderLogLine.FindAllStringSubmatch(string(text), -1) {
				var at int
				if _, err := fmt.Sscan(match[1], &at); err == nil && at > epoch {
					name, epoch = m.name, at
				}
			}
		}
	}
	return name, epoch
}

// worker is a fake model worker: it sends heartbeats to the controllers and serves plain requests,
// batch items, reports and orders.
type worker struct {
	d       *deployment
	id      string
	address string
	mu      sync.Mutex
	version uint64
	orders  uint64
}

func (d *deployment) newWorker(id string) *worker {
	d.t.Helper()
	listener, err := net.Listen("tcp", "127.71.4.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	w := &worker{d: d, id: id, address: listener.Addr().String(), version: 1}
	server := &http.Server{Handler: w, ReadHeaderTimeout: callTimeout}
	var owned sync.WaitGroup
	owned.Go(func() { _ = server.Serve(listener) }) // returns when the server is closed
	stop := make(chan struct{})
	owned.Go(func() { w.sendHeartbeats(stop) })
	d.t.Cleanup(func() {
		close(stop)
		_ = server.Close()
		owned.Wait()
	})
	return w
}

// sendHeartbeats sends a heartbeat every half second to the first controller that accepts it.
func (w *worker) sendHeartbeats(stop <-chan struct{}) {
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		w.mu.Lock()
		body := fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":"v1","capacity":8,"state":"ready","coldRemainingMs":0,"phase":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"sequence":%d}`,
			service, w.address, model, w.version, sequence)
		w.mu.Unlock()
		for _, seed := range w.d.seeds {
			status, _, err := call(http.MethodPost, seed, "/api/Instances.Heartbeat/"+w.id, map[string]string{"Content-Type": "application/json"}, body)
			if err == nil && status == http.StatusOK {
				break
			}
		}
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func (w *worker) ServeHTTP(answer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	answer.Header().Set("Instance-Id", w.id)
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		answer.Header().Set("Not-Executed", "1")
		answer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case request.URL.Path == "/healthz":
	case request.URL.Path == "/api/report":
		fmt.Fprintf(answer, `{"phase":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"utilization":false,"sequence":%d,"queued":0,"running":0,"kvUsed":0,"kvCapacity":100000,"handles":0}`, model, w.version, w.orders)
	case request.URL.Path == "/api/order":
		w.order(answer, body)
	default:
		w.run(answer, request)
	}
}

// order handles an order to load weights: it sets the loaded version immediately.
func (w *worker) order(answer http.ResponseWriter, body []byte) {
	var order struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal(body, &order); err != nil {
		answer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.orders++
	w.version = order.Version
	answer.WriteHeader(http.StatusAccepted)
}

// run responds to a plain request with its id, and to a batch item with a stream of two events.
func (w *worker) run(answer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	answer.Header().Set("Request-Id", id)
	answer.Header().Set("Response-Stamp", "1.1."+id)
	answer.Header().Set("Weight-Versions", fmt.Sprint(w.version))
	if !strings.HasPrefix(request.URL.Path, "/jobs/") {
		fmt.Fprintf(answer, "plain %s", id)
		return
	}
	answer.Header().Set("Content-Type", "text/event-stream")
	if request.Header.Get("Last-Event-Id") != "1" {
		fmt.Fprintf(answer, "id: 1\ndata: first %s\n\n", id)
	}
	fmt.Fprint(answer, "id: 2\ndata: last\n\n")
}

func (w *worker) loaded() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

// builds returns the paths of the two builds, which tools/mixed.sh passes in the environment.
func builds(t *testing.T) (older, newer string) {
	t.Helper()
	older, newer = os.Getenv("MIXED_OLD"), os.Getenv("MIXED_NEW")
	if older == "" || newer == "" {
		t.Fatal(errors.New("MIXED_OLD and MIXED_NEW must be paths of two builds of saffronquay-system: run tools/mixed.sh, which sets them"))
	}
	return older, newer
}

// All machines run the older build; then all are killed and restarted with the newer build on the same
// settings and data. Configuration, results, weight versions and routing to the worker must be
// unchanged.
func TestUpgrade_NewerBuildOnOlderData(t *testing.T) {
	is := is.New(t)
	older, newer := builds(t)
	d := newDeployment(t)
	w := d.newWorker("i-0001")
	for _, m := range d.machines {
		d.start(m, older)
	}
	d.replace("core-1", 0, 1, "/plain-a/")
	d.submit("edge-1", "7c41e09b52d6a301", 6)
	results := d.results("edge-2", "7c41e09b52d6a301", 6)
	d.registerVersion("core-2", 2)
	d.await("version 2 loaded", func() error { return w.want(2) })
	_, before, err := call(http.MethodGet, control(d.machine("core-3")), "/api/Config.Get", nil, nil)
	is.NoErr(err)
	_, oldEpoch := d.leader()

	for _, m := range d.machines {
		m.stop(syscall.SIGKILL)
	}
	for _, m := range d.machines {
		d.start(m, newer)
	}
	d.await("unchanged configuration read from the newer build", func() error {
		status, after, err := call(http.MethodGet, control(d.machine("core-1")), "/api/Config.Get", nil, nil)
		if err == nil && (status != http.StatusOK || after != before) {
			err = fmt.Errorf("status %d: %s, want %s", status, after, before)
		}
		return err
	})
	is.Equal(d.results("edge-1", "7c41e09b52d6a301", 6), results)
	d.await("requests through the newer build", func() error { return d.plain("edge-2", "/plain-a/") })
	d.replace("core-3", 1, 2, "/plain-b/")
	d.submit("edge-2", "7c41e09b52d6a302", 6)
	d.results("edge-1", "7c41e09b52d6a302", 6)
	d.registerVersion("core-1", 3)
	d.await("version 3 loaded", func() error { return w.want(3) })
	name, epoch := d.leader()
	t.Logf("directory: epoch %d before, %d after at %s", oldEpoch, epoch, name)
	is.True(epoch > oldEpoch)
}

// Both builds run each role in one deployment. Configuration changes and batch jobs must work through
// machines of either build, while leadership of the group directory moves to the other build and back,
// after SIGKILL and after SIGTERM.
func TestMixedVersions_LeaderChanges(t *testing.T) {
	is := is.New(t)
	older, newer := builds(t)
	d := newDeployment(t)
	w := d.newWorker("i-0002")
	program := map[string]string{
		"core-1": older, "core-2": newer, "core-3": older, "storage-1": newer, "storage-2": older, "storage-3": newer, "edge-1": older, "edge-2": newer,
	}
	label := map[string]string{older: "older", newer: "newer"}
	for _, m := range d.machines {
		d.start(m, program[m.name])
	}
	version := 1
	change := func(at string) {
		d.replace(at, version-1, version, fmt.Sprintf("/plain-%d/", version))
		version++
	}
	change("core-1")
	change("core-2")
	d.submit("edge-1", "7c41e09b52d6a311", 8)
	first := d.results("edge-2", "7c41e09b52d6a311", 8)
	is.Equal(d.results("edge-1", "7c41e09b52d6a311", 8), first)
	d.submit("edge-2", "7c41e09b52d6a312", 8)
	d.results("edge-1", "7c41e09b52d6a312", 8)
	d.registerVersion("core-3", 2)
	d.await("version 2 loaded", func() error { return w.want(2) })

	crossings := map[string]bool{}
	for round, signal := range []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM, syscall.SIGKILL, syscall.SIGTERM, syscall.SIGKILL, syscall.SIGTERM} {
		name, epoch := d.leader()
		m := d.machine(name)
		m.stop(signal)
		var next string
		d.await("another leader of the directory", func() error {
			to, at := d.leader()
			if at <= epoch || to == name {
				return fmt.Errorf("epoch %d at %s", at, to)
			}
			next = to
			return nil
		})
		crossing := label[program[name]] + " to " + label[program[next]]
		crossings[crossing] = true
		t.Logf("round %d: %v ended the leader %s, %s leads: %s", round, signal, name, next, crossing)
		change(next)
		d.start(m, program[name])
		change(name)
		if crossings["older to newer"] && crossings["newer to older"] {
			break
		}
		// Leadership stayed on the same build: switch the restarted machine to the other build, so that
		// it crosses builds in one of the next rounds.
		if label[program[name]] == label[program[next]] {
			program[name] = map[string]string{older: newer, newer: older}[program[name]]
			d.restart(name, program[name], syscall.SIGTERM)
			change(name)
		}
	}
	is.True(crossings["older to newer"])
	is.True(crossings["newer to older"])
	d.submit("edge-1", "7c41e09b52d6a313", 8)
	d.results("edge-2", "7c41e09b52d6a313", 8)
	is.Equal(d.results("edge-2", "7c41e09b52d6a311", 8), first)
}

// want returns an error until the worker has loaded a version.
func (w *worker) want(version uint64) error {
	if got := w.loaded(); got != version {
		return fmt.Errorf("version %d, want %d", got, version)
	}
	return nil
}
