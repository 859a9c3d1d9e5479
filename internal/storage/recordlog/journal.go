package recordlog

import (
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"slices"
	"sync"
)

// ref is the place of a record: the id of its segment and the offset in it. 0 is no valid place.
type ref uint64

func newRef(id uint32, off int64) ref { return ref(id)<<32 | ref(off) }

func (r ref) split() (id uint32, off int64) { return uint32(r >> 32), int64(r & math.MaxUint32) }

// journal is the store without its goroutines. Only the writer goroutine calls the methods that
// change it. The writer locks mu to change the fields that mu guards, but not to read them; other
// goroutines lock mu to read them.
type journal struct {
	opt          Options
	dirs         [2]Dir
	claim        io.Closer // lock of this process's claim
	active       *segment
	files        [2]File // of the active segment
	activeBroken bool    // the active segment accepts no more records
	openedAt     int64   // time on the caller's clock at which the store's clock was at clockStart
	clockStart   int64
	lastSeq      uint64   // of the latest record
	lastAt       int64    // time of the latest record on the store's clock
	damagedFiles []string // found while opening
	buf          []byte   // encoded batch, reused

	mu           sync.RWMutex
	manifest     manifest
	index        table // place of the latest record of a key, by hash of kind and key
	hashSeed     maphash.Seed
	segmentsByID map[uint32]*segment
}

// open makes this process the owner of the directories and reads the store in them. With force it
// takes over ownership even from a process that is still running.
func open(dirs [2]Dir, opt Options, force bool) (*journal, error) {
	j := &journal{opt: opt, dirs: dirs, hashSeed: maphash.MakeSeed(), segmentsByID: map[uint32]*segment{}}
	epoch, err := j.claimOwnership(force)
	if err != nil {
		return nil, err
	}
	if err := j.recover(epoch); err != nil {
		j.close()
		return nil, err
	}
	return j, nil
}

// now returns the time of the store's clock. It continues from the latest record by the caller's
// monotonic clock, so it does not jump when the system clock is set, and no record expires early
// because of that. Time during which no process has the store open does not count.
func (j *journal) now() int64 { return j.clockStart + max(0, j.opt.Now()-j.openedAt) }

// keyHash returns the hash of a kind and key. Its seed is random in each process, so that clients
// cannot cause collisions.
func (j *journal) keyHash(k Kind, key []byte) uint64 {
	return mix(maphash.Bytes(j.hashSeed, key) + uint64(k))
}

// fileError wraps an error with the name of a file of one copy.
func (j *journal) fileError(copyIndex int, name string, err error) error {
	return fmt.Errorf("store: %s/%s: %w", j.dirs[copyIndex], name, err)
}

// forBothCopies calls f for each copy, concurrently unless Options.Serial is set. It waits for
// both calls and returns the first copy's error, otherwise the second one's, with the file's
// name.
func (j *journal) forBothCopies(name string, f func(copyIndex int) error) error {
	var errs [2]error
	if j.opt.Serial {
		errs[0], errs[1] = f(0), f(1)
	} else {
		done := make(chan struct{})
		go func() { errs[1] = f(1); close(done) }()
		errs[0] = f(0)
		<-done
	}
	for i, err := range errs {
		if err != nil {
			return j.fileError(i, name, err)
		}
	}
	return nil
}

// pointTo makes the index refer to a record of size bytes, and updates the live bytes of the
// segments. The caller must hold mu, or be the only goroutine with access to the journal.
func (j *journal) pointTo(s *segment, off, size int64, hash uint64, expiresAt int64) {
	if old := j.index.set(hash, newRef(s.id, off)); old != 0 {
		id, _ := old.split()
		if id == s.id {
			s.live -= size // an approximation: the old record may have had another size
		} else if o := j.segmentsByID[id]; o != nil {
			o.live -= size
		}
	}
	s.live += size
	if expiresAt == 0 {
		expiresAt = math.MaxInt64
	}
	s.expiresAt = max(s.expiresAt, expiresAt)
}

// pointsTo reports whether the index refers to a place. The caller must hold mu, or be the
// writer.
func (j *journal) pointsTo(hash uint64, at ref) bool {
	got, ok := j.index.get(hash)
	return ok && got == at
}

// isCurrent reports whether the index refers to a place. It may be called from any goroutine.
func (j *journal) isCurrent(hash uint64, at ref) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.pointsTo(hash, at)
}

// segments returns the segments in the manifest, the active one last.
func (j *journal) segments() []*segment {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return slices.Clone(j.manifest.segments)
}

// freeze returns a sealed copy of a segment that ends at its last acknowledged record, and
// whether s itself is sealed.
func (j *journal) freeze(s *segment) (frozen segment, sealed bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return segment{id: s.id, epoch: s.epoch, sealed: true, size: s.size}, s.sealed
}

// source returns the source from which the journal's segments are read.
func (j *journal) source() segmentSource { return segmentSource{dirs: j.dirs, store: j.manifest.store} }

// close closes the files and releases the ownership. The files' content is durable already, or
// was never acknowledged.
func (j *journal) close() {
	j.closeFiles()
	if j.claim != nil {
		j.claim.Close()
	}
}

func (j *journal) closeFiles() {
	for _, f := range j.files {
		if f != nil {
			f.Close()
		}
	}
}
