// Package orders is the record of orders: what has become of each request that must not run twice, across crashes. It decides whether an
// order may be sent and what a client that asks again is told, and makes the entries that a durable log has to hold; a host appends them,
// and says when each is on stable storage. It is free of I/O, clock and goroutines, knows no members' protocol, and never sends anything.
//
// Two rules carry it. An order is sent only once its entry Sent is durable, so whatever may have run is on record after any crash. Its
// receipt goes to the client only once the entry Done is durable, so a receipt that was told can be told again.
package orders

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// State is what is on record of an order.
type State uint8

// The states. Where the process ends, an order that is Taken has surely not run, and one that is Sent is Unknown from then on.
const (
	Taken    State = iota + 1 // in hand, never sent, or known not to have run when it was
	Sent                      // it may have run, or may yet
	Done                      // it has run, and its receipt is on record
	NeverRan                  // it has ended without having run, and may come again
	Unknown                   // it may have run, and nobody here can tell
)

func (s State) String() string {
	switch s {
	case Taken:
		return "taken"
	case Sent:
		return "sent"
	case Done:
		return "done"
	case NeverRan:
		return "never_ran"
	case Unknown:
		return "unknown"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Name tells orders apart: the tenant, and the idempotency key, or where there is none the request's id.
type Name struct{ Tenant, Key string }

// Order is a request that must not run twice, as a front has taken it.
type Order struct {
	Name
	Digest      [32]byte      // of what it asks for: the same name for something else is a fault of its client
	Retry       bool          // its client says that it has asked before
	Token       string        // the id of the token that it uses up; "": none
	TokenExpiry time.Duration // when that token has run out
}

// Verdict is what is to be done with an order that comes.
type Verdict uint8

// The verdicts.
const (
	Proceed        Verdict = iota // it is taken: append the entry, and go on once it is durable
	Receipt                       // it has run: this is its receipt
	InProgress                    // it is in hand already; who has it gets the answer
	OutcomeUnknown                // it may have run, here or elsewhere: never a second run
	Mismatch                      // the name stands for something else
	TokenUsed                     // its token has been used by another order
	RecordFull                    // there is no room to remember it
	ReceiptMissing                // it has run, and its receipt is not on record
)

var verdictNames = [...]string{"go", "receipt", "in_hand", "look_up", "mismatch", "used", "full", "ran"}

func (v Verdict) String() string { return verdictNames[v] }

// Limits bound a Book.
type Limits struct {
	Retention       time.Duration // an order that has ended is remembered for so long, at the least
	MaxOrders       int           // orders, in any state
	MaxReceiptBytes int           // of receipts, together
}

// Who says that an order has run, where its receipt is not on record; operators have other names.
const (
	ReportedByCaller    = "(caller)"  // who made the exchange itself
	ReportedByStreaming = "(passing)" // it was passed on piece by piece, too long to be kept
)

// Errors of what a host asks for.
var (
	ErrNotInProgress = errors.New("orders: it is not in hand")
	ErrNotSent       = errors.New("orders: it has not been sent")
	ErrPending       = errors.New("orders: an entry of it is not durable yet")
	ErrNotUnknown    = errors.New("orders: only an unknown order can be settled")
	// ErrOverloaded is wrapped by what tells that an order was not taken, since the disk has too much to do. It has not run.
	ErrOverloaded   = errors.New("too much waits for the record of orders")
	ErrOperatorName = errors.New("orders: that is no operator's name")
)

// order is what the book has of an order. Ended ones stand in the order of their ends.
type order struct {
	Entry
	pending    bool // an entry of it is on its way to stable storage
	inProgress bool // by this process
	listed     bool // it stands in ended
}

// Table is the record. It is not safe for concurrent use.
type Table struct {
	limits       Limits
	now          time.Duration
	orders       map[Name]*order
	tokens       map[Name]*usedToken // by tenant and token id
	ended        []*order
	receiptBytes int
}

// usedToken is a token's id that an order has used up.
type usedToken struct {
	order  Name
	expiry time.Duration
}

// New makes an empty book.
func New(l Limits) *Table {
	return &Table{limits: l, orders: map[Name]*order{}, tokens: map[Name]*usedToken{}}
}

// advance takes the time, which may have jumped back: then it stands, so that nothing is forgotten early.
func (b *Table) advance(now time.Duration) { b.now = max(b.now, now) }

// Take decides on an order that comes. With Go there is an entry to append; it is not in hand before Durable.
func (b *Table) Take(now time.Duration, o Order) (v Verdict, receipt []byte, e *Entry) {
	b.advance(now)
	b.removeExpired()
	was := b.orders[o.Name]
	switch {
	case was == nil && o.Retry:
		// It was forgotten, or whoever had it first keeps a record of its own. What has not run is known to who refused it.
		return OutcomeUnknown, nil, nil
	case was == nil:
	case was.Digest != o.Digest:
		return Mismatch, nil, nil
	case was.State == Done && (was.ReportedBy == ReportedByCaller || was.ReportedBy == ReportedByStreaming):
		return ReceiptMissing, nil, nil
	case was.State == Done:
		return Receipt, was.Receipt, nil
	case was.State == Unknown:
		return OutcomeUnknown, nil, nil
	case was.inProgress || was.pending:
		return InProgress, nil, nil
	}
	if o.Token != "" {
		t := b.tokens[Name{o.Tenant, o.Token}]
		switch {
		case t != nil && b.now < t.expiry && (t.order != o.Name || was == nil): // its order may be forgotten, and it is still used
			return TokenUsed, nil, nil
		case t == nil && len(b.tokens) >= 2*b.limits.MaxOrders:
			return RecordFull, nil, nil
		}
	}
	if was == nil && len(b.orders) >= b.limits.MaxOrders || b.receiptBytes >= b.limits.MaxReceiptBytes {
		return RecordFull, nil, nil
	}
	e = &Entry{State: Taken, ChangedAt: b.now, Name: o.Name, Digest: o.Digest, Token: o.Token, TokenExpiry: o.TokenExpiry}
	if was != nil { // it never ran: it comes anew
		e.Attempts = was.Attempts
		b.removeEnded(was)
	}
	b.orders[o.Name] = &order{Entry: *e, pending: true, inProgress: true}
	b.updateToken(e)
	return Proceed, nil, e
}

// Send asks to send an order in hand to a member. It must not be sent before the entry is Durable.
func (b *Table) Send(now time.Duration, n Name, to string) (*Entry, error) {
	b.advance(now)
	o := b.orders[n]
	switch {
	case o == nil || !o.inProgress || o.State != Taken:
		return nil, ErrNotInProgress
	case o.pending:
		return nil, ErrPending
	}
	e := o.Entry
	e.State, e.ChangedAt, e.Member, e.Attempts = Sent, b.now, to, o.Attempts+1
	o.pending = true
	return &e, nil
}

// MarkNotRun tells that an order that was sent has surely not run. Nothing has to be written: until the next entry a crash makes it unknown,
// which is safe.
func (b *Table) MarkNotRun(n Name) error {
	o := b.orders[n]
	if o == nil || !o.inProgress || o.State != Sent || o.pending {
		return ErrNotSent
	}
	o.State = Taken
	return nil
}

// End ends an order in hand: with its receipt (Done), without having run (NeverRan), or Unknown. The client is told of it once the entry
// is Durable; where it can't be made durable, an order that was sent is unknown to its client. by is "", or tells why a receipt is missing.
func (b *Table) End(now time.Duration, n Name, s State, receipt []byte, by string) (*Entry, error) {
	b.advance(now)
	o := b.orders[n]
	switch {
	case o == nil || !o.inProgress:
		return nil, ErrNotInProgress
	case o.pending:
		return nil, ErrPending
	case s == NeverRan && o.State != Taken, (s == Done || s == Unknown) && o.State != Sent, s < Done:
		return nil, ErrNotSent
	}
	e := o.Entry
	e.State, e.ChangedAt, e.ReportedBy = s, b.now, ""
	if s == Done {
		e.ReportedBy = by
		e.Receipt = slices.Clone(receipt)
	}
	o.pending = true
	return &e, nil
}

// MarkDurable takes in that an entry is on stable storage.
func (b *Table) MarkDurable(e *Entry) { b.apply(e, true) }

// MarkWriteFailed takes in that an entry could not be written. Whether it is there after a crash nobody knows, and neither is harmful: an order that
// could not be taken has not run, one that could not be marked as sent is not sent, and one that has run and whose receipt could not be
// recorded is unknown.
func (b *Table) MarkWriteFailed(e *Entry) {
	o := b.orders[e.Name]
	if o == nil || !o.pending {
		return
	}
	o.pending = false
	switch e.State {
	case Done, Unknown:
		if o.State == Unknown { // it was not settled
			return
		}
		o.State, o.inProgress, o.ChangedAt = Unknown, false, e.ChangedAt
		b.addEnded(o)
	case Taken, NeverRan: // it has not run, whatever is on record
		if o.State == Unknown {
			return
		}
		o.State, o.inProgress, o.ChangedAt = NeverRan, false, e.ChangedAt
		b.addEnded(o)
	}
}

// Settle puts on record what an operator has found out about an unknown order: Done with a receipt, or NeverRan.
func (b *Table) Settle(now time.Duration, n Name, s State, receipt []byte, by string) (*Entry, error) {
	b.advance(now)
	o := b.orders[n]
	switch {
	case o == nil || o.State != Unknown || s != Done && s != NeverRan:
		return nil, ErrNotUnknown
	case by == ReportedByCaller || by == ReportedByStreaming:
		return nil, ErrOperatorName
	case o.pending:
		return nil, ErrPending
	}
	e := o.Entry
	e.State, e.ChangedAt, e.ReportedBy = s, b.now, by
	if s == Done {
		e.Receipt = slices.Clone(receipt)
	}
	o.pending = true
	return &e, nil
}

// Replay takes in an entry of the log, in its order, at an opening; Opened ends it.
func (b *Table) Replay(e *Entry) {
	b.advance(e.ChangedAt)
	b.apply(e, false)
}

// FinishReplay ends the replay: what was in hand when the process ended is not any more. What was taken and not sent has not run, and what was
// sent may have.
func (b *Table) FinishReplay(now time.Duration) {
	b.advance(now)
	for _, o := range b.orders {
		switch o.State {
		case Taken:
			o.State, o.ChangedAt = NeverRan, b.now
			b.addEnded(o)
		case Sent:
			o.State, o.ChangedAt = Unknown, b.now
			b.addEnded(o)
		}
	}
	slices.SortStableFunc(b.ended, func(x, y *order) int {
		return cmp.Or(cmp.Compare(x.ChangedAt, y.ChangedAt), compareNames(x.Name, y.Name))
	})
	b.removeExpired()
}

func compareNames(a, b Name) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Key, b.Key))
}

func (b *Table) apply(e *Entry, inHand bool) {
	o := b.orders[e.Name]
	if o == nil {
		o = &order{}
		b.orders[e.Name] = o
	}
	b.removeEnded(o)
	o.Entry, o.pending, o.inProgress = *e, false, inHand && e.State < Done
	b.updateToken(e)
	if e.State >= Done {
		b.addEnded(o)
	}
}

// updateToken notes the token that an order uses up; an order that never ran gives it back.
func (b *Table) updateToken(e *Entry) {
	if e.Token == "" {
		return
	}
	n := Name{e.Tenant, e.Token}
	if e.State != NeverRan {
		b.tokens[n] = &usedToken{e.Name, e.TokenExpiry}
	} else if t := b.tokens[n]; t != nil && t.order == e.Name {
		delete(b.tokens, n)
	}
}

// addEnded puts an order behind those that have ended; unend takes it out again.
func (b *Table) addEnded(o *order) {
	b.removeEnded(o)
	o.listed = true
	b.ended = append(b.ended, o)
	b.receiptBytes += len(o.Receipt)
	b.updateToken(&o.Entry)
}

func (b *Table) removeEnded(o *order) {
	if !o.listed {
		return
	}
	o.listed = false
	if i := slices.Index(b.ended, o); i >= 0 {
		b.ended = slices.Delete(b.ended, i, i+1)
	}
	b.receiptBytes -= len(o.Receipt)
}

func (b *Table) deleteOrder(o *order) {
	b.removeEnded(o)
	delete(b.orders, o.Name)
	if t := b.tokens[Name{o.Tenant, o.Token}]; t != nil && t.order == o.Name && (o.State == Taken || o.State == NeverRan || b.now >= t.expiry) {
		delete(b.tokens, Name{o.Tenant, o.Token})
	}
}

// removeExpired lets go of what ended longer than Keep ago. An unknown order is kept until an operator has settled it: it is what the record is
// for. Where all is younger, new orders are refused rather than old ones forgotten.
func (b *Table) removeExpired() {
	old := 0
	for old < len(b.ended) && b.now-b.ended[old].ChangedAt >= b.limits.Retention {
		old++ // all behind it ended later
	}
	var kept []*order
	for _, o := range b.ended[:old] {
		if o.State == Unknown || o.pending {
			kept = append(kept, o)
			continue
		}
		o.listed = false
		b.receiptBytes -= len(o.Receipt)
		b.deleteOrder(o)
	}
	if len(kept) < old {
		b.ended = slices.Replace(b.ended, 0, old, kept...)
	}
	if len(b.tokens) >= 2*b.limits.MaxOrders { // those of orders that are forgotten, until they have run out
		for n, t := range b.tokens {
			if b.now >= t.expiry && b.orders[t.order] == nil {
				delete(b.tokens, n)
			}
		}
	}
}

// Get tells what is on record of an order.
func (b *Table) Get(n Name) (e Entry, ok bool) {
	o := b.orders[n]
	if o == nil {
		return Entry{}, false
	}
	return o.Entry, true
}

// ListUnknown tells at most so many unknown orders, by the time when they became that, and how many there are.
func (b *Table) ListUnknown(most int) (some []Entry, all int) {
	for _, o := range b.ended {
		if o.State == Unknown {
			if all++; len(some) < most {
				some = append(some, o.Entry)
			}
		}
	}
	return some, all
}

// OrderCount counts orders.
func (b *Table) OrderCount() int { return len(b.orders) }

// Counts counts orders, and those that are unknown. It looks at all of them.
func (b *Table) Counts() (all, unknown int) {
	for _, o := range b.orders {
		if o.State == Unknown {
			unknown++
		}
	}
	return len(b.orders), unknown
}

// Entries tells all that a fresh log has to hold for the same record, in a fixed order: for compaction.
func (b *Table) Entries(yield func(*Entry) bool) {
	all := make([]*order, 0, len(b.orders))
	for _, o := range b.orders {
		all = append(all, o)
	}
	slices.SortFunc(all, func(x, y *order) int {
		return cmp.Or(cmp.Compare(x.ChangedAt, y.ChangedAt), compareNames(x.Name, y.Name))
	})
	for _, o := range all {
		e := o.Entry
		if !yield(&e) {
			return
		}
	}
}
