package endtoend

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// withVRRP adds a virtual router to the configuration that env names, and returns the environment that
// names the result.
func withVRRP(t *testing.T, env []string, router map[string]any) []string {
	_, path, _ := strings.Cut(env[0], "=")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	file["vrrp"] = router
	w := &world{}
	writeJSON(t, w, file)
	return []string{"SAFFRONQUAY_OPERATOR_FILE=" + w.configFile}
}

func freePort(t *testing.T) int {
	l, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.LocalAddr().(*net.UDPAddr).Port
}

// Two brokers share a virtual address. The address must stay served when the active broker goes on
// standby, becomes active again, and exits.
func TestVirtualAddress_Failover(t *testing.T) {
	t.Parallel()
	port := freePort(t)
	service := fmt.Sprintf("127.0.0.10:%d", port)
	worlds := map[string]*world{}
	for i, name := range []string{"first", "second"} {
		w := prepare(t, openSearchDialect{})
		w.start(withVRRP(t, w.d.config(t, w), map[string]any{
			"vrid": 7, "priority": 200 - 100*i, "interval_ms": 100,
			"listen": fmt.Sprintf("127.0.0.%d:%d", 11+i, port), "service": service,
			"peers": []any{map[string]any{"address": fmt.Sprintf("127.0.0.%d:%d", 12-i, port)}},
		}))
		worlds[name] = w
	}
	served := func() string {
		end := time.Now().Add(waitTimeout)
		for last := ""; ; {
			if !time.Now().Before(end) {
				return last
			}
			conn, err := net.DialTimeout("tcp", service, waitTimeout)
			if err != nil {
				last = err.Error()
				continue
			}
			conn.Write(openSearchDialect{}.request("safe", []int{2, 0}, 3000))
			m, err := readMessage(conn, bufio.NewReader(conn), true)
			conn.Close()
			if err != nil { // the address moved to the other broker during the request
				last = err.Error()
				continue
			}
			return openSearchDialect{}.outcome(m)
		}
	}
	if got := served(); got != "answered 0,2" {
		t.Fatalf("request after the start: %s", got)
	}
	// standby releases the address; active lets the router with the higher priority take it back.
	first, second := worlds["first"], worlds["second"]
	for i, call := range []string{"standby", "active", "standby", "active"} {
		if got := first.call(call); !strings.HasPrefix(got, "YES") {
			t.Fatalf("%s: %s", call, got)
		}
		w := []*world{second, first}[i%2]
		if !w.await(w.logged, loggedVRRPActive, i/2+1+(i%2)) {
			t.Fatalf("%s: the virtual address did not move", call)
		}
		if got := served(); got != "answered 0,2" {
			t.Errorf("request after %s: %s", call, got)
		}
	}
	if err := first.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-first.exited; err != nil {
		t.Fatalf("the first broker exited with %v", err)
	}
	if got := served(); got != "answered 0,2" {
		t.Errorf("request after the first broker exited: %s", got)
	}
}

// A process that replaces another takes over the virtual address once the old process has released it.
// It must not exit because the address is still in use.
func TestVirtualAddress_Handover(t *testing.T) {
	t.Parallel()
	port := freePort(t)
	w := prepare(t, openSearchDialect{})
	w.passSocket()
	w.start(withVRRP(t, w.d.config(t, w), map[string]any{
		"vrid": 8, "priority": 200, "interval_ms": 100,
		"listen": fmt.Sprintf("127.0.0.14:%d", port), "service": fmt.Sprintf("127.0.0.15:%d", port),
		"peers": []any{map[string]any{"address": fmt.Sprintf("127.0.0.16:%d", port)}},
	}))
	if !w.await(w.logged, loggedVRRPActive, 1) {
		t.Fatal("the virtual address was not served")
	}
	seen := []string{}
	for _, step := range []string{
		"wait handed 0", "replace", "call status = YES", "stop old", "expect exit old",
		"send a safe 2", "expect a answered 2",
	} {
		if err := w.step(strings.Fields(step), &seen); err != nil {
			t.Fatalf("%s: %v", step, err)
		}
	}
	if !w.await(w.logged, loggedVRRPActive, 2) {
		t.Error("the virtual address was not served by the new process")
	}
}
