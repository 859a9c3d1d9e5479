package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"saffronquay/internal/cluster/rollout"
	"saffronquay/internal/cluster/rollout/wire"
	"saffronquay/internal/storage/recordlog"
	"strings"
	"testing"

	"github.com/matryer/is"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// This build must load the policy log that an earlier build has stored, both the region's and the
// global one. SAFFRONQUAY_GOLDEN=write regenerates the directories and the expected text.
func TestGoldenPolicyLog(t *testing.T) {
	is := is.New(t)
	golden := filepath.Join("testdata", "golden")
	writing := os.Getenv("SAFFRONQUAY_GOLDEN") == "write"
	if writing {
		is.NoErr(os.RemoveAll(golden))
		writePolicyLog(t, filepath.Join(golden, "data"))
	}
	folder := t.TempDir()
	is.NoErr(os.CopyFS(folder, os.DirFS(filepath.Join(golden, "data"))))
	s := openGoldenStore(t, folder)
	defer s.Close()
	host := newPolicyHost(nil, s)
	memory, err := host.load()
	is.NoErr(err)
	got := memoryText(t, &memory)
	path := filepath.Join(golden, "recalled.txt")
	if writing {
		is.NoErr(os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(got, string(want))
	is.Equal(host.regional.obsolete, []string{"hard/3"}) // a vote by another id
}

func openGoldenStore(t *testing.T, folder string) *recordlog.Store {
	t.Helper()
	is := is.New(t)
	var dirs [2]recordlog.Dir
	var err error
	for i, name := range []string{"a", "b"} {
		dirs[i], err = recordlog.CreateDir(filepath.Join(folder, name))
		is.NoErr(err)
	}
	s, err := recordlog.Open(dirs, recordlog.Options{ID: 7, Now: func() int64 { return 5_000_000 }, MaxRetention: 1_000_000}, false)
	is.NoErr(err)
	return s
}

func writePolicyLog(t *testing.T, folder string) {
	t.Helper()
	is := is.New(t)
	s := openGoldenStore(t, folder)
	defer s.Close()
	host := newPolicyHost(nil, s)
	is.NoErr(writeRecords(s, recordlog.Record{Kind: recordlog.Rollout, Key: keyIdentity, Value: []byte{0, 0, 0, 0, 0, 0, 1, 1}}))
	member := &wire.Member{Name: "g1", Address: "10.0.0.1:7100", Id: 4, Identity: 257, Region: "west", Global: true}
	document := &wire.Document{Number: 2, Hash: []byte{1, 2, 3}, Text: []byte(`{"settings":{}}`), Keep: true, Parts: []*wire.Part{{Region: "west", Ppm: 600_000}}}
	is.NoErr(host.Roster(&wire.State{Members: []*wire.Member{member}, MembersIndex: 6}))
	is.NoErr(host.Keep(document))
	is.NoErr(host.Stage(&wire.Proposal{Attempt: 9, Document: document, Base: 1, By: "g1", Nonce: 8, Dry: true, Global: 5, Decided: true, Prepared: true}))
	for _, agreement := range []struct {
		save     func(*rollout.Save) error
		snapshot func(rollout.Disk) error
		vote     uint64
	}{{host.Save, host.Snapshot, 4}, {host.SaveGlobal, host.SnapshotGlobal, 6}} {
		is.NoErr(agreement.save(&rollout.Save{VoterIdentities: map[string]uint64{"g1": 257, "g2": 258}}))
		is.NoErr(agreement.save(&rollout.Save{ID: 4, HardState: hard(1, agreement.vote, 1), Entries: []*pb.Entry{logged(t, 1, 1), logged(t, 2, 1), logged(t, 3, 1), logged(t, 4, 1)}}))
		is.NoErr(agreement.save(&rollout.Save{ID: 4, HardState: hard(2, agreement.vote, 2), Entries: []*pb.Entry{logged(t, 3, 2), logged(t, 4, 2)}}))
		state, err := proto.Marshal(&wire.State{Current: document, CurrentAttempt: 1, Members: []*wire.Member{member}})
		is.NoErr(err)
		is.NoErr(agreement.snapshot(rollout.Disk{ID: 4, Snapshot: &pb.Snapshot{
			Data:     state,
			Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(2), Term: proto.Uint64(1), ConfState: &pb.ConfState{Voters: []uint64{4, 6}}},
		}}))
	}
	is.NoErr(writeMessage(s, keyHard+"/3", hard(1, 3, 0)))
}

func hard(term, vote, commit uint64) *pb.HardState {
	return &pb.HardState{Term: proto.Uint64(term), Vote: proto.Uint64(vote), Commit: proto.Uint64(commit)}
}

func logged(t *testing.T, index, term uint64) *pb.Entry {
	t.Helper()
	data, err := proto.Marshal(&wire.Entry{Kind: 1, Base: index, By: "g1", Nonce: term, Document: &wire.Document{Number: index}})
	is.New(t).NoErr(err)
	return &pb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: data}
}

// memoryText formats the loaded state, one line for each part.
func memoryText(t *testing.T, m *rollout.PersistentState) string {
	t.Helper()
	var b strings.Builder
	line := func(name string, m proto.Message) {
		loose, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
		is.New(t).NoErr(err)
		var tight bytes.Buffer
		is.New(t).NoErr(json.Compact(&tight, loose)) // package protojson varies the spaces
		fmt.Fprintf(&b, "%s %s\n", name, tight.String())
	}
	fmt.Fprintf(&b, "identity %d\nmembers index %d\n", m.Identity, m.MembersIndex)
	for _, member := range m.Members {
		line("member", member)
	}
	line("current", m.Current)
	line("staged", m.Staged)
	for _, agreement := range []struct {
		name string
		met  map[string]uint64
		disk rollout.Disk
	}{{"own", m.VoterIdentities, m.Disk}, {"global", m.Global.VoterIdentities, m.Global.Disk}} {
		fmt.Fprintf(&b, "%s met %v\n%s voter %d\n", agreement.name, agreement.met, agreement.name, agreement.disk.ID)
		line(agreement.name+" hard", agreement.disk.HardState)
		line(agreement.name+" snapshot", agreement.disk.Snapshot)
		for _, entry := range agreement.disk.Entries {
			line(agreement.name+" entry", entry)
		}
	}
	return b.String()
}
