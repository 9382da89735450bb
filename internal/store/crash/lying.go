package crash

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"linenloom/internal/store/disk"
)

// UnreliableFS wraps a folder and makes its disk fail at random, for programs that are built for tests.
// The underlying folder contains what remains after the process is killed: data written after the last
// successful sync is lost.
type UnreliableFS struct {
	disk.FS
	ShortWriteRate float64 // fraction of writes that write only a part and fail
	SyncErrorRate  float64 // fraction of syncs that fail
	LostSyncRate   float64 // fraction of syncs that report success without syncing
	Seed           uint64

	mu  sync.Mutex
	rng *rand.Rand
}

// ErrInjected is the error of injected failures.
var ErrInjected = errors.New("crash: injected input/output error")

// ParseUnreliable parses a text like "short=0.01 fail=0.02 forget=0.2 seed=7".
func ParseUnreliable(fs disk.FS, text string) (*UnreliableFS, error) {
	unreliable := &UnreliableFS{FS: fs}
	if _, err := fmt.Sscanf(text, "short=%f fail=%f forget=%f seed=%d", &unreliable.ShortWriteRate, &unreliable.SyncErrorRate, &unreliable.LostSyncRate, &unreliable.Seed); err != nil {
		return nil, fmt.Errorf("crash: %q: %w", text, err)
	}
	unreliable.rng = rand.New(rand.NewPCG(unreliable.Seed, 11))
	return unreliable, nil
}

func (u *UnreliableFS) draw(rate float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rng.Float64() < rate
}

// Create creates a file whose writes stay in memory until a successful sync.
func (u *UnreliableFS) Create(name string) (disk.File, error) {
	f, err := u.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return &unreliableFile{File: f, fs: u}, nil
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
