package recordlog

import (
	"errors"
	"fmt"
	"saffronquay/internal/storage/recordlog/form"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
)

// Unknown is a span of which both copies are gone: something may have stood between two records.
type LostSpan struct {
	After, Before uint64 // the records around it, by their numbers; Before is 0 where none follows
	From, To      int64  // by the store's clock
}

// manifest is the root of a store: a file of one frame, whose name tells its rank.
type manifest struct {
	store    uint64
	epoch    uint64
	number   uint32
	segments []*segment
	unknown  []LostSpan
	next     uint32
	at       int64
	seq      uint64
}

const (
	manifestPrefix = "manifest-"
	segmentPrefix  = "segment-"
	claimPrefix    = "claim-"
	manifestSeed   = 0x6d616e6966657374
)

func (m *manifest) name() string {
	return fmt.Sprintf("%s%08x-%08x", manifestPrefix, m.epoch, m.number)
}

func claimName(epoch uint64) string { return fmt.Sprintf("%s%08x", claimPrefix, epoch) }

func (m *manifest) frame() ([]byte, error) {
	f := &form.Manifest{Version: version, Store: m.store, Epoch: m.epoch, Number: m.number, Next: m.next, At: m.at, Seq: m.seq}
	for _, s := range m.segments {
		f.Segments = append(f.Segments, &form.Segment{Id: s.id, Epoch: s.epoch, Sealed: s.sealed, Size: s.size})
	}
	for _, u := range m.unknown {
		f.Unknown = append(f.Unknown, &form.Unknown{After: u.After, Before: u.Before, From: u.From, To: u.To})
	}
	return appendFrame(nil, manifestSeed, 0, f)
}

// readManifest reads one that is whole and bears its own name.
func readManifest(name string, b []byte) (*manifest, error) {
	payload, ok, _ := frameAt(b, manifestSeed, 0)
	if !ok || len(b) != frameHead+len(payload) {
		return nil, errors.New("damaged")
	}
	var f form.Manifest
	if err := proto.Unmarshal(payload, &f); err != nil {
		return nil, err
	}
	if f.Version != version {
		return nil, fmt.Errorf("of version %d", f.Version)
	}
	m := &manifest{store: f.Store, epoch: f.Epoch, number: f.Number, next: f.Next, at: f.At, seq: f.Seq}
	if m.name() != name {
		return nil, fmt.Errorf("it is %s", m.name())
	}
	for _, s := range f.Segments {
		m.segments = append(m.segments, &segment{id: s.Id, epoch: s.Epoch, sealed: s.Sealed, size: s.Size})
	}
	for _, u := range f.Unknown {
		m.unknown = append(m.unknown, LostSpan{After: u.After, Before: u.Before, From: u.From, To: u.To})
	}
	return m, nil
}

// holdings is what lies in the two directories.
type holdings struct {
	names [2][]string
	best  *manifest // the latest that is whole in either
	whole [2]bool   // it is whole there
	epoch uint64    // the highest that any name tells
	first uint32    // above the number of each segment there
}

// look reads the names in both directories, and the latest manifest. A directory that can't be read is as one that is empty.
func look(dirs [2]Dir) (h holdings) {
	for i, d := range dirs {
		names, err := d.List()
		if err != nil {
			continue
		}
		slices.Sort(names)
		h.names[i] = names
		for _, name := range slices.Backward(names) {
			if epoch, id, ok := numbers(name); ok {
				h.epoch = max(h.epoch, epoch)
				if strings.HasPrefix(name, segmentPrefix) {
					h.first = max(h.first, id+1)
				}
			}
			if !strings.HasPrefix(name, manifestPrefix) {
				continue
			}
			if h.best != nil && name < h.best.name() {
				continue
			}
			if m, err := readManifest(name, readAll(d, name, nil)); err == nil {
				if h.best == nil || name > h.best.name() {
					h.best, h.whole = m, [2]bool{}
				}
				h.whole[i] = true
			}
		}
	}
	return h
}

// numbers are the epoch, and the number behind it, in a file's name.
func numbers(name string) (epoch uint64, n uint32, ok bool) {
	for _, prefix := range []string{claimPrefix, manifestPrefix, segmentPrefix} {
		rest, is := strings.CutPrefix(name, prefix)
		if !is {
			continue
		}
		first, second, two := strings.Cut(rest, "-")
		e, err := strconv.ParseUint(first, 16, 64)
		if err != nil {
			return 0, 0, false
		}
		if two {
			x, err := strconv.ParseUint(second, 16, 32)
			return e, uint32(x), err == nil
		}
		return e, 0, prefix == claimPrefix
	}
	return 0, 0, false
}
