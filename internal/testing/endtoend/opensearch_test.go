package endtoend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"saffronquay/internal/broker/http1"
	"slices"
	"strconv"
	"strings"
	"testing"
)

type openSearchDialect struct{}

func (d openSearchDialect) config(t *testing.T, w *world) []string {
	d.rewrite(t, w, nil)
	return []string{"SAFFRONQUAY_OPERATOR_FILE=" + w.configFile}
}

func (openSearchDialect) rewrite(t *testing.T, w *world, removed []string) {
	var servers, ranges, indices []map[string]any
	for i, s := range w.servers {
		if !slices.Contains(removed, s.name) {
			servers = append(servers, map[string]any{"id": s.name, "address": s.address, "zone": "a", "cell": s.cell})
		}
		ranges = append(ranges, map[string]any{"from": 100 * i, "to": 100 * (i + 1), "shard": i})
	}
	for _, class := range w.classes {
		indices = append(indices, map[string]any{
			"name": class.name, "class": class.name, "field": "taxpayer",
			"part_work_us": 1000, "ranges": ranges,
		})
	}
	writeJSON(t, w, map[string]any{
		"listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "settings": w.settings(),
		"tenants": []any{map[string]any{"name": "desk", "quota_per_s": 100}}, "indices": indices, "servers": servers,
	})
}

func (openSearchDialect) request(class string, shards []int, ms int) []byte {
	var any []string
	for _, s := range shards {
		any = append(any, fmt.Sprintf(`{"range":{"taxpayer":{"gte":%d,"lt":%d}}}`, 100*s+10, 100*s+90))
	}
	return search(class, fmt.Sprintf(`{"timeout":"%dms","query":{"bool":{"should":[%s]}}}`, ms, strings.Join(any, ",")))
}

func search(index, body string) []byte {
	return fmt.Appendf(nil, "POST /%s/_search HTTP/1.1\r\nHost: x\r\nX-Tenant: desk\r\nX-Opaque-Id: o-7\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", index, len(body), body)
}

func (openSearchDialect) outcome(m *http1.Message) string {
	var a struct {
		Took     *int
		TimedOut *bool                                   `json:"timed_out"`
		Shards   struct{ Total, Successful, Failed int } `json:"_shards"`
		Hits     struct {
			Total struct{ Value int }
			Hits  []struct {
				ID string `json:"_id"`
			}
		}
		Error  struct{ Type, Reason string }
		Status int
	}
	if err := json.Unmarshal(m.Body, &a); err != nil {
		return fmt.Sprintf("not JSON: %s", m.Body)
	}
	if m.Status != 200 && (a.Status != m.Status || a.Error.Type == "" || a.Error.Reason == "") {
		return fmt.Sprintf("malformed error body: %s", m.Body)
	}
	switch m.Status {
	case 200:
		if a.Took == nil || a.TimedOut == nil || *a.TimedOut || a.Shards.Failed > 0 ||
			a.Shards.Successful != len(a.Hits.Hits) || a.Hits.Total.Value != len(a.Hits.Hits) ||
			m.Header.Get("X-Opaque-Id") != "o-7" {
			return fmt.Sprintf("incomplete response: %s", m.Body)
		}
		var in []int
		for _, h := range a.Hits.Hits {
			n, err := strconv.Atoi(h.ID)
			if err != nil {
				return fmt.Sprintf("response with an unknown hit: %s", m.Body)
			}
			in = append(in, n)
		}
		return answeredOutcome(in)
	case 429:
		if a.Error.Type != "rejected_execution_exception" {
			return "refused with error type " + a.Error.Type
		}
		return refusedOutcome(m)
	case 404: // the index was removed together with its class
		return "malformed 400"
	case 400, 408, 413, 431, 501, 505:
		return fmt.Sprint("malformed ", m.Status)
	case 500:
		return "failed"
	}
	return fmt.Sprint("status ", m.Status)
}

// bodies are the response bodies of fake servers, by behaviour; %d is the shard.
var bodies = map[string]string{
	"serve": `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":1,"skipped":0,"failed":0},` +
		`"hits":{"total":{"value":1,"relation":"eq"},"max_score":1.0,"hits":[{"_index":"i","_id":"%d","_score":1.0}]}}`,
	"error-in-success": `{"error":{"type":"search_phase_execution_exception","reason":"all shards failed"},"status":200,"took":1,` +
		`"timed_out":false,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":0},"hits":[]}}`,
	"timed-out-in-success": `{"took":1,"timed_out":true,"_shards":{"total":1,"successful":1,"failed":0},"hits":{"total":{"value":0},"hits":[]}}`,
	"failed-shards":        `{"took":1,"timed_out":false,"_shards":{"total":1,"successful":0,"failed":1},"hits":{"total":{"value":0},"hits":[]}}`,
	"error":                `{"error":{"type":"illegal_state_exception","reason":"broken"},"status":500}`,
	"reject":               `{"error":{"type":"rejected_execution_exception","reason":"queue is full"},"status":429}`,
}

// serve implements a fake search server on one connection.
func (openSearchDialect) serve(w *world, s *fakeServer, conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		m, err := readMessage(conn, r, false)
		if err != nil {
			return
		}
		path, params, _ := strings.Cut(m.Target, "?")
		q, err := url.ParseQuery(params)
		shard, nerr := strconv.Atoi(strings.TrimPrefix(q.Get("preference"), "_shards:"))
		var body struct {
			From, Size int
			Query      json.RawMessage
		}
		if err != nil || nerr != nil || !strings.HasSuffix(path, "/_search") || json.Unmarshal(m.Body, &body) != nil ||
			len(body.Query) == 0 || !strings.HasSuffix(q.Get("timeout"), "ms") || m.Header.Get("X-Opaque-Id") != "o-7" {
			w.t.Errorf("fake server received an invalid search request: %s %s %s", m.Method, m.Target, m.Body)
			return
		}
		w.count(w.received, shard)
		status, behaviour := 200, s.waitNotHeld()
		switch behaviour {
		case "hang":
			r.ReadByte() // returns when the broker closes the connection
			w.count(w.dropped, shard)
			return
		case "reset":
			return
		case "error":
			status = 500
		case "reject":
			status = 429
		}
		text := bodies[behaviour]
		if text == "" {
			text = bodies["serve"]
		}
		text = strings.Replace(text, "%d", strconv.Itoa(shard), 1)
		good := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
		switch behaviour {
		case "twice":
			good += good
		case "noise-behind":
			good += "HT"
		case "noise":
			good = "what now?\r\n\r\n"
		case "endless":
			good = "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("9", 1<<16)
		case "huge":
			good = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + text
		case "stops":
			good = good[:len(good)-3]
		}
		fmt.Fprint(conn, good)
		for behaviour == "huge" { // sends until the broker closes the connection
			if _, err := conn.Write(make([]byte, 1<<16)); err != nil {
				w.count(w.dropped, shard)
				return
			}
		}
	}
}
