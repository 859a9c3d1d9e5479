package swim

import (
	"fmt"
	"net/netip"
	"testing"
)

// trio returns three live members that all have a fourth one as dead.
func trio(t *testing.T) []*Core {
	t.Helper()
	cores := []*Core{newCore(t, "m0", 0), newCore(t, "m1", 1), newCore(t, "m2", 2)}
	for _, c := range cores {
		for i := range cores {
			c.merge(2*second, Record{Name: fmt.Sprintf("m%d", i), Start: 100, State: Alive, Address: testAddress(i)}, 0)
		}
		c.merge(2*second, Record{Name: "gone", Start: 100, State: Alive, Address: testAddress(8)}, 0)
		m := c.members["gone"]
		dead := m.Record
		dead.State = Dead
		c.setRecord(2*second, m, dead, 0)
	}
	return cores
}

// play runs the cores until a time; messages arrive without delay.
func play(cores []*Core, from, until int64) {
	at := map[netip.AddrPort]*Core{}
	for i, c := range cores {
		at[testAddress(i)] = c
	}
	for now := from; now < until; now += 10_000 {
		for _, c := range cores {
			if now >= c.NextTick() {
				c.Tick(now)
			}
			out := c.TakeOutput()
			for _, d := range out.Datagrams {
				if to := at[d.To]; to != nil {
					to.HandleDatagram(now, d.Bytes)
				}
			}
			for _, open := range out.Exchanges {
				to := at[open.To]
				if to == nil {
					continue
				}
				if answer, err := to.HandleFrame(now, open.Frame); err == nil && answer != nil {
					if rest, err := c.HandleFrame(now, answer); err == nil && rest != nil {
						to.HandleFrame(now, rest)
					}
				}
			}
		}
	}
}

// The record that a dead member was forgotten is gossiped a few times. If all these datagrams are lost, the next exchange carries it: no view goes
// on counting that member.
func TestForgottenAlthoughEveryDatagramIsLost(t *testing.T) {
	for _, x := range []struct {
		name      string
		forgetter int
	}{{"the first opens exchanges too", 0}, {"the last", 2}} {
		t.Run(x.name, func(t *testing.T) {
			cores := trio(t)
			if err := cores[x.forgetter].Forget(2*second, "gone"); err != nil {
				t.Fatal(err)
			}
			c := cores[x.forgetter]
			c.broadcasts.drop(c.members["gone"]) // all gossip about it is lost
			play(cores, 2*second, 42*second)
			for i, c := range cores {
				if a, r := c.AliveCount(), c.EffectiveSize(42*second); a != 3 || r != 3 {
					t.Errorf("m%d: alive %d, effective size %d", i, a, r)
				}
			}
		})
	}
}

// Members with the same dead members exchange no more than the digests.
func TestEqualDeadAreNotSent(t *testing.T) {
	cores := trio(t)
	answer, err := cores[1].HandleFrame(3*second, cores[0].OpeningFrame(3*second))
	if err != nil {
		t.Fatal(err)
	}
	if rest, err := cores[0].HandleFrame(3*second, answer); err != nil || rest != nil {
		t.Errorf("%v: the exchange goes on with %d bytes", err, len(rest))
	}
}
