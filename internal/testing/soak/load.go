package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// load starts clients that send queries of all teams until run.loadEnded is closed. The traffic of team moves
// moves from one broker to the next, loud sends at a high rate to all, quiet sends at a low rate to one
// broker, and files sends at-most-once queries.
func (run *campaign) load() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 8 * time.Second}
	run.r.Cleanup(client.CloseIdleConnections)
	var mu sync.Mutex
	began := time.Now()
	send := func(who, n int, team string, pause time.Duration) {
		defer run.wg.Done()
		for i := n; ; i++ {
			select {
			case <-run.loadEnded:
				return
			case <-time.After(pause): // pause between two queries of a client
			}
			to := i % run.cfg.Processes
			switch team {
			case "moves":
				to = int(time.Since(began)/(7*time.Second)) % run.cfg.Processes
			case "quiet":
				to = run.cfg.Processes - 1
			}
			at, name := run.g.ListensAt(to)
			if at == "" {
				continue
			}
			index := "invoices"
			if team == "files" {
				index = "filings"
			}
			req, err := http.NewRequest("POST", "http://"+at+"/"+index+"/_search", strings.NewReader(`{"query":{"range":{"taxpayer":{"gte":0,"lt":4000}}}}`))
			if err != nil {
				continue
			}
			key := fmt.Sprintf("%s-%d-%d", team, who, i)
			req.Header.Set("Content-Type", "application/json")
			req.Header.Set("X-Tenant", team)
			req.Header.Set("X-Opaque-Id", key)
			if team == "files" {
				req.Header.Set("Idempotency-Key", key)
			}
			q := Query{Sent: time.Since(run.g.Began()), Version: -1, At: name}
			if resp, err := client.Do(req); err == nil {
				q.Status = resp.StatusCode
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if n, err := strconv.ParseInt(resp.Header.Get("X-Policy-Version"), 10, 64); err == nil {
					q.Version = n
				}
			}
			q.Came = time.Since(run.g.Began())
			mu.Lock()
			run.res.queries = append(run.res.queries, q)
			mu.Unlock()
		}
	}
	for _, c := range []struct {
		team    string
		clients int
		pause   time.Duration
	}{{"moves", 12, 5 * time.Millisecond}, {"loud", 12, 10 * time.Millisecond}, {"quiet", 2, 30 * time.Millisecond}, {"files", 4, 40 * time.Millisecond}} {
		for n := range c.clients {
			run.wg.Add(1)
			go send(n, n, c.team, c.pause)
		}
	}
}

// sampleMembers samples the limit and the memory of each process until run.loadEnded is closed.
func (run *campaign) sampleMembers() {
	defer run.wg.Done()
	run.res.memory = map[string][]sample{}
	var mu sync.Mutex
	for i := 0; ; i++ {
		select {
		case <-run.loadEnded:
			return
		case <-time.After(200 * time.Millisecond): // sampling interval
		}
		var wg sync.WaitGroup
		for k := range run.g.Members {
			admin, name, pid := run.g.AdminAddressOf(k)
			if admin == "" {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				x := Reading{Sent: time.Since(run.g.Began()), At: name}
				limit, ok := limitAt(admin)
				x.Limit, x.Came = limit, time.Since(run.g.Began())
				mb, known := residentMB(pid)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					run.res.readings = append(run.res.readings, x)
				}
				if known && i%5 == 0 {
					run.res.memory[name] = append(run.res.memory[name], sample{x.Came, mb, pid})
				}
			}()
		}
		wg.Wait()
	}
}

// limitAt requests the number of parts that a process may have in flight from its admin endpoint.
func limitAt(admin string) (limit int, ok bool) {
	conn, err := net.DialTimeout("tcp", admin, 300*time.Millisecond)
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	fmt.Fprintln(conn, "contracts")
	text, err := io.ReadAll(conn)
	if err != nil {
		return 0, false
	}
	_, rest, _ := strings.Cut(string(text), "limit=")
	word, _, _ := strings.Cut(rest, " ")
	limit, err = strconv.Atoi(word)
	return limit, err == nil
}

// residentMB returns the residentMB memory of a process in MB, from /proc.
func residentMB(pid int) (mb int, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, false
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return 0, false
	}
	pages, err := strconv.Atoi(words[1])
	return pages * os.Getpagesize() >> 20, err == nil
}
