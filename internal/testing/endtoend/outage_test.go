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

// away is an address at which discovery is not now, in a way: it refuses, or it takes calls and says nothing. back ends that, and has
// the address free again.
func away(t *testing.T, silent bool) (address string, back func()) {
	t.Helper()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.2:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	back = func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
		conns = nil
	}
	t.Cleanup(back)
	if !silent {
		l.Close()
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

// asks asks how the program stands on a connection of its own, within a time.
func (w *world) asks(within time.Duration) (string, error) {
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

// Idle clients may fill the descriptors while discovery is down: some that never said anything, some that have asked and rest. Who has a
// request in hand is not evicted for them; when discovery returns it has its watch, servers their connections and new clients theirs, although
// the idle ones go on coming. The program may really open no more than it was told.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("silent=%t", silent), func(t *testing.T) {
			t.Parallel()
			w := prepare(t, platformDialect{})
			address, back := away(t, silent)
			writePlatform(t, w, address)
			w.descriptors = 256
			w.start([]string{"LB_CONFIG=" + w.file, "LB_LISTEN=", "LB_DISCOVERY=" + address, "LB_NAME="})
			for _, s := range w.servers {
				s.set(w, "hold")
			}
			for i := range 4 {
				w.send(fmt.Sprint("held", i), w.d.request("safe", []int{i}, 15_000))
				if !w.await(w.received, i, 1) {
					t.Fatal("a request never reached its server")
				}
			}
			idle := func(n int) {
				for i := range n {
					conn, err := net.DialTimeout("tcp", w.address, patience)
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
			if line, err := w.asks(patience); !strings.Contains(line, "200") {
				t.Errorf("full of idle clients: %q, %v", line, err)
			}
			back()
			began := time.Now()
			discoveryAt(t, w, address, 41, nil)
			w.lists <- "s3 DRAINING"
			if !w.await(w.told, 42, 1) {
				t.Fatal("the change was never told")
			}
			if took := time.Since(began); took > 8*time.Second { // six, and two for a machine that is busy with other tests
				t.Errorf("the change was told %v after discovery's return", took)
			}
			idle(100)
			for _, s := range w.servers {
				s.set(w, "serve")
			}
			for i := range 4 {
				if got := <-w.clients[fmt.Sprint("held", i)].got; got != fmt.Sprintf("answered %d", i) {
					t.Errorf("the request in hand for shard %d: %s", i, got)
				}
			}
			w.send("new", w.d.request("safe", []int{0, 1}, 15_000))
			if got := <-w.clients["new"].got; got != "answered 0,1" {
				t.Errorf("a new client: %s", got)
			}
		})
	}
}

// A process is ready within ten seconds of its start, under load from its first moment, wherever discovery is: it begins with the list that its
// configuration has, and waits for nothing else but, where it takes another process's place, a second for the whole list.
func TestReadyWithinTenSeconds(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, passed := range []bool{false, true} {
			t.Run(fmt.Sprintf("silent=%t/passed=%t", silent, passed), func(t *testing.T) {
				t.Parallel()
				w := prepare(t, platformDialect{})
				address, _ := away(t, silent)
				writePlatform(t, w, address)
				stop := make(chan struct{})
				var load sync.WaitGroup
				if passed { // clients come before it does, and wait in the socket's queue
					w.pass()
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
								conn, err := net.DialTimeout("tcp", at, patience)
								if err != nil {
									return
								}
								conn.SetDeadline(time.Now().Add(patience))
								conn.Write(w.d.request("safe", []int{0, 1, 2, 3}, 2000))
								io.CopyN(io.Discard, conn, 12)
								conn.Close()
							}
						})
					}
				}
				began := time.Now()
				w.start([]string{"LB_CONFIG=" + w.file, "LB_LISTEN=", "LB_DISCOVERY=" + address, "LB_NAME="})
				line, err := w.asks(10 * time.Second)
				if took := time.Since(began); !strings.Contains(line, "200") || took > 10*time.Second {
					t.Errorf("%q, %v, after %v", line, err, took)
				}
				close(stop)
				load.Wait()
			})
		}
	}
}
