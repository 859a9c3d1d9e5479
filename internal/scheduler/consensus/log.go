package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// log is the part of a group's log that is kept in memory: everything after the last snapshot.
type log struct {
	snapshotIndex uint64
	snapshotEpoch uint64
	entries       []*rpc.Entry // entries[0] has index snapshotIndex+1
}

func (l *log) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *log) lastEpoch() uint64 { epoch, _ := l.epochAt(l.lastIndex()); return epoch }

// epochAt is the epoch of the entry at an index; false where the log doesn't hold it.
func (l *log) epochAt(index uint64) (epoch uint64, ok bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotEpoch, true
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.snapshotIndex-1].Epoch, true
}

// from returns the entries at and after an index, up to a number of bytes but at least one.
func (l *log) from(index uint64, maxBytes int) []*rpc.Entry {
	if index <= l.snapshotIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.snapshotIndex-1:]
	size, count := 0, len(rest)
	for i, entry := range rest {
		size += len(entry.Data) + int(entry.Stored)
		if i > 0 && size > maxBytes {
			count = i
			break
		}
	}
	return slices.Clone(rest[:count]) // entries may be stripped while these are on their way
}

func (l *log) entry(index uint64) *rpc.Entry { return l.entries[index-l.snapshotIndex-1] }

// truncateAfter drops what stands after an index.
func (l *log) truncateAfter(index uint64) {
	kept := l.entries[:index-l.snapshotIndex]
	l.entries = kept[:len(kept):len(kept)]
}

// compact drops the entries up to an index that a snapshot covers.
func (l *log) compact(index, epoch uint64) {
	if index <= l.snapshotIndex {
		return
	}
	if index < l.lastIndex() {
		l.entries = append([]*rpc.Entry(nil), l.entries[index-l.snapshotIndex:]...)
	} else {
		l.entries = nil
	}
	l.snapshotIndex, l.snapshotEpoch = index, epoch
}

// strip drops the data of an entry, which is applied and on disk, from memory. The entry itself may be on its way to other replicas, so
// another one takes its place.
func (l *log) strip(index uint64) {
	if index <= l.snapshotIndex || index > l.lastIndex() {
		return
	}
	old := l.entries[index-l.snapshotIndex-1]
	if old.Kind == rpc.EntryKind_ENTRY_COMMAND && len(old.Data) > 0 {
		l.entries[index-l.snapshotIndex-1] = &rpc.Entry{Index: old.Index, Epoch: old.Epoch, Kind: old.Kind, Stored: uint32(len(old.Data))}
	}
}
