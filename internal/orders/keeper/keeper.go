// Package keeper records orders without blocking the caller: each change goes to the ledger (package
// ledger) in a goroutine of its own, and a callback reports when it is on stable storage. Callbacks
// never run within the call that passed them. At a restart the package opens the ledger once the
// predecessor process has closed it. It makes no decisions about orders and never sends one.
package keeper

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"linenloom/internal/orders"
	"linenloom/internal/orders/ledger"
	"linenloom/internal/store/disk"
)

// ErrClosed reports that the record is closed. The requested change was not made. It wraps ErrOverloaded,
// as a new order that is refused for either reason has not run and may be submitted again.
var ErrClosed = fmt.Errorf("keeper: the record of orders is closed: %w", orders.ErrOverloaded)

// openRetryInterval is the interval at which a successor process tries to open the record until its
// predecessor has closed it.
const openRetryInterval = 5 * time.Millisecond

// Options configures a Keeper.
type Options struct {
	ledger.Options
	// WaitForPredecessor means that another process may have the record open and will close it soon.
	// Without it a locked record is an error.
	WaitForPredecessor bool
	// RunUnknownRetries treats a retry of an order that is not on record as a new order. It is meant
	// for installations whose clients only retry orders that were reported as never run.
	RunUnknownRetries bool
}

// Keeper records orders asynchronously. It is safe for concurrent use.
type Keeper struct {
	fs      disk.FS
	options Options
	now     func() time.Duration
	log     *slog.Logger
	ready   chan struct{} // closed once ledger or openErr is set
	quit    chan struct{} // closed by Close
	tasks   sync.WaitGroup

	mu          sync.Mutex // guards the fields below; never held while waiting
	ledger      *ledger.Ledger
	openErr     error
	waiting     int // orders that wait until the record is open
	closed      bool
	pendingEnds map[orders.Name]chan struct{} // orders whose end is being written to the disk
}

// Open opens the record in a folder. With WaitForPredecessor it returns at once even if another process
// has the record open; orders wait until that process has closed it.
func Open(fs disk.FS, options Options, now func() time.Duration, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{fs: fs, options: options, now: now, log: log, ready: make(chan struct{}), quit: make(chan struct{}),
		pendingEnds: map[orders.Name]chan struct{}{}}
	opened, err := ledger.Open(fs, options.Options, now)
	switch {
	case err == nil:
		k.ledger = opened
		close(k.ready)
	case options.WaitForPredecessor && errors.Is(err, disk.ErrLocked):
		k.tasks.Go(k.openAfterPredecessor)
	default:
		return nil, fmt.Errorf("orders: %w", err)
	}
	return k, nil
}

// openAfterPredecessor opens the record once the predecessor process has closed it or has died.
func (k *Keeper) openAfterPredecessor() {
	k.log.Info("the predecessor process has the record of orders open; orders wait until it closes it")
	startedAt := time.Now()
	ticker := time.NewTicker(openRetryInterval)
	defer ticker.Stop()
	for {
		opened, err := ledger.Open(k.fs, k.options.Options, k.now)
		if errors.Is(err, disk.ErrLocked) {
			select {
			case <-ticker.C:
				continue
			case <-k.quit:
				err = ErrClosed
			}
		}
		k.mu.Lock()
		k.ledger, k.openErr = opened, err
		k.mu.Unlock()
		close(k.ready)
		switch {
		case err == nil:
			k.log.Info("the record of orders is open", "after_ms", time.Since(startedAt).Milliseconds())
		case !errors.Is(err, ErrClosed):
			k.log.Error("opening the record of orders failed; all orders are refused", "err", err)
		}
		return
	}
}

// awaitOpen waits until the ledger is open. At most MaxPending orders may wait; a further one is refused
// with ErrTooManyPending and has not run.
func (k *Keeper) awaitOpen() (*ledger.Ledger, error) {
	select {
	case <-k.ready:
	default:
		k.mu.Lock()
		full := k.options.MaxPending > 0 && k.waiting >= k.options.MaxPending
		if !full {
			k.waiting++
		}
		k.mu.Unlock()
		if full {
			return nil, ledger.ErrTooManyPending
		}
		<-k.ready
		k.mu.Lock()
		k.waiting--
		k.mu.Unlock()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ledger, k.openErr
}

// start runs task in a goroutine, or onClosed instead if the record is closed.
func (k *Keeper) start(task func(), onClosed func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		go onClosed()
		return
	}
	k.tasks.Go(task)
}

// Take decides on a submitted order like ledger.Take. If the end of an order with the same name is
// being written, Take waits for it: its client was told at once that the order never ran and must not
// be told on a retry that it is in progress. If done gets an error, the verdict beside it means nothing.
func (k *Keeper) Take(o orders.Order, done func(orders.Verdict, []byte, error)) {
	if k.options.RunUnknownRetries {
		o.Retry = false
	}
	k.start(func() {
		openLedger, err := k.awaitOpen()
		if err != nil {
			done(orders.RecordFull, nil, err)
			return
		}
		k.mu.Lock()
		pendingEnd := k.pendingEnds[o.Name]
		k.mu.Unlock()
		if pendingEnd != nil {
			<-pendingEnd
		}
		done(openLedger.Take(o))
	}, func() { done(orders.RecordFull, nil, ErrClosed) })
}

// markIfNotRun records, if notRun is set, that an order that was sent has certainly not run.
func (k *Keeper) markIfNotRun(n orders.Name, notRun bool) error {
	if !notRun {
		return nil
	}
	return k.ledger.MarkNotRun(n)
}

// Send records that an order in progress is about to be sent to a member. notRun reports that it was
// sent before and has certainly not run.
func (k *Keeper) Send(n orders.Name, member string, notRun bool, done func(error)) {
	k.start(func() {
		err := k.markIfNotRun(n, notRun)
		if err == nil {
			err = k.ledger.Send(n, member)
		}
		done(err)
	}, func() { done(ErrClosed) })
}

// End records how an order in progress has ended. notRun is as for Send. reportedBy is "", or
// orders.ReportedByCaller or orders.ReportedByStreaming if the order is Done and its receipt is missing.
func (k *Keeper) End(n orders.Name, s orders.State, receipt []byte, reportedBy string, notRun bool, done func(error)) {
	ended := make(chan struct{})
	k.mu.Lock()
	k.pendingEnds[n] = ended
	k.mu.Unlock()
	finish := func(err error) {
		k.mu.Lock()
		delete(k.pendingEnds, n)
		k.mu.Unlock()
		close(ended)
		done(err)
	}
	k.start(func() {
		err := k.markIfNotRun(n, notRun)
		if err == nil {
			err = k.ledger.End(n, s, receipt, reportedBy)
		}
		finish(err)
	}, func() { finish(ErrClosed) })
}

// acquire returns the ledger for an operator command, if it is open. The caller calls release when it
// is finished, and Close waits for that.
func (k *Keeper) acquire() (openLedger *ledger.Ledger, release func(), err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.closed:
		return nil, nil, ErrClosed
	case k.openErr != nil:
		return nil, nil, k.openErr
	case k.ledger == nil:
		return nil, nil, disk.ErrLocked
	}
	k.tasks.Add(1)
	return k.ledger, k.tasks.Done, nil
}

// ListUnknown returns up to limit unknown orders, oldest first, and their total number.
func (k *Keeper) ListUnknown(limit int) (list []orders.Entry, total int, err error) {
	openLedger, release, err := k.acquire()
	if err != nil {
		return nil, 0, err
	}
	defer release()
	list, total = openLedger.ListUnknown(limit)
	return list, total, nil
}

// Settle records the outcome of an unknown order as an operator determined it, and returns once that is
// on stable storage.
func (k *Keeper) Settle(n orders.Name, s orders.State, receipt []byte, operator string) error {
	openLedger, release, err := k.acquire()
	if err != nil {
		return err
	}
	defer release()
	return openLedger.Settle(n, s, receipt, operator)
}

// Close closes the record after all requested changes are finished. Orders that wait for the record to
// open are refused.
func (k *Keeper) Close() error {
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return nil
	}
	k.closed = true
	close(k.quit)
	k.mu.Unlock()
	k.tasks.Wait()
	if k.ledger == nil {
		return nil
	}
	return k.ledger.Close()
}
