package worker

import (
	"bytes"
	"testing"
)

// FuzzEvents checks that a stream of arbitrary bytes ends after at most as many events as it has
// bytes.
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
		t.Error("EventReader.Next returned more events than the body has bytes")
	})
}
