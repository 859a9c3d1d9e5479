package transport

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"saffronquay/internal/broker/handover"
	"saffronquay/internal/broker/logging"
	"strings"
	"time"
)

const (
	exchangeInterval      = 250 * time.Millisecond // between two writings
	exchangeIntervalPeers = 100 * time.Millisecond // the same, while there is another process
	stateFilePrefix       = "saffronquay-"
	stateFileSuffix       = ".handover"
	staleFileAge          = time.Minute // then what a process left behind is removed
	maxPeerStates         = 8           // states that are read at a time
)

// StateExchange exchanges state with the other processes of this gatherer through files in a shared directory. Each process replaces
// its own file by a rename, so that a reader never sees a part of one.
type StateExchange struct {
	dir, name, path string
	clock           Clock
	snapshot        func() (handover.State, bool)
	peersRead       func([]handover.State)
	log             *slog.Logger
	stop, done      chan struct{}
}

// NewStateExchange makes an exchange in a directory that outlives a process. snapshot returns this process's state, if it has one.
// peersRead gets the latest states of the others after each reading, on Run's goroutine.
func NewStateExchange(dir, name string, clock Clock, snapshot func() (handover.State, bool), met func([]handover.State),
	logger *slog.Logger,
) *StateExchange {
	own := fmt.Sprintf("%s%d-%d%s", stateFilePrefix, os.Getpid(), time.Now().UnixNano(), stateFileSuffix)
	return &StateExchange{
		dir: dir, name: name, path: filepath.Join(dir, own), clock: clock, snapshot: snapshot, peersRead: met,
		log: logger, stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Run writes and reads states until Stop.
func (b *StateExchange) Run() {
	defer close(b.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	failed := false
	for {
		select {
		case <-timer.C:
		case <-b.stop:
			os.Remove(b.path) // one that stays behind grows stale
			return
		}
		if s, ok := b.snapshot(); ok {
			err := b.write(s)
			if err != nil && !failed {
				logging.Warn(b.log, logging.Handover, "error", err)
			}
			failed = err != nil
		}
		others := b.PeerStates()
		b.peersRead(others)
		if timer.Reset(exchangeInterval); len(others) > 0 {
			timer.Reset(exchangeIntervalPeers)
		}
	}
}

// Stop ends Run, waits for it and removes this process's file.
func (b *StateExchange) Stop() {
	close(b.stop)
	<-b.done
}

func (b *StateExchange) write(s handover.State) error {
	s.Name, s.Since, s.At = b.name, b.clock.start.UnixMicro(), b.clock.Now()
	part := b.path + ".part"
	if err := os.WriteFile(part, s.Append(nil), 0o600); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	if err := os.Rename(part, b.path); err != nil {
		return fmt.Errorf("rename: %w", err)
	}
	return nil
}

// PeerStates returns the latest states of the other processes of this gatherer. A file that is malformed, of another version or too
// old is ignored; one older than staleFileAge is removed.
func (b *StateExchange) PeerStates() []handover.State {
	paths, err := filepath.Glob(filepath.Join(b.dir, stateFilePrefix+"*"))
	if err != nil {
		return nil
	}
	var others []handover.State
	for _, path := range paths {
		if path == b.path || len(others) == maxPeerStates {
			continue
		}
		if info, err := os.Stat(path); err != nil || time.Since(info.ModTime()) > staleFileAge {
			os.Remove(path)
			continue
		}
		if !strings.HasSuffix(path, stateFileSuffix) {
			continue
		}
		text, err := readStateFile(path)
		if err != nil {
			continue // it was taken back just now
		}
		if s, err := handover.Parse(text); err == nil && s.Name == b.name && s.IsFresh(b.clock.Now()) {
			others = append(others, s)
		}
	}
	return others
}

func readStateFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return io.ReadAll(io.LimitReader(f, handover.MaxSize+1))
}
