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

// load sends queries of all teams until the day is over: one team's traffic moves from gatherer to gatherer, one is loud everywhere, one
// quiet at one, and one files what must not run twice.
func (d *day) load() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 8 * time.Second}
	d.r.Cleanup(client.CloseIdleConnections)
	var mu sync.Mutex
	began := time.Now()
	send := func(who, n int, team string, pause time.Duration) {
		defer d.wg.Done()
		for i := n; ; i++ {
			select {
			case <-d.over:
				return
			case <-time.After(pause): // between two queries of one client
			}
			to := i % d.cfg.Processes
			switch team {
			case "moves":
				to = int(time.Since(began)/(7*time.Second)) % d.cfg.Processes
			case "quiet":
				to = d.cfg.Processes - 1
			}
			at, name := d.g.ListensAt(to)
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
			q := Query{Sent: time.Since(d.g.Began()), Version: -1, At: name}
			if resp, err := client.Do(req); err == nil {
				q.Status = resp.StatusCode
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if n, err := strconv.ParseInt(resp.Header.Get("X-Policy-Version"), 10, 64); err == nil {
					q.Version = n
				}
			}
			q.Came = time.Since(d.g.Began())
			mu.Lock()
			d.res.queries = append(d.res.queries, q)
			mu.Unlock()
		}
	}
	for _, c := range []struct {
		team    string
		clients int
		pause   time.Duration
	}{{"moves", 12, 5 * time.Millisecond}, {"loud", 12, 10 * time.Millisecond}, {"quiet", 2, 30 * time.Millisecond}, {"files", 4, 40 * time.Millisecond}} {
		for n := range c.clients {
			d.wg.Add(1)
			go send(n, n, c.team, c.pause)
		}
	}
}

// watch reads the limit and the memory of each process until the run is over.
func (d *day) watch() {
	defer d.wg.Done()
	d.res.memory = map[string][]sample{}
	var mu sync.Mutex
	for i := 0; ; i++ {
		select {
		case <-d.over:
			return
		case <-time.After(200 * time.Millisecond): // between two looks
		}
		var wg sync.WaitGroup
		for k := range d.g.Members {
			admin, name, pid := d.g.AdminAddressOf(k)
			if admin == "" {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				x := Reading{Sent: time.Since(d.g.Began()), At: name}
				limit, ok := limitAt(admin)
				x.Limit, x.Came = limit, time.Since(d.g.Began())
				mb, known := resident(pid)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					d.res.readings = append(d.res.readings, x)
				}
				if known && i%5 == 0 {
					d.res.memory[name] = append(d.res.memory[name], sample{x.Came, mb, pid})
				}
			}()
		}
		wg.Wait()
	}
}

// limitAt requests from an admin endpoint how many parts its process may have in flight.
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

// resident returns a process's resident memory in MB, from /proc.
func resident(pid int) (mb int, ok bool) {
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
