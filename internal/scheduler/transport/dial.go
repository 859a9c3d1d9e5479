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
	// DialTimeout bounds the time that Dial takes to establish a connection.
	DialTimeout = 400 * time.Millisecond
	// userTimeout bounds how long sent bytes may stay unacknowledged before the system closes the connection.
	userTimeout = 1500 * time.Millisecond
	// tcpUserTimeout is Linux's option TCP_USER_TIMEOUT, which package syscall doesn't name.
	tcpUserTimeout = 0x12
	// listenAttempts and listenRetryInterval say how long ListenTCP waits for an address that is in use: 2 s.
	listenAttempts      = 40
	listenRetryInterval = 50 * time.Millisecond
)

// Dial opens a connection over IPv4. It fails after DialTimeout. The connection breaks when its peer does not acknowledge what was sent for
// 1.5 s; a connection without traffic is not checked.
func Dial(address string) (net.Conn, error) { return DialWithin(address, DialTimeout) }

// DialWithin is Dial with another bound on the time that it takes to establish the connection.
func DialWithin(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
	return dialer.Dial("tcp4", address)
}

// setUserTimeout sets the TCP user timeout of a new socket. A system that does not know the option is no error.
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

// ListenTCP opens a listening socket over IPv4. If the address is in use, as an earlier process of the machine may still have it, it tries again
// for up to 2 s. Any other error is returned at once. ctx is used while a name in the address is resolved; its end does not close the socket.
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
