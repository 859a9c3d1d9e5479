package replica

import (
	"fmt"
	"maps"
	"saffronquay/internal/scheduler/rpc"
	"slices"

	"google.golang.org/protobuf/proto"
)

// groupIndex has the positions in the log of a group's live records. An empty span represents a
// record that does not exist.
type groupIndex struct {
	hardState      span
	snapshot       span
	chunks         []span          // of the snapshot
	stagedLocal    []span          // chunks of a snapshot that this replica creates
	stagedReceived []span          // chunks of an incoming snapshot
	first          uint64          // index of entries[0]
	entries        []entryLocation // without gaps
}

// entryLocation is the position of an entry, with the metadata that is available without reading
// it.
type entryLocation struct {
	span
	epoch uint64
	kind  rpc.EntryKind
	size  uint32 // of its data
}

// nextIndex returns the index after the last entry.
func (g *groupIndex) nextIndex() uint64 { return g.first + uint64(len(g.entries)) }

// group returns the index of a group, and creates it if necessary.
func (s *Store) group(name string) *groupIndex {
	g := s.groups[name]
	if g == nil {
		g = &groupIndex{}
		s.groups[name] = g
	}
	return g
}

// replay indexes a record read from the log on opening.
func (s *Store) replay(payload []byte, at span) error {
	r := &rpc.StoredRecord{}
	if err := proto.Unmarshal(payload, r); err != nil {
		return err
	}
	return s.index(r, at)
}

// index records the position of a record. Records must be indexed in log order, as later ones make
// earlier ones obsolete. Chunks and entries that would leave a gap are ignored.
func (s *Store) index(r *rpc.StoredRecord, at span) error {
	g := s.group(r.Group)
	switch {
	case r.HardState != nil:
		g.hardState = at
	case r.Piece != nil:
		staged := g.staged(r.Received)
		if int(r.Piece.Number) <= len(*staged) {
			*staged = append((*staged)[:r.Piece.Number], at)
		}
	case r.Snapshot != nil:
		return g.activateSnapshot(r, at)
	case r.Entry != nil && r.Entry.Index >= g.first && r.Entry.Index <= g.nextIndex():
		g.entries = append(g.entries[:r.Entry.Index-g.first], entryLocation{at, r.Entry.Epoch, r.Entry.Kind, uint32(len(r.Entry.Data))})
	}
	return nil
}

// staged returns the chunks of the incoming snapshot, or of the one that this replica creates.
func (g *groupIndex) staged(received bool) *[]span {
	if received {
		return &g.stagedReceived
	}
	return &g.stagedLocal
}

// activateSnapshot makes a snapshot the active one; it returns ErrCorrupt if chunks of it are
// missing. A snapshot created by this replica replaces the entries that it covers. A received one
// replaces the entire log: the leader may have discarded entries after its index, and with them the
// replica would vote for candidates that lack entries that the snapshot covers.
func (g *groupIndex) activateSnapshot(r *rpc.StoredRecord, at span) error {
	staged := g.staged(r.Received)
	if len(*staged) < int(r.Snapshot.Pieces) {
		return fmt.Errorf("%w: snapshot of group %s at index %d has %d of %d chunks", ErrCorrupt, r.Group, r.Snapshot.Index, len(*staged), r.Snapshot.Pieces)
	}
	g.snapshot, g.chunks = at, (*staged)[:r.Snapshot.Pieces]
	g.stagedLocal, g.stagedReceived = nil, nil
	next := r.Snapshot.Index + 1
	switch {
	case r.Received:
		g.entries, g.first = nil, next
	case next > g.first:
		g.entries = g.entries[min(int(next-g.first), len(g.entries)):]
		g.first = next
	}
	return nil
}

// liveSpans returns the positions of all live records, in an order in which they can be replayed.
// Groups are sorted by name, so that simulations are deterministic.
func (s *Store) liveSpans() (live []*span) {
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		live = s.groups[name].appendLiveSpans(live)
	}
	return live
}

// appendLiveSpans appends a group's spans: chunks before the snapshot that they belong to, and
// entries after it.
func (g *groupIndex) appendLiveSpans(live []*span) []*span {
	if g.hardState.length > 0 {
		live = append(live, &g.hardState)
	}
	live = appendPointers(live, g.chunks)
	if g.snapshot.length > 0 {
		live = append(live, &g.snapshot)
	}
	for i := range g.entries {
		live = append(live, &g.entries[i].span)
	}
	live = appendPointers(live, g.stagedLocal)
	return appendPointers(live, g.stagedReceived)
}

func appendPointers(pointers []*span, spans []span) []*span {
	for i := range spans {
		pointers = append(pointers, &spans[i])
	}
	return pointers
}

// liveBytes returns the size of the log without its obsolete records.
func (s *Store) liveBytes() (bytes int64) {
	for _, at := range s.liveSpans() {
		bytes += recordHeaderBytes + at.length
	}
	return bytes
}
