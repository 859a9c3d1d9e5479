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

// fixture is a store on two simulated disks, for one test.
type fixture struct {
	t      *testing.T
	faults *simdisk.FaultPlan
	disks  [2]*simdisk.Disk
	now    atomic.Int64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{t: t, faults: &simdisk.FaultPlan{}}
	b.disks = [2]*simdisk.Disk{simdisk.New("a", b.faults), simdisk.New("b", b.faults)}
	return b
}

func (b *fixture) options() recordlog.Options {
	return recordlog.Options{ID: 3, Now: b.now.Load, MaxRetention: 1000, SegmentSize: 512, Serial: true}
}

func (b *fixture) open() *recordlog.Store {
	b.t.Helper()
	s, err := recordlog.Open(dirs(b.disks), b.options(), false)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(s.Close)
	return s
}

// put appends a record and waits until it is durable or has failed.
func put(s *recordlog.Store, key, value string, until int64) error {
	done := make(chan error, 1)
	if err := s.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: key, Value: []byte(value), ExpiresAt: until}, func(err error) { done <- err }); err != nil {
		return err
	}
	return <-done
}

func (b *fixture) put(s *recordlog.Store, key, value string, until int64) {
	b.t.Helper()
	if err := put(s, key, value, until); err != nil {
		b.t.Fatalf("%s: %v", key, err)
	}
}

func (b *fixture) expect(s *recordlog.Store, key, value string) {
	b.t.Helper()
	r, ok, err := s.Get(recordlog.AtMostOnce, key)
	if err != nil || ok != (value != "") || string(r.Value) != value {
		b.t.Errorf("%s: value %q, found %t, error %v, want %q", key, r.Value, ok, err, value)
	}
}

// crash simulates a crash and a restart of the machine.
func (b *fixture) crash(s *recordlog.Store, seed uint64) {
	b.faults.CrashAt(1)
	s.Close()
	b.faults = &simdisk.FaultPlan{}
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range b.disks {
		b.disks[i] = b.disks[i].Crash(b.faults, rng)
	}
}

// Guards against a sync that fails once and then succeeds although the kernel has dropped the
// data: no record that is acknowledged later may depend on that sync.
func TestAppend_SyncFailsThenSucceeds(t *testing.T) {
	for call := 1; call < 12; call++ {
		for seed := range uint64(8) {
			b := newFixture(t)
			s := b.open()
			b.put(s, "before", "1", 0)
			b.faults.FailSync(call)
			acked := map[string]string{"before": "1"}
			for i := range 6 {
				key := fmt.Sprint("k", i)
				if put(s, key, "v", 0) == nil {
					acked[key] = "v"
				}
			}
			b.crash(s, seed)
			intact := b.disks
			for gone := range intact { // each copy alone contains all acknowledged records
				plan := &simdisk.FaultPlan{}
				b.disks = [2]*simdisk.Disk{intact[0].Clone(plan), intact[1].Clone(plan)}
				for _, name := range b.disks[gone].FileNames() {
					b.disks[gone].SetFileContent(name, nil)
				}
				s = b.open()
				for key, value := range acked {
					b.expect(s, key, value)
				}
				s.Close()
			}
		}
	}
}

// A disk that becomes full in the middle of a record or of any other write is reported to
// callers, loses no acknowledged record, and the store resumes writing when there is space again.
func TestAppend_DiskFull(t *testing.T) {
	for budget := 1; budget < 400; budget += 3 {
		b := newFixture(t)
		s := b.open()
		b.put(s, "over", "0", s.Now()+10)
		s.Close()
		s = b.open()
		b.put(s, "before", "1", 0)
		b.now.Add(100)
		b.faults.SetWriteBudget(budget)
		acked, failed := map[string]bool{}, false
		for i := range 8 {
			key := fmt.Sprint("k", i)
			if err := put(s, key, strings.Repeat("v", 20), 0); err == nil {
				acked[key] = true
			} else if failed = true; !errors.Is(err, syscall.ENOSPC) || s.Health() == nil {
				t.Fatalf("budget %d: append error %v, health %v", budget, err, s.Health())
			}
		}
		if !failed {
			t.Fatalf("budget %d: no append failed", budget)
		}
		if s.Clean() == nil {
			t.Errorf("budget %d: Clean succeeded on a full disk", budget)
		}
		if budget%2 == 0 {
			b.crash(s, uint64(budget))
			s = b.open()
		}
		b.faults.SetWriteBudget(0)
		b.put(s, "after", "2", 0)
		if s.Health() != nil {
			t.Errorf("budget %d: health after space was freed: %v", budget, s.Health())
		}
		s.Close()
		s = b.open()
		if u := s.LostSpans(); len(u) > 0 && budget%2 == 1 {
			t.Errorf("budget %d: lost spans %v", budget, u)
		}
		b.expect(s, "before", "1")
		b.expect(s, "after", "2")
		for key := range acked {
			b.expect(s, key, strings.Repeat("v", 20))
		}
		s.Close()
	}
}

// Any two files swapped, within a copy or across copies, and any file replaced by an earlier
// version of it, are detected and repaired from the other copy.
func TestOpen_SwappedOrStaleFiles(t *testing.T) {
	b := newFixture(t)
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
				for _, name := range b.disks[d].FileNames() {
					old[d][name] = b.disks[d].FileContent(name)
				}
			}
		}
		if i%13 == 0 {
			s.Clean()
		}
	}
	s.Close()
	intact := b.disks
	verify := func(what string) {
		s := b.open()
		for key, value := range want {
			b.expect(s, key, value)
		}
		if u := s.LostSpans(); len(u) > 0 {
			t.Errorf("%s: lost spans %v", what, u)
		}
		s.Close()
	}
	restore := func() {
		plan := &simdisk.FaultPlan{}
		b.disks = [2]*simdisk.Disk{intact[0].Clone(plan), intact[1].Clone(plan)}
	}
	for d := range intact {
		for _, x := range intact[d].FileNames() {
			for _, y := range intact[d].FileNames() {
				if x >= y {
					continue
				}
				restore()
				bx, by := b.disks[d].FileContent(x), b.disks[d].FileContent(y)
				b.disks[d].SetFileContent(x, by)
				b.disks[d].SetFileContent(y, bx)
				verify(x + " and " + y)
			}
		}
		for name, data := range old[d] {
			if strings.HasPrefix(name, "manifest-") { // under a name that differs from its content
				restore()
				b.disks[d].SetFileContent("manifest-00ffffff-00000001", data)
				verify("renamed " + name)
			}
			restore()
			b.disks[d].SetFileContent(name, data) // a file that cleaning removed, or an earlier version of a current one
			verify("old " + name)
		}
	}
	for _, name := range intact[0].FileNames() { // a file and its copy
		if x, y := intact[0].FileContent(name), intact[1].FileContent(name); y != nil {
			restore()
			b.disks[0].SetFileContent(name, y)
			b.disks[1].SetFileContent(name, x)
			verify("copies of " + name)
		}
	}
}

// A span that is damaged in both copies is reported until its records are expired; the other
// records are found.
func TestLostSpans_BothCopiesDamaged(t *testing.T) {
	b := newFixture(t)
	s := b.open()
	for i := range 5 {
		b.now.Add(10)
		b.put(s, fmt.Sprint("k", i), strings.Repeat("v", 30), s.Now()+900)
	}
	s.Close()
	var name string
	for _, n := range b.disks[0].FileNames() {
		if strings.HasPrefix(n, "segment-") && len(b.disks[0].FileContent(n)) > 200 {
			name = n
		}
	}
	// Damage in the last record is not mistaken for a truncated write.
	ends := &simdisk.FaultPlan{}
	tail := [2]*simdisk.Disk{b.disks[0].Clone(ends), b.disks[1].Clone(ends)}
	for _, d := range tail {
		data := d.FileContent(name)
		data[len(data)-3] ^= 1
		d.SetFileContent(name, data)
	}
	if s, err := recordlog.Open(dirs(tail), b.options(), false); err != nil || len(s.LostSpans()) != 1 {
		t.Errorf("damaged last record: %v", err)
	} else {
		s.Close()
	}
	for _, d := range b.disks {
		data := d.FileContent(name)
		at := slices.Index(data, 'v') // in the first record
		for i := range 60 {
			data[at+i] ^= 0x55
		}
		d.SetFileContent(name, data)
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
		t.Errorf("%d found, lost spans %+v", found, u)
	}
	s.Clean() // deletes the damaged segment; the lost span stays in the manifest
	s.Close()
	s = b.open()
	if len(s.LostSpans()) != 1 {
		t.Errorf("lost spans after a restart: %v", s.LostSpans())
	}
	b.now.Add(2000)
	if len(s.LostSpans()) != 0 {
		t.Errorf("lost spans after their records expired: %v", s.LostSpans())
	}
	// The manifests are missing in both copies.
	for _, d := range b.disks {
		for _, n := range d.FileNames() {
			if strings.HasPrefix(n, "manifest-") {
				d.SetFileContent(n, nil)
			}
		}
	}
	s.Close()
	for _, d := range b.disks {
		for _, n := range d.FileNames() {
			if strings.HasPrefix(n, "manifest-") {
				d.SetFileContent(n, nil)
			}
		}
	}
	if _, err := recordlog.Open(dirs(b.disks), b.options(), false); !errors.Is(err, recordlog.ErrNoManifest) {
		t.Errorf("without a manifest: %v", err)
	}
}

// A system clock that jumps back or ahead between two processes does not make a record expire
// early.
func TestNow_SystemClockJumps(t *testing.T) {
	b := newFixture(t)
	b.now.Store(1_000_000)
	s := b.open()
	b.put(s, "k", "v", s.Now()+900)
	s.Close()
	for _, at := range []int64{5, 1 << 50} {
		b.now.Store(at)
		s = b.open()
		b.expect(s, "k", "v")
		b.now.Add(500)
		b.expect(s, "k", "v")
		s.Close()
	}
	b.now.Store(7)
	s = b.open()
	b.now.Add(901)
	b.expect(s, "k", "")
	s.Clean()
	if _, keys := s.Size(); keys != 0 {
		t.Errorf("%d keys in the index after all records expired", keys)
	}
}

// Guards against a suspended owner that writes after another process has taken over: none of its
// writes may be acknowledged or become visible.
func TestFencing_PreviousOwnerWritesLate(t *testing.T) {
	for _, cleans := range []bool{false, true} {
		b := newFixture(t)
		old := b.open()
		for i := range 30 {
			b.put(old, fmt.Sprint("k", i%4), "old", 0)
		}
		if _, err := recordlog.Open(dirs(b.disks), b.options(), false); !errors.Is(err, recordlog.ErrOwned) {
			t.Fatalf("two owners: %v", err)
		}
		release := b.faults.Stall()
		late := make(chan error, 1)
		go func() { late <- put(old, "late", "never", 0) }()
		opened := make(chan *recordlog.Store, 1)
		release()
		s, err := recordlog.Open(dirs(b.disks), b.options(), true)
		if err != nil {
			t.Fatal(err)
		}
		opened <- s
		if err := <-late; err == nil { // committed before the takeover
			b.expect(s, "late", "never")
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
			t.Error("Clean of the previous owner succeeded")
		}
		old.Close()
		s.Close()
		s = b.open()
		b.expect(s, "k1", "new")
		b.expect(s, "k2", "old")
		b.expect(s, "later1", "")
		s.Close()
	}
}

// While the disk stalls, appends are queued or rejected immediately, within the bounds of the
// queue.
func TestAppend_StalledDisk(t *testing.T) {
	b := newFixture(t)
	s := b.open()
	release := b.faults.Stall()
	var acked, busy atomic.Int64
	for range 10_000 {
		if err := s.Append(recordlog.Record{Kind: recordlog.AtMostOnce, Key: "k", Value: []byte("v")}, func(error) { acked.Add(1) }); errors.Is(err, recordlog.ErrBusy) {
			busy.Add(1)
		}
	}
	if busy.Load() < 5000 || acked.Load() > 0 {
		t.Errorf("%d rejected, %d acknowledged", busy.Load(), acked.Load())
	}
	release()
	s.Close()
	if acked.Load()+busy.Load() != 10_000 {
		t.Errorf("%d of 10000 appends completed", acked.Load()+busy.Load())
	}
	if err := put(s, "k", "v", 0); !errors.Is(err, recordlog.ErrClosed) {
		t.Error(err)
	}
}

// On a real disk: takeover between two processes, a read-only store beside the owner, and the
// lock.
func TestStore_RealDisk(t *testing.T) {
	dir := t.TempDir()
	open := func(force bool) (*recordlog.Store, error) {
		var d [2]recordlog.Dir
		for i, name := range []string{"/a", "/b"} {
			var err error
			if d[i], err = recordlog.CreateDir(dir + name); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		return recordlog.Open(d, recordlog.Options{
			ID: 1, Now: func() int64 { return time.Since(start).Microseconds() }, MaxRetention: 1 << 40, CleanInterval: time.Millisecond,
			ScrubInterval: time.Millisecond, SegmentSize: 1 << 12,
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
	read := [2]recordlog.Dir{recordlog.ExistingDir(dir + "/a"), recordlog.ExistingDir(dir + "/b")}
	if v, err := recordlog.OpenReadOnly(read); err != nil || v.Check().Records < 50 {
		t.Errorf("read-only store beside the owner: %v", err)
	}
	next, err := open(true)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(s, "k1", "late", 0); !errors.Is(err, recordlog.ErrFenced) {
		t.Errorf("append of the previous owner: %v", err)
	}
	s.Close()
	next.Close()
	if s, err = open(false); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i := range 50 {
		if r, ok, err := s.Get(recordlog.AtMostOnce, fmt.Sprint("k", i)); !ok || err != nil || string(r.Value) != fmt.Sprint("v", 450+i) {
			t.Errorf("k%d: value %q, found %t, error %v", i, r.Value, ok, err)
		}
	}
}
