package endtoend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// unavailableDiscovery returns an address at which discovery is unavailable: it refuses connections or,
// if silent, accepts them and never responds. back ends the outage and frees the address.
func unavailableDiscovery(t *testing.T, silent bool) (address string, back func()) {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	back = func() {
		stopListening(t, l)
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
		conns = nil
	}
	t.Cleanup(back)
	if !silent {
		stopListening(t, l)
		return l.Addr().String(), back
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
		}
	}()
	return l.Addr().String(), back
}

// requestHealth requests the program's health on a new connection and returns the status line of the
// response. within bounds the connect and the request each.
func (w *world) requestHealth(within time.Duration) (string, error) {
	conn, err := net.DialTimeout("tcp", w.address, within)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(within))
	fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

// While discovery is down, idle clients use up the file descriptors: some have never sent a request,
// some are idle after one. The program must not evict clients with a request in flight. When discovery
// returns, the program must get its watch, its server connections and new clients, although idle clients
// keep connecting. A ulimit enforces the descriptor limit.
func TestDiscoveryOutage_IdleClients(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%t", silent), func(t *testing.T) {
			t.Parallel()
			w := prepare(t, platformDialect{})
			address, back := unavailableDiscovery(t, silent)
			writePlatform(t, w, address)
			w.descriptors = 256
			w.start([]string{"LB_CONFIG=" + w.configFile, "LB_LISTEN=", "LB_DISCOVERY=" + address, "LB_NAME="})
			for _, s := range w.servers {
				s.set(w, "hold")
			}
			for i := range 4 {
				w.send(fmt.Sprint("held", i), w.d.request("safe", []int{i}, 15_000))
				if !w.await(w.received, i, 1) {
					t.Fatal("request did not reach its server")
				}
			}
			idle := func(n int) {
				for i := range n {
					conn, err := net.DialTimeout("tcp", w.address, waitTimeout)
					if err != nil {
						t.Fatal(err)
					}
					t.Cleanup(func() { conn.Close() })
					if i%2 == 0 {
						fmt.Fprint(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
					}
				}
			}
			idle(400)
			if line, err := w.requestHealth(waitTimeout); !strings.Contains(line, "200") {
				t.Errorf("health check while idle clients use up the descriptors: %q, %v", line, err)
			}
			back()
			began := time.Now()
			discoveryAt(t, w, address, 41, nil)
			w.fleetChanges <- "s3 DRAINING"
			if !w.await(w.logged, 42, 1) {
				t.Fatal("program did not log the change of the fleet")
			}
			if took := time.Since(began); took > 8*time.Second { // 6 s, plus 2 s for a machine that runs other tests
				t.Errorf("program logged the change of the fleet %v after discovery returned, want at most 8s", took)
			}
			idle(100)
			for _, s := range w.servers {
				s.set(w, "serve")
			}
			for i := range 4 {
				if got := <-w.clients[fmt.Sprint("held", i)].outcomes; got != fmt.Sprintf("answered %d", i) {
					t.Errorf("request in flight for shard %d: %s", i, got)
				}
			}
			w.send("new", w.d.request("safe", []int{0, 1}, 15_000))
			if got := <-w.clients["new"].outcomes; got != "answered 0,1" {
				t.Errorf("request of a new client: %s", got)
			}
		})
	}
}

// A process is ready within ten seconds of its start, even under load from the start and with discovery
// unavailable: it starts with the list in its configuration. It waits for discovery only if it replaces
// another process, and then at most one second for the full list.
func TestStartup_ReadyWithinTenSeconds(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, passed := range []bool{false, true} {
			t.Run(fmt.Sprintf("silent=%t/passed=%t", silent, passed), func(t *testing.T) {
				t.Parallel()
				w := prepare(t, platformDialect{})
				address, _ := unavailableDiscovery(t, silent)
				writePlatform(t, w, address)
				stop := make(chan struct{})
				var load sync.WaitGroup
				if passed { // clients connect before the program starts and wait in the socket's accept queue
					w.passSocket()
					l, err := net.FileListener(w.socket)
					if err != nil {
						t.Fatal(err)
					}
					at := l.Addr().String()
					l.Close()
					for range 20 {
						load.Go(func() {
							for {
								select {
								case <-stop:
									return
								default:
								}
								conn, err := net.DialTimeout("tcp", at, waitTimeout)
								if err != nil {
									return
								}
								conn.SetDeadline(time.Now().Add(waitTimeout))
								conn.Write(w.d.request("safe", []int{0, 1, 2, 3}, 2000))
								io.CopyN(io.Discard, conn, 12)
								conn.Close()
							}
						})
					}
				}
				began := time.Now()
				w.start([]string{"LB_CONFIG=" + w.configFile, "LB_LISTEN=", "LB_DISCOVERY=" + address, "LB_NAME="})
				line, err := w.requestHealth(10 * time.Second)
				if took := time.Since(began); !strings.Contains(line, "200") || took > 10*time.Second {
					t.Errorf("health check: %q, %v, after %v; want status 200 within 10s", line, err, took)
				}
				close(stop)
				load.Wait()
			})
		}
	}
}
