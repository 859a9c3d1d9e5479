package settings

import (
	"os"
	"sync"
	"time"
)

// checkInterval is the minimum interval between two checks of the file's modification time.
const checkInterval = time.Second

// Override applies the command line's overrides to settings that were read from the file. It is called
// after each load of the file.
type Override func(*Settings)

// Source provides the current settings. It reloads the file after a change, without a signal. It is
// safe for concurrent use.
type Source struct {
	path     string
	override Override

	mu         sync.Mutex
	current    *Settings
	modifiedAt time.Time // modification time of the file when Current last read it
	checkedAt  time.Time
}

// NewSource loads the file at path and applies override, which must not be nil. It returns the errors
// of Load.
func NewSource(path string, override Override) (*Source, error) {
	s, err := Load(path)
	if err != nil {
		return nil, err
	}
	override(s)
	return &Source{path: path, override: override, current: s, checkedAt: time.Now()}, nil
}

// Current returns the latest valid settings. It checks the file's modification time at most once per
// checkInterval, and reloads the file if it has changed. An invalid or unreadable file is ignored until
// its modification time changes again. The settings are shared and must not be modified.
func (s *Source) Current() *Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < checkInterval {
		return s.current
	}
	s.checkedAt = time.Now()
	info, err := os.Stat(s.path)
	if err != nil || info.ModTime().Equal(s.modifiedAt) {
		return s.current
	}
	s.modifiedAt = info.ModTime()
	if changed, err := Load(s.path); err == nil {
		s.override(changed)
		s.current = changed
	}
	return s.current
}
