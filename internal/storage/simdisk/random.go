package simdisk

import (
	"io"
	"saffronquay/internal/scheduler/replica"
	"syscall"
)

// RandomAccess shows a disk as package replica wants it: files that are read and written anywhere, and renamed.
type RandomAccess struct{ Disk *Disk }

// Open opens a file for reading and writing; it is made where it isn't there.
func (r RandomAccess) Open(name string) (replica.File, error) {
	var n *inode
	err := r.Disk.do(func() error {
		if n = r.Disk.names[name]; n == nil {
			n = &inode{}
			r.Disk.names[name] = n
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	return &randomFile{file{r.Disk, n}}, nil
}

// Rename gives a file another name, and so takes the place of a file that has it.
func (r RandomAccess) Rename(from, to string) error {
	return r.Disk.do(func() error {
		n := r.Disk.names[from]
		if n == nil {
			return syscall.ENOENT
		}
		r.Disk.names[to] = n
		r.Disk.renamed[to] = true
		delete(r.Disk.names, from)
		return nil
	})
}

// Remove takes a file's name away.
func (r RandomAccess) Remove(name string) error { return r.Disk.Remove(name) }

// Sync makes the names last.
func (r RandomAccess) Sync() error { return r.Disk.Sync() }

type randomFile struct{ file }

func (f *randomFile) ReadAt(b []byte, offset int64) (n int, err error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if offset >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	if n = copy(b, f.n.data[offset:]); n < len(b) {
		err = io.EOF
	}
	return n, err
}

func (f *randomFile) WriteAt(b []byte, offset int64) (n int, err error) {
	err = f.d.do(func() error {
		n = f.d.plan.take(len(b))
		for int64(len(f.n.data)) < offset+int64(n) {
			f.n.data = append(f.n.data, make([]byte, offset+int64(n)-int64(len(f.n.data)))...)
		}
		copy(f.n.data[offset:], b[:n])
		f.n.synced = min(f.n.synced, int(offset))
		if n < len(b) {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (f *randomFile) Truncate(size int64) error {
	return f.d.do(func() error {
		f.n.data = f.n.data[:min(int(size), len(f.n.data))]
		f.n.synced = min(f.n.synced, len(f.n.data))
		return nil
	})
}

func (f *randomFile) Size() (int64, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	return int64(len(f.n.data)), nil
}
