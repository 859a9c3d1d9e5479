package work

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"
)

// Load is what clients ask for: queries of so many parts, each of another shard, at a steady rate.
type Load struct {
	Parts, Shards int
	Rate          float64 // queries a second
	For           time.Duration
	Patience      time.Duration // of a client, as it tells
}

// Answers are how a load's queries came out, each counted once.
type Answers struct {
	Asked    int           `json:"asked"`
	Whole    int           `json:"whole"`
	Partial  int           `json:"partial"`
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"` // any other answer
	Lost     int           `json:"lost"`   // no answer
	Held     int           `json:"held"`   // not sent, since too many were out
	PartsIn  int           `json:"parts_in"`
	Bytes    int64         `json:"bytes"` // of answers' bodies
	P50, P99 time.Duration `json:"-"`
}

const mostOut = 512 // queries that all clients have out at a time

var queries atomic.Int64

// body reads an answer's body.
func body(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		return b, fmt.Errorf("status %d", resp.StatusCode)
	}
	return b, err
}

// segments is the body of a query whose parts begin at a shard.
func segments(first, parts, shards int) string {
	var b strings.Builder
	b.WriteString(`{"segments":[`)
	for i := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"segment":%d,"boost":%.7f}`, (first+i)%shards, 1/float64(parts))
	}
	b.WriteString(`],"text":"c41e77d0"}`)
	return b.String()
}

// Play sends a load to a gatherer and waits until all of it is answered or given up.
func Play(ctx context.Context, listen string, l Load) (a Answers) {
	transport := &http.Transport{MaxIdleConnsPerHost: mostOut, MaxConnsPerHost: mostOut}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: l.Patience + 2*time.Second}
	bodies := make([]string, 8) // the same few, at other shards each
	for i := range bodies {
		bodies[i] = segments(i*l.Shards/len(bodies), l.Parts, l.Shards)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	out := make(chan bool, mostOut)
	ask := func(text string) {
		defer wg.Done()
		defer func() { <-out }()
		began := time.Now()
		status, whole, in, n := query(client, listen, text, l.Patience)
		d := time.Since(began)
		mu.Lock()
		defer mu.Unlock()
		a.PartsIn, a.Bytes = a.PartsIn+in, a.Bytes+n
		switch {
		case status == 0:
			a.Lost++
		case status == 200 && whole:
			a.Whole++
			took = append(took, d)
		case status == 200:
			a.Partial++
			took = append(took, d)
		case status == 429 || status == 503:
			a.Refused++
		default:
			a.Failed++
		}
	}
	total := max(1, int(math.Round(l.Rate*l.For.Seconds())))
	tick := time.NewTicker(max(time.Microsecond, time.Duration(float64(time.Second)/l.Rate)))
	defer tick.Stop()
	for i := range total {
		select {
		case out <- true:
			mu.Lock()
			a.Asked++
			mu.Unlock()
			wg.Add(1)
			go ask(bodies[int(queries.Load())%len(bodies)])
		default:
			mu.Lock()
			a.Held++
			mu.Unlock()
		}
		if i == total-1 {
			break
		}
		select {
		case <-tick.C: // a steady rate, whatever comes back
		case <-ctx.Done():
			wg.Wait()
			return a
		}
	}
	wg.Wait()
	slices.Sort(took)
	if n := len(took); n > 0 {
		a.P50, a.P99 = took[n/2], took[n*99/100]
	}
	return a
}

// Warm sends queries one after the other until each shard was asked for: a gatherer that has served none of a shard takes its parts to last
// as long as the aim, and turns away what comes beside them.
func Warm(ctx context.Context, listen string, parts, shards int) (a Answers) {
	for range 8 { // as many as there are bodies, and more than shards need
		one := Play(ctx, listen, Load{Parts: parts, Shards: shards, Rate: 1, For: time.Second, Patience: warmPatience})
		a.Asked, a.Whole, a.PartsIn = a.Asked+one.Asked, a.Whole+one.Whole, a.PartsIn+one.PartsIn
	}
	return a
}

const warmPatience = time.Minute

// query asks once; status 0: there was no answer.
func query(client *http.Client, listen, text string, patience time.Duration) (status int, whole bool, in int, bytes int64) {
	req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/api/k%d", listen, queries.Load()%64), strings.NewReader(text))
	if err != nil {
		return 0, false, 0, 0
	}
	req.Header["Request-Id"] = []string{fmt.Sprintf("%016x", queries.Add(1))}
	req.Header["Request-Class"] = []string{"q"}
	req.Header["Request-Timeout-Ms"] = []string{fmt.Sprint(patience.Milliseconds())}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false, 0, 0
	}
	b, err := body(resp)
	if resp.StatusCode == 200 && err == nil {
		var p fastjson.Parser
		v, err := p.ParseBytes(b)
		if err != nil {
			return 0, false, 0, int64(len(b))
		}
		return 200, v.GetBool("all_in"), len(v.GetArray("matches")), int64(len(b))
	}
	return resp.StatusCode, false, 0, int64(len(b))
}
