package vrrp

import (
	"fmt"
	"net/netip"
	"testing"
)

var virtual = []netip.Addr{netip.MustParseAddr("192.0.2.1")}

func newRouter(priority byte, preempt bool) *Machine {
	return New(Config{
		VRID: 7, Priority: priority, Interval: 100, Preempt: preempt, Addresses: virtual,
		Primary: netip.MustParseAddr("192.0.2.20"),
	})
}

func advertisement(priority byte, interval int64) Advertisement {
	return Advertisement{VRID: 7, Priority: priority, Interval: interval, Addresses: virtual}
}

const second = 1_000_000

var low, high = netip.MustParseAddr("192.0.2.10"), netip.MustParseAddr("192.0.2.30")

// expect checks a machine's state, its timer and the priority of the advertisement that it sent;
// -1: none.
func expect(t *testing.T, step string, m *Machine, sent *Advertisement, state State, timer int64, priority int) {
	t.Helper()
	got := -1
	if sent != nil {
		got = int(sent.Priority)
	}
	at, ok := m.Timer()
	if m.State() != state || ok && at != timer || got != priority {
		t.Errorf("%s: %s until %d, sent %d; want %s until %d, sent %d", step, m.State(), at, got, state, timer, priority)
	}
}

func TestMachine_Election(t *testing.T) {
	m := newRouter(100, true)
	expect(t, "new", m, nil, Initialize, 0, -1)
	skew := int64(156 * second / 256)
	expect(t, "start", m, m.Start(0), Backup, 3*second+skew, -1)
	expect(t, "higher priority", m, m.Receive(second, advertisement(200, 100), low), Backup, 4*second+skew, -1)
	expect(t, "lower priority is ignored", m, m.Receive(2*second, advertisement(50, 100), high), Backup, 4*second+skew, -1)
	expect(t, "before the timer", m, m.Tick(4*second), Backup, 4*second+skew, -1)
	expect(t, "timer expires", m, m.Tick(4*second+skew), Active, 5*second+skew, 100)
	expect(t, "next interval", m, m.Tick(5*second+skew), Active, 6*second+skew, 100)
	expect(t, "lower priority is answered immediately", m, m.Receive(5*second+skew, advertisement(50, 100), high), Active, 6*second+skew, 100)
	expect(t, "equal priority, lower address", m, m.Receive(5*second+skew, advertisement(100, 100), low), Active, 6*second+skew, 100)
	expect(t, "other router ID", m, m.Receive(6*second, Advertisement{VRID: 8, Priority: 255, Interval: 1}, high), Active, 6*second+skew, -1)
	// From here on the interval and the skew time are those of the Active router.
	expect(t, "equal priority, higher address", m, m.Receive(6*second, advertisement(100, 200), high), Backup, 12*second+2*skew, -1)
	expect(t, "Active router stops", m, m.Receive(7*second, advertisement(0, 200), high), Backup, 7*second+2*skew, -1)
	expect(t, "skew time has passed", m, m.Tick(7*second+2*skew), Active, 8*second+2*skew, 100)
	expect(t, "other router stops", m, m.Receive(8*second, advertisement(0, 100), high), Active, 9*second, 100)
	expect(t, "stop", m, m.Stop(), Initialize, 0, 0)
	expect(t, "ignored in Initialize", m, m.Receive(9*second, advertisement(50, 100), high), Initialize, 0, -1)
}

func TestMachine_OwnerAndNoPreemption(t *testing.T) {
	m := newRouter(Owner, true)
	expect(t, "the owner starts as Active", m, m.Start(0), Active, second, Owner)
	m = newRouter(200, false)
	skew := int64(56 * second / 256)
	m.Start(0)
	expect(t, "no preemption of a lower priority", m, m.Receive(second, advertisement(50, 100), low), Backup, 4*second+skew, -1)
	expect(t, "a Backup stops without an advertisement", m, m.Stop(), Initialize, 0, -1)
}

func TestAdvertisement_RoundTrip(t *testing.T) {
	b, err := advertisement(100, 300).Append(nil)
	if want := "3107640101 2c"; err != nil || fmt.Sprintf("%x %x", b[:5], b[5]) != want {
		t.Fatalf("encoded %x, %v", b, err)
	}
	a, err := Parse(b)
	if err != nil || fmt.Sprint(a) != fmt.Sprint(advertisement(100, 300)) {
		t.Errorf("%v, %v", a, err)
	}
	for i := range b { // a change of any byte is an error
		c := append([]byte(nil), b...)
		c[i] ^= 0x11
		if got, err := Parse(c); err == nil {
			t.Errorf("Parse accepted a packet with byte %d changed: %v", i, got)
		}
	}
	for i := range b {
		if _, err := Parse(b[:i]); err == nil {
			t.Errorf("Parse accepted a packet truncated to %d bytes", i)
		}
	}
	if _, err := advertisement(1, 4096).Append(nil); err == nil {
		t.Error("Append accepted an interval of more than 12 bits")
	}
}

func FuzzParse(f *testing.F) {
	b, _ := advertisement(100, 300).Append(nil)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := Parse(b)
		if err != nil {
			return
		}
		if _, err := a.Append(nil); err != nil {
			t.Errorf("append of the parsed %v: %v", a, err)
		}
	})
}
