package server

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/broker/logging"
	"saffronquay/internal/broker/transport"
	"saffronquay/internal/broker/vrrp"
	"sync"
	"time"
)

const (
	listenRetryInterval = 100 * time.Millisecond
	maxDrainedListeners = 4 // beyond this number the oldest listener is closed
)

// virtualService listens at the virtual address while this gatherer is the Active router of VRRP.
type virtualService struct {
	clock  transport.Clock
	config config.VRRP
	engine *transport.Engine
	log    *slog.Logger
	router *transport.VirtualRouter // nil: not in the election; the gatherer's goroutine owns it
	stop   chan struct{}            // closed when the Active state ends; the router's goroutine owns it

	mu             sync.Mutex
	listenerConfig transport.ListenerConfig
	front          transport.Front
	listeners      []*transport.Listener // the present one last, and draining ones with queries in flight
}

// setParticipating joins the VRRP election, or leaves it and releases the virtual address. The
// gatherer's goroutine calls it.
func (s *virtualService) setParticipating(on bool) error {
	if on == (s.router != nil) {
		return nil
	}
	if !on {
		s.leave()
		return nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.config.Listen))
	if err != nil {
		return fmt.Errorf("vrrp: listen for advertisements: %w", err)
	}
	s.router = transport.NewVirtualRouter(s.clock, s.config.Router, conn, s.config.Peers, s.onStateChange, s.log)
	go s.router.Run()
	return nil
}

// onStateChange handles a change of the router's state: it starts serving in state Active and drains in
// any other. The router's goroutine calls it, and leave does after that goroutine has ended.
func (s *virtualService) onStateChange(state vrrp.State) {
	if s.stop != nil {
		close(s.stop)
		s.stop = nil
	}
	if state == vrrp.Active {
		s.stop = make(chan struct{})
		go s.serve(s.stop)
	}
}

// serve opens the socket at the virtual address and serves until stop is closed. It retries while the
// router that was Active before still has the address.
func (s *virtualService) serve(stop <-chan struct{}) {
	for {
		socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", s.config.Service)
		if err == nil {
			s.run(socket, stop)
			return
		}
		logging.Warn(s.log, logging.VrrpService, "address", s.config.Service, "error", err)
		t := time.NewTimer(listenRetryInterval)
		select {
		case <-t.C:
		case <-stop:
			t.Stop()
			return
		}
	}
}

// run serves the socket. When stop is closed, its listener drains.
func (s *virtualService) run(socket net.Listener, stop <-chan struct{}) {
	s.mu.Lock()
	l := transport.NewListener(socket, s.listenerConfig, s.engine, s.front, s.log)
	s.listeners = append(s.listeners, l)
	if len(s.listeners) > maxDrainedListeners {
		s.listeners[0].Close()
		s.listeners = s.listeners[1:]
	}
	s.mu.Unlock()
	logging.Info(s.log, logging.VrrpService, "address", s.config.Service)
	go func() {
		<-stop
		l.HandOver(false)
	}()
	if err := l.Serve(); err != nil {
		logging.Error(s.log, logging.VrrpService, "error", err)
	}
}

// reconfigure sets the limits and the front, also for running listeners.
func (s *virtualService) reconfigure(bounds transport.ListenerConfig, front transport.Front) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerConfig, s.front = bounds, front
	for _, l := range s.listeners {
		l.Reconfigure(bounds, front)
	}
}

// quiet reports whether no listener has a request in flight or has received one since the given time.
func (s *virtualService) quiet(since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if !l.IdleSince(since) {
			return false
		}
	}
	return true
}

// conns returns the number of open client connections.
func (s *virtualService) conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.listeners {
		n += l.Conns()
	}
	return n
}

// leave leaves the election and releases the virtual address. A shutdown calls it first, so that a peer
// takes over while this gatherer still answers.
func (s *virtualService) leave() {
	if s.router == nil {
		return
	}
	s.router.Stop()
	s.router = nil
	s.onStateChange(vrrp.Initialize)
}

// close closes all listeners.
func (s *virtualService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
}
