// Package handover is what two processes of one proxy share while one takes over from the other: a directory, the
// process's $TMPDIR, that outlives neither machine nor proxy. In it stand the record of members out of use, two locks
// that tell who serves and who waits to, a page on which each notes what it holds of the limits that both have to
// keep together, and what the one that serves has learnt, whose form it does not know. It decides nothing about requests and never speaks to the network.
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
	recordName     = "maintenance" // JSON; replaced whole
	lockName       = "lock"        // guards changes of the record
	servesName     = "serves"      // locked by the process that serves
	followsName    = "follows"     // locked by the one that is to follow it
	usageName      = "usage"       // two slots of usageSize: the one that serves, the one that follows
	usageSize      = 16
	stateName      = "learnt" // what the process that serves has learnt; replaced whole
	maxRecordBytes = 4 << 20
)

// Usage is what a process holds.
type Usage struct {
	Descriptors int64
	Memory      int64 // bytes
}

// Dir is a process's view of the directory. Without a path everything is kept in memory, and there is never another
// process.
type Dir struct {
	path string

	mu          sync.Mutex
	record      maintenance.Set
	recordInfo  fs.FileInfo // of the record as last read
	servesLock  *os.File    // locked; nil: another process serves
	followsLock *os.File
	usageFile   *os.File
}

// Open opens the directory of one proxy under path and tells whether another process serves already. The proxies of a
// machine that share the path are told apart by identity. The record is not read yet: see Look. An error leaves a Dir that works as one without a path.
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
		// The process that served has just ended, and the one that follows it has yet to see that: the place is that one's.
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

// tryLock locks a file, if nobody else has; the kernel gives it back when the process ends, however it ends.
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

// Promote tells whether this process serves alone, which it does from when the one before it has ended.
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
			// Of two that follow at once the later one shares the slot, until the earlier one serves.
			_, err = tryLock(d.followsLock)
		}
		return false, err
	}
	d.servesLock = f
	unix.Flock(int(d.followsLock.Fd()), unix.LOCK_UN)
	return true, nil
}

// HasSuccessor tells whether another process is there to take over from this one.
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

// ExchangeUsage notes what this process holds and tells what the other one noted last.
func (d *Dir) ExchangeUsage(mine Usage) (theirs Usage, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.usageFile == nil {
		return Usage{}, nil
	}
	me, other := int64(0), int64(usageSize)
	if d.servesLock == nil {
		me, other = other, me
	}
	var b [usageSize]byte
	binary.LittleEndian.PutUint64(b[:], uint64(mine.Descriptors))
	binary.LittleEndian.PutUint64(b[8:], uint64(mine.Memory))
	if _, err := d.usageFile.WriteAt(b[:], me); err != nil {
		return Usage{}, fmt.Errorf("handover: %w", err)
	}
	b = [usageSize]byte{}
	d.usageFile.ReadAt(b[:], other) // short until the other has written: then it holds nothing yet
	return Usage{int64(binary.LittleEndian.Uint64(b[:])), int64(binary.LittleEndian.Uint64(b[8:]))}, nil
}

// Update changes the record, and with it every process's: once it returns without an error, one that starts later has
// the change too. It returns the record as it stands then.
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

// Reload reads the record, if it is not the one read last, and tells whether it was another.
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

// read takes in the record, if it is not the one seen last. One that can't be read leaves what is known: a member that
// is out of use must not come back for it.
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

// write replaces the record: whoever reads it finds the old one or the new one. The directory lasts no longer than the
// machine runs, so nothing is forced to a disk.
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

// replace puts a file in another's place, with the lock held.
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

// Persistent tells whether there is a directory.
func (d *Dir) Persistent() bool { return d.path != "" }

// WriteState leaves what this process has learnt for the one that takes its place. Only the one that serves may.
func (d *Dir) WriteState(learnt []byte) error {
	d.mu.Lock()
	path, serves := d.path, d.servesLock != nil
	d.mu.Unlock()
	if path == "" || !serves {
		return nil
	}
	return d.withLock(func() error { return d.replace(stateName, learnt) })
}

// ReadState is what the process before has learnt, up to so many bytes; nil, if it has left nothing.
func (d *Dir) ReadState(most int) ([]byte, error) {
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
	text, err := io.ReadAll(io.LimitReader(f, int64(most)+1))
	if err == nil && len(text) > most {
		err = fmt.Errorf("%s has more than %d bytes", stateName, most)
	}
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	return text, nil
}

// Close gives up the locks.
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
