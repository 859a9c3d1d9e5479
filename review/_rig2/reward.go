package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	rewardItems   = 48
	rewardMissing = 3 * time.Second // the route of the reward calls is absent for so long
)

// rewardScene: a job's items have reward calls. While the job runs, a configuration without the route of
// these calls is acknowledged, and some seconds later one that has it again. No item may be given up: none
// of the reasons for that has come about.
func rewardScene(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, 1)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	p := newModelPool(r, 18, 100*time.Millisecond)
	for i := range 3 {
		w, err := d.newWorker(i+1, "modelo", 12, modelList, p.serve)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	var mu sync.Mutex
	stamps := map[string]string{}
	conciliar := func(w *worker, conn net.Conn, q *request) bool {
		if q.id == "" {
			w.reply(conn, 200, "", "", "")
			return true
		}
		time.Sleep(20 * time.Millisecond)
		stamp := "3e1b." + w.id + "." + q.id
		mu.Lock()
		stamps[q.id] = stamp
		mu.Unlock()
		r.write("reward call", "request", q.id, "worker", w.id)
		w.reply(conn, 200, q.id, "ok", "Response-Stamp: "+stamp+"\r\n")
		return true
	}
	for i := range 2 {
		w, err := d.newWorker(10+i, "libro", 12, "[]", conciliar)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	const host = "trainer.example"
	plain := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": prefix, "type": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 150, "priority": 2, "service": "libro", "maxAttempts": 4}
	}
	document := func(routes ...any) map[string]any {
		return map[string]any{"routes": routes, "limits": limits, "services": []any{
			engineService("modelo"), map[string]any{"name": "libro", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false}}}
	}
	steps, rewards, idle := deploymentRoute("steps", host, "/steps/", "modelo"), plain("rewards", "/rewards/"), plain("idle", "/idle/")
	if err := d.putConfiguration(0, 1, document(steps, rewards, idle)); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)

	const id = "7c41e09b52d6a3f8"
	var requests []any
	for i := range rewardItems {
		item := fmt.Sprintf("%s%04x", id, i)
		requests = append(requests, map[string]any{
			"id": item, "path": fmt.Sprintf("/steps/%d", i), "body": []byte("prompt"), "tokens": 40, "group": fmt.Sprintf("g%d", i/4),
			"headers": map[string]string{"Model": modelName, "Token-Usage": "20,20"},
			"scorer":  map[string]any{"id": "s" + item, "host": host, "path": "/rewards/" + item, "body": []byte("text")},
		})
	}
	text, err := json.Marshal(map[string]any{"step": 1, "model": modelName, "minVersion": 1, "desired": rewardItems / 4, "requests": requests})
	if err != nil {
		return false, err
	}
	edges := d.class("edge")
	if err := await("job accepted", 15*time.Second, func() error {
		m := edges[0]
		a, err := send(m.frontend(), "POST", "/steps/"+id, [][2]string{{"Host", host}, {"Request-Id", id}, {"Content-Type", "application/json"}}, text, 4*time.Second)
		if err != nil {
			return err
		}
		r.write("submitted", "job", id, "gatherer", m.name, "status", a.status)
		if a.status != 202 {
			return fmt.Errorf("status %d: %s", a.status, a.body)
		}
		return nil
	}); err != nil {
		return false, err
	}
	accepted := time.Now()
	time.Sleep(500 * time.Millisecond)
	without := document(steps, idle)
	if !trouble {
		without = document(steps, rewards)
	}
	if err := d.putConfiguration(1, 2, without); err != nil {
		return false, err
	}
	time.Sleep(rewardMissing)
	if err := d.putConfiguration(2, 3, document(steps, rewards, idle)); err != nil {
		return false, err
	}
	states := map[string]string{}
	err = await("all items listed", 25*time.Second, func() error {
		for _, m := range edges {
			status, page, err := readJob(m, host, id, 0)
			if err != nil || status != 200 {
				continue
			}
			for _, x := range page.Results {
				if states[x.ID] == "" {
					states[x.ID] = x.State
					r.write("listed", "item", x.ID, "state", x.State)
				}
				if x.State == "completed" && x.Text != p.wholeText(x.ID) {
					states[x.ID] = "wrong"
				}
			}
			if len(states) == page.Total {
				return nil
			}
		}
		return fmt.Errorf("%d items listed", len(states))
	})
	counts := map[string]int{}
	for _, state := range states {
		counts[state]++
	}
	whole := 0
	p.mu.Lock()
	for item := range p.whole {
		if strings.HasPrefix(item, id) {
			whole++
		}
	}
	p.mu.Unlock()
	r.write("result", "states", counts, "texts_that_workers_made_whole", whole, "seconds_after_the_202", time.Since(accepted).Seconds())
	fmt.Println("items", counts, "whole texts made", whole, "after", time.Since(accepted), "err", err)
	if counts["abandoned"]+counts["wrong"] > 0 {
		return true, nil
	}
	return false, err
}
