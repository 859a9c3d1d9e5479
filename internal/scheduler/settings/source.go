package settings

import (
	"os"
	"sync"
	"time"
)

// Source gives the settings as the file has them now: it is looked at again where it has changed, which may happen without any signal.
type Source struct {
	path     string
	override Override

	mu         sync.Mutex
	current    *Settings
	modifiedAt time.Time
	checkedAt  time.Time
}

// checkInterval bounds how often the file is looked at.
const checkInterval = time.Second

// Override changes settings after they were read, as the command line says.
type Override func(*Settings)

// NewSource reads a file for the first time.
func NewSource(path string, overrule Override) (*Source, error) {
	s, err := Load(path)
	if err != nil {
		return nil, err
	}
	overrule(s)
	return &Source{path: path, override: overrule, current: s, checkedAt: time.Now()}, nil
}

// Current returns the newest settings that could be read.
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
