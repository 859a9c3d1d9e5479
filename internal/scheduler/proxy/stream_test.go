package proxy

import (
	"log/slog"
	"saffronquay/internal/scheduler/forward"
	"saffronquay/internal/scheduler/worker"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The request that resumes a stream contains the ID of the last event, does not modify the first
// request, and has no arrival time.
func TestResumeRequest(t *testing.T) {
	is := is.New(t)
	headers := append(make([]worker.Header, 0, 4), worker.Header{Name: "Model", Value: "m"})
	first := &forward.Request{ID: "r1", URI: "/x", Headers: headers, Arrived: time.Unix(1, 0)}
	next := resumeRequest(first, "41")
	other := resumeRequest(first, "42")
	is.Equal(next.Headers, []worker.Header{{Name: "Model", Value: "m"}, {Name: "Last-Event-Id", Value: "41"}})
	is.Equal(other.Headers[1].Value, "42")
	is.Equal(next.ID, "r1")
	is.True(next.Arrived.IsZero())
	is.Equal(len(first.Headers), 1)
	is.Equal(first.Arrived, time.Unix(1, 0))
}

// A panic while a stream is relayed ends the stream with an error and does not end the process.
func TestStreamRelayPanic(t *testing.T) {
	is := is.New(t)
	// Read panics, as the relay has no response.
	relay := &streamRelay{proxy: &Proxy{log: slog.New(slog.DiscardHandler)}, request: &forward.Request{ID: "r"}}
	_, err := relay.Read(make([]byte, 9))
	is.Equal(err, errPanicked)
}
