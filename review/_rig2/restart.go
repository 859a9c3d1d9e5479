package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	restartFillJobs  = 24 // jobs of earlier steps; with their bodies the log of the stores reaches its limit
	restartBodyBytes = 200_000
	restartItems     = 24
	restartLate      = 900 * time.Millisecond // two stewards come back so much later
)

// restartScene: a trainer's jobs fill the log of the batch job shard, as those of a long day do. Then a
// configuration adds a route, a job is accepted on it, and all processes of all machines are killed. They
// come back within a second. The job's items must not be given up.
func restartScene(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r, 1)
	if err != nil {
		return false, err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return false, err
	}
	p := newModelPool(r, 18, 150*time.Millisecond)
	for i := range 3 {
		w, err := d.newWorker(i+1, "escriba", 12, modelList, p.serve)
		if err != nil {
			return false, err
		}
		defer w.end()
	}
	const host = "trainer.example"
	document := func(routes ...any) map[string]any {
		return map[string]any{"routes": routes, "services": []any{engineService("escriba")}, "limits": limits}
	}
	steps := deploymentRoute("steps", host, "/steps/", "escriba")
	if err := d.putConfiguration(0, 1, document(steps)); err != nil {
		return false, err
	}
	edges := d.class("edge")
	submit := func(id, prefix string, items, bodyBytes int) error {
		text := job(id, prefix, items, bodyBytes)
		next := 0
		return await("job "+id+" accepted", 20*time.Second, func() error {
			m := edges[next%len(edges)]
			next++
			a, err := send(m.frontend(), "POST", prefix+id, [][2]string{{"Host", host}, {"Request-Id", id}, {"Content-Type", "application/json"}}, text, 4*time.Second)
			if err != nil {
				return err
			}
			r.write("submitted", "job", id, "bytes", len(text), "gatherer", m.name, "status", a.status)
			if a.status != 202 {
				return fmt.Errorf("status %d: %s", a.status, a.body)
			}
			return nil
		})
	}
	time.Sleep(7 * time.Second)
	if err := d.nameVersion(modelName, 2); err != nil {
		return false, err
	}
	if err := await("version 2 loaded", 15*time.Second, func() error {
		p.mu.Lock()
		defer p.mu.Unlock()
		if len(p.versions) < 3 {
			return fmt.Errorf("by %d workers", len(p.versions))
		}
		return nil
	}); err != nil {
		return false, err
	}
	pause := p.pause
	p.pause = time.Millisecond // the texts of the earlier steps are short
	for n := range restartFillJobs {
		id := fmt.Sprintf("5a00%012x", n)
		if err := submit(id, "/steps/", restartItems, restartBodyBytes); err != nil {
			return false, err
		}
		if err := await("results of "+id, 20*time.Second, func() error {
			_, page, err := readJob(edges[0], host, id, 0)
			if err == nil && len(page.Results) < restartItems {
				err = fmt.Errorf("%d results", len(page.Results))
			}
			return err
		}); err != nil {
			return false, err
		}
		a, err := send(edges[0].frontend(), "DELETE", "/api/lots/"+id, [][2]string{{"Host", host}}, nil, 3*time.Second)
		if err != nil || a.status != 200 {
			return false, fmt.Errorf("end of %s: %v %w", id, a, err)
		}
		r.write("ended", "job", id)
	}
	p.pause = pause

	// A route is added, and a job is accepted on it.
	if err := d.putConfiguration(1, 2, document(steps, deploymentRoute("titles", host, "/titles/", "escriba"))); err != nil {
		return false, err
	}
	time.Sleep(2500 * time.Millisecond) // longer than propagationMs
	const id = "7c41e09b52d6a3f8"
	if err := submit(id, "/titles/", 96, 600); err != nil {
		return false, err
	}
	accepted := time.Now()
	if err := submit("5a01000000000000", "/steps/", restartItems, 3*restartBodyBytes); err != nil {
		return false, err
	}
	time.Sleep(600 * time.Millisecond)
	if trouble {
		for _, m := range d.machines {
			d.kill(m)
		}
		late := d.class("core")[:2]
		for _, m := range d.machines {
			if m != late[0] && m != late[1] {
				if err := d.start(m); err != nil {
					return false, err
				}
			}
		}
		time.Sleep(restartLate)
		for _, m := range late {
			if err := d.start(m); err != nil {
				return false, err
			}
		}
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
	listedAfter := time.Since(accepted)
	counts := map[string]int{}
	for _, state := range states {
		counts[state]++
	}
	if a, err := send(d.class("core")[2].control(), "GET", "/api/Config.Get", nil, nil, 3*time.Second); err == nil {
		r.write("configuration read", "status", a.status, "has_the_route", strings.Contains(string(a.body), "/titles/"), "text", string(a.body))
	}
	r.write("result", "states", counts, "seconds_after_the_202", listedAfter.Seconds())
	fmt.Println("items", counts, "after", listedAfter, "s; maxQueueS is 40; err", err)
	// Given up is allowed after a 422, maxAttempts answers of 500, maxQueueS, and the end of the job or
	// of its route: none of these has happened.
	if counts["abandoned"] > 0 || counts["wrong"] > 0 {
		return true, nil
	}
	return false, err
}
