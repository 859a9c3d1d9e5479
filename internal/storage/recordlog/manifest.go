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

// manifest is the root of a store: its segments, in order. It is stored as a file of one frame.
// Of several manifests, the valid one with the highest name is the current one, regardless of the
// copy it is in.
type manifest struct {
	store         uint64 // id of the store
	epoch         uint64
	number        uint32 // within the epoch
	segments      []*segment
	lostSpans     []LostSpan
	nextSegmentID uint32
	lastAt        int64
	lastSeq       uint64
}

// File name prefixes. They are part of the stored format and must not change.
const (
	manifestPrefix = "manifest-"
	segmentPrefix  = "segment-"
	claimPrefix    = "claim-"
	// manifestSeed is the seed of the checksums of manifests.
	manifestSeed = 0x6d616e6966657374
)

// name returns the manifest's file name. Names sort by epoch and number.
func (m *manifest) name() string {
	return fmt.Sprintf("%s%08x-%08x", manifestPrefix, m.epoch, m.number)
}

// claimName returns the name of the file that the owner of an epoch creates and locks.
func claimName(epoch uint64) string { return fmt.Sprintf("%s%08x", claimPrefix, epoch) }

// frame returns the content of the manifest's file.
func (m *manifest) frame() ([]byte, error) {
	stored := &form.Manifest{
		Version: formatVersion, Store: m.store, Epoch: m.epoch, Number: m.number, Next: m.nextSegmentID, At: m.lastAt, Seq: m.lastSeq,
	}
	for _, s := range m.segments {
		stored.Segments = append(stored.Segments, &form.Segment{Id: s.id, Epoch: s.epoch, Sealed: s.sealed, Size: s.size})
	}
	for _, span := range m.lostSpans {
		stored.Unknown = append(stored.Unknown, &form.Unknown{After: span.After, Before: span.Before, From: span.From, To: span.To})
	}
	return appendFrame(nil, manifestSeed, 0, stored)
}

// readManifest decodes a manifest. It returns an error if the frame is damaged or belongs to a
// file of another name.
func readManifest(name string, b []byte) (*manifest, error) {
	payload, ok, _ := frameAt(b, manifestSeed, 0)
	if !ok || len(b) != frameHeadSize+len(payload) {
		return nil, errors.New("store: damaged manifest: invalid frame")
	}
	var stored form.Manifest
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return nil, err
	}
	if stored.Version != formatVersion {
		return nil, fmt.Errorf("store: unsupported manifest version %d", stored.Version)
	}
	m := &manifest{
		store: stored.Store, epoch: stored.Epoch, number: stored.Number, nextSegmentID: stored.Next, lastAt: stored.At, lastSeq: stored.Seq,
	}
	if m.name() != name {
		return nil, fmt.Errorf("store: manifest name mismatch: content belongs to %s", m.name())
	}
	for _, s := range stored.Segments {
		m.segments = append(m.segments, &segment{id: s.Id, epoch: s.Epoch, sealed: s.Sealed, size: s.Size})
	}
	for _, span := range stored.Unknown {
		m.lostSpans = append(m.lostSpans, LostSpan{After: span.After, Before: span.Before, From: span.From, To: span.To})
	}
	return m, nil
}

// directoryState is the result of listing the two directories.
type directoryState struct {
	names         [2][]string // of the files, sorted
	latest        *manifest   // the current manifest; nil if there is none
	intact        [2]bool     // which copies of it are valid
	maxEpoch      uint64      // the highest epoch in any name
	nextSegmentID uint32      // greater than the ids of all segments in either directory
}

// readDirectories lists both directories and reads the latest manifest. A directory that cannot
// be read counts as empty.
func readDirectories(dirs [2]Dir) (state directoryState) {
	for i, d := range dirs {
		names, err := d.List()
		if err != nil {
			continue
		}
		slices.Sort(names)
		state.names[i] = names
		for _, name := range slices.Backward(names) {
			state.addNumbers(name)
			if strings.HasPrefix(name, manifestPrefix) {
				state.considerManifest(i, d, name)
			}
		}
	}
	return state
}

// addNumbers updates maxEpoch and nextSegmentID from a file's name.
func (state *directoryState) addNumbers(name string) {
	epoch, id, ok := parseFileName(name)
	if !ok {
		return
	}
	state.maxEpoch = max(state.maxEpoch, epoch)
	if strings.HasPrefix(name, segmentPrefix) {
		state.nextSegmentID = max(state.nextSegmentID, id+1)
	}
}

// considerManifest reads a manifest of copy i, unless a later one was found already.
func (state *directoryState) considerManifest(i int, d Dir, name string) {
	if state.latest != nil && name < state.latest.name() {
		return
	}
	m, err := readManifest(name, readAll(d, name, nil))
	if err != nil {
		return
	}
	if state.latest == nil || name > state.latest.name() {
		state.latest, state.intact = m, [2]bool{}
	}
	state.intact[i] = true
}

// parseFileName returns the epoch in a file's name and, except for claims, the number after it.
func parseFileName(name string) (epoch uint64, number uint32, ok bool) {
	for _, prefix := range []string{claimPrefix, manifestPrefix, segmentPrefix} {
		rest, found := strings.CutPrefix(name, prefix)
		if !found {
			continue
		}
		first, second, hasNumber := strings.Cut(rest, "-")
		epoch, err := strconv.ParseUint(first, 16, 64)
		if err != nil {
			return 0, 0, false
		}
		if !hasNumber {
			return epoch, 0, prefix == claimPrefix
		}
		number, err := strconv.ParseUint(second, 16, 32)
		return epoch, uint32(number), err == nil
	}
	return 0, 0, false
}
