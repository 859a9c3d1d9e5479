package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	queryTimeout  = 5 * time.Second
	querySpan     = 600 // number of keys in a query
	maxIdleClient = 64  // maximum number of idle client connections
)

// trialLoad sends queries to the first gatherer and counts their outcomes. The counters are safe
// for concurrent use.
type trialLoad struct {
	trial
	out    io.Writer
	url    string
	client http.Client

	complete, refused, failed atomic.Int64 // queries since the last output line
	slowest                   atomic.Int64 // latency of the slowest of them, in ms
}

// run sends queries at the rate of the trial until ctx is done. Each second it prints their
// outcomes and then calls eachSecond. It does not wait for the queries open at the end, which end
// with the gatherers or after queryTimeout.
func (l *trialLoad) run(ctx context.Context, eachSecond func()) {
	l.client = http.Client{Timeout: queryTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleClient}}
	rng := rand.New(rand.NewPCG(l.seed, 2))
	second := time.NewTicker(time.Second)
	defer second.Stop()
	var nextQuery <-chan time.Time // nil, which blocks forever, if the rate is 0
	if l.rate > 0 {
		tick := time.NewTicker(time.Second / time.Duration(l.rate))
		defer tick.Stop()
		nextQuery = tick.C
	}
	for seconds := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-second.C:
			seconds++
			if l.rate > 0 {
				l.printCounts(seconds)
			}
			eachSecond()
		case <-nextQuery:
			from := rng.Int64N(trialKeys - querySpan)
			go l.query(context.WithoutCancel(ctx), from)
		}
	}
}

// printCounts prints the counters and resets them.
func (l *trialLoad) printCounts(seconds int) {
	fmt.Fprintf(l.out, "%3d s: %d complete, %d refused, %d failed, slowest %d ms\n", seconds, l.complete.Swap(0), l.refused.Swap(0), l.failed.Swap(0),
		l.slowest.Swap(0))
}

// query sends one query for querySpan keys and counts its outcome. It records the latency only if
// there was a response.
func (l *trialLoad) query(ctx context.Context, from int64) {
	began := time.Now()
	body := fmt.Sprintf(`{"query":{"range":{"taxpayer":{"gte":%d,"lt":%d}}},"size":5}`, from, from+querySpan)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, strings.NewReader(body))
	if err != nil {
		l.failed.Add(1)
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := l.client.Do(request)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // the status alone counts
	switch response.StatusCode {
	case http.StatusOK:
		l.complete.Add(1)
	case http.StatusTooManyRequests:
		l.refused.Add(1)
	default:
		l.failed.Add(1)
	}
	l.recordLatency(time.Since(began).Milliseconds())
}

func (l *trialLoad) recordLatency(ms int64) {
	for {
		slowest := l.slowest.Load()
		if ms <= slowest || l.slowest.CompareAndSwap(slowest, ms) {
			return
		}
	}
}
