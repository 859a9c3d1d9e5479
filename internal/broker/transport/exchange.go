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
	exchangeInterval      = 250 * time.Millisecond // between two writes
	exchangeIntervalPeers = 100 * time.Millisecond // the same, while another process of this gatherer is running
	stateFilePrefix       = "saffronquay-"
	stateFileSuffix       = ".handover"
	staleFileAge          = time.Minute // older files were left behind by dead processes and are removed
	maxPeerStates         = 8           // maximum number of states read in one pass
)

// StateExchange exchanges state with the other processes of this gatherer through files in a shared
// directory. Each process replaces its own file by a rename, so that readers never see a partial
// write.
type StateExchange struct {
	dir, name, path string
	clock           Clock
	snapshot        func() (handover.State, bool)
	peersRead       func([]handover.State)
	log             *slog.Logger
	stop, done      chan struct{}
}

// NewStateExchange returns an exchange over dir, a directory that outlives the process. snapshot
// returns this process's state; ok is false if it is not available. peersRead receives the latest
// states of the others after each read, on Run's goroutine.
func NewStateExchange(dir, name string, clock Clock, snapshot func() (handover.State, bool), peersRead func([]handover.State),
	logger *slog.Logger,
) *StateExchange {
	own := fmt.Sprintf("%s%d-%d%s", stateFilePrefix, os.Getpid(), time.Now().UnixNano(), stateFileSuffix)
	return &StateExchange{
		dir: dir, name: name, path: filepath.Join(dir, own), clock: clock, snapshot: snapshot, peersRead: peersRead,
		log: logger, stop: make(chan struct{}), done: make(chan struct{}),
	}
}

// Run writes and reads states until Stop is called.
func (b *StateExchange) Run() {
	defer close(b.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	failed := false
	for {
		select {
		case <-timer.C:
		case <-b.stop:
			os.Remove(b.path) // if the removal fails, the file expires
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
		return fmt.Errorf("write handover state: %w", err)
	}
	if err := os.Rename(part, b.path); err != nil {
		return fmt.Errorf("replace handover state: %w", err)
	}
	return nil
}

// PeerStates returns the latest states of the other processes of this gatherer. It ignores files
// that are malformed, of another version or too old, and removes files older than staleFileAge.
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
			continue // its process may have just removed it
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
