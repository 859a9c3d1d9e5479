package consensus

import (
	"saffronquay/internal/scheduler/rpc"
	"slices"
)

// entryLog is the in-memory part of a group's log: all entries after the last snapshot. Its zero
// value is an empty log.
type entryLog struct {
	snapshotIndex uint64
	snapshotEpoch uint64
	entries       []*rpc.Entry // entries[0] has index snapshotIndex+1
}

func (l *entryLog) lastIndex() uint64 { return l.snapshotIndex + uint64(len(l.entries)) }

func (l *entryLog) lastEpoch() uint64 {
	epoch, _ := l.epochAt(l.lastIndex())
	return epoch
}

// entry returns the entry at an index, which must be in the log.
func (l *entryLog) entry(index uint64) *rpc.Entry { return l.entries[index-l.snapshotIndex-1] }

// epochAt returns the epoch of the entry or snapshot at an index; ok is false if the log has
// neither.
func (l *entryLog) epochAt(index uint64) (epoch uint64, ok bool) {
	switch {
	case index == l.snapshotIndex:
		return l.snapshotEpoch, true
	case index < l.snapshotIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entry(index).Epoch, true
}

// from returns the entries starting at an index, limited to maxBytes but at least one entry. It
// returns nil if the log does not have the first one. Released data counts with its size on disk,
// since the driver loads it again.
func (l *entryLog) from(index uint64, maxBytes int) []*rpc.Entry {
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
	return slices.Clone(rest[:count]) // releaseData may replace entries of the log while these are in use
}

// truncateAfter drops the entries after an index. Messages may still refer to the dropped entries:
// a later append must not overwrite them, so the capacity is cut too.
func (l *entryLog) truncateAfter(index uint64) {
	kept := l.entries[:index-l.snapshotIndex]
	l.entries = kept[:len(kept):len(kept)]
}

// compact drops the entries up to an index, which a snapshot covers.
func (l *entryLog) compact(index, epoch uint64) {
	if index <= l.snapshotIndex {
		return
	}
	if index < l.lastIndex() {
		l.entries = append([]*rpc.Entry(nil), l.entries[index-l.snapshotIndex:]...) // copied, so that the dropped entries are freed
	} else {
		l.entries = nil
	}
	l.snapshotIndex, l.snapshotEpoch = index, epoch
}

// releaseData drops the data of a command from memory and keeps its size. Messages may still refer
// to the entry, so it is replaced by a copy.
func (l *entryLog) releaseData(index uint64) {
	if index <= l.snapshotIndex || index > l.lastIndex() {
		return
	}
	old := l.entry(index)
	if old.Kind == rpc.EntryKind_ENTRY_COMMAND && len(old.Data) > 0 {
		l.entries[index-l.snapshotIndex-1] = &rpc.Entry{Index: old.Index, Epoch: old.Epoch, Kind: old.Kind, Stored: uint32(len(old.Data))}
	}
}
