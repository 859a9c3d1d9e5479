package recordlog

import (
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"slices"
	"sync"
)

// ref is the place of a record: its segment's id and the offset in it.
type ref uint64

func newRef(id uint32, off int64) ref { return ref(id)<<32 | ref(off) }

func (r ref) split() (id uint32, off int64) { return uint32(r >> 32), int64(r & math.MaxUint32) }

// journal is the store without its goroutines. One goroutine, the writer, calls the methods that change it; it takes mu only to change what
// mu guards, not to read that. Other goroutines take mu to read it.
type journal struct {
	opt          Options
	dirs         [2]Dir
	claim        io.Closer // lock of this process's claim
	active       *segment
	files        [2]File // of the active segment
	activeBroken bool    // the active segment takes no more records
	openedAt     int64   // by the caller's clock, when the store's clock was at clockStart
	clockStart   int64
	lastSeq      uint64   // of the latest record
	lastAt       int64    // the store's clock at the latest record
	damagedFiles []string // that were found by opening
	buf          []byte   // of the latest batch, reused

	mu           sync.RWMutex
	manifest     manifest
	index        table // place of the latest record under a key, by hash of kind and key
	hashSeed     maphash.Seed
	segmentsByID map[uint32]*segment
}

// open makes this process the owner of the directories and reads what is there. force takes the ownership from a process that does not
// yield.
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

// now returns the time of the store's clock. It goes on from the latest record by the caller's monotonic clock, so it jumps neither back nor
// ahead when the system's clock is set, and no record expires because of that. Time in which no process has the store open does not count.
func (j *journal) now() int64 { return j.clockStart + max(0, j.opt.Now()-j.openedAt) }

// keyHash returns the hash of a kind and key. Its seed is random in each process, so that no client can make hashes collide.
func (j *journal) keyHash(k Kind, key []byte) uint64 {
	return mix(maphash.Bytes(j.hashSeed, key) + uint64(k))
}

// fileError adds the name of a file of one copy to an error.
func (j *journal) fileError(copyIndex int, name string, err error) error {
	return fmt.Errorf("store: %s/%s: %w", j.dirs[copyIndex], name, err)
}

// forBothCopies calls f for each copy, concurrently unless the options say otherwise. It waits for both and returns the first copy's error,
// otherwise the second one's, with the file's name.
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

// pointTo makes the index point to a record of size bytes, and updates the live bytes of the segments. The caller holds the lock, or no other
// goroutine has the journal yet.
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

// pointsTo reports whether the index points to a place. The caller holds the lock, or is the writer.
func (j *journal) pointsTo(hash uint64, at ref) bool {
	got, ok := j.index.get(hash)
	return ok && got == at
}

// isCurrent reports whether the index points to a place. It may be called from any goroutine.
func (j *journal) isCurrent(hash uint64, at ref) bool {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return j.pointsTo(hash, at)
}

// segments returns the segments that count, the active one last.
func (j *journal) segments() []*segment {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return slices.Clone(j.manifest.segments)
}

// freeze returns a sealed segment with the records of s that are acknowledged by now, and whether s itself is sealed.
func (j *journal) freeze(s *segment) (frozen segment, sealed bool) {
	j.mu.RLock()
	defer j.mu.RUnlock()
	return segment{id: s.id, epoch: s.epoch, sealed: true, size: s.size}, s.sealed
}

// source returns where the journal's segments are read from.
func (j *journal) source() segmentSource { return segmentSource{dirs: j.dirs, store: j.manifest.store} }

// close closes the files and gives up the ownership. The files' content is durable already, or was never acknowledged.
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
