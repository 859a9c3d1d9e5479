package worker

import (
	"bytes"
	"testing"
)

// FuzzEvents reads streams of arbitrary bytes to their end.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\nweight-versions: 3\ndata: a\ndata: b\n\nid: 2\ndata:\n\n"))
	f.Add([]byte(": comment\r\n\r\nid: x"))
	f.Fuzz(func(t *testing.T, body []byte) {
		events := NewEventReader(bytes.NewReader(body))
		for range len(body) + 1 {
			if _, err := events.Next(); err != nil {
				return
			}
		}
		t.Error("more events than bytes")
	})
}
