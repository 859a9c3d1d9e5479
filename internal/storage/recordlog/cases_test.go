package recordlog_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"saffronquay/internal/storage/recordlog"
	"saffronquay/internal/storage/simdisk"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// bench is a store on two disks in memory, for one test.
type bench struct {
	t     *testing.T
	plan  *simdisk.FaultPlan
	disks [2]*simdisk.Disk
	now   atomic.Int64
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, plan: &simdisk.FaultPlan{}}
	b.disks = [2]*simdisk.Disk{simdisk.New("a", b.plan), simdisk.New("b", b.plan)}
	return b
}

func (b *bench) options() recordlog.Options {
	return recordlog.Options{ID: 3, Now: b.now.Load, MaxRetention: 1000, SegmentSize: 512, Serial: true}
}

func (b *bench) open() *recordlog.Store {
	b.t.Helper()
	s, err := recordlog.Open(dirs(b.disks), b.options(), false)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Close)
	return s
}

// put appends a record and waits for its end.
func put(s *recordlog.Store, key, value string, until int64) error {
	done := make(chan error, 1)
	if err := s.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: key, Value: []byte(value), ExpiresAt: until}, func(err error) { done <- err }); err != nil {
		return err
	}
	return <-done
}

func (b *bench) put(s *recordlog.Store, key, value string, until int64) {
	b.t.Helper()
	if err := put(s, key, value, until); err != nil {
		b.t.Fatalf("%s: %v", key, err)
	}
}

func (b *bench) wants(s *recordlog.Store, key, value string) {
	b.t.Helper()
	r, ok, err := s.Get(recordlog.AtMostOnce, key)
	if err != nil || ok != (value != "") || string(r.Value) != value {
		b.t.Errorf("%s: %q %t %v, want %q", key, r.Value, ok, err, value)
	}
}

// crash is the machine's end and its coming back.
func (b *bench) crash(s *recordlog.Store, seed uint64) {
	b.plan.CrashAt(1)
	s.Close()
	b.plan = &simdisk.FaultPlan{}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range b.disks {
		b.disks[i] = b.disks[i].Crash(b.plan, rng)
	}
}

// A sync that fails once and then says yes has dropped what it was for: what is acknowledged later must not stand on it.
func TestSyncFailsOnceThenSaysYes(t *testing.T) {
	for call := 1; call < 12; call++ {
		for seed := range uint64(8) {
			b := newBench(t)
			s := b.open()
			b.put(s, "before", "1", 0)
			b.plan.FailSync(call)
			acked := map[string]string{"before": "1"}
			for i := range 6 {
				key := fmt.Sprint("k", i)
				if put(s, key, "v", 0) == nil {
					acked[key] = "v"
				}
			}
			b.crash(s, seed)
			whole := b.disks
			for gone := range whole { // what is acknowledged stands in each copy by itself
				plan := &simdisk.FaultPlan{}
				b.disks = [2]*simdisk.Disk{whole[0].Clone(plan), whole[1].Clone(plan)}
				for _, name := range b.disks[gone].Files() {
					b.disks[gone].Put(name, nil)
				}
				s = b.open()
				for key, value := range acked {
					b.wants(s, key, value)
				}
				s.Close()
			}
		}
	}
}

// A disk that runs full in the middle of a record, or of anything else, is told to callers, costs nothing that was acknowledged,
// and is written to again once there is room.
func TestDiskFull(t *testing.T) {
	for room := 1; room < 400; room += 3 {
		b := newBench(t)
		s := b.open()
		b.put(s, "over", "0", s.Now()+10)
		s.Close()
		s = b.open()
		b.put(s, "before", "1", 0)
		b.now.Add(100)
		b.plan.SetWriteBudget(room)
		acked, failed := map[string]bool{}, false
		for i := range 8 {
			key := fmt.Sprint("k", i)
			if err := put(s, key, strings.Repeat("v", 20), 0); err == nil {
				acked[key] = true
			} else if failed = true; !errors.Is(err, syscall.ENOSPC) || s.Health() == nil {
				t.Fatalf("room %d: %v, health %v", room, err, s.Health())
			}
		}
		if !failed {
			t.Fatalf("room %d: it never ran full", room)
		}
		if s.Clean() == nil {
			t.Errorf("room %d: cleaning found room", room)
		}
		if room%2 == 0 {
			b.crash(s, uint64(room))
			s = b.open()
		}
		b.plan.SetWriteBudget(0)
		b.put(s, "after", "2", 0)
		if s.Health() != nil {
			t.Errorf("room %d: %v", room, s.Health())
		}
		s.Close()
		s = b.open()
		if u := s.LostSpans(); len(u) > 0 && room%2 == 1 {
			t.Errorf("room %d: unknown %v", room, u)
		}
		b.wants(s, "before", "1")
		b.wants(s, "after", "2")
		for key := range acked {
			b.wants(s, key, strings.Repeat("v", 20))
		}
		s.Close()
	}
}

// Any two files swapped, within a copy or across, and any file put back as it was before.
func TestSwappedAndOldFiles(t *testing.T) {
	b := newBench(t)
	s := b.open()
	old := [2]map[string][]byte{}
	want := map[string]string{}
	for i := range 40 {
		key, value := fmt.Sprint("k", i%9), fmt.Sprint("value ", i)
		b.put(s, key, value, 0)
		want[key] = value
		if i == 20 {
			for d := range b.disks {
				old[d] = map[string][]byte{}
				for _, name := range b.disks[d].Files() {
					old[d][name] = b.disks[d].Read(name)
				}
			}
		}
		if i%13 == 0 {
			s.Clean()
		}
	}
	s.Close()
	whole := b.disks
	holds := func(what string) {
		s := b.open()
		for key, value := range want {
			b.wants(s, key, value)
		}
		if u := s.LostSpans(); len(u) > 0 {
			t.Errorf("%s: unknown %v", what, u)
		}
		s.Close()
	}
	again := func() {
		plan := &simdisk.FaultPlan{}
		b.disks = [2]*simdisk.Disk{whole[0].Clone(plan), whole[1].Clone(plan)}
	}
	for d := range whole {
		for _, x := range whole[d].Files() {
			for _, y := range whole[d].Files() {
				if x >= y {
					continue
				}
				again()
				bx, by := b.disks[d].Read(x), b.disks[d].Read(y)
				b.disks[d].Put(x, by)
				b.disks[d].Put(y, bx)
				holds(x + " and " + y)
			}
		}
		for name, data := range old[d] {
			if strings.HasPrefix(name, "manifest-") { // under a name that it does not bear
				again()
				b.disks[d].Put("manifest-00ffffff-00000001", data)
				holds("renamed " + name)
			}
			again()
			b.disks[d].Put(name, data) // one that was cleaned away, or a shorter state of one that is there
			holds("old " + name)
		}
	}
	for _, name := range whole[0].Files() { // a file and its copy
		if x, y := whole[0].Read(name), whole[1].Read(name); y != nil {
			again()
			b.disks[0].Put(name, y)
			b.disks[1].Put(name, x)
			holds("copies of " + name)
		}
	}
}

// Where both copies are gone the span is told, for as long as something of it may matter; the rest is found.
func TestBothCopiesGone(t *testing.T) {
	b := newBench(t)
	s := b.open()
	for i := range 5 {
		b.now.Add(10)
		b.put(s, fmt.Sprint("k", i), strings.Repeat("v", 30), s.Now()+900)
	}
	s.Close()
	var name string
	for _, n := range b.disks[0].Files() {
		if strings.HasPrefix(n, "segment-") && len(b.disks[0].Read(n)) > 200 {
			name = n
		}
	}
	// The last record, in bytes that nothing follows: that is no write which was cut off.
	ends := &simdisk.FaultPlan{}
	tail := [2]*simdisk.Disk{b.disks[0].Clone(ends), b.disks[1].Clone(ends)}
	for _, d := range tail {
		data := d.Read(name)
		data[len(data)-3] ^= 1
		d.Put(name, data)
	}
	if s, err := recordlog.Open(dirs(tail), b.options(), false); err != nil || len(s.LostSpans()) != 1 {
		t.Errorf("the end gone: %v", err)
	} else {
		s.Close()
	}
	for _, d := range b.disks {
		data := d.Read(name)
		at := slices.Index(data, 'v') // in the first record
		for i := range 60 {
			data[at+i] ^= 0x55
		}
		d.Put(name, data)
	}
	s = b.open()
	found := 0
	for i := range 5 {
		if _, ok, _ := s.Get(recordlog.AtMostOnce, fmt.Sprint("k", i)); ok {
			found++
		}
	}
	u := s.LostSpans()
	if found != 3 || len(u) != 1 || u[0].After != 0 || u[0].Before != 3 {
		t.Errorf("%d found, unknown %+v", found, u)
	}
	s.Clean() // the damaged segment goes, the knowledge stays
	s.Close()
	s = b.open()
	if len(s.LostSpans()) != 1 {
		t.Errorf("forgotten: %v", s.LostSpans())
	}
	b.now.Add(2000)
	if len(s.LostSpans()) != 0 {
		t.Errorf("not over: %v", s.LostSpans())
	}
	// A whole segment, and the roots, gone in both copies.
	for _, d := range b.disks {
		for _, n := range d.Files() {
			if strings.HasPrefix(n, "manifest-") {
				d.Put(n, nil)
			}
		}
	}
	s.Close()
	for _, d := range b.disks {
		for _, n := range d.Files() {
			if strings.HasPrefix(n, "manifest-") {
				d.Put(n, nil)
			}
		}
	}
	if _, err := recordlog.Open(dirs(b.disks), b.options(), false); !errors.Is(err, recordlog.ErrNoManifest) {
		t.Errorf("without a root: %v", err)
	}
}

// A clock that goes back or ahead between two lives forgets nothing too early.
func TestClocksJump(t *testing.T) {
	b := newBench(t)
	b.now.Store(1_000_000)
	s := b.open()
	b.put(s, "k", "v", s.Now()+900)
	s.Close()
	for _, at := range []int64{5, 1 << 50} {
		b.now.Store(at)
		s = b.open()
		b.wants(s, "k", "v")
		b.now.Add(500)
		b.wants(s, "k", "v")
		s.Close()
	}
	b.now.Store(7)
	s = b.open()
	b.now.Add(901)
	b.wants(s, "k", "")
	s.Clean()
	if _, keys := s.Size(); keys != 0 {
		t.Errorf("%d keys are held", keys)
	}
}

// The old owner stands still, and writes once another one has taken its place: nothing of that is acknowledged, or counts.
func TestOldOwnerWritesLate(t *testing.T) {
	for _, cleans := range []bool{false, true} {
		b := newBench(t)
		old := b.open()
		for i := range 30 {
			b.put(old, fmt.Sprint("k", i%4), "old", 0)
		}
		if _, err := recordlog.Open(dirs(b.disks), b.options(), false); !errors.Is(err, recordlog.ErrOwned) {
			t.Fatalf("two owners: %v", err)
		}
		release := b.plan.Stall()
		late := make(chan error, 1)
		go func() { late <- put(old, "late", "never", 0) }()
		opened := make(chan *recordlog.Store, 1)
		release()
		s, err := recordlog.Open(dirs(b.disks), b.options(), true)
		if err != nil {
			t.Fatal(err)
		}
		opened <- s
		if err := <-late; err == nil { // it was in time
			b.wants(s, "late", "never")
		} else if !errors.Is(err, recordlog.ErrFenced) {
			t.Errorf("late: %v", err)
		}
		b.put(s, "k1", "new", 0)
		for i := range 3 {
			if err := put(old, fmt.Sprint("later", i), "never", 0); !errors.Is(err, recordlog.ErrFenced) {
				t.Errorf("later: %v", err)
			}
		}
		if cleans && old.Clean() == nil {
			t.Error("the old owner cleans")
		}
		old.Close()
		s.Close()
		s = b.open()
		b.wants(s, "k1", "new")
		b.wants(s, "k2", "old")
		b.wants(s, "later1", "")
		s.Close()
	}
}

// A stalled disk lets callers wait or fail at once, within bounds.
func TestStalledDisk(t *testing.T) {
	b := newBench(t)
	s := b.open()
	release := b.plan.Stall()
	var acked, busy atomic.Int64
	for range 10_000 {
		if err := s.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: "k", Value: []byte("v")}, func(error) { acked.Add(1) }); errors.Is(err, recordlog.ErrBusy) {
			busy.Add(1)
		}
	}
	if busy.Load() < 5000 || acked.Load() > 0 {
		t.Errorf("%d turned away, %d acknowledged", busy.Load(), acked.Load())
	}
	release()
	s.Close()
	if acked.Load()+busy.Load() != 10_000 {
		t.Errorf("%d of 10000 ended", acked.Load()+busy.Load())
	}
	if err := put(s, "k", "v", 0); !errors.Is(err, recordlog.ErrClosed) {
		t.Error(err)
	}
}

// On a real disk: two lives, a reader beside the owner, and the lock.
func TestOnDisk(t *testing.T) {
	dir := t.TempDir()
	open := func(force bool) (*recordlog.Store, error) {
		var d [2]recordlog.Dir
		for i, name := range []string{"/a", "/b"} {
			var err error
			if d[i], err = recordlog.Directory(dir + name); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		return recordlog.Open(d, recordlog.Options{
			ID: 1, Now: func() int64 { return time.Since(start).Microseconds() }, MaxRetention: 1 << 40, CleanEvery: time.Millisecond,
			ScrubEvery: time.Millisecond, SegmentSize: 1 << 12,
		}, force)
	}
	s, err := open(false)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 500 {
		if err := put(s, fmt.Sprint("k", i%50), fmt.Sprint("v", i), 0); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := open(false); !errors.Is(err, recordlog.ErrOwned) {
		t.Errorf("two owners: %v", err)
	}
	read := [2]recordlog.Dir{recordlog.ExistingDirectory(dir + "/a"), recordlog.ExistingDirectory(dir + "/b")}
	if v, err := recordlog.OpenReadOnly(read); err != nil || v.Check().Records < 50 {
		t.Errorf("beside the owner: %v", err)
	}
	next, err := open(true)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(s, "k1", "late", 0); !errors.Is(err, recordlog.ErrFenced) {
		t.Errorf("the old owner: %v", err)
	}
	s.Close()
	next.Close()
	if s, err = open(false); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 50 {
		if r, ok, err := s.Get(recordlog.AtMostOnce, fmt.Sprint("k", i)); !ok || err != nil || string(r.Value) != fmt.Sprint("v", 450+i) {
			t.Errorf("k%d: %q %t %v", i, r.Value, ok, err)
		}
	}
}
