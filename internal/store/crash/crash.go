// Package crash implements a failing disk in memory, for tests. It produces the states that a crash may
// leave at any moment: synced data is present; of unsynced data any part may be, in any order. The
// program does not use it.
package crash

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"

	"linenloom/internal/store/disk"
)

// Disk is a folder in memory. It counts changes and syncs, and each of them may fail or be the last
// before a crash.
type Disk struct {
	mu         sync.Mutex
	files      map[string]*file // as seen by the program
	entries    map[string]*file // entries that are on stable storage
	locked     bool
	Operations int // number of changes and syncs so far
	// Fail, if set, is called before each change and sync; the operation fails with the error that it
	// returns. With ErrShort half of a write is done.
	Fail func(op int, what string) error
}

// ErrShort makes a write stop half way.
var ErrShort = errors.New("crash: short write")

type file struct {
	name           string
	data           []byte // as seen by the program
	syncedSize     int    // number of bytes on stable storage
	unsyncedWrites []int  // offsets of the writes since the last sync
}

var _ disk.FS = (*Disk)(nil)

// New returns an empty disk.
func New() *Disk { return &Disk{files: map[string]*file{}, entries: map[string]*file{}} }

func (d *Disk) startOperation(what string) error {
	d.Operations++
	if d.Fail != nil {
		if err := d.Fail(d.Operations, what); err != nil {
			return fmt.Errorf("%s: %w", what, err)
		}
	}
	return nil
}

// Create creates a file.
func (d *Disk) Create(name string) (disk.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] != nil {
		return nil, fs.ErrExist
	}
	if err := d.startOperation("create " + name); err != nil {
		return nil, err
	}
	f := &file{name: name}
	d.files[name] = f
	return &handle{d, f}, nil
}

type handle struct {
	disk *Disk
	file *file
}

func (h *handle) Write(b []byte) (int, error) {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	err := h.disk.startOperation("write " + h.file.name)
	if err != nil {
		if !errors.Is(err, ErrShort) {
			return 0, err
		}
		b = b[:len(b)/2]
	}
	h.file.unsyncedWrites = append(h.file.unsyncedWrites, len(h.file.data))
	h.file.data = append(h.file.data, b...)
	return len(b), err
}

// Sync marks the data of the file as being on stable storage. After a failed sync it is not. A kernel
// may drop the data of a failed sync, and a later sync then does not write it; the simulation does not
// model this: a later successful sync marks all data.
func (h *handle) Sync() error {
	h.disk.mu.Lock()
	defer h.disk.mu.Unlock()
	if err := h.disk.startOperation("sync " + h.file.name); err != nil {
		return err
	}
	h.file.syncedSize, h.file.unsyncedWrites = len(h.file.data), nil
	return nil
}

func (h *handle) Close() error { return nil }

// Open opens a file for reading.
func (d *Disk) Open(name string) (disk.Reader, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f := d.files[name]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return reader{slices.Clone(f.data)}, nil
}

type reader struct{ data []byte }

func (r reader) ReadAt(b []byte, at int64) (int, error) {
	if at >= int64(len(r.data)) {
		return 0, io.EOF
	}
	n := copy(b, r.data[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}
func (r reader) Size() int64  { return int64(len(r.data)) }
func (r reader) Close() error { return nil }

func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.startOperation("remove " + name); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// List returns the file names.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// SyncDir marks the entries of the folder as being on stable storage.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.startOperation("sync folder"); err != nil {
		return err
	}
	d.entries = maps.Clone(d.files)
	return nil
}

// Lock locks the folder; the file name is ignored.
func (d *Disk) Lock(string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locked {
		return nil, disk.ErrLocked
	}
	d.locked = true
	return lockHolder{d}, nil
}

type lockHolder struct{ disk *Disk }

func (u lockHolder) Close() error {
	u.disk.mu.Lock()
	defer u.disk.mu.Unlock()
	u.disk.locked = false
	return nil
}

// Crash returns the disk as it is after a power failure. If cut is not negative, each file keeps at
// most cut bytes of its unsynced end, unsynced creations are present and unsynced removals are undone.
// If cut is negative, the result is random: each write since the last sync is present or zeroed, whole
// or in part, independently of the writes before it, and entries that were not synced are present or
// missing.
func (d *Disk) Crash(cut int, rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashed := New()
	names := map[string]*file{}
	maps.Copy(names, d.entries)
	for name, original := range d.files {
		if cut >= 0 || names[name] != nil || rng.IntN(2) == 0 {
			names[name] = original
		}
	}
	for name, original := range d.entries { // the removal was not synced and may be undone
		if d.files[name] == nil && (cut >= 0 || rng.IntN(2) == 0) {
			names[name] = original
		} else if d.files[name] == nil {
			delete(names, name)
		}
	}
	for name, original := range names {
		survived := &file{name: name, data: slices.Clone(original.data)}
		switch {
		case cut >= 0:
			survived.data = survived.data[:min(len(survived.data), original.syncedSize+cut)]
		default:
			for i, from := range original.unsyncedWrites {
				to := len(original.data)
				if i+1 < len(original.unsyncedWrites) {
					to = original.unsyncedWrites[i+1]
				}
				kept := from + rng.IntN(to-from+1)
				if rng.IntN(3) == 0 {
					kept = to
				}
				if rng.IntN(3) == 0 {
					kept = from
				}
				clear(survived.data[kept:to])
			}
			if rng.IntN(2) == 0 {
				survived.data = survived.data[:original.syncedSize+rng.IntN(len(survived.data)-original.syncedSize+1)]
			}
		}
		survived.syncedSize = len(survived.data)
		crashed.files[name], crashed.entries[name] = survived, survived
	}
	return crashed
}

// FlipBit flips a bit of a file.
func (d *Disk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[bit/8] ^= 1 << (bit % 8)
}

// Size returns the size of a file.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files[name].data)
}
