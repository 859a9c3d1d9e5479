// Package simdisk is a directory in memory for tests of what stands on a disk. On command it fails, stalls, runs full, and crashes:
// what was not synced is then lost, or is there in part. It plays store.Dir.
package simdisk

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"saffronquay/internal/storage/recordlog"
	"slices"
	"sync"
	"syscall"
)

// ErrCrashed is what every call gives after a crash.
var ErrCrashed = errors.New("simdisk: crashed")

// Plan says what happens to the calls of all the disks that share it. The zero value lets all pass.
type FaultPlan struct {
	mu          sync.Mutex
	calls       int
	crashAt     int // the call from which on all fail; 0: none
	syncAt      int // the call from which on the next sync fails, once; 0: none
	gate        chan struct{}
	WriteBudget int // bytes that may still be written; 0: no bound, below: none
}

// CrashAt has the nth call from now on fail, and all after it.
func (p *FaultPlan) CrashAt(n int) { p.set(func() { p.crashAt = p.calls + n }) }

// FailSync has the first sync from the nth call from now on fail once. What it was for is dropped, and later syncs say yes.
func (p *FaultPlan) FailSync(n int) { p.set(func() { p.syncAt = p.calls + n }) }

// Stall has all calls wait until the function that comes back is called.
func (p *FaultPlan) Stall() (release func()) {
	gate := make(chan struct{})
	p.set(func() { p.gate = gate })
	return func() { p.set(func() { p.gate = nil }); close(gate) }
}

// SetRoom bounds the bytes that may still be written; 0: no bound, below: none.
func (p *FaultPlan) SetWriteBudget(n int) { p.set(func() { p.WriteBudget = n }) }

// Calls is how many there were.
func (p *FaultPlan) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

func (p *FaultPlan) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

// call counts one, and tells whether it is carried out.
func (p *FaultPlan) call() error {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	if gate != nil {
		<-gate
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	if p.crashAt > 0 && p.calls >= p.crashAt {
		return ErrCrashed
	}
	return nil
}

// syncFails tells whether this sync is the one that fails.
func (p *FaultPlan) syncFails() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.syncAt == 0 || p.calls < p.syncAt {
		return false
	}
	p.syncAt = 0
	return true
}

// take gives how many of n bytes there is room for.
func (p *FaultPlan) take(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.WriteBudget == 0 {
		return n
	}
	got := min(n, max(p.WriteBudget, 0))
	if p.WriteBudget -= got; p.WriteBudget == 0 {
		p.WriteBudget = -1
	}
	return got
}

type inode struct {
	data   []byte
	synced int
	holes  [][2]int // never written to the medium, whatever later syncs say
}

// Disk is one directory.
type Disk struct {
	plan *FaultPlan
	name string

	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode // the names that outlast a crash
	renamed map[string]bool   // names that a file took over since the last Sync
	locks   map[string]bool
}

// New makes an empty directory.
func New(name string, plan *FaultPlan) *Disk {
	return &Disk{plan: plan, name: name, names: map[string]*inode{}, durable: map[string]*inode{}, renamed: map[string]bool{}, locks: map[string]bool{}}
}

func (d *Disk) String() string { return d.name }

// Plan is what happens to its calls.
func (d *Disk) Plan() *FaultPlan { return d.plan }

func (d *Disk) do(f func() error) error {
	if err := d.plan.call(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return f()
}

// Create makes a file.
func (d *Disk) Create(name string) (recordlog.File, error) {
	n := &inode{}
	err := d.do(func() error {
		if d.names[name] != nil {
			return fs.ErrExist
		}
		d.names[name] = n
		return nil
	})
	return &file{d, n}, err
}

// Open opens a file for reading.
func (d *Disk) Open(name string) (io.ReadSeekCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	if n == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return reading{bytes.NewReader(slices.Clone(n.data))}, nil
}

type reading struct{ *bytes.Reader }

func (reading) Close() error { return nil }

// Exists tells whether there is a file.
func (d *Disk) Exists(name string) (ok bool, err error) {
	err = d.do(func() error { ok = d.names[name] != nil; return nil })
	return ok, err
}

// Remove takes a file's name away.
func (d *Disk) Remove(name string) error {
	return d.do(func() error {
		if d.names[name] == nil {
			return fs.ErrNotExist
		}
		delete(d.names, name)
		return nil
	})
}

// List lists the names.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Sync makes the names last.
func (d *Disk) Sync() error {
	return d.do(func() error {
		d.durable = maps.Clone(d.names)
		clear(d.renamed)
		return nil
	})
}

// Lock takes a file, until it is let go or the disk crashes.
func (d *Disk) Lock(name string) (io.Closer, error) {
	err := d.do(func() error {
		switch {
		case d.names[name] == nil:
			return fs.ErrNotExist
		case d.locks[name]:
			return recordlog.ErrOwned
		}
		d.locks[name] = true
		return nil
	})
	if err != nil {
		return nil, err
	}
	return lock{d, name}, nil
}

type lock struct {
	d    *Disk
	name string
}

func (l lock) Close() error {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	delete(l.d.locks, l.name)
	return nil
}

type file struct {
	d *Disk
	n *inode
}

func (f *file) Write(b []byte) (n int, err error) {
	err = f.d.do(func() error {
		n = f.d.plan.take(len(b))
		if f.n.data = append(f.n.data, b[:n]...); n < len(b) {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (f *file) Sync() error {
	return f.d.do(func() error {
		if f.d.plan.syncFails() {
			f.n.holes = append(f.n.holes, [2]int{f.n.synced, len(f.n.data)})
			f.n.synced = len(f.n.data)
			return syscall.EIO
		}
		f.n.synced = len(f.n.data)
		return nil
	})
}

func (f *file) Close() error { return nil }

// Crash is what the disk holds once its machine has come back: all that was synced, and of the rest as much as chance has it.
func (d *Disk) Crash(plan *FaultPlan, rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := New(d.name, plan)
	keep := func(name string, n *inode) {
		data := slices.Clone(n.data)
		for _, h := range n.holes {
			clear(data[h[0]:h[1]])
		}
		rest := data[n.synced:]
		switch rng.IntN(4) {
		case 0:
			data = data[:n.synced]
		case 1:
			data = data[:n.synced+rng.IntN(len(rest)+1)]
		case 2: // its length grew, and not all of its blocks were written
			clear(rest[rng.IntN(len(rest)+1):])
		}
		m := &inode{data: data, synced: len(data)}
		out.names[name], out.durable[name] = m, m
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		n := d.durable[name]
		switch taken := d.names[name]; {
		case taken == n || rng.IntN(2) == 0:
			keep(name, n)
		case d.renamed[name]: // one of the two files has the name, whatever happens
			keep(name, taken)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.names)) {
		if out.names[name] == nil && d.durable[name] == nil && rng.IntN(2) == 0 {
			keep(name, d.names[name])
		}
	}
	return out
}

// Clone copies the disk as it stands, under another plan, with nothing locked.
func (d *Disk) Clone(plan *FaultPlan) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := New(d.name, plan)
	for name, n := range d.names {
		m := &inode{data: slices.Clone(n.data), synced: len(n.data)}
		out.names[name], out.durable[name] = m, m
	}
	return out
}

// Files are the names, in order.
func (d *Disk) Files() []string {
	names, _ := d.List() // it can't fail
	return names
}

// Read is a file's bytes; nil where there is none.
func (d *Disk) Read(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// Put sets a file's bytes, as damage or an operator would; nil takes it away.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if data == nil {
		delete(d.names, name)
		delete(d.durable, name)
		return
	}
	n := &inode{data: slices.Clone(data), synced: len(data)}
	d.names[name], d.durable[name] = n, n
}
