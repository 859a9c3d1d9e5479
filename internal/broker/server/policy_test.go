package server

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"saffronquay/internal/cluster/peering"
	"saffronquay/internal/cluster/quota"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// openPolicyStore opens a store in the given directories and loads the state of the policy rollout.
func openPolicyStore(t *testing.T, dirs [2]string) (*recordlog.Store, *policyHost, rollout.PersistentState) {
	t.Helper()
	var at [2]recordlog.Dir
	for i, path := range dirs {
		d, err := recordlog.CreateDir(path)
		if err != nil {
			t.Fatal(err)
		}
		at[i] = d
	}
	began := time.Now()
	s, err := recordlog.Open(at, recordlog.Options{
		ID: randomID(), Now: func() int64 { return time.Since(began).Microseconds() }, MaxRetention: 900_000_000, SegmentSize: 8 << 20,
		CleanInterval: time.Second, ScrubInterval: time.Hour, Log: slog.New(slog.DiscardHandler),
	}, true)
	if err != nil {
		t.Fatal(err)
	}
	h := newPolicyHost(nil, s)
	if err := h.ensureIdentity(); err != nil {
		t.Fatal(err)
	}
	m, err := h.load()
	if err != nil {
		t.Fatal(err)
	}
	return s, h, m
}

// A policy log of 10,000 changes without a snapshot is loaded within the time limit and gives the same
// version. Records of another voter id are obsolete.
func TestPolicyLog_LoadsLargeLog(t *testing.T) {
	dirs := [2]string{t.TempDir(), t.TempDir()}
	s, h, m := openPolicyStore(t, dirs)
	if m.Identity == 0 || m.Disk.ID != 0 {
		t.Fatalf("new disk: %+v, want an identity and no voter id", m)
	}
	cfg := rollout.Config{Name: "a", Members: []rollout.Member{{Name: "a", Address: "127.0.0.1:1", Voter: true}}, CompactAfter: 1 << 20}
	n, err := rollout.New(cfg, 1, rand.New(rand.NewPCG(1, 1)), m)
	if err != nil {
		t.Fatal(err)
	}
	save := func() {
		for o := n.TakeOutput(); o.Save != nil; o = n.TakeOutput() {
			if err := h.Save(o.Save); err != nil {
				t.Fatal(err)
			}
			if err := n.Saved(2); err != nil {
				t.Fatal(err)
			}
		}
	}
	save() // initializes the disk
	const changes = 10_000
	var entries []*pb.Entry
	for i := range uint64(changes) {
		index := 2 + 2*i
		for k, e := range []*wire.Entry{{Kind: 1, Document: rollout.NewDocument(0, fmt.Appendf(nil, `{"n":%d,"pad":"%0200d"}`, i, i)), Base: i, Nonce: i + 1, By: "test"}, {Kind: 2, Attempt: index}} {
			data, err := proto.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			entries = append(entries, &pb.Entry{Index: proto.Uint64(index + uint64(k)), Term: proto.Uint64(1), Data: data})
		}
	}
	for len(entries) > 0 {
		part := entries[:min(500, len(entries))]
		entries = entries[len(part):]
		if err := h.Save(&rollout.Save{ID: 1, Entries: part, HardState: &pb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(1), Commit: proto.Uint64(*part[len(part)-1].Index)}}); err != nil {
			t.Fatal(err)
		}
	}
	s.Close()
	began := time.Now()
	s, h, m = openPolicyStore(t, dirs)
	if n, err = rollout.New(cfg, 1, rand.New(rand.NewPCG(1, 1)), m); err != nil {
		t.Fatal(err)
	}
	now := int64(1)
	for ; now < 5_000_000 && n.Number() != changes; now += 10_000 {
		n.Tick(now)
		save()
	}
	took := time.Since(began)
	if n.Number() != changes || took > 20*time.Second { // 2 s is the target; the bound only catches a gross increase
		t.Errorf("loaded version %d after %s, want version 10000 within 20s", n.Number(), took)
	}
	t.Logf("loaded and applied a log of %d changes in %s", changes, took.Round(time.Millisecond))
	// The same disk votes under another id: no record of the first id is loaded.
	if err := h.Save(&rollout.Save{ID: 99, HardState: &pb.HardState{Term: proto.Uint64(7), Vote: proto.Uint64(0), Commit: proto.Uint64(0)}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	s, _, again := openPolicyStore(t, dirs)
	defer s.Close()
	if d := again.Disk; d.ID != 99 || d.Snapshot != nil || len(d.Entries) != 0 || d.HardState.GetTerm() != 7 || again.Identity != m.Identity {
		t.Errorf("id %d, snapshot %v, %d entries, identity %x and %x", d.ID, d.Snapshot != nil, len(d.Entries), again.Identity, m.Identity)
	}
}

// Install must return immediately once the gatherer's goroutine handles no more events. The shutdown
// waits for the policy node at that time, so waiting for it would be a deadlock.
func TestInstall_ReturnsDuringShutdown(t *testing.T) {
	g := &Gatherer{installs: make(chan installRequest), ended: make(chan struct{}), loopStopped: make(chan struct{})}
	close(g.loopStopped)
	ended := make(chan error, 1)
	go func() { ended <- (&policyHost{gatherer: g}).Install(rollout.NewDocument(1, nil)) }()
	select {
	case err := <-ended:
		if !errors.Is(err, peering.ErrClosed) {
			t.Error(err)
		}
	case <-time.After(time.Minute):
		t.Error("deadlock: Install waits for the gatherer, which waits for the policy node")
	}
}

// During a shutdown a gatherer must continue to handle its quotas, the size of its fleet and its file,
// since it has queries in flight: otherwise it would use quotas that are granted to others already. It
// must not start anything new, neither the VRRP election nor a view of the fleet.
func TestHandleNext_DuringShutdown(t *testing.T) {
	for _, ending := range []bool{false, true} {
		g := &Gatherer{
			quotas: newBudgetQuotas(3, quota.PPM), standbyChanged: make(chan struct{}, 1), lateFleetView: make(chan *fleetView, 1), stopRequested: make(chan struct{}),
			reloadRequested: make(chan struct{}, 1),
		}
		defer g.quotas.tick.Stop()
		g.quotas.updating = true
		g.quotas.updates <- quotaUpdate{}
		var look chan time.Time
		if ending {
			look = make(chan time.Time, 1)
			close(g.stopRequested)
			g.standbyChanged <- struct{}{} // would make it join the election again
		}
		for end := time.Now().Add(time.Minute); g.quotas.updating; {
			if what, err := g.handleNext(look, nil); what != eventHandled || err != nil || time.Now().After(end) {
				t.Fatalf("ending %t: event %d, error %v", ending, what, err)
			}
		}
		if ending {
			look <- time.Time{}
			if what, _ := g.handleNext(look, nil); what != eventCheck && what != eventHandled {
				t.Errorf("event %d, want eventCheck or eventHandled", what)
			}
			if len(g.standbyChanged) != 1 {
				t.Error("the gatherer joined the VRRP election during a shutdown")
			}
		}
	}
}
