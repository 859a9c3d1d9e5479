//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request on a new connection and returns the answer with its whole body.
func call(method, address, path string, limit time.Duration, header map[string]string, body []byte) (status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	for name, value := range header {
		if name == "Host" {
			request.Host = value
			continue
		}
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	return response.StatusCode, string(all), err
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// route returns a route as the pages show it, with the figures of a trainer of the small deployments.
func route(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": 15000, "targetLatencyMs": 400, "priority": 1, "service": service,
		"maxAttempts": 3, "maxQueueS": 40.0, "deadlineMs": 9600, "onPolicy": false, "sessionAffinity": true, "resumable": true,
	}
}

// configuration returns a whole configuration with one service of model workers.
func configuration(version int, routes ...map[string]any) []byte {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": "escriba-pool", "healthPath": "/healthz", "maxConnections": 150, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"capacity": 12, "kvCacheTokens": 114776, "kvTokenBytes": 163840, "linkMbps": 4400000.0, "stride": 58,
				"models": []any{map[string]any{"name": "m0"}, map[string]any{"name": "m1"}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// replaceConfiguration is the operator: it sends a configuration to one control address after another
// until it is acknowledged.
func (p *play) replaceConfiguration(base, version int, body []byte, controls []string) error {
	next := 0
	return p.await(fmt.Sprintf("operator: configuration %d acknowledged", version), 30*time.Second, func() error {
		control := controls[next%len(controls)]
		next++
		status, text, err := call(http.MethodPost, control, "/api/Config.Replace", time.Second,
			map[string]string{"Base-Version": fmt.Sprint(base), "Content-Type": "application/json"}, body)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", status, text)
		}
		return err
	})
}

// batchJob is a batch job of a trainer.
type batchJob struct {
	id, host, prefix, model string
	groups, size            int
}

func newJob(host, prefix, model string, groups, size int) *batchJob {
	return &batchJob{id: newID(), host: host, prefix: prefix, model: model, groups: groups, size: size}
}

func (j *batchJob) items() int { return j.groups * j.size }

func (j *batchJob) body() []byte {
	var requests []any
	for i := range j.items() {
		requests = append(requests, map[string]any{
			"id": newID(), "path": fmt.Sprintf("%s3/%04x", j.prefix, i), "body": []byte{1, 2, 3}, "tokens": 1100, "group": fmt.Sprintf("g%d", i/j.size),
			"headers": map[string]string{"Model": j.model, "Token-Usage": "1016,84", "Prefix-Hash": fmt.Sprintf("%x:1000,%x:16", i/j.size+1, 4096+i)},
		})
	}
	body, err := json.Marshal(map[string]any{"step": 0, "model": j.model, "minVersion": 1, "desired": j.groups, "requests": requests})
	if err != nil {
		panic(err)
	}
	return body
}

// submit sends a batch job once and returns the status.
func (j *batchJob) submit(edge *machine, body []byte) (int, error) {
	status, _, err := call(http.MethodPost, edge.frontend(), j.prefix+j.id[:6], 3*time.Second,
		map[string]string{"Host": j.host, "Request-Id": j.id, "Content-Type": "application/json"}, body)
	return status, err
}

// result is a listed result.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// read reads the results from a position on.
func (j *batchJob) read(edge *machine, after int) (results []result, err error) {
	status, text, err := call(http.MethodGet, edge.frontend(), fmt.Sprintf("/api/lots/%s?after=%d", j.id, after), 3*time.Second,
		map[string]string{"Host": j.host, "Wait-Ms": "500"}, nil)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("status %d: %s", status, text)
	}
	var page struct {
		Results []result `json:"results"`
	}
	return page.Results, json.Unmarshal([]byte(text), &page)
}

// readAll reads until all results are listed or the limit has passed.
func (j *batchJob) readAll(edge *machine, limit time.Duration) (results []result) {
	for began := time.Now(); len(results) < j.items() && time.Since(began) < limit; {
		page, err := j.read(edge, len(results))
		if err != nil || len(page) == 0 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		results = append(results, page...)
	}
	return results
}
