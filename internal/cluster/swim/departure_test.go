package swim

import (
	"fmt"
	"net/netip"
	"testing"
)

// newCoresWithDeadMember returns three live members in whose views a fourth one is dead.
func newCoresWithDeadMember(t *testing.T) []*Core {
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

// runCores runs the cores in virtual time; messages arrive without delay.
func runCores(cores []*Core, from, until int64) {
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

// Guards against a forgotten member that stays in the effective size of other views: the record
// that it was forgotten is gossiped a limited number of times, and if all these datagrams are lost,
// the next exchange must deliver it.
func TestForget_AllDatagramsLost(t *testing.T) {
	for _, x := range []struct {
		name      string
		forgetter int
	}{{"the first opens exchanges too", 0}, {"the last", 2}} {
		t.Run(x.name, func(t *testing.T) {
			cores := newCoresWithDeadMember(t)
			if err := cores[x.forgetter].Forget(2*second, "gone"); err != nil {
				t.Fatal(err)
			}
			c := cores[x.forgetter]
			c.broadcasts.drop(c.members["gone"]) // all gossip about it is lost
			runCores(cores, 2*second, 42*second)
			for i, c := range cores {
				if a, r := c.AliveCount(), c.EffectiveSize(42*second); a != 3 || r != 3 {
					t.Errorf("m%d: alive %d, effective size %d", i, a, r)
				}
			}
		})
	}
}

// An exchange between members with the same dead members ends after the digests.
func TestExchange_EqualDeadMembersNotSent(t *testing.T) {
	cores := newCoresWithDeadMember(t)
	answer, err := cores[1].HandleFrame(3*second, cores[0].OpeningFrame(3*second))
	if err != nil {
		t.Fatal(err)
	}
	if rest, err := cores[0].HandleFrame(3*second, answer); err != nil || rest != nil {
		t.Errorf("error %v; the exchange continues with a frame of %d bytes", err, len(rest))
	}
}
