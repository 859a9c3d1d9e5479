package config

import (
	"bytes"
	"fmt"
)

// stableReads bounds how often a file that changes is read.
const stableReads = 5

// ReadStable reads a file until two readings agree. Guards against judging one half of a file that is being written, with what was
// there before as its other half.
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
