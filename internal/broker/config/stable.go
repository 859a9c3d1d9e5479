package config

import (
	"bytes"
	"fmt"
)

// stableReads is how often a changing file is read at most.
const stableReads = 5

// ReadStable reads a file until two readings agree. It protects against a file that is being
// written, whose second half is still the old one.
func ReadStable(path string, readFile func(string) ([]byte, error)) ([]byte, error) {
	last, err := readFile(path)
	if err != nil {
		return nil, err
	}
	for range stableReads {
		now, err := readFile(path)
		if err != nil {
			return nil, err
		}
		if bytes.Equal(now, last) {
			return now, nil
		}
		last = now
	}
	return nil, fmt.Errorf("%s: it changes while it is read", path)
}
