// Package handover holds what two processes of one proxy share while one takes over from the other: a
// directory under the process's $TMPDIR, which outlives neither the machine nor the proxy. The directory
// holds the record of members out of use, two locks that show which process serves and which one is to
// follow it, a file in which each process notes its usage of limits that both have to keep together, and
// the state snapshot of the serving process, whose format this package does not know. The package makes
// no decisions about requests and uses no network.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"

	"linenloom/internal/maintenance"
)

const (
	recordName     = "maintenance" // JSON; replaced atomically
	lockName       = "lock"        // guards changes of files
	servesName     = "serves"      // locked by the serving process
	followsName    = "follows"     // locked by the process that is to follow it
	usageName      = "usage"       // two slots of usageSize: of the serving process, and of the one that follows
	usageSize      = 16
	stateName      = "learnt" // state snapshot of the serving process; replaced atomically
	maxRecordBytes = 4 << 20
)

// Usage is what a process uses of the limits that two processes share.
type Usage struct {
	Descriptors int64
	Memory      int64 // bytes
}

// Dir is a process's view of the directory. Without a path it keeps everything in memory, and there is
// never another process.
type Dir struct {
	path string

	mu          sync.Mutex
	record      maintenance.Set
	recordInfo  fs.FileInfo // of the record that was read last
	servesLock  *os.File    // locked; nil if another process serves
	followsLock *os.File
	usageFile   *os.File
}

// Open opens the directory of one proxy under path and reports whether this process serves alone.
// identity distinguishes the proxies of a machine that share the path. Open does not read the record: see
// Reload. On an error it returns a Dir that works like one without a path.
func Open(path, identity string) (d *Dir, alone bool, err error) {
	d = &Dir{}
	if path == "" {
		return d, true, nil
	}
	name := fnv.New64a()
	io.WriteString(name, identity)
	d.path = filepath.Join(path, fmt.Sprintf("linenloom-%016x", name.Sum64()))
	if err := os.MkdirAll(d.path, 0o700); err != nil {
		d.path = ""
		return d, true, fmt.Errorf("handover: %w", err)
	}
	defer func() {
		if err != nil {
			d.Close()
			d = &Dir{}
			alone = true
		}
	}()
	if d.usageFile, err = d.open(usageName); err != nil {
		return d, true, err
	}
	if d.followsLock, err = d.open(followsName); err != nil {
		return d, true, err
	}
	if alone, err = d.Promote(); err != nil {
		return d, true, err
	}
	if alone && d.HasSuccessor() {
		// The serving process has just ended, and its successor has not noticed yet: the successor is the one to serve.
		d.servesLock.Close()
		d.servesLock, alone = nil, false
	}
	return d, alone, nil
}

func (d *Dir) open(name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(d.path, name), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return f, nil
}

// tryLock locks a file if no other process holds the lock. The kernel releases the lock when the process
// ends, however it ends.
func tryLock(f *os.File) (bool, error) {
	switch err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); {
	case err == nil:
		return true, nil
	case errors.Is(err, unix.EWOULDBLOCK):
		return false, nil
	default:
		return false, fmt.Errorf("handover: lock %s: %w", f.Name(), err)
	}
}

// Promote reports whether this process serves alone. It takes over once the predecessor process has
// ended.
func (d *Dir) Promote() (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.path == "" || d.servesLock != nil {
		return true, nil
	}
	f, err := d.open(servesName)
	if err != nil {
		return false, err
	}
	if ok, err := tryLock(f); !ok || err != nil {
		f.Close()
		if err == nil {
			// Of two processes that follow at once, the later one shares the usage slot until the earlier one serves.
			_, err = tryLock(d.followsLock)
		}
		return false, err
	}
	d.servesLock = f
	unix.Flock(int(d.followsLock.Fd()), unix.LOCK_UN)
	return true, nil
}

// HasSuccessor reports whether another process is waiting to take over from this one.
func (d *Dir) HasSuccessor() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.servesLock == nil || d.followsLock == nil {
		return false
	}
	free, err := tryLock(d.followsLock)
	if free {
		unix.Flock(int(d.followsLock.Fd()), unix.LOCK_UN)
	}
	return !free && err == nil
}

// ExchangeUsage records the usage of this process and returns the usage that the other one recorded last.
func (d *Dir) ExchangeUsage(mine Usage) (theirs Usage, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.usageFile == nil {
		return Usage{}, nil
	}
	myOffset, otherOffset := int64(0), int64(usageSize)
	if d.servesLock == nil {
		myOffset, otherOffset = otherOffset, myOffset
	}
	var b [usageSize]byte
	binary.LittleEndian.PutUint64(b[:], uint64(mine.Descriptors))
	binary.LittleEndian.PutUint64(b[8:], uint64(mine.Memory))
	if _, err := d.usageFile.WriteAt(b[:], myOffset); err != nil {
		return Usage{}, fmt.Errorf("handover: %w", err)
	}
	b = [usageSize]byte{}
	// A short read means that the other process has recorded nothing yet: its usage is zero.
	d.usageFile.ReadAt(b[:], otherOffset)
	return Usage{int64(binary.LittleEndian.Uint64(b[:])), int64(binary.LittleEndian.Uint64(b[8:]))}, nil
}

// Update changes the record for all processes. Once it returns without an error, a process that starts
// later sees the change. Update returns the record after the change.
func (d *Dir) Update(f func(maintenance.Set) (maintenance.Set, error)) (maintenance.Set, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.path == "" {
		set, err := f(d.record)
		if err == nil {
			d.record = set
		}
		return d.record, err
	}
	err := d.withLock(func() error {
		if err := d.read(); err != nil {
			return err
		}
		set, err := f(d.record)
		if err != nil {
			return err
		}
		if err := d.write(set); err != nil {
			return err
		}
		d.record = set
		return nil
	})
	return d.record, err
}

// Reload reads the record if its file is not the one that was read last, and reports whether it was read.
func (d *Dir) Reload() (set maintenance.Set, changed bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.path == "" {
		return d.record, false, nil
	}
	was := d.recordInfo
	err = d.read()
	return d.record, d.recordInfo != was, err
}

// read loads the record if its file is not the one that was read last, and merges it into the known one.
// If the file can't be read, the known record stays, so that a member out of use does not return to use.
func (d *Dir) read() error {
	path := filepath.Join(d.path, recordName)
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if d.recordInfo != nil && os.SameFile(info, d.recordInfo) && info.ModTime().Equal(d.recordInfo.ModTime()) && info.Size() == d.recordInfo.Size() {
		return nil
	}
	if info.Size() > maxRecordBytes {
		return fmt.Errorf("handover: %s has %d bytes", path, info.Size())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var set maintenance.Set
	if err := json.Unmarshal(text, &set); err != nil {
		return fmt.Errorf("handover: %s: %w", path, err)
	}
	d.record, d.recordInfo = d.record.Merge(set), info
	return nil
}

// write replaces the record: a reader finds either the old or the new one. The directory need not survive
// a reboot, so nothing is synced to disk.
func (d *Dir) write(set maintenance.Set) error {
	text, err := json.Marshal(set)
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := d.replace(recordName, text); err != nil {
		return err
	}
	if info, err := os.Stat(filepath.Join(d.path, recordName)); err == nil {
		d.recordInfo = info
	}
	return nil
}

// replace replaces a file atomically. The caller holds the lock.
func (d *Dir) replace(name string, text []byte) error {
	path := filepath.Join(d.path, name)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	return nil
}

// withLock runs f while no other process changes files.
func (d *Dir) withLock(f func() error) error {
	lock, err := d.open(lockName)
	if err != nil {
		return err
	}
	defer lock.Close()
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX); err != nil {
		return fmt.Errorf("handover: lock: %w", err)
	}
	return f()
}

// Persistent reports whether there is a directory.
func (d *Dir) Persistent() bool { return d.path != "" }

// WriteState stores the state snapshot of this process for its successor. It does nothing unless this
// process serves.
func (d *Dir) WriteState(state []byte) error {
	d.mu.Lock()
	path, serves := d.path, d.servesLock != nil
	d.mu.Unlock()
	if path == "" || !serves {
		return nil
	}
	return d.withLock(func() error { return d.replace(stateName, state) })
}

// ReadState returns the state snapshot of the predecessor process, of at most the given number of bytes;
// nil if there is none.
func (d *Dir) ReadState(maxBytes int) ([]byte, error) {
	if d.path == "" {
		return nil, nil
	}
	f, err := os.Open(filepath.Join(d.path, stateName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, int64(maxBytes)+1))
	if err == nil && len(text) > maxBytes {
		err = fmt.Errorf("%s has more than %d bytes", stateName, maxBytes)
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return text, nil
}

// Close releases the locks.
func (d *Dir) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range []*os.File{d.servesLock, d.followsLock, d.usageFile} {
		if f != nil {
			f.Close()
		}
	}
	d.servesLock, d.followsLock, d.usageFile = nil, nil, nil
}
