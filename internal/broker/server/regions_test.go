package server

import (
	"math/rand/v2"
	"saffronquay/internal/broker/admission"
	"saffronquay/internal/broker/config"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The regional and the global voter log of a gatherer are independent even with equal ids and indexes:
// each can be compacted and dropped without the other.
func TestVoterLog_RegionalAndGlobalAreIndependent(t *testing.T) {
	dirs := [2]string{t.TempDir(), t.TempDir()}
	s, h, _ := openPolicyStore(t, dirs)
	entry := func(i uint64, data string) *pb.Entry {
		return &pb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(1), Data: []byte(data)}
	}
	hard := func(commit uint64) *pb.HardState {
		return &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(2), Commit: proto.Uint64(commit)}
	}
	for _, err := range []error{
		h.Save(&rollout.Save{VoterIdentities: map[string]uint64{"a": 1}}),
		h.SaveGlobal(&rollout.Save{VoterIdentities: map[string]uint64{"a": 1, "x": 9}}),
		h.Save(&rollout.Save{ID: 3, Entries: []*pb.Entry{entry(1, "own"), entry(2, "own")}, HardState: hard(2)}),
		h.SaveGlobal(&rollout.Save{ID: 2, Entries: []*pb.Entry{entry(1, "global"), entry(2, "global"), entry(3, "global")}, HardState: hard(3)}),
		h.SnapshotGlobal(rollout.Disk{ID: 2, Snapshot: &pb.Snapshot{Data: []byte("s"), Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(2), Term: proto.Uint64(1)}}}),
		h.Roster(&wire.State{Members: []*wire.Member{{Name: "a", Region: "oeste"}}, MembersIndex: 4}),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	again := func() rollout.PersistentState {
		t.Helper()
		s.Close()
		var m rollout.PersistentState
		s, h, m = openPolicyStore(t, dirs)
		return m
	}
	m := again()
	if d := m.Disk; d.ID != 3 || d.Snapshot != nil || len(d.Entries) != 2 || string(d.Entries[1].Data) != "own" || d.HardState.GetCommit() != 2 || len(m.VoterIdentities) != 1 {
		t.Errorf("own: %+v, met %v", d, m.VoterIdentities)
	}
	if d := m.Global.Disk; d.ID != 2 || string(d.Snapshot.GetData()) != "s" || len(d.Entries) != 1 || string(d.Entries[0].Data) != "global" || len(m.Global.VoterIdentities) != 2 {
		t.Errorf("global: %+v, met %v", d, m.Global.VoterIdentities)
	}
	// Another voter id in one log makes that log's records obsolete, but not those of the other log.
	if err := h.SaveGlobal(&rollout.Save{ID: 77, HardState: hard(0)}); err != nil {
		t.Fatal(err)
	}
	if m = again(); m.Global.Disk.ID != 77 || len(m.Global.Disk.Entries) != 0 || m.Global.Disk.Snapshot != nil || len(m.Disk.Entries) != 2 {
		t.Errorf("%+v and %+v", m.Global.Disk, m.Disk)
	}
	if err := h.global.drop(); err != nil {
		t.Fatal(err)
	}
	if m = again(); m.Global.Disk.ID != 0 || m.Global.VoterIdentities != nil || len(m.Disk.Entries) != 2 || len(m.VoterIdentities) != 1 || m.Identity == 0 {
		t.Errorf("after the global log was dropped: %+v", m)
	}
	s.Close()
	// A store of another region, or of none, is rejected.
	r := &config.Rollout{Region: "oeste"}
	if err := checkRegion(r, "a", m); err != nil {
		t.Error(err)
	}
	for _, r.Region = range []string{"este", ""} {
		if err := checkRegion(r, "a", m); err == nil || !strings.Contains(err.Error(), "empty store") {
			t.Errorf("%q: %v", r.Region, err)
		}
	}
}

// A region has the fraction that the version specifies. Without one it has the fraction of the
// bootstrap membership that package rollout computes.
func TestRegionQuota(t *testing.T) {
	r := &config.Rollout{Region: "este", Voters: []string{"a", "d"}, Regions: map[string]string{"a": "oeste", "b": "oeste", "c": "oeste", "d": "este", "w": "norte"}}
	parts := &wire.Document{Parts: []*wire.Part{{Region: "oeste", Ppm: 600_000}, {Region: "este", Ppm: 100_000}}}
	for _, c := range []struct {
		region string
		doc    *wire.Document
		want   uint32
	}{{"este", nil, 250_000}, {"oeste", nil, 750_000}, {"norte", nil, 0}, {"este", parts, 100_000}, {"norte", parts, 0}, {"", parts, quota.PPM}} {
		if r.Region = c.region; regionQuota(r, c.doc) != c.want {
			t.Errorf("%q: %d, want %d", c.region, regionQuota(r, c.doc), c.want)
		}
	}
	if regionQuota(nil, nil) != quota.PPM {
		t.Error("no rollout: want the whole budget")
	}
}

// For random fractions of two regions and random quotas within them, the limits on servers that warm up
// sum to at most 1 over all gatherers, and the floor quotas to at most the reserve.
func TestAggregators_DividesWarmUpLimitOverRegions(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 3))
		west := uint32(250_000 * (1 + rng.IntN(3)))
		sum, floors := 0.0, uint32(0)
		for _, ppm := range []uint32{west, quota.PPM - west} {
			left := map[string]uint32{"a": ppm, "b": ppm, "c": ppm}
			for range 4 * ppm / quota.PPM {
				p := newBudgetQuotas(4, ppm)
				floors += p.floorQuota(4)
				p.teamQuotas, p.otherQuota = map[string]uint32{}, quota.EvenQuota(4)
				for team, l := range left {
					part := uint32(rng.Float64() * float64(l))
					p.teamQuotas[team], left[team] = part, l-part
				}
				sum += 1 / float64(p.aggregators(tree))
			}
		}
		if sum > 1+1e-9 || floors > quota.Reserve {
			t.Errorf("seed %d: the warm-up limits sum to %.4f and the floor quotas to %d; want at most 1 and the reserve", seed, sum, floors)
		}
	}
}

// When a region's fraction changes, quotas granted before become void immediately, including those of a
// request that is still in flight.
func TestSetRegion_VoidsGrantedQuotas(t *testing.T) {
	g := &Gatherer{quotas: newBudgetQuotas(4, 500_000)}
	defer g.quotas.tick.Stop()
	g.contracts = tree
	p := g.quotas
	p.teamQuotas, p.otherQuota = map[string]uint32{"a": 400_000}, 100_000
	if p.setRegion(500_000) || p.quotaOf(4)("a") != 0.4 {
		t.Errorf("unchanged fraction: quota %v, want 0.4", p.quotaOf(4)("a"))
	}
	if !p.setRegion(250_000) || p.quotaOf(4)("a") != float64(p.floorQuota(4))/quota.PPM || p.floorQuota(4) > quota.FloorQuota(4) {
		t.Errorf("halved fraction: quota %v, want the floor", p.quotaOf(4)("a"))
	}
	g.applyQuotas(quotaUpdate{slots: 4, regionPPM: 500_000, teamQuotas: map[string]uint32{"a": 400_000}, otherQuota: 100_000, ok: true})
	if p.teamQuotas != nil || p.updating {
		t.Errorf("quotas requested before the change are in force: %v", p.teamQuotas)
	}
	if (*budgetQuotas)(nil).setRegion(1) {
		t.Error("setRegion reported a change although budgets are not divided")
	}
}

// demands runs concurrently with the gatherer's goroutine, which may change the region's fraction
// at the same time. The race detector checks that they share no field.
func TestDemands_ConcurrentRegionChange(t *testing.T) {
	p := newBudgetQuotas(4, 500_000)
	defer p.tick.Stop()
	quotaOf := p.quotaOf(4)
	demanded := make(chan int)
	go func() {
		demanded <- len(p.demands([]admission.TeamStatus{{Team: "a", Budget: 10, InFlight: 2, Queued: 3}}, quotaOf))
	}()
	p.setRegion(250_000)
	if n := <-demanded; n != 1 {
		t.Errorf("%d demands, want 1", n)
	}
}
