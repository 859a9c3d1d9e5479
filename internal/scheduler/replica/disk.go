package replica

import (
	"io"
	"os"
	"path/filepath"
)

// Disk is a folder for the files of a store. After a loss of power a file has what its last sync covered and any part of what was written
// later, and a name that was made or changed since the last Sync of the folder may be there or not.
type Disk interface {
	// Open opens a file for reading and writing, and makes it if there is none of the name.
	Open(name string) (File, error)
	// Rename gives a file another name, and replaces the file that has that name.
	Rename(from, to string) error
	// Remove removes a name.
	Remove(name string) error
	// Sync makes the names durable.
	Sync() error
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Size() (int64, error)
	// Sync makes what is written, and the size, durable.
	Sync() error
}

// folder is a Disk of the operating system.
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

// diskFile is a File of the operating system.
type diskFile struct{ *os.File }

func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
