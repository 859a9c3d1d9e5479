package settings

import (
	"os"
	"sync"
	"time"
)

// Source gives the settings as the file has them now: it is looked at again where it has changed, which may happen without any signal.
type Source struct {
	path     string
	overrule Overrule

	mu       sync.Mutex
	current  *Settings
	modified time.Time
	looked   time.Time
}

// lookEach bounds how often the file is looked at.
const lookEach = time.Second

// Overrule changes settings after they were read, as the command line says.
type Overrule func(*Settings)

// NewSource reads a file for the first time.
func NewSource(path string, overrule Overrule) (*Source, error) {
	s, err := Load(path)
	if err != nil {
		return nil, err
	}
	overrule(s)
	return &Source{path: path, overrule: overrule, current: s, looked: time.Now()}, nil
}

// Current returns the newest settings that could be read.
func (s *Source) Current() *Settings {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.looked) < lookEach {
		return s.current
	}
	s.looked = time.Now()
	info, err := os.Stat(s.path)
	if err != nil || info.ModTime().Equal(s.modified) {
		return s.current
	}
	s.modified = info.ModTime()
	if changed, err := Load(s.path); err == nil {
		s.overrule(changed)
		s.current = changed
	}
	return s.current
}
