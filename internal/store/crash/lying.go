package crash

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"linenloom/internal/store/disk"
)

// UnreliableFS is a folder on a disk that does not keep its word, for programs that are built for tests. What the real one has is what a process that
// is killed leaves behind: what was written after the last sync that was true is lost with it.
type UnreliableFS struct {
	disk.FS
	ShortWriteRate float64 // share of the writes that put a part there, and fail
	SyncErrorRate  float64 // share of the syncs that fail
	LostSyncRate   float64 // share of the syncs that say yes and did not
	Seed           uint64

	mu  sync.Mutex
	rng *rand.Rand
}

// ErrInjected is what a disk says where it fails.
var ErrInjected = errors.New("crash: input/output error, made up")

// ParseUnreliable reads a text like "short=0.01 fail=0.02 forget=0.2 seed=7".
func ParseUnreliable(fs disk.FS, text string) (*UnreliableFS, error) {
	l := &UnreliableFS{FS: fs}
	if _, err := fmt.Sscanf(text, "short=%f fail=%f forget=%f seed=%d", &l.ShortWriteRate, &l.SyncErrorRate, &l.LostSyncRate, &l.Seed); err != nil {
		return nil, fmt.Errorf("crash: %q: %w", text, err)
	}
	l.rng = rand.New(rand.NewPCG(l.Seed, 11))
	return l, nil
}

func (l *UnreliableFS) draw(share float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64() < share
}

// Create makes a file whose writes stay in the process until a sync that is true.
func (l *UnreliableFS) Create(name string) (disk.File, error) {
	f, err := l.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return &unreliableFile{File: f, fs: l}, nil
}

type unreliableFile struct {
	disk.File
	fs      *UnreliableFS
	pending []byte
}

func (f *unreliableFile) Write(b []byte) (int, error) {
	if f.fs.draw(f.fs.ShortWriteRate) {
		n := len(b) / 2
		f.pending = append(f.pending, b[:n]...)
		return n, ErrInjected
	}
	f.pending = append(f.pending, b...)
	return len(b), nil
}

func (f *unreliableFile) Sync() error {
	switch {
	case f.fs.draw(f.fs.SyncErrorRate):
		return ErrInjected
	case f.fs.draw(f.fs.LostSyncRate):
		return nil
	}
	if err := f.flush(); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *unreliableFile) flush() error {
	b := f.pending
	f.pending = nil
	_, err := f.File.Write(b)
	return err
}

func (f *unreliableFile) Close() error { return errors.Join(f.flush(), f.File.Close()) }
