// Package ledger stores the record of orders (package orders) in a log on disk. It writes the entries
// that the table of orders returns, waits until they are on stable storage before it reports success,
// replays the log after a crash and compacts it. It makes no decisions about orders and never sends
// one.
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

// Kinds of log records.
const (
	kindEntry = 1
	kindMark  = 2 // marks the end of a compaction; it has no payload
)

// Options configures a ledger.
type Options struct {
	orders.Limits
	SegmentSize int64
	// CompactAfter is the number of log entries, beyond twice the number of orders, from which the log is
	// compacted.
	CompactAfter int
	// MaxPending is the number of changes that may wait for the disk before new orders are refused; 0
	// means no limit. Changes of orders in progress are always written: otherwise a slow disk would
	// make an order that has run Unknown.
	MaxPending int
}

// Unbounded is for commands that open a ledger manually: opening it removes no order, refuses none and
// starts no compaction.
var Unbounded = Options{Limits: orders.Limits{Retention: 1 << 62, MaxOrders: 1 << 40, MaxReceiptBytes: 1 << 50}, SegmentSize: 4 << 20, CompactAfter: 1 << 40}

// WallClock returns the time since the epoch. Stored times are based on it.
func WallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// ErrTooManyPending reports that an order was not accepted because too many changes wait for the disk, or
// too many orders for the record to open (package keeper). It has not run and may be submitted again.
var ErrTooManyPending = fmt.Errorf("ledger: too many changes are pending: %w", orders.ErrOverloaded)

// Ledger is an open record of orders. It is safe for concurrent use. Each change waits for the disk;
// concurrent changes share a sync.
type Ledger struct {
	options Options
	now     func() time.Duration
	log     *log.Log

	writeLock      sync.RWMutex // read-locked for a write, write-locked for a compaction
	mu             sync.Mutex   // guards the fields below; never held while waiting
	table          *orders.Table
	entriesWritten int // entries in the log since the last compaction
	pending        int // changes that wait for the disk
	compactionErr  error
}

// Open opens the ledger in a folder and replays its log. now returns the time since the epoch; it may
// jump.
func Open(fs disk.FS, options Options, now func() time.Duration) (*Ledger, error) {
	l := &Ledger{options: options, now: now, table: orders.New(options.Limits)}
	var err error
	l.log, err = log.Open(fs, log.Options{SegmentSize: options.SegmentSize}, func(r log.Record) error {
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

// write appends an entry to the log, waits until it is on stable storage and updates the table.
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
	due := err == nil && l.compactionDue()
	l.mu.Unlock()
	l.writeLock.RUnlock()
	if due {
		l.compactIfDue() // a failed compaction does not fail the order; the next write tries again
	}
	return err
}

// applyChange calls operation, which changes the table, and writes the entry that it returns.
func (l *Ledger) applyChange(operation func(t *orders.Table, now time.Duration) (*orders.Entry, error)) error {
	l.mu.Lock()
	entry, err := operation(l.table, l.now())
	if err == nil && entry != nil {
		l.pending++
	}
	l.mu.Unlock()
	if err != nil || entry == nil {
		return err
	}
	return l.write(entry)
}

// Take decides on a submitted order. With the verdict Proceed the order is in progress and on record.
// An error means that it could not be recorded; it has not run.
func (l *Ledger) Take(o orders.Order) (v orders.Verdict, receipt []byte, err error) {
	err = l.applyChange(func(t *orders.Table, now time.Duration) (e *orders.Entry, _ error) {
		if l.options.MaxPending > 0 && l.pending >= l.options.MaxPending {
			if _, known := t.Get(o.Name); !known { // answering a retry of a known order needs no disk write
				return nil, ErrTooManyPending
			}
		}
		v, receipt, e = t.Take(now, o)
		return e, nil
	})
	return v, receipt, err
}

// Send records that an order in progress is being sent to a member. The order must be sent only if Send
// returns nil.
func (l *Ledger) Send(n orders.Name, member string) error {
	return l.applyChange(func(t *orders.Table, now time.Duration) (*orders.Entry, error) { return t.Send(now, n, member) })
}

// MarkNotRun records in memory that an order that was sent has certainly not run.
func (l *Ledger) MarkNotRun(n orders.Name) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.MarkNotRun(n)
}

// End records how an order in progress has ended. The client may be told the result only if End returns
// nil; after an error the client of an order that was sent is told that it may have run.
func (l *Ledger) End(n orders.Name, s orders.State, receipt []byte, reportedBy string) error {
	return l.applyChange(func(t *orders.Table, now time.Duration) (*orders.Entry, error) {
		return t.End(now, n, s, receipt, reportedBy)
	})
}

// Settle records the outcome of an unknown order as an operator determined it.
func (l *Ledger) Settle(n orders.Name, s orders.State, receipt []byte, operator string) error {
	return l.applyChange(func(t *orders.Table, now time.Duration) (*orders.Entry, error) {
		return t.Settle(now, n, s, receipt, operator)
	})
}

// Get returns the latest entry of an order.
func (l *Ledger) Get(n orders.Name) (orders.Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Get(n)
}

// ListUnknown returns up to limit unknown orders, oldest first, and their total number.
func (l *Ledger) ListUnknown(limit int) (list []orders.Entry, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.ListUnknown(limit)
}

// All yields the latest entry of every order, sorted by the time of the change.
func (l *Ledger) All(yield func(*orders.Entry) bool) {
	var entries []*orders.Entry
	l.mu.Lock()
	l.table.Entries(func(e *orders.Entry) bool { entries = append(entries, e); return true })
	l.mu.Unlock()
	for _, e := range entries {
		if !yield(e) {
			return
		}
	}
}

// compactionDue reports whether the log holds enough superseded entries to be compacted. The caller
// holds mu.
func (l *Ledger) compactionDue() bool {
	return l.entriesWritten >= l.options.CompactAfter+2*l.table.OrderCount()
}

// compactIfDue compacts the log, unless another caller has done so in the meantime.
func (l *Ledger) compactIfDue() error {
	l.writeLock.Lock()
	defer l.writeLock.Unlock()
	l.mu.Lock()
	due := l.compactionDue()
	l.mu.Unlock()
	if !due {
		return nil
	}
	return l.compactLocked()
}

// Compact replaces the content of the log with the current entries. Changes wait until it is finished.
func (l *Ledger) Compact() error {
	l.writeLock.Lock()
	defer l.writeLock.Unlock()
	return l.compactLocked()
}

// compactLocked replaces the content of the log with the current entries and sets compactionErr. The
// caller holds writeLock for writing.
func (l *Ledger) compactLocked() error {
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

// CompactionError returns the error of the latest compaction, or nil if it succeeded.
func (l *Ledger) CompactionError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.compactionErr
}

// Close closes the log. Orders in progress keep their recorded state.
func (l *Ledger) Close() error {
	if err := l.log.Close(); err != nil && !errors.Is(err, log.ErrClosed) {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}
