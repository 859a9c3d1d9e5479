// Package fakeworker has a stand-in for model workers: a listener on the loopback whose connections a test serves
// byte by byte, so that it can send what a sound HTTP server would not.
package fakeworker

import (
	"net"
	"testing"
)

// Start accepts connections until the test ends, calls serve for each of them in a goroutine of its own, and closes
// the connection when serve returns. It returns the address of the listener. A connection that is still open when the
// test ends is left to serve, which ends when the client closes it.
func Start(t *testing.T, serve func(conn *net.TCPConn)) (address string) {
	t.Helper()
	listener, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	return listener.Addr().String()
}
