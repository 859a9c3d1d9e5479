package work

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"
)

// Load describes a client load: queries with a number of parts, each for another shard, at a steady
// rate.
type Load struct {
	Parts, Shards int
	Rate          float64 // queries per second
	For           time.Duration
	Timeout       time.Duration // client timeout, sent with the query
	Work          int           // the client's estimate of a part's work in microseconds; 0: not sent
}

// Results counts the queries of a load by outcome, each once.
type Results struct {
	Queries    int           `json:"asked"`
	Complete   int           `json:"whole"`
	Partial    int           `json:"partial"`
	Refused    int           `json:"refused"`
	Failed     int           `json:"failed"` // any other status
	Unanswered int           `json:"lost"`   // no response
	Unsent     int           `json:"held"`   // not sent: too many were in flight
	PartsIn    int           `json:"parts_in"`
	Bytes      int64         `json:"bytes"` // of response bodies
	P50, P99   time.Duration `json:"-"`
}

const maxInFlight = 512 // queries in flight, over all clients

var queries atomic.Int64

// readBody reads a response body and returns an error unless the status is 2xx.
func readBody(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode/100 != 2 {
		return b, fmt.Errorf("HTTP status %d", resp.StatusCode)
	}
	return b, err
}

// weightText returns a part's weight in as few digits as add up to about 1, because a request body
// is limited to 64 KiB.
func weightText(parts int) string {
	for digits := 0; ; digits++ {
		word := strings.Replace(strconv.FormatFloat(1/float64(parts), 'e', digits, 64), "e-0", "e-", 1)
		if w, err := strconv.ParseFloat(word, 64); err == nil && math.Abs(w*float64(parts)-1) < 0.008 {
			return word
		}
	}
}

// queryBody returns the body of a query whose parts begin at the given shard.
func queryBody(first, parts, shards, work int) string {
	var b strings.Builder
	b.WriteString(`{"segments":[`)
	weight, guess := weightText(parts), ""
	if work > 0 {
		guess = fmt.Sprintf(`,"work":%d`, work)
	}
	for i := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"segment":%d,"boost":%s%s}`, (first+i)%shards, weight, guess)
	}
	b.WriteString(`],"text":"c41e77d0"}`)
	return b.String()
}

// SendLoad sends a load to a gatherer and waits until every query is answered or has timed out.
func SendLoad(ctx context.Context, listen string, l Load) (a Results) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, MaxConnsPerHost: maxInFlight}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: l.Timeout + 2*time.Second}
	bodies := make([]string, 8) // reused; each begins at another shard
	for i := range bodies {
		bodies[i] = queryBody(i*l.Shards/len(bodies), l.Parts, l.Shards, l.Work)
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var took []time.Duration
	out := make(chan bool, maxInFlight)
	ask := func(text string) {
		defer wg.Done()
		defer func() { <-out }()
		began := time.Now()
		status, complete, in, n := query(client, listen, text, l.Timeout)
		d := time.Since(began)
		mu.Lock()
		defer mu.Unlock()
		a.PartsIn, a.Bytes = a.PartsIn+in, a.Bytes+n
		switch {
		case status == 0:
			a.Unanswered++
		case status == 200 && complete:
			a.Complete++
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
			a.Queries++
			mu.Unlock()
			wg.Add(1)
			go ask(bodies[int(queries.Load())%len(bodies)])
		default:
			mu.Lock()
			a.Unsent++
			mu.Unlock()
		}
		if i == total-1 {
			break
		}
		select {
		case <-tick.C: // send at a steady rate, independent of responses
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

// WarmUp sends queries one after the other until every shard has been queried. A gatherer that has
// not served a shard yet assumes that its parts take as long as the latency target, and rejects
// queries beside them.
func WarmUp(ctx context.Context, listen string, parts, shards int) (a Results) {
	for range 8 { // the number of bodies, and more than the shards need
		one := SendLoad(ctx, listen, Load{Parts: parts, Shards: shards, Rate: 1, For: time.Second, Timeout: warmTimeout})
		a.Queries, a.Complete, a.PartsIn = a.Queries+one.Queries, a.Complete+one.Complete, a.PartsIn+one.PartsIn
	}
	return a
}

const warmTimeout = time.Minute

// query sends one query. Status 0 means that there was no response.
func query(client *http.Client, listen, text string, timeout time.Duration) (status int, complete bool, in int, bytes int64) {
	req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/api/k%d", listen, queries.Load()%64), strings.NewReader(text))
	if err != nil {
		return 0, false, 0, 0
	}
	req.Header["Request-Id"] = []string{fmt.Sprintf("%016x", queries.Add(1))}
	req.Header["Request-Class"] = []string{"q"}
	req.Header["Request-Timeout-Ms"] = []string{fmt.Sprint(timeout.Milliseconds())}
	resp, err := client.Do(req)
	if err != nil {
		return 0, false, 0, 0
	}
	b, err := readBody(resp)
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
