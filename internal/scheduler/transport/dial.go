package transport

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// DialTimeout bounds how long Dial takes to establish a connection.
	DialTimeout = 400 * time.Millisecond
	// userTimeout bounds how long sent bytes may remain unacknowledged before the kernel closes the
	// connection.
	userTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall doesn't
	// define.
	tcpUserTimeout = 0x12
	// ListenTCP makes listenAttempts attempts, listenRetryInterval apart, if an address is in use:
	// it waits for 2 s in total.
	listenAttempts      = 40
	listenRetryInterval = 50 * time.Millisecond
)

// Dial opens a connection over IPv4, within DialTimeout. The connection fails if its peer does not
// acknowledge sent bytes for 1.5 s; an idle connection is not probed.
func Dial(address string) (net.Conn, error) { return DialWithTimeout(address, DialTimeout) }

// DialWithTimeout is Dial with the given timeout instead of DialTimeout.
func DialWithTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.Dial("tcp4", address)
}

// setUserTimeout sets the TCP user timeout of a new socket. It returns nil if the system doesn't
// support the option.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err == nil && optionErr != nil && !errors.Is(optionErr, syscall.ENOPROTOOPT) {
		err = os.NewSyscallError("setsockopt", optionErr)
	}
	return err
}

// ListenTCP opens a listening socket over IPv4. If the address is in use, possibly by an earlier
// process on this machine, it retries for up to 2 s. Any other error is returned immediately. ctx
// is only used to resolve a name in the address; its end does not close the socket.
func ListenTCP(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	var err error
	for range listenAttempts {
		var listener net.Listener
		if listener, err = config.Listen(ctx, "tcp4", address); err == nil {
			return listener, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
		time.Sleep(listenRetryInterval)
	}
	return nil, err
}
