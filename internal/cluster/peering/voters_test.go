package peering_test

import (
	"fmt"
	"os"
	"path/filepath"
	"saffronquay/internal/testing/harness"
	"strings"
	"testing"
)

// until waits until the output of a member's admin command policy contains all given words.
func until(g *harness.Group, i int, words ...string) {
	g.T.Helper()
	g.Until(strings.Join(words, " "), func() (string, bool) {
		text := g.Members[i].Process.Call("policy")
		for _, w := range words {
			if !strings.Contains(text, w) {
				return text, false
			}
		}
		return "", true
	})
}

// removeStore deletes the store of a member that does not run.
func removeStore(t *testing.T, g *harness.Group, i int) {
	t.Helper()
	if err := os.RemoveAll(filepath.Join(g.Members[i].Dir, "store")); err != nil {
		t.Fatal(err)
	}
	g.Record("%s lost its disk", g.Members[i].Name)
}

// Roster and voters change while the fleet runs: a member joins, a voter loses its disk, a voter is
// replaced while it is down, a member leaves. A change under a version with the keep flag waits for
// absent members. Finally the majority is lost for good, and the fleet is rebuilt from one voter's
// disk.
func TestPolicy_VoterAndRosterChanges(t *testing.T) {
	g := newGroup(t, 3, 5, 3)
	for _, m := range g.Members[:4] { // the last one is not on the initial roster
		m.Edit(func(file map[string]any) {
			r := file["rollout"].(map[string]any)
			r["members"] = r["members"].([]any)[:4]
		})
	}
	g.StartAll()
	o := &operator{t, g, t.TempDir()}
	change := func(code int, want string, n int, base string, more ...string) {
		t.Helper()
		o.run(code, want, append(append([]string{"propose", o.write("new.json", policy(t, g, n)), "--base", base}, more...), o.flags()...)...)
	}
	command := func(code int, want string, words ...string) {
		t.Helper()
		o.run(code, want, append(words, o.flags()...)...)
	}
	until(g, 0, "admits=let")
	command(0, "version 1 is in force", "adopt", g.Members[0].File)
	until(g, 4, "admits=lapse")
	command(1, "g04 is not on the roster", "voters", "add", "g04")
	command(0, "g04 is on the roster", "roster", "add", "g04", g.PolicyRelay(4).String())
	awaitSameVersion(t, g)
	// It moves to another address, which the view of the fleet has; the roster has the old one.
	g.Kill(4)
	g.MovePolicy(4)
	g.Start(4)
	awaitSameVersion(t, g)
	// A voter returns without its disk: it takes part as a non-voter until an operator moves its
	// vote to the new disk.
	g.Kill(1)
	removeStore(t, g, 1)
	g.Start(1)
	awaitSameVersion(t, g)
	until(g, 1, "lost_disk=true")
	o.run(0, "g01 at "+g.PolicyRelay(1).String()+" has no vote", "voters", "--door", o.adminAddress(g.Leader()))
	change(0, "version 2 is in force", 1, "1")
	command(1, "with 3 voters none can be removed without a replacement", "voters", "remove", "g02")
	command(0, "g01 votes in the place of g01", "voters", "replace", "g01")
	until(g, 1, "lost_disk=false")
	// A voter that is down for good is replaced. The voter with the new disk is needed for the
	// majority.
	g.Kill(2)
	command(0, "g03 votes in the place of g02", "voters", "replace", "g02", "g03")
	change(0, "version 3 is in force", 2, "2")
	g.Kill(0) // of the initial voters only g01, with its new disk, still runs
	change(0, "version 4 is in force", 3, "3")
	g.Start(0, 2) // with outdated state
	if n := awaitSameVersion(t, g); n != 4 {
		t.Fatalf("version %d", n)
	}
	g.Until("the view of the fleet has the version of each member", func() (string, bool) {
		v, _ := g.Members[0].View()
		return fmt.Sprint(v.Members), v.Members["g03"]["policy"] == "4" && v.Members["g04"]["policy"] == "4"
	})
	o.run(0, "g02 at "+g.PolicyRelay(2).String()+" follows", "voters", "--door", o.adminAddress(2))
	o.run(0, "voters +g03 -g02 by ", "history", "--door", o.adminAddress(g.Leader()))
	// A member that has left is not awaited.
	g.Leave(2)
	until(g, g.Leader(), "left=true")
	change(0, "version 5 is in force", 4, "4", "--keep")
	command(1, "g02 has sent no request lately", "voters", "add", "g02")
	// Under a version with the keep flag nothing changes while a member is absent that may admit
	// queries, until an operator declares it gone.
	command(0, "g02 is off the roster", "roster", "remove", "g02", "--gone")
	until(g, 4, "keeps=true")
	g.Kill(4)
	change(1, "g04 is not there, and may go on under version 5", 5, "5")
	command(1, "g04 may admit queries without a lease: stop it and declare it gone", "roster", "remove", "g04")
	command(0, "g04 is off the roster", "roster", "remove", "g04", "--gone")
	awaitSameVersion(t, g)
	g.Kill(1)
	g.Kill(3)
	until(g, 0, "lease_ms=0", "admits=let", "keeps=true")
	// The majority is lost for good: the fleet is rebuilt from one voter's disk.
	g.Kill(0)
	o.run(0, "no vote any more: g01, g03", "recover", "--file", g.Members[0].File)
	o.run(0, "made: g00 votes alone, and version 1005 is in force", "recover", "--file", g.Members[0].File, "--force-new-fleet")
	removeStore(t, g, 1)
	g.Start(0, 1)
	if n := awaitSameVersion(t, g); n != 1005 {
		t.Fatalf("version %d", n)
	}
	command(0, "g03 is off the roster", "roster", "remove", "g03", "--gone")
	change(0, "version 1006 is in force", 6, "1005")
	command(0, "g01 votes", "voters", "add", "g01")
	change(0, "version 1007 is in force", 7, "1006")
}
