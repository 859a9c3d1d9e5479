package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// ledger is the state of the workers of the scene surplus: each runs slots requests at once, queues a
// few more, and rejects the others.
type ledger struct {
	mu      sync.Mutex
	runs    map[string][]string // by request: the workers that have begun it
	answers int                 // of the worker in trouble, while it is
	surplus int                 // answers that were followed by a second one
	busy    map[string]int
	pending map[net.Conn]string // a second answer that is sent where the next one is due
}

const (
	surplusSlots   = 1
	surplusQueue   = 1
	surplusWork    = 25 * time.Millisecond
	surplusClients = 12
	surplusPause   = 120 * time.Millisecond // at most, between two requests of a client
	surplusShare   = 34                     // one answer in so many is followed by a second one: less than 3 in 100
	troubleFor     = 5 * time.Second
	troubleEvery   = 7 * time.Second
	troubleCount   = 9
)

// surplusScene: two workers of a service are overloaded and reject requests, as they may. One of the
// two is in trouble for some seconds, again and again: a few of its answers are followed by a second
// one, which arrives late.
func surplusScene(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, 6)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	l := &ledger{runs: map[string][]string{}, busy: map[string]int{}, pending: map[net.Conn]string{}}
	started := time.Now().Add(time.Hour)
	var troubleMu sync.Mutex
	inTrouble := func(w *worker) bool {
		troubleMu.Lock()
		defer troubleMu.Unlock()
		since := time.Since(started)
		return trouble && w.id[len(w.id)-1] == '1' && since > 0 && since < troubleCount*troubleEvery && since%troubleEvery < troubleFor
	}
	slots := map[string]chan struct{}{}
	serve := func(w *worker, conn net.Conn, q *request) bool {
		if q.id == "" {
			w.reply(conn, 200, "", "", "")
			return true
		}
		l.mu.Lock()
		if late := l.pending[conn]; late != "" {
			_, _ = io.WriteString(conn, late) // the second answer arrives where this one is due
			delete(l.pending, conn)
		}
		full := l.busy[w.id] >= surplusSlots+surplusQueue
		if !full {
			l.busy[w.id]++
		}
		l.mu.Unlock()
		text := ""
		if full {
			text = answerText(w, 503, q.id, "", "Not-Executed: 1\r\n")
		} else {
			slots[w.id] <- struct{}{}
			l.mu.Lock()
			l.runs[q.id] = append(l.runs[q.id], w.id)
			l.mu.Unlock()
			r.write("run", "request", q.id, "worker", w.id)
			time.Sleep(surplusWork)
			<-slots[w.id]
			l.mu.Lock()
			l.busy[w.id]--
			l.mu.Unlock()
			text = answerText(w, 200, q.id, "booked "+q.id, "Response-Stamp: "+w.id+"."+q.id+"\r\n")
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		if inTrouble(w) {
			l.mu.Lock()
			l.answers++
			if l.answers%surplusShare == 0 {
				l.surplus++
				l.pending[conn] = text
				r.write("second answer", "request", q.id, "worker", w.id, "rejection", full)
			}
			l.mu.Unlock()
		}
		return true
	}
	for i := range 2 {
		w, err := d.newWorker(i+1, "ledger", surplusSlots, "[]", serve)
		if err != nil {
			return false, err
		}
		slots[w.id] = make(chan struct{}, surplusSlots)
		defer w.end()
	}
	document := map[string]any{
		"routes": []any{map[string]any{
			"name": "post", "host": "ledger.example", "pathPrefix": "/post/", "type": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 150, "priority": 2, "service": "ledger", "maxAttempts": 2,
		}},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}},
		"limits":   limits,
	}
	if err := d.putConfiguration(0, 1, document); err != nil {
		return false, err
	}
	edges := d.class("edge")
	for _, m := range edges {
		id := "warm-" + m.name
		if err := await("route served by "+m.name, 15*time.Second, func() error {
			a, err := send(m.frontend(), "POST", "/post/x", [][2]string{{"Host", "ledger.example"}, {"Request-Id", fmt.Sprint(id, time.Now().UnixNano())}, {"Deadline-Ms", "2000"}}, []byte("x"), 2*time.Second)
			if err != nil {
				return err
			}
			if a.status != 200 {
				return fmt.Errorf("status %d %s", a.status, a.body)
			}
			return nil
		}); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second) // both workers are known everywhere

	troubleMu.Lock()
	started = time.Now()
	troubleMu.Unlock()
	var mu sync.Mutex
	outcomes := map[string]int{}
	counts := map[int]int{}
	var clients sync.WaitGroup
	for c := range surplusClients {
		clients.Go(func() {
			for n := 0; time.Since(started) < troubleCount*troubleEvery; n++ {
				id := fmt.Sprintf("%04x%08x", c, n)
				m := edges[c%len(edges)]
				a, err := send(m.frontend(), "POST", "/post/entry", [][2]string{{"Host", "ledger.example"}, {"Request-Id", id}, {"Deadline-Ms", "2000"}}, []byte("entry "+id), 3*time.Second)
				status := 0
				if err == nil {
					status = a.status
				}
				mu.Lock()
				outcomes[id] = status
				counts[status]++
				mu.Unlock()
				r.write("answered", "request", id, "status", status)
				time.Sleep(rand.N(surplusPause))
			}
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	l.mu.Lock()
	defer l.mu.Unlock()
	twice, refused := 0, 0
	for id, workers := range l.runs {
		if len(workers) > 1 {
			twice++
			r.write("TWICE", "request", id, "workers", workers, "answered", outcomes[id])
		}
		if status := outcomes[id]; status == 503 || status == 429 {
			refused++
			r.write("REFUSED", "request", id, "workers", workers, "answered", status)
		}
	}
	r.write("result", "answers", counts, "second_answers", l.surplus, "twice", twice, "refused_but_run", refused)
	fmt.Printf("answers %v, second answers %d, ran twice %d, refused but run %d\n", counts, l.surplus, twice, refused)
	if counts[200] == 0 {
		return false, errors.New("no request was served")
	}
	return twice+refused > 0, nil
}
