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

// Last octets of the members' loopback addresses, and what the second octet of the relays' is higher by.
const (
	firstHost     = 1
	firstTwinHost = 101
	relayOctet    = 128
)

// pollInterval is the pause between two looks at a state that is waited for.
const pollInterval = 20 * time.Millisecond

// Group is several processes of the program with faults between them. It records what happens to them; when its test has failed, the
// record and the logs of all members are kept on disk and their directory is logged.
type Group struct {
	T       T
	Net     *Net
	Seed    uint64 // of Net's random draws; printed with the record
	Members []*Member
	began   time.Time
	octets  [2]byte // the second and third of the members' loopback addresses; no two groups of a process share them

	mu        sync.Mutex
	history   []string
	addresses map[int]memberAddresses // by member; none where it does not run
}

// memberAddresses is where one running member is reached.
type memberAddresses struct {
	policy        netip.AddrPort
	listen, admin string
	pid           int
}

// groups counts the groups of this process, so that each gets loopback addresses of its own.
var groups atomic.Uint32

// NewGroup makes a group whose members have the configuration of deploy/fleet.json with names and addresses of their own. edit, where not
// nil, changes the configuration of member i before it is written: file is the whole, fleet its section of that name. Every member joins by
// way of the first three. No process is started.
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

// Began returns when the group was made; the times of its record count from there.
func (g *Group) Began() time.Time { return g.began }

// Record appends a line to the record, with the time since Began in seconds.
func (g *Group) Record(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.history = append(g.history, fmt.Sprintf("%9.3f ", time.Since(g.began).Seconds())+fmt.Sprintf(format, args...))
}

// History returns a copy of the record, one event in each line.
func (g *Group) History() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.history)
}

// keepArtifacts writes the record and all logs of a failed test to a new temporary directory, and logs that and the seed.
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

// PolicyAt returns where a running member takes part in the policy agreement, past its relay; not valid where it does not run or has
// no rollout.
func (g *Group) PolicyAt(i int) netip.AddrPort {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].policy
}

// PolicyRelay returns the address of the relay by which the others reach a member for the policy agreement.
func (g *Group) PolicyRelay(i int) netip.AddrPort { return g.Members[i].policyRelay.address() }

// ListensAt returns where a member serves clients, empty where it does not run, and its name.
func (g *Group) ListensAt(i int) (address, name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].listen, g.Members[i].Name
}

// AdminAddressOf returns the address of a member's admin endpoint, its name and its process id; address and id are zero where it does not
// run.
func (g *Group) AdminAddressOf(i int) (address, name string, pid int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addresses[i].admin, g.Members[i].Name, g.addresses[i].pid
}

// removeAddresses records that a member does not run.
func (g *Group) removeAddresses(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.addresses, i)
}

// Until waits for a state, and ends the run with T.Fatal after WaitTimeout. what names the state; state describes how things stand, for
// that error.
func (g *Group) Until(what string, state func() (how string, ok bool)) {
	g.T.Helper()
	end := time.Now().Add(WaitTimeout)
	for {
		how, ok := state()
		if ok {
			return
		}
		if time.Now().After(end) {
			g.T.Fatalf("never %s: %s", what, how)
		}
		time.Sleep(pollInterval)
	}
}

// CountLines counts the lines that all members have logged so far, in all their runs, that contain each of words.
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
