package endtoend

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"saffronquay/internal/broker/http1"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

type platformDialect struct{}

func (d platformDialect) config(t *testing.T, w *world) []string {
	address := discovery(t, w, 41, nil)
	writePlatform(t, w, address)
	return []string{"LB_CONFIG=" + w.configFile, "LB_LISTEN=", "LB_DISCOVERY=" + address, "LB_NAME="}
}

func (platformDialect) rewrite(t *testing.T, w *world, removed []string) {
	close(w.fleetChanges) // ends the watch at the old address and closes its listener
	writePlatform(t, w, discovery(t, w, 7, removed))
}

func writePlatform(t *testing.T, w *world, discovery string) {
	writeJSON(t, w, map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "discovery": discovery,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"sockets": 256, "memory_mb": 192},
		"known":    map[string]any{"generation": 41, "reset": true, "instances": entries(w, nil)},
		"settings": w.settings(),
	})
}

func entries(w *world, removed []string) []map[string]any {
	var list []map[string]any
	for _, s := range w.servers {
		if !slices.Contains(removed, s.name) {
			list = append(list, entry(s, "SERVING"))
		}
	}
	return list
}

func entry(s *fakeServer, state string) map[string]any {
	return map[string]any{
		"instanceId": s.name, "hostPort": s.address, "zone": "a", "cell": s.cell,
		"lifecycle": state, "weight": 1.0, "startedAtMs": 0,
	}
}

// discovery starts a fake discovery agent and returns its address. It serves the full list without the
// servers named in removed, keeps a watch open and publishes the changes that the scenario sends.
func discovery(t *testing.T, w *world, generation int, removed []string) string {
	return discoveryAt(t, w, "127.0.0.1:0", generation, removed)
}

func discoveryAt(t *testing.T, w *world, address string, generation int, removed []string) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	lists := make(chan string, 8)
	w.fleetChanges = lists
	chunk := func(conn net.Conn, reset bool, entries []map[string]any) {
		line, err := json.Marshal(map[string]any{"generation": generation, "reset": reset, "instances": entries})
		if err != nil {
			t.Error(err)
		}
		fmt.Fprintf(conn, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	go func() {
		for { // a broker has one watch at a time; if two brokers run, only one of them receives a change
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r := bufio.NewReader(conn)
				m, err := readMessage(conn, r, false)
				if err == nil && m.Target == "/catalog/members" {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
					chunk(conn, true, entries(w, removed))
					fmt.Fprintf(conn, "0\r\n\r\n")
					m, err = readMessage(conn, r, false)
				}
				if err != nil {
					return
				}
				if want := fmt.Sprintf("/catalog/members?watch=1&from=%d", generation); m.Target != want {
					t.Errorf("discovery got a request for %s, want %s", m.Target, want)
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
				for change := range lists {
					name, state, _ := strings.Cut(change, " ")
					if name == "break" {
						return
					}
					generation++
					i := slices.IndexFunc(w.servers, func(s *fakeServer) bool { return s.name == name })
					chunk(conn, false, []map[string]any{entry(w.servers[i], state)})
				}
				l.Close()
			}()
		}
	}()
	return l.Addr().String()
}

var requests atomic.Int64

func (platformDialect) request(class string, shards []int, ms int) []byte {
	var parts []string
	for _, s := range shards {
		parts = append(parts, fmt.Sprintf(`{"segment":%d,"boost":%g,"work":1000}`, s, 1/float64(len(shards))))
	}
	body := `{"segments":[` + strings.Join(parts, ",") + `],"text":"c41e\u00377d0"}`
	id := requests.Add(1)
	return fmt.Appendf(nil, "POST /api/k%d HTTP/1.1\r\nHost: x\r\nRequest-Id: r%d\r\nRequest-Class: %s\r\nTenant: desk\r\n"+
		"Request-Timeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", id, id, class, ms, len(body), body)
}

func (platformDialect) outcome(m *http1.Message) string {
	switch m.Status {
	case 200:
		var a struct {
			AllIn   bool `json:"all_in"`
			Matches []struct {
				Segment int
				Payload string
			}
		}
		if err := json.Unmarshal(m.Body, &a); err != nil || !a.AllIn {
			return fmt.Sprintf("incomplete response: %s", m.Body)
		}
		var in []int
		for _, x := range a.Matches {
			if x.Payload != fmt.Sprintf("v%d \"c41e77d0\"", x.Segment) {
				return fmt.Sprintf("response with a wrong payload: %s", m.Body)
			}
			in = append(in, x.Segment)
		}
		return answeredOutcome(in)
	case 429:
		return refusedOutcome(m)
	case 400, 408, 413, 431, 501, 505:
		return fmt.Sprint("malformed ", m.Status)
	case 502, 504:
		return "failed"
	}
	return fmt.Sprint("status ", m.Status)
}

func answeredOutcome(shards []int) string {
	slices.Sort(shards)
	var text []string
	for _, s := range shards {
		text = append(text, strconv.Itoa(s))
	}
	return "answered " + strings.Join(text, ",")
}

func refusedOutcome(m *http1.Message) string {
	if s, err := strconv.ParseFloat(m.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		return "refused later"
	}
	return "refused"
}

// serve implements a fake worker on one connection: it receives request frames and sends response
// frames.
func (platformDialect) serve(w *world, s *fakeServer, conn net.Conn) {
	r := bufio.NewReader(conn)
	var mu sync.Mutex
	inFlight := map[string]int{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for _, shard := range inFlight {
			w.count(w.dropped, shard)
		}
	}()
	for {
		var head [4]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head[:]))
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		if body[0] == 'A' {
			id := string(body[1:])
			mu.Lock()
			if shard, ok := inFlight[id]; ok {
				delete(inFlight, id)
				w.count(w.dropped, shard)
			}
			mu.Unlock()
			continue
		}
		line, text, _ := strings.Cut(string(body[1:]), "\n")
		f := strings.Fields(line)
		shard, err := strconv.Atoi(f[1])
		if body[0] != 'R' || err != nil || !strings.HasPrefix(f[2], "d=") || f[3] != strconv.Itoa(len(text)) {
			w.t.Errorf("fake worker received the invalid frame %q", body)
			return
		}
		w.count(w.received, shard)
		if behaviour := s.currentBehaviour(); behaviour == "hang" {
			mu.Lock()
			inFlight[f[0]] = shard
			mu.Unlock()
			continue
		} else if behaviour == "reset" {
			return
		}
		go func() {
			behaviour := s.waitNotHeld()
			conn.Write(workerAnswer(behaviour, f[0], fmt.Sprintf("v%d %q", shard, text)))
			for behaviour == "huge" { // sends until the broker closes the connection
				if _, err := conn.Write(make([]byte, 1<<16)); err != nil {
					w.count(w.dropped, shard)
					return
				}
			}
		}()
	}
}

// workerAnswer returns the bytes that a worker with the given behaviour sends for a part.
func workerAnswer(behaviour, id, value string) []byte {
	good := frame(fmt.Sprintf("Y%s OK 7 queue=0,util=0.1\n%s", id, value))
	switch behaviour {
	case "serve":
		return good
	case "reject":
		return frame(fmt.Sprintf("Y%s REJECTED 7 queue=0,util=0.1\n", id))
	case "bad-report":
		return frame(fmt.Sprintf("Y%s OK 7 queue=NaN;; util\n%s", id, value))
	case "twice":
		return append(good, good...)
	case "noise-behind":
		return append(good, "\x00\x00\x01"...)
	case "noise":
		return []byte("\x00\x00\x00\x09what now?")
	case "endless":
		return append([]byte("\x00\x00\xff\xffY"), strings.Repeat("9", 4000)...)
	case "huge":
		return append([]byte("\xb2\xd0\x5e\x00Y"+id+" OK 7 -\n"), value...)
	case "stops":
		return good[:len(good)-3]
	case "stranger":
		return frame("Y9b1f.0 OK 7 -\n" + value)
	default: // all behaviours that report an error
		return frame(fmt.Sprintf("Y%s ERROR 7 queue=0,util=0.1\n", id))
	}
}

func frame(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}
