package recordlog

import (
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"io/fs"
	"math"
	"saffronquay/internal/storage/recordlog/form"
	"slices"
	"strings"
	"sync"
)

// ref is where a record lies: the segment's number and the offset in it.
type ref uint64

func refOf(id uint32, off int64) ref { return ref(id)<<32 | ref(off) }

func (r ref) at() (id uint32, off int64) { return uint32(r >> 32), int64(r & math.MaxUint32) }

// journal is the store without its goroutines. Its owner calls it from one goroutine; get may be called from any.
type journal struct {
	opt    Options
	dirs   [2]Dir
	man    manifest
	claim  io.Closer
	active *segment
	files  [2]File // of the active segment
	broken bool    // the active segment takes no more
	begun  int64   // by the caller's clock, when the store's clock stood at from
	from   int64
	seq    uint64
	last   int64 // the store's clock at the latest record
	damage []string
	buf    []byte

	mu    sync.RWMutex // of what get reads
	hash  maphash.Seed
	index table // by a record's kind and key; the hash is drawn anew by each process, so that nobody can make two meet
	byID  map[uint32]*segment
}

// now is the store's clock. It goes on from the latest record by the caller's monotonic clock, and so neither back nor ahead with the
// system's: a record is never forgotten because that one was set. Time in which nobody has the store open does not count.
func (j *journal) now() int64 { return j.from + max(0, j.opt.Now()-j.begun) }

func (j *journal) keyOf(k Kind, key []byte) uint64 {
	return mix(maphash.Bytes(j.hash, key) + uint64(k))
}

// open claims the directories and reads what is there. force takes the place of an owner that holds on to its lock.
func open(dirs [2]Dir, opt Options, force bool) (*journal, error) {
	j := &journal{opt: opt, dirs: dirs, hash: maphash.MakeSeed(), byID: map[uint32]*segment{}}
	epoch, err := j.take(force)
	if err != nil {
		return nil, err
	}
	if err := j.recover(epoch); err != nil {
		j.close()
		return nil, err
	}
	return j, nil
}

// take makes this process the owner, under the next epoch. What the one before writes from now on, it does not see acknowledged.
func (j *journal) take(force bool) (uint64, error) {
	had := look(j.dirs)
	epoch := had.epoch
	if ok, err := j.dirs[0].Exists(claimName(epoch)); err == nil && ok {
		lock, err := j.dirs[0].Lock(claimName(epoch))
		switch {
		case err == nil:
			defer lock.Close()
		case !force || !errors.Is(err, ErrOwned):
			return 0, j.wrap(0, claimName(epoch), err)
		}
	}
	epoch++
	f, err := j.dirs[0].Create(claimName(epoch))
	if errors.Is(err, fs.ErrExist) {
		return 0, ErrOwned // another one was faster
	}
	if err != nil {
		return 0, j.wrap(0, claimName(epoch), err)
	}
	f.Close()
	if j.claim, err = j.dirs[0].Lock(claimName(epoch)); err != nil {
		return 0, j.wrap(0, claimName(epoch), err)
	}
	for _, name := range had.names[0] {
		if strings.HasPrefix(name, claimPrefix) {
			j.dirs[0].Remove(name) // the one before sees by this too that its time is over
		}
	}
	if err := j.dirs[0].Sync(); err != nil {
		j.claim.Close()
		return 0, j.wrap(0, claimName(epoch), err)
	}
	return epoch, nil
}

// owns tells whether this process still is the owner.
func (j *journal) owns() bool {
	own, err := j.dirs[0].Exists(claimName(j.man.epoch))
	next, err2 := j.dirs[0].Exists(claimName(j.man.epoch + 1))
	return err == nil && err2 == nil && own && !next
}

func (j *journal) wrap(copy int, name string, err error) error {
	return fmt.Errorf("store: %s/%s: %w", j.dirs[copy], name, err)
}

// recover reads the manifest and the segments, after the claim, and begins a new segment.
func (j *journal) recover(epoch uint64) error {
	h := look(j.dirs)
	r := &recovery{j: j}
	if h.best == nil {
		if err := j.fresh(h); err != nil {
			return err
		}
		j.man = manifest{store: j.opt.ID}
	} else {
		j.man = *h.best
	}
	j.seq, j.last, j.man.epoch, j.man.number = j.man.seq, j.man.at, epoch, 0
	j.man.next = max(j.man.next, h.first)
	var bufs buffers
	prior := header{}
	for _, s := range j.man.segments {
		j.byID[s.id] = s
		r.segment = s
		res := scan(j.dirs, j.man.store, s, prior, false, &bufs, r)
		if !s.sealed {
			s.sealed, s.size = true, res.size
		}
		j.suspect(s, res)
		prior = res.last
	}
	if prior.seq > 0 {
		j.seq, j.last = max(j.seq, prior.seq), max(j.last, prior.at)
	}
	j.begun, j.from = j.opt.Now(), j.last
	r.end(j.last)
	j.man.unknown = append(slices.DeleteFunc(j.man.unknown, func(u LostSpan) bool { return u.To+j.opt.MaxRetention <= j.last }), r.unknown...)
	for i, whole := range h.whole {
		if h.best != nil && !whole {
			j.damage = append(j.damage, fmt.Sprintf("%s/%s", j.dirs[i], h.best.name()))
		}
	}
	if err := j.roll(); err != nil {
		return err
	}
	j.tidy(h.names)
	return nil
}

// mostHead bounds the bytes of a segment's first frame; with any record behind it there are more.
const mostHead = 64

// fresh tells whether nothing was ever acknowledged here. Guards what was written against being taken for nothing because the two
// manifests are gone.
func (j *journal) fresh(h holdings) error {
	for i, names := range h.names {
		for _, name := range names {
			if !strings.HasPrefix(name, segmentPrefix) {
				continue
			}
			b := readAll(j.dirs[i], name, nil)
			if len(b) > mostHead {
				return fmt.Errorf("store: %s and %s: %w, and %s holds records", j.dirs[0], j.dirs[1], ErrNoManifest, name)
			}
		}
	}
	return nil
}

// suspect notes what is wrong with the copies of a segment: its live records are written anew.
func (j *journal) suspect(s *segment, res scanned) {
	for i, n := range res.damaged {
		if n == 0 && i == 1 && s.size > 0 { // not read: its length tells of the commonest damage
			if size, err := sizeOf(j.dirs[1], s.name()); err != nil || size < s.size {
				n = s.size - size
			}
		}
		if n > 0 {
			s.damaged = true
			j.damage = append(j.damage, fmt.Sprintf("%s/%s", j.dirs[i], s.name()))
		}
	}
}

func sizeOf(d Dir, name string) (int64, error) {
	f, err := d.Open(name)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	return f.Seek(0, io.SeekEnd)
}

// recovery fills the index.
type recovery struct {
	j       *journal
	segment *segment
	unknown []LostSpan
}

func (r *recovery) record(off int64, payload []byte, h header) {
	for i := range r.unknown {
		if u := &r.unknown[i]; u.Before == 0 {
			u.Before, u.To = h.seq, h.at
		}
	}
	r.j.put(r.segment, off, int64(frameHead+len(payload)), r.j.keyOf(h.kind, h.key), h.until)
}

func (r *recovery) lost(after header) {
	r.unknown = append(r.unknown, LostSpan{After: after.seq, From: after.at})
}

// end closes what nothing follows.
func (r *recovery) end(now int64) {
	for i := range r.unknown {
		if r.unknown[i].Before == 0 {
			r.unknown[i].To = now
		}
	}
}

// put has the index point to a record. The lock is held, or nobody else has the journal yet.
func (j *journal) put(s *segment, off, size int64, hash uint64, until int64) {
	if old := j.index.set(hash, refOf(s.id, off)); old != 0 {
		id, _ := old.at()
		if id == s.id {
			s.live -= size // about: the old one may have had another size
		} else if o := j.byID[id]; o != nil {
			o.live -= size
		}
	}
	s.live += size
	if until == 0 {
		until = math.MaxInt64
	}
	s.until = max(s.until, until)
}

// both does something for each copy, side by side, and gives the first error with the file's name.
func (j *journal) both(name string, f func(i int) error) error {
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
			return j.wrap(i, name, err)
		}
	}
	return nil
}

// roll begins a new segment, and seals the one before at what is acknowledged of it.
func (j *journal) roll() error {
	s := &segment{id: j.man.next, epoch: j.man.epoch}
	j.man.next++
	head, err := appendFrame(nil, seed(j.man.store, s.epoch, s.id), 0,
		&form.Head{Version: version, Store: j.man.store, Epoch: s.epoch, Id: s.id})
	if err != nil {
		return err
	}
	var files [2]File
	err = j.both(s.name(), func(i int) (err error) {
		if files[i], err = j.dirs[i].Create(s.name()); err != nil {
			return err
		}
		return j.secure(i, files[i], head)
	})
	s.size = int64(len(head))
	segments := slices.Clone(j.man.segments)
	if old := j.active; old != nil {
		segments[len(segments)-1] = &segment{id: old.id, epoch: old.epoch, sealed: true, size: old.size}
	}
	if err == nil {
		err = j.write(append(segments, s))
	}
	if err != nil { // a manifest that names the segment may last all the same, so its files stay
		for _, f := range files {
			if f != nil {
				f.Close()
			}
		}
		return err
	}
	for _, f := range j.files {
		if f != nil {
			f.Close()
		}
	}
	j.mu.Lock()
	if j.active != nil {
		j.active.sealed = true
	}
	j.man.segments = append(j.man.segments, s)
	j.byID[s.id] = s
	j.active, j.files, j.broken = s, files, false
	j.mu.Unlock()
	return nil
}

// secure writes the first bytes of a new file and makes them and its name last.
func (j *journal) secure(copy int, f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return j.dirs[copy].Sync()
}

// write makes a manifest of segments the one that counts, and then removes the one before.
func (j *journal) write(segments []*segment) error {
	m := j.man
	m.number++
	m.segments, m.at, m.seq = segments, j.last, j.seq
	j.man.number = m.number // whatever becomes of it: another one needs a rank above it
	b, err := m.frame()
	if err != nil {
		return err
	}
	err = j.both(m.name(), func(i int) error {
		f, err := j.dirs[i].Create(m.name())
		if err != nil {
			return err
		}
		defer f.Close()
		return j.secure(i, f, b)
	})
	if err != nil {
		return err
	}
	if !j.owns() {
		return ErrFenced
	}
	for i := range j.dirs {
		if names, err := j.dirs[i].List(); err == nil {
			for _, name := range names {
				if strings.HasPrefix(name, manifestPrefix) && name < m.name() {
					j.dirs[i].Remove(name)
				}
			}
		}
	}
	return nil
}

// tidy removes what an earlier process left behind and nothing names.
func (j *journal) tidy(names [2][]string) {
	named := map[string]bool{}
	for _, s := range j.man.segments {
		named[s.name()] = true
	}
	for i, d := range j.dirs {
		for _, name := range names[i] {
			if strings.HasPrefix(name, segmentPrefix) && !named[name] {
				d.Remove(name) // what stays behind is tried again at the next start
			}
		}
	}
}

func (j *journal) close() {
	for _, f := range j.files {
		if f != nil {
			f.Close()
		}
	}
	if j.claim != nil {
		j.claim.Close()
	}
}
