package settings

import (
	"os"
	"sync"
	"time"
)

// checkInterval is the least time between two checks whether the file was changed.
const checkInterval = time.Second

// Override changes settings after they were read from the file, as the command line says. It is called for each version of the file.
type Override func(*Settings)

// Source has the settings that are in force. It reads the file again after it was changed, which takes no signal.
type Source struct {
	path     string
	override Override

	mu         sync.Mutex
	current    *Settings
	modifiedAt time.Time // modification time of the file as it was last read by Current
	checkedAt  time.Time
}

// NewSource reads the file at a path and applies override, which must not be nil. The error is that of Load.
func NewSource(path string, override Override) (*Source, error) {
	s, err := Load(path)
	if err != nil {
		return nil, err
	}
	override(s)
	return &Source{path: path, override: override, current: s, checkedAt: time.Now()}, nil
}

// Current returns the newest settings that could be read. At most every checkInterval it checks the file's modification time, and reads the
// file if that is new. A file that cannot be read or has faults is ignored until its modification time is another one. The settings are shared
// and must not be changed.
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
