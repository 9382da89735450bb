// Package disk is what a store needs of a file system, and the one of the machine. It never decides what is written, and hides no error.
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

// FS is a folder of plain files.
type FS interface {
	Create(name string) (File, error) // a file that is not there yet
	Open(name string) (Reader, error)
	Remove(name string) error
	List() ([]string, error) // names, in order
	// SyncDir has the folder's own entries on stable storage.
	SyncDir() error
	// Lock holds a lock until it is closed or the process ends, however it ends. ErrLocked: another process has it.
	Lock(name string) (io.Closer, error)
}

// File is a file that is appended to.
type File interface {
	io.Writer
	Sync() error // what was written is on stable storage
	Close() error
}

// Reader reads a file at any place.
type Reader interface {
	io.ReaderAt
	Size() int64
	Close() error
}

// ErrLocked tells that another process has the folder.
var ErrLocked = errors.New("another process has it open")

// Dir is a folder of the machine's.
type Dir string

var _ FS = Dir("")

// CheckExists tells what is wrong with a folder that should be there.
func (d Dir) CheckExists() error {
	switch s, err := os.Stat(string(d)); {
	case err != nil:
		return err
	case !s.IsDir():
		return fmt.Errorf("%s is no folder", string(d))
	}
	return nil
}

func (d Dir) path(name string) string { return filepath.Join(string(d), name) }

// Create makes a file that is not there yet.
func (d Dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_WRONLY|os.O_CREATE|os.O_EXCL|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	return dirFile{f}, nil
}

// dirFile syncs data and what is needed to find it: the size, but not the times.
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

// Open opens a file to read.
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

// Remove removes a file.
func (d Dir) Remove(name string) error { return os.Remove(d.path(name)) }

// List tells the names of what is there, in order.
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

// SyncDir has the folder's entries on stable storage.
func (d Dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock takes the lock of a file (flock, which the kernel lets go of with the process).
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
