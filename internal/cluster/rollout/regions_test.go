package rollout

import (
	"math/rand/v2"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Moving between any two divisions of the budgets, the greater parts of consecutive divisions add
// up to at most the budget, and the target is reached within four steps.
func TestMoveParts_StaysWithinBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	draw := func() []*wire.Part {
		var members []*wire.Member
		for _, r := range []string{"a", "b", "c"} {
			for range 1 + rng.IntN(300) {
				members = append(members, &wire.Member{Region: r})
			}
		}
		return partsByRoster(members, []string{"a", "b", "c"})
	}
	for range 1000 {
		from, to := draw(), draw()
		for step := 0; ; step++ {
			next, most, there := moveParts(from, to), uint32(0), true
			for i := range next {
				most += max(next[i].Ppm, from[i].Ppm)
				there = there && next[i].Ppm+3 >= to[i].Ppm
			}
			if most > quota.PPM || step > 3 {
				t.Fatalf("from %v to %v: %v, %d at most; step %d", from, to, next, most, step)
			}
			if from = next; there {
				break
			}
		}
	}
}

func TestNew_ChecksRegions(t *testing.T) {
	members := func(change func(m []Member)) []Member {
		all := []Member{
			{Name: "a", Address: "a", Region: "n", Voter: true},
			{Name: "b", Address: "b", Region: "n"},
			{Name: "c", Address: "c", Region: "s", Voter: true},
			{Name: "w", Address: "w", Region: "w", Global: true},
		}
		change(all)
		return all
	}
	for _, c := range []struct {
		name, wantError string
		cfg             Config
	}{
		{"valid", "", Config{Name: "b", Region: "n", Members: members(func(m []Member) { m[0].Global, m[2].Global = true, true })}},
		{"node without region", "members have regions, but b has none", Config{Name: "b", Members: members(func([]Member) {})}},
		{"member without region", "member c has no region, but the fleet has regions", Config{Name: "b", Region: "n", Members: members(func(m []Member) { m[2].Region = "" })}},
		{"conflicting regions of a member", "b is in region s, but in n among", Config{Name: "b", Region: "s", Members: members(func([]Member) {})}},
		{"no global voters", "0 global voters configured, allowed are 1 to 7", Config{Name: "b", Region: "n", Members: members(func(m []Member) {
			m[0].Voter, m[2].Voter, m[3].Global = false, false, false
		})}},
		{"no voters in the region", "a name, a disk identity and 1 to 7 voter", Config{Name: "b", Region: "n", Members: members(func(m []Member) {
			m[0].Voter = false
		})}},
	} {
		n, err := New(c.cfg, 1, rand.New(rand.NewPCG(1, 1)), PersistentState{Identity: 1})
		if c.wantError == "" {
			if err != nil || n.global == nil || len(n.local.cfg.regions) != 2 {
				t.Errorf("%s: %v", c.name, err)
			}
		} else if err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v; want %s", c.name, err, c.wantError)
		}
	}
	// A witness votes in the global agreement, and its region has no voter that could grant it a
	// lease.
	n, err := New(Config{Name: "w", Region: "w", Members: members(func(m []Member) { m[0].Global, m[2].Global = true, true })}, 1, rand.New(rand.NewPCG(1, 1)), PersistentState{Identity: 1})
	if err != nil || n.global.bootstrap == nil || n.local.bootstrap != nil || n.Holder.nextRequest() != never {
		t.Errorf("witness: %v", err)
	}
}

// A region that is rebuilt from one voter's disk keeps the global agreement's version numbers, and
// rejects the proposal that it had prepared.
func TestForceNewFleet_Region(t *testing.T) {
	cfg := Config{Name: "a", Region: "n", Members: []Member{
		{Name: "a", Address: "a", Region: "n", Voter: true},
		{Name: "b", Address: "b", Region: "n", Voter: true},
		{Name: "c", Address: "c", Region: "s", Voter: true, Global: true},
	}}
	own, _, err := cfg.withDefaults().agreements()
	if err != nil {
		t.Fatal(err)
	}
	disk, err := initialDisk(own, map[string]uint64{"a": 5, "b": 6})
	if err != nil {
		t.Fatal(err)
	}
	for i, e := range []*wire.Entry{{Kind: entryFollow, Document: NewDocument(7, []byte("x")), Global: 40}, {Kind: entryPrepared, Attempt: 2}} {
		data, err := proto.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		disk.Entries = append(disk.Entries, &pb.Entry{Index: proto.Uint64(uint64(2 + i)), Term: proto.Uint64(1), Data: data})
	}
	forced, report, err := ForceNewFleet(disk, NewDocument(6, []byte("w")), "a", 9)
	var s state
	if err == nil {
		err = proto.Unmarshal(forced.Snapshot.Data, &s.State)
	}
	if err != nil || report.Version != 6 || report.Open != 7 || s.GlobalRefused != 40 || s.Region != "n" || s.member("c").Region != "s" || !s.member("c").Global {
		t.Errorf("%v: %+v; %v", err, report, &s.State)
	}
}

// A region's agreement decides changes of its voters; every other proposal is referred to the
// global agreement.
func TestNode_ProposeWithRegions(t *testing.T) {
	cfg := Config{Name: "b", Region: "n", Members: []Member{
		{Name: "a", Address: "a", Region: "n", Voter: true},
		{Name: "b", Address: "b", Region: "n"},
		{Name: "c", Address: "c", Region: "s", Voter: true, Global: true},
	}}
	n, err := New(cfg, 1, rand.New(rand.NewPCG(1, 1)), PersistentState{Identity: 1})
	if err != nil {
		t.Fatal(err)
	}
	for want, p := range map[string]*wire.Propose{"c": {Nonce: 1, Text: []byte("x")}, "": {Nonce: 2, Region: "n", VoterAdd: "b"}} {
		if a := n.Propose(2, p); a.End != 3 || a.Leader != want {
			t.Errorf("%v: %v", p, a)
		}
	}
	if a := n.Propose(2, &wire.Propose{Nonce: 3, Region: "s", VoterAdd: "c"}); a.End != 3 || a.Leader != "c" {
		t.Errorf("voter change of another region: %v", a)
	}
	if a := n.Propose(2, &wire.Propose{Nonce: 4, Region: "n", Text: []byte("x")}); a.End != 2 {
		t.Errorf("policy proposed to a region: %v", a)
	}
}
