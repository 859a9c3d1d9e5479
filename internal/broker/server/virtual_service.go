package server

import (
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

// service listens at the virtual address while this gatherer is the Active router.
type virtualService struct {
	clock  transport.Clock
	config config.VRRP
	engine *transport.Engine
	log    *slog.Logger
	router *transport.Redundancy // nil: on standby, or leaving; the main goroutine owns it
	stop   chan struct{}         // ends the present time as Active; the router's goroutine owns it

	mu             sync.Mutex
	listenerConfig transport.ListenerConfig
	front          transport.Front
	listeners      []*transport.Listener // the present one, and drained ones that may still have answers to give
}

const (
	listenRetryInterval = 100 * time.Millisecond
	maxDrainedListeners = 4 // then the oldest is closed
)

// compete takes part in the election, or gives the virtual address up and takes no part.
func (s *virtualService) compete(on bool) error {
	if on == (s.router != nil) {
		return nil
	}
	if !on {
		s.leave()
		return nil
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.config.Listen))
	if err != nil {
		return fmt.Errorf("vrrp: listen: %w", err)
	}
	s.router = transport.NewRedundancy(s.clock, s.config.Router, conn, s.config.Peers, s.onStateChange, s.log)
	go s.router.Run()
	return nil
}

// become follows the router's state.
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

// serve listens until stop. The address may still be held for a moment by the router that was Active before.
func (s *virtualService) serve(stop <-chan struct{}) {
	for {
		socket, err := net.Listen("tcp", s.config.Service)
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

// reconfigure puts other bounds and another front in force.
func (s *virtualService) reconfigure(bounds transport.ListenerConfig, front transport.Front) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenerConfig, s.front = bounds, front
	for _, l := range s.listeners {
		l.Reconfigure(bounds, front)
	}
}

// quiet tells that no listener has a request in hand, nor has had one since a time.
func (s *virtualService) quiet(since int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		if !l.Quiet(since) {
			return false
		}
	}
	return true
}

// conns is how many clients' connections are open.
func (s *virtualService) conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.listeners {
		n += l.Conns()
	}
	return n
}

// leave gives the virtual address up, first of all: a peer takes over while this one still answers.
func (s *virtualService) leave() {
	if s.router == nil {
		return
	}
	s.router.Stop()
	s.router = nil
	s.onStateChange(vrrp.Initialize)
}

// close ends what is left.
func (s *virtualService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.Close()
	}
}
