// Package keeper lets a host keep its orders on record without waiting for a disk: each change goes to the ledger (package ledger) in a
// goroutine of its own, and the host is told when it is on stable storage. It opens the ledger once the process before has closed it. It
// decides nothing about orders, never sends one, and calls nobody back from within a call.
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

// ErrClosed tells that the record is closed. What is asked for then has not been done.
var ErrClosed = fmt.Errorf("keeper: the record of orders is closed: %w", orders.ErrBehind)

// recordPollInterval is how often a successor looks whether the process before has closed the record.
const lookEvery = 5 * time.Millisecond

// Options set up a Keeper.
type Options struct {
	ledger.Options
	// Follows: another process may have the record open, and closes it soon. Else that is an error.
	Follows bool
	// RunStrangers has a repeat that nobody here knows of run like a new order. It stands for an installation whose clients repeat only what
	// they were told has never run.
	RunStrangers bool
}

// Keeper keeps orders on record. It is safe for concurrent use.
type Keeper struct {
	fs   disk.FS
	opt  Options
	now  func() time.Duration
	log  *slog.Logger
	open chan struct{} // closed once led or fault stands
	quit chan struct{} // closed by Close
	work sync.WaitGroup

	mu     sync.Mutex // of what follows; nothing waits under it
	led    *ledger.Ledger
	fault  error
	wait   int // orders that wait for the opening
	closed bool
	ending map[orders.Name]chan struct{} // orders whose end is on its way to the disk
}

// Open opens the record in a folder. Where it follows another process it returns at once, and orders wait until that one has closed it.
func Open(fs disk.FS, opt Options, now func() time.Duration, log *slog.Logger) (*Keeper, error) {
	k := &Keeper{fs: fs, opt: opt, now: now, log: log, open: make(chan struct{}), quit: make(chan struct{}),
		ending: map[orders.Name]chan struct{}{}}
	led, err := ledger.Open(fs, opt.Options, now)
	switch {
	case err == nil:
		k.led = led
		close(k.open)
	case opt.Follows && errors.Is(err, disk.ErrLocked):
		k.work.Go(k.follow)
	default:
		return nil, fmt.Errorf("orders: %w", err)
	}
	return k, nil
}

// follow opens the record once the process before has closed it, or has died.
func (k *Keeper) follow() {
	k.log.Info("the record of orders is open in the process before; orders wait for it")
	began := time.Now()
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		led, err := ledger.Open(k.fs, k.opt.Options, k.now)
		if errors.Is(err, disk.ErrLocked) {
			select {
			case <-tick.C:
				continue
			case <-k.quit:
				err = ErrClosed
			}
		}
		k.mu.Lock()
		k.led, k.fault = led, err
		k.mu.Unlock()
		close(k.open)
		switch {
		case err == nil:
			k.log.Info("the record of orders is open", "after_ms", time.Since(began).Milliseconds())
		case !errors.Is(err, ErrClosed):
			k.log.Error("the record of orders can't be opened: all orders are refused", "err", err)
		}
		return
	}
}

// opened waits for the ledger. Of those who wait only so many may: an order that is turned away has not run.
func (k *Keeper) opened() (*ledger.Ledger, error) {
	select {
	case <-k.open:
	default:
		k.mu.Lock()
		full := k.opt.Line > 0 && k.wait >= k.opt.Line
		if !full {
			k.wait++
		}
		k.mu.Unlock()
		if full {
			return nil, ledger.ErrSlow
		}
		<-k.open
		k.mu.Lock()
		k.wait--
		k.mu.Unlock()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.led, k.fault
}

// begin runs f beside the caller, unless the record is closed.
func (k *Keeper) begin(f func(), closed func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed {
		go closed()
		return
	}
	k.work.Go(f)
}

// Take decides on an order that comes, as ledger.Take does. One whose end is on its way to the disk is waited for: its client was told at once
// that it never ran, and must not hear that it is in hand.
func (k *Keeper) Take(o orders.Order, done func(orders.Verdict, []byte, error)) {
	if k.opt.RunStrangers {
		o.Again = false
	}
	k.begin(func() {
		led, err := k.opened()
		if err != nil {
			done(orders.Full, nil, err)
			return
		}
		k.mu.Lock()
		end := k.ending[o.Name]
		k.mu.Unlock()
		if end != nil {
			<-end
		}
		done(led.Take(o))
	}, func() { done(orders.Full, nil, ErrClosed) })
}

// returned notes, where it is so, that an order that was sent has surely not run.
func (k *Keeper) returned(n orders.Name, so bool) error {
	if !so {
		return nil
	}
	return k.led.Returned(n)
}

// Send records that an order in hand is about to be sent to a member. returned tells that it had been sent before, and has surely not run.
func (k *Keeper) Send(n orders.Name, to string, returned bool, done func(error)) {
	k.begin(func() {
		err := k.returned(n, returned)
		if err == nil {
			err = k.led.Send(n, to)
		}
		done(err)
	}, func() { done(ErrClosed) })
}

// End records how an order in hand has ended.
func (k *Keeper) End(n orders.Name, s orders.State, receipt []byte, by string, returned bool, done func(error)) {
	end := make(chan struct{})
	k.mu.Lock()
	k.ending[n] = end
	k.mu.Unlock()
	over := func(err error) {
		k.mu.Lock()
		delete(k.ending, n)
		k.mu.Unlock()
		close(end)
		done(err)
	}
	k.begin(func() {
		err := k.returned(n, returned)
		if err == nil {
			err = k.led.End(n, s, receipt, by)
		}
		over(err)
	}, func() { over(ErrClosed) })
}

// use gives an operator the ledger, where it is open; done lets go of it.
func (k *Keeper) use() (led *ledger.Ledger, done func(), err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case k.closed:
		return nil, nil, ErrClosed
	case k.fault != nil:
		return nil, nil, k.fault
	case k.led == nil:
		return nil, nil, disk.ErrLocked
	}
	k.work.Add(1)
	return k.led, k.work.Done, nil
}

// Unknown tells at most so many unknown orders, the oldest first, and how many there are.
func (k *Keeper) Unknown(most int) (some []orders.Entry, all int, err error) {
	led, done, err := k.use()
	if err != nil {
		return nil, 0, err
	}
	defer done()
	some, all = led.Unknown(most)
	return some, all, nil
}

// Settle records what an operator has found out about an unknown order, and waits until that is on stable storage.
func (k *Keeper) Settle(n orders.Name, s orders.State, receipt []byte, by string) error {
	led, done, err := k.use()
	if err != nil {
		return err
	}
	defer done()
	return led.Settle(n, s, receipt, by)
}

// Close closes the record once all that it was asked for is done. Whoever waits for it to be opened is turned away.
func (k *Keeper) Close() error {
	k.mu.Lock()
	if k.closed {
		k.mu.Unlock()
		return nil
	}
	k.closed = true
	close(k.quit)
	k.mu.Unlock()
	k.work.Wait()
	if k.led == nil {
		return nil
	}
	return k.led.Close()
}
