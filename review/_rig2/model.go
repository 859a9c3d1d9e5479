package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// modelPool is what the model workers of a scene share: the runs of items, and how they answer.
type modelPool struct {
	r      *record
	events int           // of a text
	pause  time.Duration // between two events
	// before is called before a run; it may answer by itself, and then returns true.
	before func(w *worker, conn net.Conn, q *request) (answered bool)

	mu       sync.Mutex
	versions map[string]int // by worker
	orders   map[string]int
	fences   map[string]int
	runs     map[string][]string // by item: the workers that have begun it
	whole    map[string]int      // by item: how often a worker has sent its last event
}

func newModelPool(r *record, events int, pause time.Duration) *modelPool {
	return &modelPool{r: r, events: events, pause: pause, versions: map[string]int{}, orders: map[string]int{}, fences: map[string]int{}, runs: map[string][]string{}, whole: map[string]int{}}
}

const modelName = "daka510000"

const modelList = `[{"name":"` + modelName + `","version":1,"adapters":[]}]`

// eventData is the data of an event of an item's text.
func eventData(item string, event int) string { return fmt.Sprintf("%s piece %d", item, event) }

// wholeText is the text of an item as it is listed.
func (p *modelPool) wholeText(item string) string {
	var pieces []string
	for n := range p.events {
		pieces = append(pieces, eventData(item, n+1))
	}
	return strings.Join(pieces, "\n")
}

func (p *modelPool) serve(w *worker, conn net.Conn, q *request) bool {
	switch {
	case q.path == "/healthz":
		w.reply(conn, 200, "", "", "")
		return true
	case q.path == "/api/report":
		p.mu.Lock()
		text := fmt.Sprintf(`{"phase":"both","models":[{"name":%q,"version":%d,"adapters":[]}],"utilization":false,"sequence":%d,"queued":0,"running":0,"kvUsed":0,"kvCapacity":100000,"handles":0}`, modelName, max(p.versions[w.id], 1), p.orders[w.id])
		p.mu.Unlock()
		w.reply(conn, 200, "", text, "Content-Type: application/json\r\n")
		return true
	case q.path == "/api/order":
		var order struct {
			Version int    `json:"version"`
			Fence   int    `json:"fence"`
			Holder  string `json:"holder"`
		}
		_ = json.Unmarshal(q.body, &order)
		p.mu.Lock()
		status := 202
		if order.Fence < p.fences[w.id] {
			status = 412
		} else {
			p.fences[w.id] = order.Fence
			p.versions[w.id] = order.Version
			p.orders[w.id]++
		}
		p.mu.Unlock()
		p.r.write("order", "worker", w.id, "version", order.Version, "holder", order.Holder, "fence", order.Fence, "status", status)
		w.reply(conn, status, "", "", "")
		return true
	}
	if p.before != nil && p.before(w, conn, q) {
		return true
	}
	return p.generate(w, conn, q)
}

// generate runs an item: it sends its events in chunks.
func (p *modelPool) generate(w *worker, conn net.Conn, q *request) bool {
	first := number(q.header.Get("Last-Event-Id")) + 1
	p.mu.Lock()
	p.runs[q.id] = append(p.runs[q.id], w.id)
	version := max(p.versions[w.id], 1)
	p.mu.Unlock()
	p.r.write("run", "item", q.id, "worker", w.id, "from", first)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nResponse-Stamp: %s.%s\r\nWeight-Versions: %d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.id, w.id, w.id, q.id, version)
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	for n := first; n <= p.events; n++ {
		time.Sleep(p.pause)
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(q.id, n))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	p.mu.Lock()
	p.whole[q.id]++
	p.mu.Unlock()
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// engineService is a service with a model, for a configuration.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConnections": 150, "protocol": "h1", "tls": false,
		"engine": map[string]any{"capacity": 12, "kvCacheTokens": 114776, "kvTokenBytes": 163840, "linkMbps": 4400000.0, "stride": 58, "models": []any{map[string]any{"name": modelName}}},
	}
}

func deploymentRoute(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "type": "deployment", "timeoutMs": 20000, "targetLatencyMs": 400, "priority": 1, "service": service,
		"maxAttempts": 3, "maxQueueS": 40.0, "deadlineMs": 12000, "sessionAffinity": true, "resumable": true,
	}
}

// job is a batch job's body with items whose bodies have a size.
func job(id, prefix string, items, bodyBytes int) []byte {
	var requests []any
	for i := range items {
		body := make([]byte, bodyBytes)
		for b := range body {
			body[b] = byte(b*7 + i + b>>8)
		}
		requests = append(requests, map[string]any{
			"id": fmt.Sprintf("%s%04x", id, i), "path": fmt.Sprintf("%s%d", prefix, i), "body": body, "tokens": 40,
			"headers": map[string]string{"Model": modelName, "Token-Usage": "20,20"}, "group": fmt.Sprintf("g%d", i/4),
		})
	}
	text, err := json.Marshal(map[string]any{"step": 1, "model": modelName, "minVersion": 1, "desired": items / 4, "requests": requests})
	if err != nil {
		panic(err)
	}
	return text
}

// results is a page of a batch job.
type results struct {
	Total   int `json:"total"`
	Results []struct {
		ID       string `json:"id"`
		State    string `json:"state"`
		Text     string `json:"text"`
		Versions []int  `json:"weightVersions"`
	} `json:"results"`
	NextToken int `json:"nextToken"`
}

// read reads a batch job from a position.
func readJob(m *machine, host, id string, after int) (int, *results, error) {
	a, err := send(m.frontend(), "GET", fmt.Sprintf("/api/lots/%s?after=%d", id, after), [][2]string{{"Host", host}}, nil, 3*time.Second)
	if err != nil {
		return 0, nil, err
	}
	page := &results{}
	if a.status == 200 {
		err = json.Unmarshal(a.body, page)
	}
	return a.status, page, err
}
