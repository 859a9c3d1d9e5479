package replica

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"saffronquay/internal/scheduler/rpc"
	"slices"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

func entry(index, epoch uint64, data string) *rpc.Entry {
	return &rpc.Entry{Index: index, Epoch: epoch, Kind: rpc.EntryKind_ENTRY_COMMAND, Data: []byte(data)}
}

func initialWrite(group string) GroupWrite {
	return GroupWrite{Group: group, Snapshot: &rpc.Snapshot{Index: 1, Epoch: 1}, HardState: &rpc.HardState{Epoch: 1}}
}

func openStore(t *testing.T, folder string) *Store {
	t.Helper()
	s, err := OpenStore(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// Everything persisted is there after a restart. Later entries replace those from their index on.
func TestStore_RestartRetainsLog(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s := openStore(t, folder)
	is.NoErr(s.Persist([]GroupWrite{initialWrite("a"), initialWrite("b")}))
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(2, 1, "x"), entry(3, 1, "y"), entry(4, 1, "z")}}}))
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", HardState: &rpc.HardState{Epoch: 2, Vote: "v"}, Entries: []*rpc.Entry{entry(3, 2, "w")}}}))
	is.NoErr(s.Close())
	s = openStore(t, folder)
	is.Equal(len(s.Groups()), 2)
	stored, err := s.Load("a")
	is.NoErr(err)
	is.Equal(stored.HardState.Vote, "v")
	is.Equal(len(stored.Entries), 2)
	is.Equal(stored.Entries[1].Stored, uint32(1)) // commands stay on disk
	one, err := s.Entry("a", 3)
	is.NoErr(err)
	is.Equal(string(one.Data), "w")
}

// A power failure may tear the last append at any byte: what was synced before is retained, and new
// entries are appended after it.
func TestStore_TornTail(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	must(s.Persist([]GroupWrite{initialWrite("a")}))
	must(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(2, 1, "kept")}}}))
	synced := s.log.size
	must(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(3, 1, "torn one"), entry(4, 1, "torn two")}}}))
	must(s.Close())
	complete, err := os.ReadFile(filepath.Join(folder, logName))
	must(err)
	for cut := synced; cut < int64(len(complete)); cut++ {
		for _, damage := range []string{"missing", "zeros", "flipped"} {
			torn := append([]byte(nil), complete...)
			switch damage {
			case "missing":
				torn = torn[:cut]
			case "zeros":
				clear(torn[cut:])
			case "flipped":
				torn[cut] ^= 0xff
			}
			broken := t.TempDir()
			must(os.WriteFile(filepath.Join(broken, logName), torn, 0o644))
			s := openStore(t, broken)
			stored, err := s.Load("a")
			must(err)
			kept, err := s.Entry("a", 2)
			must(err)
			if len(stored.Entries) == 0 || string(kept.Data) != "kept" || len(stored.Entries) > 3 {
				t.Fatalf("tail %s from byte %d: store has %d entries", damage, cut, len(stored.Entries))
			}
			must(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(uint64(len(stored.Entries))+2, 1, "on")}}}))
			s.Close()
		}
	}
}

// A rewritten log has all live records, and replaces the old one by a complete file.
func TestStore_RewriteKeepsLiveRecords(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s := openStore(t, folder)
	is.NoErr(s.Persist([]GroupWrite{initialWrite("a")}))
	for i := uint64(2); i < 50; i++ {
		is.NoErr(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(i, 1, "some data of an entry")}}}))
	}
	is.NoErr(s.StageChunk("a", &rpc.SnapshotPiece{Data: []byte("sta")}))
	is.NoErr(s.StageChunk("a", &rpc.SnapshotPiece{Number: 1, Data: []byte("te")}))
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Snapshot: &rpc.Snapshot{Index: 45, Epoch: 1, Pieces: 2}}}))
	before := s.log.size
	is.NoErr(s.log.rewrite(s.liveSpans()))
	is.True(s.log.size < before/2)
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(50, 1, "new")}}}))
	is.NoErr(s.Close())
	s = openStore(t, folder)
	stored, err := s.Load("a")
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index, uint64(45))
	state, err := io.ReadAll(s.SnapshotState("a"))
	is.NoErr(err)
	is.Equal(string(state), "state")
	is.Equal(len(stored.Entries), 5)
	newest, err := s.Entry("a", 50)
	is.NoErr(err)
	is.Equal(string(newest.Data), "new")
}

// After a failed write the log is unchanged, and the write can be retried.
func TestStore_RetryAfterFailedWrite(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s := openStore(t, folder)
	is.NoErr(s.Persist([]GroupWrite{initialWrite("a")}))
	good := s.log.file
	readOnly, err := os.Open(filepath.Join(folder, logName))
	is.NoErr(err)
	defer readOnly.Close()
	s.log.file = diskFile{readOnly}
	is.True(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(2, 1, "x")}}}) != nil)
	s.log.file = good
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(2, 1, "x")}}}))
	stored, err := s.Load("a")
	is.NoErr(err)
	is.Equal(len(stored.Entries), 1)
}

// The identity is bound to the directory.
func TestIdentityStore_Reopen(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	identities, err := OpenIdentityStore(folder)
	is.NoErr(err)
	is.NoErr(identities.SetIdentity("me"))
	is.NoErr(identities.Close())
	identities, err = OpenIdentityStore(folder)
	is.NoErr(err)
	defer identities.Close()
	id, err := identities.Identity()
	is.NoErr(err)
	is.Equal(id, "me")
}

// A received snapshot replaces the entire log. If later entries, which the leader has discarded,
// were retained, a restarted replica would compare candidates with the epoch of those, and vote for
// some that lack entries covered by the snapshot.
func TestStore_ReceivedSnapshotReplacesLog(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s := openStore(t, folder)
	is.NoErr(s.Persist([]GroupWrite{initialWrite("a")}))
	var entries []*rpc.Entry
	for i := uint64(2); i <= 30; i++ {
		entries = append(entries, entry(i, 1, "given up"))
	}
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Entries: entries}}))
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Chunks: []*rpc.SnapshotPiece{{Data: []byte("state")}}, Snapshot: &rpc.Snapshot{Index: 20, Epoch: 4, Pieces: 1}, Received: true}}))
	is.NoErr(s.Close())
	s = openStore(t, folder)
	stored, err := s.Load("a")
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index, uint64(20))
	is.Equal(len(stored.Entries), 0)
}

// Chunks of an incomplete snapshot are ignored after a restart.
func TestStore_IncompleteSnapshot(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	s := openStore(t, folder)
	is.NoErr(s.Persist([]GroupWrite{initialWrite("a")}))
	is.NoErr(s.Persist([]GroupWrite{{Group: "a", Entries: []*rpc.Entry{entry(2, 1, "x")}, Chunks: []*rpc.SnapshotPiece{{Data: []byte("old")}}}}))
	is.NoErr(s.Close())
	s = openStore(t, folder)
	stored, err := s.Load("a")
	is.NoErr(err)
	is.Equal(stored.Snapshot.Index, uint64(1))
	is.Equal(len(stored.Entries), 1)
	err = s.Persist([]GroupWrite{{Group: "a", Snapshot: &rpc.Snapshot{Index: 2, Epoch: 1, Pieces: 2}, Received: true}})
	is.True(errors.Is(err, ErrCorrupt)) // its chunks are missing
}

// A rewritten log has its groups sorted by name, so that a simulation that loses a part of it is
// deterministic.
func TestLogRewrite_SortsGroups(t *testing.T) {
	is := is.New(t)
	folderPath := t.TempDir()
	s := openStore(t, folderPath)
	for _, group := range []string{"d", "b", "e", "a", "c"} {
		is.NoErr(s.Persist([]GroupWrite{initialWrite(group)}))
	}
	is.NoErr(s.log.rewrite(s.liveSpans()))
	is.NoErr(s.Close())
	var groups []string
	log, err := openLog(folder(folderPath), func(payload []byte, _ span) error {
		r := &rpc.StoredRecord{}
		if err := proto.Unmarshal(payload, r); err != nil {
			return err
		}
		groups = append(groups, r.Group)
		return nil
	})
	is.NoErr(err)
	is.NoErr(log.close())
	is.Equal(slices.Compact(groups), []string{"a", "b", "c", "d", "e"})
}
