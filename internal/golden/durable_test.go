package golden

import (
	"encoding/base64"
	"fmt"
	"path/filepath"
	"saffronquay/internal/broker/core"
	"saffronquay/internal/broker/idempotency"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/recordlog/form"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// This build reads every record and the state of every key from the durable store of a broker of
// an earlier build.
func TestDurableStoreData(t *testing.T) {
	is := is.New(t)
	if writing() {
		writeDurable(t, dataFolder(t, "durable/data"))
	}
	s := openDurable(t, copyFolder(t, "testdata/durable/data"), func() int64 { return durableNow })
	defer s.Close()
	is.Equal(len(s.LostSpans()), 0)
	var lines []string
	for kind := recordlog.AtMostOnce; kind <= recordlog.Rollout; kind++ {
		is.NoErr(s.Each(kind, func(r recordlog.Record) {
			found, known, err := s.Get(kind, r.Key)
			is.NoErr(err)
			is.True(known)
			is.Equal(found, r)
			lines = append(lines, fmt.Sprintf("record %d %q until %d at %d seq %d: %s", r.Kind, r.Key, r.ExpiresAt, r.At, r.Seq, base64.StdEncoding.EncodeToString(r.Value)))
		}))
	}
	slices.Sort(lines)
	tracker := idempotency.NewTracker(s, trackerConfig)
	for _, key := range []string{"answered", "long", "doubtful", "released", "never"} {
		for _, fingerprint := range []uint64{1, 2} {
			entry, found := tracker.Begin(key, "label", fingerprint)
			lines = append(lines, fmt.Sprintf("key %s of request %d stands as %d, answer %+v", key, fingerprint, found.State, found.Answer))
			if entry != nil {
				entry.Release()
			}
		}
	}
	compare(t, "durable/contents.txt", strings.Join(lines, "\n")+"\n")
}

// durableNow is the time of the operating system's clock. The store's own clock continues from its
// last record.
const durableNow = 5_000_000

var trackerConfig = idempotency.Config{Retention: 1_000_000, MaxBody: 10, Nonce: 99}

func openDurable(t *testing.T, folder string, now func() int64) *recordlog.Store {
	t.Helper()
	is := is.New(t)
	var dirs [2]recordlog.Dir
	var err error
	for i, name := range []string{"a", "b"} {
		dirs[i], err = recordlog.CreateDir(filepath.Join(folder, name))
		is.NoErr(err)
	}
	s, err := recordlog.Open(dirs, recordlog.Options{ID: 7, Now: now, MaxRetention: 1_000_000, SegmentSize: 600}, false)
	is.NoErr(err)
	return s
}

// writeDurable writes records of each kind, some of which are replaced, deleted or expired, over
// several segments.
func writeDurable(t *testing.T, folder string) {
	t.Helper()
	is := is.New(t)
	var clock atomic.Int64
	s := openDurable(t, folder, func() int64 { return clock.Add(1000) })
	defer s.Close()
	encoded := func(m proto.Message) []byte {
		b, err := proto.Marshal(m)
		is.NoErr(err)
		return b
	}
	learned := &form.Learned{
		Admission: 0.5, Suspects: map[string]int64{"s1": 3}, Servers: []*form.Server{{Id: "s1", Pace: 2, PaceAt: 3, Fails: 4, Tries: 5, At: 6}},
		Rations: []*form.Ration{{Tenant: "t", At: 7, Taken: []uint32{1, 2}, Extras: []uint32{3}}},
	}
	for _, r := range []recordlog.Record{
		{Kind: recordlog.ServerState, Key: "learned", Value: encoded(learned)},
		{Kind: recordlog.Layout, Key: "layout", Value: encoded(&form.Layout{Doc: []byte("an older one")})},
		{Kind: recordlog.Layout, Key: "layout", Value: encoded(&form.Layout{Doc: []byte("document")})},
		{Kind: recordlog.Cursor, Key: "cursor", Value: encoded(&form.Cursor{Tenant: "t", Nonce: 8, Until: 9, Closed: true}), ExpiresAt: 500_000},
		{Kind: recordlog.Cursor, Key: "out of date", Value: []byte("x"), ExpiresAt: 1},
		{Kind: recordlog.CursorKey, Key: "sealing", Value: []byte("0123456789abcdef")},
		{Kind: recordlog.Rollout, Key: "identity", Value: []byte{0, 0, 0, 0, 0, 0, 1, 1}},
		{Kind: recordlog.Rollout, Key: "taken back", Value: []byte("x")},
		{Kind: recordlog.Rollout, Key: "taken back", Deleted: true},
	} {
		done := make(chan error, 1)
		is.NoErr(s.Append(r, func(err error) { done <- err }))
		is.NoErr(<-done)
	}
	tracker := idempotency.NewTracker(s, trackerConfig)
	for _, key := range []string{"answered", "long", "doubtful", "released"} {
		writeQuery(t, tracker, key)
	}
}

// writeQuery writes the records of a query with a key.
func writeQuery(t *testing.T, tracker *idempotency.Tracker, key string) {
	t.Helper()
	is := is.New(t)
	entry, found := tracker.Begin(key, "label", 1)
	is.Equal(found.State, idempotency.Fresh)
	done := make(chan error, 1)
	part := core.Intent{Shard: 1, Server: "s1"}
	part.Span.From, part.Span.To = 10, 20
	is.NoErr(entry.Record([]core.Intent{part}, 6_000_000, func(err error) { done <- err }))
	is.NoErr(<-done)
	answer := idempotency.Answer{Status: 200, Type: "text/plain", Fields: [][2]string{{"A", "b"}}, Body: []byte("done")}
	switch key {
	case "doubtful":
		entry.Abandon()
		return
	case "released":
		entry.Release() // it is written when the store is closed
		return
	case "long":
		answer.Body = []byte(strings.Repeat("x", 11))
	}
	entry.End(answer, func(err error) { done <- err })
	is.NoErr(<-done)
}
