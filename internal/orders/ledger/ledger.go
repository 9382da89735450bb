// Package ledger keeps the record of orders (package orders) in a log on a disk. It writes what the record asks for, waits until that is on
// stable storage before it says so, opens it again after a crash and compacts it. It decides nothing about orders and never sends one.
package ledger

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/store/disk"
	"linenloom/internal/store/log"
)

// The kinds of the log's records.
const (
	kindEntry = 1
	kindMark  = 2 // ends a compaction, and says nothing
)

// Options set a ledger's bounds.
type Options struct {
	orders.Limits
	SegmentSize int64
	// CompactAfter is how many entries more than orders the log holds before it is compacted, at the least.
	CompactAfter int
	// MaxPending is how many changes may wait for the disk before no further order is taken; 0: any number. What is in hand is always written:
	// an order that has run would else be unknown for a slow disk.
	MaxPending int
}

// Unbounded is for who opens a ledger by hand: nothing is forgotten, turned away or compacted by looking.
var Unbounded = Options{Limits: orders.Limits{Retention: 1 << 62, MaxOrders: 1 << 40, MaxReceiptBytes: 1 << 50}, SegmentSize: 4 << 20, CompactAfter: 1 << 40}

// WallClock is the time since the epoch, which what lasts is told by.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// ErrDiskOverloaded tells that an order was not taken, since too many changes wait for the disk. It has not run, and may come again.
var ErrDiskOverloaded = fmt.Errorf("ledger: the disk is behind: %w", orders.ErrOverloaded)

// Ledger is an open record. It is safe for concurrent use; whoever changes it waits for the disk, and those who come meanwhile share a sync.
type Ledger struct {
	options Options
	now     func() time.Duration
	log     *log.Log

	writeLock      sync.RWMutex // held for a write, and alone for a compaction
	mu             sync.Mutex   // of what follows; nothing waits under it
	table          *orders.Table
	entriesWritten int // entries since the last compaction
	pending        int // changes that wait for the disk
	compactionErr  error
}

// Open opens the ledger in a folder. The clock is the time since the epoch; it may jump.
func Open(fs disk.FS, opt Options, now func() time.Duration) (*Ledger, error) {
	l := &Ledger{options: opt, now: now, table: orders.New(opt.Limits)}
	var err error
	l.log, err = log.Open(fs, log.Options{SegmentSize: opt.SegmentSize}, func(r log.Record) error {
		switch r.Kind {
		case kindMark:
		case kindEntry:
			e, err := orders.Parse(r.Payload)
			if err != nil {
				return err
			}
			l.table.Replay(e)
			l.entriesWritten++
		default:
			return fmt.Errorf("a record of kind %d, of a later version", r.Kind)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	l.table.FinishReplay(now())
	return l, nil
}

// write has an entry on stable storage, and the book know of it.
func (l *Ledger) write(e *orders.Entry) error {
	l.writeLock.RLock()
	_, err := l.log.Append(kindEntry, e.Append(nil))
	l.mu.Lock()
	l.pending--
	if err != nil {
		l.table.MarkWriteFailed(e)
		err = fmt.Errorf("ledger: %w", err)
	} else {
		l.table.MarkDurable(e)
		l.entriesWritten++
	}
	full := err == nil && l.compactionDue()
	l.mu.Unlock()
	l.writeLock.RUnlock()
	if full {
		l.compactIfDue() // an order does not fail for it; the next one tries again
	}
	return err
}

// change runs one of the book's decisions and has the entry that it asks for written.
func (l *Ledger) change(f func(b *orders.Table, now time.Duration) (*orders.Entry, error)) error {
	l.mu.Lock()
	e, err := f(l.table, l.now())
	if err == nil && e != nil {
		l.pending++
	}
	l.mu.Unlock()
	if err != nil || e == nil {
		return err
	}
	return l.write(e)
}

// Take decides on an order that comes. With Go it is in hand, and on record. An error means that it could not be recorded, and has not run.
func (l *Ledger) Take(o orders.Order) (v orders.Verdict, receipt []byte, err error) {
	err = l.change(func(b *orders.Table, now time.Duration) (e *orders.Entry, _ error) {
		if l.options.MaxPending > 0 && l.pending >= l.options.MaxPending {
			if _, known := b.Get(o.Name); !known { // what a repeat is told needs no disk
				return nil, ErrDiskOverloaded
			}
		}
		v, receipt, e = b.Take(now, o)
		return e, nil
	})
	return v, receipt, err
}

// Send records that an order in hand is sent to a member. It must be sent only if there is no error.
func (l *Ledger) Send(n orders.Name, to string) error {
	return l.change(func(b *orders.Table, now time.Duration) (*orders.Entry, error) { return b.Send(now, n, to) })
}

// MarkNotRun notes that an order that was sent has surely not run.
func (l *Ledger) MarkNotRun(n orders.Name) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.MarkNotRun(n)
}

// End records how an order in hand has ended. Its client may be told so only if there is no error; of one that was sent it then is told
// that it may have run.
func (l *Ledger) End(n orders.Name, s orders.State, receipt []byte, by string) error {
	return l.change(func(b *orders.Table, now time.Duration) (*orders.Entry, error) { return b.End(now, n, s, receipt, by) })
}

// Settle records what an operator has found out about an unknown order.
func (l *Ledger) Settle(n orders.Name, s orders.State, receipt []byte, by string) error {
	return l.change(func(b *orders.Table, now time.Duration) (*orders.Entry, error) {
		return b.Settle(now, n, s, receipt, by)
	})
}

// Get tells what is on record of an order.
func (l *Ledger) Get(n orders.Name) (orders.Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Get(n)
}

// ListUnknown tells at most so many unknown orders, the oldest first, and how many there are.
func (l *Ledger) ListUnknown(most int) (some []orders.Entry, all int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.ListUnknown(most)
}

// All tells all that is on record, in the order of the latest changes.
func (l *Ledger) All(yield func(*orders.Entry) bool) {
	var all []*orders.Entry
	l.mu.Lock()
	l.table.Entries(func(e *orders.Entry) bool { all = append(all, e); return true })
	l.mu.Unlock()
	for _, e := range all {
		if !yield(e) {
			return
		}
	}
}

// compactionDue tells whether the log holds so much more than what counts that it is to be compacted; under mu.
func (l *Ledger) compactionDue() bool {
	return l.entriesWritten >= l.options.CompactAfter+2*l.table.OrderCount()
}

// compactIfDue compacts, unless somebody else has.
func (l *Ledger) compactIfDue() error {
	l.writeLock.Lock()
	defer l.writeLock.Unlock()
	l.mu.Lock()
	due := l.compactionDue()
	l.mu.Unlock()
	if !due {
		return nil
	}
	return l.rewrite()
}

// Compact puts what is on record in the place of all that was written. Changes wait for as long as it takes.
func (l *Ledger) Compact() error {
	l.writeLock.Lock()
	defer l.writeLock.Unlock()
	return l.rewrite()
}

func (l *Ledger) rewrite() error {
	l.mu.Lock()
	var records []log.Record
	l.table.Entries(func(e *orders.Entry) bool {
		records = append(records, log.Record{Kind: kindEntry, Payload: e.Append(nil)})
		return true
	})
	l.mu.Unlock()
	err := l.log.Compact(records, log.Record{Kind: kindMark})
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.compactionErr = err; err == nil {
		l.entriesWritten = len(records)
	}
	return err
}

// CompactionError tells why the latest compaction failed; nil, if it did not.
func (l *Ledger) CompactionError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.compactionErr
}

// Close ends the ledger. What is in hand stands as it is on record.
func (l *Ledger) Close() error {
	if err := l.log.Close(); err != nil && !errors.Is(err, log.ErrClosed) {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}
