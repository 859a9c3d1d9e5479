package recordlog

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// Dir is the directory of one copy. Names have no path. Errors wrap fs.ErrExist, fs.ErrNotExist
// and those of package syscall. It is safe for concurrent use.
type Dir interface {
	fmt.Stringer                      // its path, for messages
	Create(name string) (File, error) // creates a new file; fs.ErrExist if it exists
	Open(name string) (io.ReadSeekCloser, error)
	Exists(name string) (bool, error)
	Remove(name string) error
	List() ([]string, error)
	Sync() error // makes the names of the files in it durable
	// Lock locks a file for this process, until the lock is closed or the process ends. It returns
	// ErrOwned if another process has locked it.
	Lock(name string) (io.Closer, error)
}

// File is a new file that is written sequentially. A write is durable after Sync has returned nil.
type File interface {
	io.WriteCloser
	Sync() error
}

// osDir implements Dir with a directory of the operating system.
type osDir string

// CreateDir returns the Dir of a path, and creates the directory if it does not exist.
func CreateDir(path string) (Dir, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("store: %w", err)
	}
	// The directory's own entry must be durable too. A file system that cannot sync a directory
	// does not need it.
	if parent, err := os.Open(filepath.Dir(filepath.Clean(path))); err == nil {
		_ = parent.Sync()
		parent.Close()
	}
	return osDir(path), nil
}

// ExistingDir returns the Dir of a path, for tools that only read it. It creates nothing.
func ExistingDir(path string) Dir { return osDir(path) }

func (d osDir) String() string { return string(d) }

func (d osDir) path(name string) string { return filepath.Join(string(d), name) }

func (d osDir) Create(name string) (File, error) {
	return os.OpenFile(d.path(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
}

func (d osDir) Open(name string) (io.ReadSeekCloser, error) { return os.Open(d.path(name)) }

func (d osDir) Exists(name string) (bool, error) {
	_, err := os.Stat(d.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	return err == nil, err
}

func (d osDir) Remove(name string) error { return os.Remove(d.path(name)) }

func (d osDir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

func (d osDir) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d osDir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, ErrOwned
		}
		return nil, err
	}
	return f, nil
}

// readAll reads a complete file into dst, or into a new buffer if dst is too small. It returns
// nil if the file is missing, cannot be opened or is larger than maxFileSize, and the bytes
// before a read error otherwise: the other copy makes up for both.
func readAll(d Dir, name string, dst []byte) []byte {
	f, err := d.Open(name)
	if err != nil {
		return nil
	}
	defer f.Close()
	size, err := f.Seek(0, io.SeekEnd)
	if err != nil || size > maxFileSize {
		return nil
	}
	if _, err = f.Seek(0, io.SeekStart); err != nil {
		return nil
	}
	if int64(cap(dst)) < size {
		dst = make([]byte, size)
	}
	n, err := io.ReadFull(f, dst[:size])
	if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
		return dst[:n] // a bad sector; the bytes after it are taken from the other copy
	}
	return dst[:n]
}

// readAt fills dst with the bytes of a file at an offset.
func readAt(d Dir, name string, off int64, dst []byte) error {
	f, err := d.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Seek(off, io.SeekStart); err != nil {
		return err
	}
	_, err = io.ReadFull(f, dst)
	return err
}
