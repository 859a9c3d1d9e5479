package harness

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Parts of the loopback addresses of members and relays.
const (
	firstHost     = 1   // last octet of the first member
	firstTwinHost = 101 // last octet of the twin of the first member
	relayOctet    = 128 // added to a member's second octet to get that of its relays
)

// pollInterval is the interval at which Until checks a state.
const pollInterval = 20 * time.Millisecond

// Group is a set of processes of the program with faults between them. It records the events of the
// run; if its test fails, it saves the record and the logs of all members and logs their directory.
type Group struct {
	T       T
	Net     *Net
	Seed    uint64 // of Net's random draws; printed with the record
	Members []*Member
	began   time.Time
	octets  [2]byte // second and third octet of the members' loopback addresses; unique within the process

	mu        sync.Mutex
	history   []string
	addresses map[int]memberAddresses // by member index; only running members have an entry
}

// memberAddresses has the addresses and the process id of a running member.
type memberAddresses struct {
	policy        netip.AddrPort
	listen, admin string
	pid           int
}

// groups counts the groups of this process, to give each its own loopback addresses.
var groups atomic.Uint32

// NewGroup creates a group whose members have the configuration of deploy/fleet.json with their own
// names and addresses. Every member joins through the first three. edit, if not nil, changes the
// configuration of member i before it is written: file is the complete configuration, fleet its
// section of that name. No process is started.
func NewGroup(t T, seed uint64, members int, edit func(i int, file, fleet map[string]any)) *Group {
	t.Helper()
	g := &Group{
		T:         t,
		Net:       NewNet(seed),
		Seed:      seed,
		addresses: map[int]memberAddresses{},
		began:     time.Now(),
		octets:    [2]byte{byte(1 + os.Getpid()%120), byte(groups.Add(1))},
	}
	t.Cleanup(g.keepArtifacts)
	for i := range members {
		g.Members = append(g.Members, g.newMember(i, firstHost+i))
	}
	for i := range g.Members {
		g.writeFile(i, g.Members[i], edit)
	}
	return g
}

// Began returns when the group was created; the times of its record are relative to it.
func (g *Group) Began() time.Time { return g.began }

// Record appends a line to the record, prefixed with the time since Began in seconds.
func (g *Group) Record(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history = append(g.history, fmt.Sprintf("%9.3f ", time.Since(g.began).Seconds())+fmt.Sprintf(format, args...))
}

// History returns a copy of the record, one event per line.
func (g *Group) History() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history)
}

// keepArtifacts writes the record and all logs of a failed test to a new temporary directory, and
// logs its path and the seed.
func (g *Group) keepArtifacts() {
	if !g.T.Failed() {
		return
	}
	dir, err := os.MkdirTemp("", "saffronquay-history-")
	if err != nil {
		g.T.Log(err)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	keep := func(name, text string) {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644); err != nil {
			g.T.Log(err)
		}
	}
	keep("history", fmt.Sprintf("seed %d\n%s\n", g.Seed, strings.Join(g.history, "\n")))
	for _, m := range g.Members {
		keep(m.Name+".log", m.Output())
	}
	g.T.Logf("seed %d; history and logs are in %s", g.Seed, dir)
}

// PolicyAt returns the address of a running member's policy consensus endpoint, bypassing its relay.
// The address is invalid if the member does not run or has no rollout.
func (g *Group) PolicyAt(i int) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].policy
}

// PolicyRelay returns the address of the relay through which other members reach a member's policy
// consensus endpoint.
func (g *Group) PolicyRelay(i int) netip.AddrPort { return g.Members[i].policyRelay.address() }

// ListensAt returns the address on which a member serves clients, and its name. The address is empty
// if the member does not run.
func (g *Group) ListensAt(i int) (address, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].listen, g.Members[i].Name
}

// AdminAddressOf returns the address of a member's admin endpoint, its name and its process id.
// Address and id are zero if the member does not run.
func (g *Group) AdminAddressOf(i int) (address, name string, pid int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].admin, g.Members[i].Name, g.addresses[i].pid
}

// removeAddresses deletes the addresses of a member that no longer runs.
func (g *Group) removeAddresses(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.addresses, i)
}

// Until polls state until it returns true, and ends the run with T.Fatal after WaitTimeout. what names
// the awaited state; how describes the current one for the error message.
func (g *Group) Until(what string, state func() (how string, ok bool)) {
	g.T.Helper()
	end := time.Now().Add(WaitTimeout)
	for {
		how, ok := state()
		if ok {
			return
		}
		if time.Now().After(end) {
			g.T.Fatalf("timed out waiting for state %q: %s", what, how)
		}
		time.Sleep(pollInterval)
	}
}

// CountLines returns the number of lines containing each of words that all members have logged so
// far, in all their runs.
func (g *Group) CountLines(words ...string) (n int) {
	for _, m := range g.Members {
		for _, line := range m.Lines() {
			if containsAll(line, words) {
				n++
			}
		}
	}
	return n
}
