package simdisk

import (
	"io"
	"saffronquay/internal/scheduler/replica"
	"syscall"
)

// RandomAccess implements replica.Disk: its files are read and written at any offset, and can be
// renamed.
type RandomAccess struct{ Disk *Disk }

var _ replica.Disk = RandomAccess{}

// Open implements replica.Disk.
func (r RandomAccess) Open(name string) (replica.File, error) {
	var n *inode
	err := r.Disk.call(func() error {
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

// Rename implements replica.Disk.
func (r RandomAccess) Rename(from, to string) error {
	return r.Disk.call(func() error {
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

// Remove implements replica.Disk.
func (r RandomAccess) Remove(name string) error { return r.Disk.Remove(name) }

// Sync implements replica.Disk.
func (r RandomAccess) Sync() error { return r.Disk.Sync() }

// randomFile is a file that is read and written at any offset.
type randomFile struct{ file }

func (f *randomFile) ReadAt(b []byte, offset int64) (n int, err error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if offset >= int64(len(f.inode.data)) {
		return 0, io.EOF
	}
	if n = copy(b, f.inode.data[offset:]); n < len(b) {
		err = io.EOF
	}
	return n, err
}

func (f *randomFile) WriteAt(b []byte, offset int64) (n int, err error) {
	err = f.disk.call(func() error {
		n = f.disk.faults.takeBudget(len(b))
		for int64(len(f.inode.data)) < offset+int64(n) {
			f.inode.data = append(f.inode.data, make([]byte, offset+int64(n)-int64(len(f.inode.data)))...)
		}
		copy(f.inode.data[offset:], b[:n])
		f.inode.synced = min(f.inode.synced, int(offset))
		if n < len(b) {
			return syscall.ENOSPC
		}
		return nil
	})
	return n, err
}

func (f *randomFile) Truncate(size int64) error {
	return f.disk.call(func() error {
		f.inode.data = f.inode.data[:min(int(size), len(f.inode.data))]
		f.inode.synced = min(f.inode.synced, len(f.inode.data))
		return nil
	})
}

func (f *randomFile) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return int64(len(f.inode.data)), nil
}
