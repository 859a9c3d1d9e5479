package simulation

import (
	"testing"
	"time"
)

// The traffic of the seconds adds up to the counters of the cores, and the maximum of a second is
// not below its mean.
func TestTraffic_SecondsAddUpToCounts(t *testing.T) {
	steady := runScript(t, Config{Members: 30, Seed: 3, Duration: 20 * time.Second}, "")
	var sent, received, datagrams int64
	for i, s := range steady.Seconds {
		sent, received, datagrams = sent+s.Sent, received+s.Received, datagrams+s.Datagrams
		if s.MaxSent*30 < s.Sent || s.MaxReceived*30 < s.Received || s.MaxSent > s.Sent || s.MaxDatagrams > s.Datagrams {
			t.Errorf("second %d: %+v", i, s)
		}
	}
	if want := steady.Counts.SentBytes + steady.Counts.FrameBytes; sent != want || datagrams != steady.Counts.Sent {
		t.Errorf("sum over seconds: %d bytes and %d datagrams; counters of the cores: %d and %d", sent, datagrams, want, steady.Counts.Sent)
	}
	if received > sent || received < sent*99/100 { // the rest is in flight at the end
		t.Errorf("%d bytes received of %d sent", received, sent)
	}
	r := runScript(t, Config{Members: 30, Seed: 3, WarmStart: true, Duration: 20 * time.Second}, "at 5s kill 3\nat 8s start 3\nat 10s for 5s cut 0-14 15-29")
	quiet, busy := Peak(r.Seconds[1:5]), Peak(r.Seconds[15:20])
	if busy.Sent <= quiet.Sent || busy.MaxReceived <= quiet.MaxReceived {
		t.Errorf("traffic after a healed partition is not above that without events: without %+v, after %+v", quiet, busy)
	}
}
