package simulation

import (
	"testing"
	"time"
)

// The traffic of the seconds adds up to what the cores count, and the maximum of a second is no less than the mean.
func TestSecondsAddUp(t *testing.T) {
	calm := play(t, Config{Members: 30, Seed: 3, Duration: 20 * time.Second}, "")
	var sent, received, datagrams int64
	for i, s := range calm.Seconds {
		sent, received, datagrams = sent+s.Sent, received+s.Received, datagrams+s.Datagrams
		if s.MaxSent*30 < s.Sent || s.MaxReceived*30 < s.Received || s.MaxSent > s.Sent || s.MaxDatagrams > s.Datagrams {
			t.Errorf("second %d: %+v", i, s)
		}
	}
	if want := calm.Counts.SentBytes + calm.Counts.FrameBytes; sent != want || datagrams != calm.Counts.Sent {
		t.Errorf("%d bytes and %d datagrams by seconds, %d and %d by the cores", sent, datagrams, want, calm.Counts.Sent)
	}
	if received > sent || received < sent*99/100 { // the rest is in flight at the end
		t.Errorf("%d bytes received of %d", received, sent)
	}
	r := play(t, Config{Members: 30, Seed: 3, WarmStart: true, Duration: 20 * time.Second}, "at 5s kill 3\nat 8s start 3\nat 10s for 5s cut 0-14 15-29")
	quiet, busy := Peak(r.Seconds[1:5]), Peak(r.Seconds[15:20])
	if busy.Sent <= quiet.Sent || busy.MaxReceived <= quiet.MaxReceived {
		t.Errorf("two halves that are joined again send no more than at rest: %+v, %+v", quiet, busy)
	}
}
