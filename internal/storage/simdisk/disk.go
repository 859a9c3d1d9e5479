package simdisk

import (
	"bytes"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"saffronquay/internal/storage/recordlog"
	"slices"
	"sync"
	"syscall"
)

// inode is the content of a file. Directory entries refer to it.
type inode struct {
	data       []byte
	synced     int         // number of bytes covered by a sync
	lostRanges []byteRange // ranges of failed syncs, lost even if later syncs succeed
}

// byteRange is a half-open range of offsets in a file.
type byteRange struct{ from, to int }

// Disk is one directory on a simulated disk.
type Disk struct {
	faults *FaultPlan
	name   string

	mu      sync.Mutex
	names   map[string]*inode
	durable map[string]*inode // directory entries that survive a crash
	renamed map[string]bool   // names that were the target of a rename since the last Sync
	locks   map[string]bool
}

var _ recordlog.Dir = (*Disk)(nil)

// New returns an empty directory. name is used in messages.
func New(name string, plan *FaultPlan) *Disk {
	return &Disk{faults: plan, name: name, names: map[string]*inode{}, durable: map[string]*inode{}, renamed: map[string]bool{}, locks: map[string]bool{}}
}

// String returns the name of the directory.
func (d *Disk) String() string { return d.name }

// Faults returns the plan that controls the disk's calls.
func (d *Disk) Faults() *FaultPlan { return d.faults }

// call runs f with the lock held, unless the plan makes the call fail.
func (d *Disk) call(f func() error) error {
	if err := d.faults.nextCall(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return f()
}

// Create implements recordlog.Dir.
func (d *Disk) Create(name string) (recordlog.File, error) {
	n := &inode{}
	err := d.call(func() error {
		if d.names[name] != nil {
			return fs.ErrExist
		}
		d.names[name] = n
		return nil
	})
	return &file{d, n}, err
}

// Open implements recordlog.Dir. It returns a snapshot of the file. The call is not counted in the
// fault plan.
func (d *Disk) Open(name string) (io.ReadSeekCloser, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.names[name]
	if n == nil {
		return nil, fmt.Errorf("%s: %w", name, fs.ErrNotExist)
	}
	return readFile{bytes.NewReader(slices.Clone(n.data))}, nil
}

// readFile is a snapshot of a file.
type readFile struct{ *bytes.Reader }

func (readFile) Close() error { return nil }

// Exists implements recordlog.Dir.
func (d *Disk) Exists(name string) (ok bool, err error) {
	err = d.call(func() error { ok = d.names[name] != nil; return nil })
	return ok, err
}

// Remove implements recordlog.Dir.
func (d *Disk) Remove(name string) error {
	return d.call(func() error {
		if d.names[name] == nil {
			return fs.ErrNotExist
		}
		delete(d.names, name)
		return nil
	})
}

// List implements recordlog.Dir. The names are sorted. The call is not counted in the fault plan.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.names)), nil
}

// Sync implements recordlog.Dir. It makes the directory entries durable.
func (d *Disk) Sync() error {
	return d.call(func() error {
		d.durable = maps.Clone(d.names)
		clear(d.renamed)
		return nil
	})
}

// Lock implements recordlog.Dir. The lock is released when it is closed or the disk crashes.
func (d *Disk) Lock(name string) (io.Closer, error) {
	err := d.call(func() error {
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
	disk *Disk
	name string
}

func (l lock) Close() error {
	l.disk.mu.Lock()
	defer l.disk.mu.Unlock()
	delete(l.disk.locks, l.name)
	return nil
}

// file is a file that is written sequentially.
type file struct {
	disk  *Disk
	inode *inode
}

func (f *file) Write(b []byte) (n int, err error) {
	err = f.disk.call(func() error {
		n = f.disk.faults.takeBudget(len(b))
		if f.inode.data = append(f.inode.data, b[:n]...); n < len(b) {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (f *file) Sync() error {
	return f.disk.call(func() error {
		if f.disk.faults.syncFails() {
			f.inode.lostRanges = append(f.inode.lostRanges, byteRange{f.inode.synced, len(f.inode.data)})
			f.inode.synced = len(f.inode.data)
			return syscall.EIO
		}
		f.inode.synced = len(f.inode.data)
		return nil
	})
}

func (f *file) Close() error { return nil }

// FileNames returns the names of all files, sorted.
func (d *Disk) FileNames() []string {
	names, _ := d.List() // List never fails
	return names
}

// FileContent returns a copy of a file's bytes, or nil if there is no such file.
func (d *Disk) FileContent(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// SetFileContent durably replaces a file's bytes, to simulate damage or an operator. nil removes
// the file.
func (d *Disk) SetFileContent(name string, data []byte) {
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
