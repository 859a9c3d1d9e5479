package replica

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is a directory with the files of a store. After a power failure a file has the contents
// covered by its last sync and any part of later writes, and a name created or changed since the
// last Sync of the directory may or may not exist.
type Disk interface {
	// Open opens a file for reading and writing, and creates it if it does not exist.
	Open(name string) (File, error)
	// Rename renames a file, replacing any file with the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes created, renamed and removed names durable.
	Sync() error
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Size() (int64, error)
	// Sync makes the contents and the size durable.
	Sync() error
}

// folder is a Disk backed by an operating system directory.
type folder string

func (f folder) path(name string) string { return filepath.Join(string(f), name) }

func (f folder) Open(name string) (File, error) {
	file, err := os.OpenFile(f.path(name), os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	return diskFile{file}, nil
}

func (f folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

func (f folder) Remove(name string) error { return os.Remove(f.path(name)) }

func (f folder) Sync() error {
	open, err := os.Open(string(f))
	if err != nil {
		return err
	}
	defer open.Close()
	return open.Sync()
}

// diskFile is a File backed by an operating system file.
type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
