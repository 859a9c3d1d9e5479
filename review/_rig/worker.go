//go:build review

package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is the stand-in of a model worker: it registers itself, takes orders, and answers requests
// with a series of events. It prints what it runs.
type worker struct {
	id, service, address, zone string
	controls                   []string
	models                     []string
	capacity, events           int
	pace                       time.Duration
	withoutLength              bool    // streams have no length and end with their connection
	breakOff                   float64 // share of streams that are broken off

	mu       sync.Mutex
	versions map[string]uint64
	loading  string
	orders   uint64
	running  int
}

// runWorker is the process of a worker.
func runWorker(arguments []string) error {
	w := &worker{versions: map[string]uint64{}}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.service, "service", "", "")
	flags.StringVar(&w.address, "address", "", "")
	flags.StringVar(&w.zone, "zone", "", "")
	flags.IntVar(&w.capacity, "capacity", 12, "")
	flags.IntVar(&w.events, "events", streamEvents, "events of an answer")
	flags.DurationVar(&w.pace, "pace", 20*time.Millisecond, "time for an event")
	flags.BoolVar(&w.withoutLength, "without-length", false, "")
	flags.Float64Var(&w.breakOff, "break-off", 0, "share of streams that are broken off")
	controls, models := flags.String("controls", "", ""), flags.String("models", "", "")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	w.controls, w.models = strings.Split(*controls, ","), strings.Split(*models, ",")
	for _, model := range w.models {
		w.versions[model] = 1
	}
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return err
	}
	go w.sendHeartbeats()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go w.serve(conn)
	}
}

// sendHeartbeats sends each heartbeat to one control address after another until one takes it.
func (w *worker) sendHeartbeats() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for sequence := 1; ; sequence++ {
		w.mu.Lock()
		models := []map[string]any{}
		for _, model := range w.models {
			models = append(models, map[string]any{"name": model, "version": w.versions[model], "adapters": []string{}})
		}
		w.mu.Unlock()
		body, err := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "capacity": w.capacity, "state": "ready",
			"coldRemainingMs": 0, "phase": "both", "models": models, "sequence": sequence,
		})
		if err != nil {
			panic(err)
		}
		for _, control := range w.controls {
			response, err := client.Post("http://"+control+"/api/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode/100 == 2 {
				break
			}
		}
		time.Sleep(heartbeatMS * time.Millisecond)
	}
}

// serve answers the requests of one connection, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(15 * time.Second)) // an idle connection is closed after a time
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !w.answer(conn, request, body) {
			return
		}
	}
}

// write sends a complete answer. It returns false if the connection has ended.
func write(conn net.Conn, status int, header map[string]string, body string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(conn, b.String())
	return err == nil
}

func (w *worker) answer(conn net.Conn, request *http.Request, body []byte) (keep bool) {
	id := request.Header.Get("Request-Id")
	notRun := map[string]string{"Not-Executed": "1"}
	if id != "" {
		notRun["Request-Id"] = id
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		return write(conn, http.StatusMisdirectedRequest, notRun, "")
	}
	switch request.URL.Path {
	case "/healthz":
		return write(conn, http.StatusOK, map[string]string{"Instance-Id": w.id}, "")
	case "/api/report":
		return write(conn, http.StatusOK, map[string]string{"Content-Type": "application/json"}, w.report())
	case "/api/order":
		return write(conn, w.order(body), nil, "{}")
	}
	if id == "" {
		return write(conn, http.StatusBadRequest, notRun, "")
	}
	model := request.Header.Get("Model")
	version, ok := w.admit(model)
	if !ok {
		return write(conn, http.StatusServiceUnavailable, notRun, "")
	}
	defer w.leave()
	if expected := request.Header.Get("Expect-Version"); expected != "" && expected != fmt.Sprint(version) {
		return write(conn, http.StatusMisdirectedRequest, notRun, "")
	}
	after, err := strconv.Atoi(request.Header.Get("Last-Event-Id")) // as usual: the value of the first such field
	if err != nil {
		after = 0
	}
	fmt.Printf("run %s %s last-event-id %q\n", id, request.URL.Path, request.Header.Values("Last-Event-Id"))
	events := w.events
	if request.Header.Get("Token-Usage") == longUsage {
		events = longEvents
	}
	return w.stream(conn, id, version, after, events)
}

// admit begins to run a request unless the worker is full or loads the model's weights.
func (w *worker) admit(model string) (version uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running >= w.capacity || w.loading != "" && w.loading == model {
		return 0, false
	}
	w.running++
	return max(w.versions[model], 1), true
}

func (w *worker) leave() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
}

// stream sends the events after the given one. Each event has two parts, one half of the pace apart.
func (w *worker) stream(conn net.Conn, id string, version uint64, after, events int) (keep bool) {
	framing := "Transfer-Encoding: chunked\r\n"
	if w.withoutLength {
		framing = "Connection: close\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\nWeight-Versions: %d\r\n%s\r\n", id, w.id, id, version, framing)
	send := func(text string) error {
		if w.withoutLength {
			_, err := io.WriteString(conn, text)
			return err
		}
		_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		return err
	}
	breakAt := 0
	if rand.Float64() < w.breakOff {
		breakAt = after + 2 + rand.IntN(max(events-after-2, 1))
	}
	for event := after + 1; event <= events; event++ {
		time.Sleep(w.pace / 2)
		if event == breakAt {
			fmt.Printf("break-off %s at %d\n", id, event)
			return false
		}
		if send(fmt.Sprintf("id: %d\ndata: to", event)) != nil {
			fmt.Printf("dropped %s at %d\n", id, event)
			return false
		}
		fmt.Printf("half %s %d\n", id, event)
		time.Sleep(w.pace / 2)
		if send(fmt.Sprintf("ken %d\n\n", event)) != nil {
			fmt.Printf("dropped %s at %d\n", id, event)
			return false
		}
	}
	fmt.Printf("done %s\n", id)
	if w.withoutLength {
		return false
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

func (w *worker) report() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	models := []string{}
	for _, model := range w.models {
		models = append(models, fmt.Sprintf(`{"name":%q,"version":%d,"adapters":[]}`, model, w.versions[model]))
	}
	return fmt.Sprintf(`{"phase":"both","models":[%s],"utilization":%v,"sequence":%d,"queued":0,"running":%d,"kvUsed":0,"kvCapacity":114776,"handles":0}`,
		strings.Join(models, ","), w.loading != "", w.orders, w.running)
}

// order takes an order to load weights and returns the status of the answer.
func (w *worker) order(body []byte) int {
	var order struct {
		Operation, Model, Holder string
		Version, Fence           uint64
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch err := json.Unmarshal(body, &order); {
	case err != nil || order.Operation != "version" || order.Holder == "" || order.Fence == 0:
		return http.StatusBadRequest
	case w.loading != "":
		return http.StatusConflict
	}
	w.orders++
	if w.versions[order.Model] == order.Version {
		return http.StatusOK
	}
	w.loading = order.Model
	time.AfterFunc(600*time.Millisecond, func() {
		w.mu.Lock()
		w.versions[order.Model], w.loading = order.Version, ""
		w.mu.Unlock()
	})
	return http.StatusAccepted
}

// workerProcess is a started worker.
type workerProcess struct {
	id    string
	cmd   *exec.Cmd
	lines chan string // what it prints, also noted in the record
}

// startWorker starts a worker on the given machine number, with the given options.
func (p *play) startWorker(id, service string, number int, zone string, options ...string) (*workerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	arguments := append([]string{
		"worker", "-id", id, "-service", service, "-address", fmt.Sprintf("%s.%d:8080", p.subnet, 100+number), "-zone", zone,
		"-controls", strings.Join(p.controls(), ","),
	}, options...)
	cmd := exec.Command(self, arguments...)
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	w := &workerProcess{id: id, cmd: cmd, lines: make(chan string, 100000)}
	p.workers = append(p.workers, w)
	go func() {
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			line := scanner.Text()
			if run, ok := strings.CutPrefix(line, "run "); ok {
				p.noteRun(strings.Fields(run)[0])
			}
			if !strings.HasPrefix(line, "half ") {
				p.note("worker %s: %s", id, line)
			}
			select {
			case w.lines <- line:
			default:
			}
		}
	}()
	return w, nil
}

// noteRun records that a worker has begun to run a request.
func (p *play) noteRun(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[id]++
}

// hasRun reports whether a worker has begun to run a request.
func (p *play) hasRun(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id] > 0
}

// workers is the number of workers, two in each zone.
const workers = 6

// startWorkers starts the workers of the model pool.
func (p *play) startWorkers(options ...string) error {
	for i := range workers {
		all := append([]string{"-models", "m0,m1"}, options...)
		if _, err := p.startWorker(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "escriba-pool", i, zones[i%len(zones)], all...); err != nil {
			return err
		}
	}
	return nil
}

// kill ends a worker as a crash does.
func (w *workerProcess) kill() {
	if w.cmd == nil {
		return
	}
	_ = w.cmd.Process.Kill() // fails if it has ended
	_ = w.cmd.Wait()         // the status after a signal does not matter
	w.cmd = nil
}
