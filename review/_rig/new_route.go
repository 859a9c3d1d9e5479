//go:build review

package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// settleFor is longer than an agent takes to return to the core machine of its own zone.
	settleFor = 24 * time.Second
	rounds    = 3
	freezeFor = 3200 * time.Millisecond
)

// newRoute adds the route of a further trainer while one core machine stands still, and submits the
// trainer's first batch job as soon as the configuration is acknowledged.
func newRoute(p *play) ([]string, error) {
	if err := p.addMachines(); err != nil {
		return nil, err
	}
	if err := p.startAll(); err != nil {
		return nil, err
	}
	if err := p.startWorkers(); err != nil {
		return nil, err
	}
	routes := []map[string]any{route("r-0", "host-0.example", "/p0/", "deployment", "escriba-pool")}
	if err := p.replaceConfiguration(0, 1, configuration(1, routes...), p.controls()); err != nil {
		return nil, err
	}
	for _, m := range p.machines {
		if m.class != "edge" {
			continue
		}
		if err := p.warmUp(m); err != nil {
			return nil, err
		}
	}
	for number := 1; number <= rounds; number++ {
		time.Sleep(settleFor) // the deployment runs undisturbed
		routes = append(routes, route(fmt.Sprintf("r-%d", number), fmt.Sprintf("host-%d.example", number), fmt.Sprintf("/p%d/", number), "deployment", "escriba-pool"))
		broken, err := p.addTrainer(number, routes)
		if err != nil || len(broken) > 0 {
			return broken, err
		}
	}
	return nil, nil
}

// addTrainer is one round: the operator adds the last of the routes, and its trainer submits a first
// batch job. Meanwhile one core machine stands still. If that leads the directory, the change waits for
// an election and the round mostly shows nothing; in the next round another one leads.
func (p *play) addTrainer(number int, routes []map[string]any) ([]string, error) {
	frozen, caller := p.machine("core-"+zones[2]+"-1"), p.machine("core-"+zones[0]+"-1")
	edge := p.machine("edge-" + caller.zone + "-1")
	job := newJob(fmt.Sprintf("host-%d.example", number), fmt.Sprintf("/p%d/", number), "m1", 57, 8)
	body := job.body()
	thawed := make(chan struct{})
	if p.trouble {
		p.note("%s stands still for %v", frozen.name, freezeFor)
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeFor, func() {
			frozen.signal(syscall.SIGCONT)
			p.note("%s goes on", frozen.name)
			close(thawed)
		})
	} else {
		close(thawed)
	}
	if err := p.replaceConfiguration(number, number+1, configuration(number+1, routes...), []string{caller.control()}); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	err := p.await(fmt.Sprintf("trainer: %s answers 202 to batch job %s of %d items", edge.name, job.id, job.items()), 5*time.Second, func() error {
		status, err := job.submit(edge, body)
		if err == nil && status != http.StatusAccepted {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	broken := p.judgeJob(job, edge)
	p.endJob(job, edge)
	<-thawed
	return broken, nil
}

// endJob is the trainer's end of a batch job.
func (p *play) endJob(job *batchJob, edge *machine) {
	status, _, err := call(http.MethodDelete, edge.frontend(), "/api/lots/"+job.id, 3*time.Second, map[string]string{"Host": job.host}, nil)
	p.note("trainer: ends batch job %s: %d %v", job.id, status, err)
}

// warmUp has one edge machine serve a batch job of the first route.
func (p *play) warmUp(edge *machine) error {
	job := newJob("host-0.example", "/p0/", "m0", 12, 8)
	body := job.body()
	accepted := fmt.Sprintf("trainer: %s answers 202 to a first batch job", edge.name)
	err := p.await(accepted, 30*time.Second, func() error {
		status, err := job.submit(edge, body)
		if err == nil && status != http.StatusAccepted {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	if err != nil {
		return err
	}
	results := job.readAll(edge, 12*time.Second)
	for _, r := range results {
		if r.State != "completed" {
			return fmt.Errorf("%w: first batch job: item %s %s", errNotRun, r.ID, r.State)
		}
	}
	if len(results) != job.items() {
		return fmt.Errorf("%w: first batch job: %d of %d results", errNotRun, len(results), job.items())
	}
	return nil
}

// judgeJob reads all results and returns those that were given up. No worker of this play ever answers
// 422 or 500, the route and the batch job have not ended, and maxQueueS is 40.
func (p *play) judgeJob(job *batchJob, edge *machine) (broken []string) {
	began := time.Now()
	results := job.readAll(edge, 30*time.Second)
	counts := map[string]int{}
	for _, r := range results {
		counts[r.State]++
		p.note("trainer: result %s %s, %d bytes", r.ID, r.State, len(r.Text))
	}
	p.note("trainer: %d of %d items listed after %.1f s: %v", len(results), job.items(), time.Since(began).Seconds(), counts)
	if n := counts["abandoned"]; n > 0 {
		broken = append(broken, fmt.Sprintf("MIXED: %d of %d items are abandoned, %.1f s after the batch job was sent, with no 422, no 500, no end of the batch job or of its route, and maxQueueS 40", n, job.items(), time.Since(began).Seconds()))
	}
	return broken
}
