package config

import (
	"bytes"
	"fmt"
)

// maxStableReads is the maximum number of times that a file is read again while it changes.
const maxStableReads = 5

// ReadStable reads a file until two consecutive reads return the same content. This avoids reading
// a file that is being written, whose second half is still the old one.
func ReadStable(path string, readFile func(string) ([]byte, error)) ([]byte, error) {
	last, err := readFile(path)
	if err != nil {
		return nil, err
	}
	for range maxStableReads {
		now, err := readFile(path)
		if err != nil {
			return nil, err
		}
		if bytes.Equal(now, last) {
			return now, nil
		}
		last = now
	}
	return nil, fmt.Errorf("%s: file changes while it is being read", path)
}
