// Package disk defines the file system interface that the store needs and implements it for folders of
// the operating system. It returns every error to the caller.
package disk

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// FS is a folder of regular files.
type FS interface {
	Create(name string) (File, error) // fails if the file exists
	Open(name string) (Reader, error)
	Remove(name string) error
	List() ([]string, error) // sorted names
	// SyncDir puts the entries of the folder on stable storage.
	SyncDir() error
	// Lock holds a lock until it is closed or the process ends in any way. It returns ErrLocked if
	// another process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is a file opened for appending.
type File interface {
	io.Writer
	Sync() error // puts the written data on stable storage
	Close() error
}

// Reader reads a file at any offset.
type Reader interface {
	io.ReaderAt
	Size() int64
	Close() error
}

// ErrLocked reports that another process holds the lock of the folder.
var ErrLocked = errors.New("another process has it open")

// Dir is the path of a folder of the operating system.
type Dir string

var _ FS = Dir("")

// CheckExists returns an error if the folder does not exist or is not a folder.
func (d Dir) CheckExists() error {
	switch s, err := os.Stat(string(d)); {
	case err != nil:
		return err
	case !s.IsDir():
		return fmt.Errorf("%s is not a folder", string(d))
	}
	return nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create creates a file. It fails if the file exists.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return dirFile{f}, nil
}

// dirFile syncs the data and the metadata needed to read it back, such as the size, but not the
// timestamps.
type dirFile struct{ *os.File }

func (f dirFile) Sync() error {
	for {
		err := unix.Fdatasync(int(f.Fd()))
		if err != unix.EINTR {
			if err != nil {
				return &os.PathError{Op: "fdatasync", Path: f.Name(), Err: err}
			}
			return nil
		}
	}
}

// Open opens a file for reading.
func (d Dir) Open(name string) (Reader, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err == nil && !info.Mode().IsRegular() {
		err = fmt.Errorf("%s is no plain file", f.Name())
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	return dirReader{f, info.Size()}, nil
}

type dirReader struct {
	*os.File
	size int64
}

func (r dirReader) Size() int64 { return r.size }

func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List returns the sorted names of the entries.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, nil
}

// SyncDir puts the entries of the folder on stable storage.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks a file with flock, which the kernel releases when the process ends.
func (d Dir) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", d, ErrLocked)
		}
		return nil, fmt.Errorf("%s: lock: %w", d, err)
	}
	return f, nil
}
