// Package crash is a disk that fails, for tests: in memory, with the state that a crash may leave at any moment. What was synced is
// there; of what was not, any part may be, in any order. It is no file system of a machine, and never used by the program.
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

// Disk is a folder whose every change is counted, and may fail or be the last.
type Disk struct {
	mu         sync.Mutex
	files      map[string]*file // as the program sees them
	entries    map[string]*file // those whose entry is on stable storage
	locked     bool
	Operations int // changes and syncs so far
	// Fail, if set, is asked before each of them: an error is what it ends with. ErrShort has half of a write done.
	Fail func(op int, what string) error
}

// ErrShort has a write end half way.
var ErrShort = errors.New("crash: short write")

type file struct {
	name           string
	data           []byte // as the program sees it
	syncedSize     int    // so much of it is on stable storage
	unsyncedWrites []int  // where writes since the last sync begin
}

var _ disk.FS = (*Disk)(nil)

// New is an empty disk.
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

// Create makes a file.
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

// Sync has a file's data on stable storage. One that fails has not, and the next one has nothing to do: what the kernel has dropped it
// does not write again.
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

// Open opens a file to read.
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

// Remove removes a file.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.startOperation("remove " + name); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// List tells the names.
func (d *Disk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.files)), nil
}

// SyncDir has the entries on stable storage.
func (d *Disk) SyncDir() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.startOperation("sync folder"); err != nil {
		return err
	}
	d.entries = maps.Clone(d.files)
	return nil
}

// Lock takes the lock.
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

// Crash is the disk after the power went and came back. Cut tells how many bytes of each file's unsynced end are there; below 0: any, by chance: each
// write since the last sync there or zero, whole or in part, whatever became of those before, and entries that were not synced there or not.
func (d *Disk) Crash(cut int, rng *rand.Rand) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := New()
	names := map[string]*file{}
	maps.Copy(names, d.entries)
	for name, f := range d.files {
		if cut >= 0 || names[name] != nil || rng.IntN(2) == 0 {
			names[name] = f
		}
	}
	for name, f := range d.entries { // removed, and the entry not synced: it may be back
		if d.files[name] == nil && (cut >= 0 || rng.IntN(2) == 0) {
			names[name] = f
		} else if d.files[name] == nil {
			delete(names, name)
		}
	}
	for name, f := range names {
		g := &file{name: name, data: slices.Clone(f.data)}
		switch {
		case cut >= 0:
			g.data = g.data[:min(len(g.data), f.syncedSize+cut)]
		default:
			for i, from := range f.unsyncedWrites {
				to := len(f.data)
				if i+1 < len(f.unsyncedWrites) {
					to = f.unsyncedWrites[i+1]
				}
				kept := from + rng.IntN(to-from+1)
				if rng.IntN(3) == 0 {
					kept = to
				}
				if rng.IntN(3) == 0 {
					kept = from
				}
				clear(g.data[kept:to])
			}
			if rng.IntN(2) == 0 {
				g.data = g.data[:f.syncedSize+rng.IntN(len(g.data)-f.syncedSize+1)]
			}
		}
		g.syncedSize = len(g.data)
		after.files[name], after.entries[name] = g, g
	}
	return after
}

// FlipBit flips a bit of a file.
func (d *Disk) FlipBit(name string, bit int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[name].data[bit/8] ^= 1 << (bit % 8)
}

// Size is how long a file is.
func (d *Disk) Size(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.files[name].data)
}
