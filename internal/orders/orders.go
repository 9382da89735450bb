// Package orders implements the record of orders: the state of each request that must not run twice,
// kept across crashes. It decides whether an order may be sent and how a client that retries is
// answered, and it creates the entries that a durable log must store. The caller appends these entries
// to the log and reports when each is on stable storage. The package does no I/O, reads no clock,
// starts no goroutines, knows no protocol of the members and never sends an order.
//
// Two rules ensure this. An order is sent only after its entry Sent is durable, so every order that may
// have run is on record after a crash. A receipt is passed to the client only after the entry Done is
// durable, so a receipt that was reported once can be reported again.
package orders

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// State is the recorded state of an order.
type State uint8

// The states. When the process ends, an order in state Taken has not run, and an order in state Sent
// becomes Unknown.
const (
	Taken    State = iota + 1 // accepted; either never sent, or sent and known not to have run
	Sent                      // it may have run or may still run
	Done                      // it has run, and its receipt is on record
	NeverRan                  // it ended without running, and may be submitted again
	Unknown                   // it may have run, and this process cannot determine whether it did
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

// Name identifies an order: the tenant and the idempotency key, or the request id if there is no key.
type Name struct{ Tenant, Key string }

// Order is a request that must not run twice, as a front end received it.
type Order struct {
	Name
	Digest      [32]byte      // hash of the request; a different digest under the same name is a client error
	Retry       bool          // the client marked the request as a retry
	Token       string        // id of the token that the order consumes; "": none
	TokenExpiry time.Duration // expiry of that token, since the epoch
}

// Verdict is the decision on a submitted order.
type Verdict uint8

// The verdicts.
const (
	Proceed        Verdict = iota // accepted: append the entry, and continue once it is durable
	Receipt                       // it has run; the recorded receipt is returned
	InProgress                    // another request is processing it and gets the answer
	OutcomeUnknown                // it may have run, here or in another process; it must not run again
	Mismatch                      // the name belongs to a different request
	TokenUsed                     // another order has consumed its token
	RecordFull                    // the record has no capacity for it
	ReceiptMissing                // it has run, but its receipt is not on record
)

var verdictNames = [...]string{"go", "receipt", "in_hand", "look_up", "mismatch", "used", "full", "ran"}

func (v Verdict) String() string { return verdictNames[v] }

// Limits bounds a Table.
type Limits struct {
	Retention       time.Duration // minimum time for which an ended order is remembered
	MaxOrders       int           // number of orders in any state
	MaxReceiptBytes int           // total size of all receipts
}

// Values of Entry.ReportedBy for orders in state Done whose receipt is not on record. An operator must
// not use them as a name.
const (
	ReportedByCaller    = "(caller)"  // the caller made the exchange with the member itself
	ReportedByStreaming = "(passing)" // the answer was streamed to the client and was too long to store
)

// Errors of the methods of Table.
var (
	ErrNotInProgress = errors.New("orders: the order is not in progress")
	ErrNotSent       = errors.New("orders: the order has not been sent")
	ErrPending       = errors.New("orders: an entry of it is not durable yet")
	ErrNotUnknown    = errors.New("orders: only an unknown order can be settled")
	// ErrOverloaded is wrapped by errors that report that an order was not accepted because too many
	// changes wait for the disk or the record is closed. The order has not run.
	ErrOverloaded   = errors.New("too much waits for the record of orders")
	ErrOperatorName = errors.New("orders: that is no operator's name")
)

// order is the in-memory state of an order.
type order struct {
	Entry
	pending    bool // an entry of it is being written to stable storage
	inProgress bool // this process is handling the order
	listed     bool // the order is in Table.ended
}

// Table is the in-memory record of orders. It is not safe for concurrent use.
type Table struct {
	limits       Limits
	now          time.Duration
	orders       map[Name]*order
	tokens       map[Name]*usedToken // by tenant and token id
	ended        []*order            // sorted by the time at which they ended
	receiptBytes int
}

// usedToken describes a consumed token.
type usedToken struct {
	order  Name
	expiry time.Duration
}

// New creates an empty table.
func New(l Limits) *Table {
	return &Table{limits: l, orders: map[Name]*order{}, tokens: map[Name]*usedToken{}}
}

// advance sets the current time. If the clock has jumped back, the time stays as it is, so that no
// order is removed before its retention time.
func (t *Table) advance(now time.Duration) { t.now = max(t.now, now) }

// Take decides on a submitted order. If the verdict is Proceed, the caller appends the returned entry;
// the order must not be processed before MarkDurable.
func (t *Table) Take(now time.Duration, submitted Order) (v Verdict, receipt []byte, entry *Entry) {
	t.advance(now)
	t.removeExpired()
	previous := t.orders[submitted.Name]
	switch {
	case previous == nil && submitted.Retry:
		// The order was removed after its retention time, or another process has accepted it and
		// records it there. The process that refuses an order without running it knows that, so an
		// order that is not known here may have run.
		return OutcomeUnknown, nil, nil
	case previous == nil:
	case previous.Digest != submitted.Digest:
		return Mismatch, nil, nil
	case previous.State == Done && (previous.ReportedBy == ReportedByCaller || previous.ReportedBy == ReportedByStreaming):
		return ReceiptMissing, nil, nil
	case previous.State == Done:
		return Receipt, previous.Receipt, nil
	case previous.State == Unknown:
		return OutcomeUnknown, nil, nil
	case previous.inProgress || previous.pending:
		return InProgress, nil, nil
	}
	if submitted.Token != "" {
		token := t.tokens[Name{submitted.Tenant, submitted.Token}]
		switch {
		// A token stays used until it expires, even after its order was removed.
		case token != nil && t.now < token.expiry && (token.order != submitted.Name || previous == nil):
			return TokenUsed, nil, nil
		case token == nil && len(t.tokens) >= 2*t.limits.MaxOrders:
			return RecordFull, nil, nil
		}
	}
	if previous == nil && len(t.orders) >= t.limits.MaxOrders || t.receiptBytes >= t.limits.MaxReceiptBytes {
		return RecordFull, nil, nil
	}
	entry = &Entry{State: Taken, ChangedAt: t.now, Name: submitted.Name, Digest: submitted.Digest, Token: submitted.Token, TokenExpiry: submitted.TokenExpiry}
	if previous != nil { // the order ended without running; this is a new submission
		entry.Attempts = previous.Attempts
		t.removeEnded(previous)
	}
	t.orders[submitted.Name] = &order{Entry: *entry, pending: true, inProgress: true}
	t.updateToken(entry)
	return Proceed, nil, entry
}

// Send returns the entry that records that an accepted order is being sent to a member. The order must
// not be sent before MarkDurable was called with that entry.
func (t *Table) Send(now time.Duration, n Name, member string) (*Entry, error) {
	t.advance(now)
	o := t.orders[n]
	switch {
	case o == nil || !o.inProgress || o.State != Taken:
		return nil, ErrNotInProgress
	case o.pending:
		return nil, ErrPending
	}
	e := o.Entry
	e.State, e.ChangedAt, e.Member, e.Attempts = Sent, t.now, member, o.Attempts+1
	o.pending = true
	return &e, nil
}

// MarkNotRun records in memory that an order that was sent has certainly not run. Nothing is written:
// after a crash before the next entry the order is Unknown, which is safe.
func (t *Table) MarkNotRun(n Name) error {
	o := t.orders[n]
	if o == nil || !o.inProgress || o.State != Sent || o.pending {
		return ErrNotSent
	}
	o.State = Taken
	return nil
}

// End returns the entry that ends an order in progress: Done with its receipt, NeverRan or Unknown. The
// client is answered once the entry is durable. If writing the entry fails, the client of an order that
// was sent has to be told that its outcome is unknown. reportedBy is "", or a ReportedBy constant if the
// receipt is missing.
func (t *Table) End(now time.Duration, n Name, s State, receipt []byte, reportedBy string) (*Entry, error) {
	t.advance(now)
	o := t.orders[n]
	switch {
	case o == nil || !o.inProgress:
		return nil, ErrNotInProgress
	case o.pending:
		return nil, ErrPending
	case s == NeverRan && o.State != Taken, (s == Done || s == Unknown) && o.State != Sent, s < Done:
		return nil, ErrNotSent
	}
	e := o.Entry
	e.State, e.ChangedAt, e.ReportedBy = s, t.now, ""
	if s == Done {
		e.ReportedBy = reportedBy
		e.Receipt = slices.Clone(receipt)
	}
	o.pending = true
	return &e, nil
}

// MarkDurable applies an entry that has reached stable storage.
func (t *Table) MarkDurable(e *Entry) { t.apply(e, true) }

// MarkWriteFailed handles an entry that could not be written. The entry may or may not be present after
// a crash; both cases are safe. An order that could not be recorded as Taken has not run, an order that
// could not be recorded as Sent is not sent, and an order that has run but whose receipt could not be
// recorded becomes Unknown.
func (t *Table) MarkWriteFailed(e *Entry) {
	o := t.orders[e.Name]
	if o == nil || !o.pending {
		return
	}
	o.pending = false
	switch e.State {
	case Done, Unknown:
		if o.State == Unknown { // writing the entry of Settle failed
			return
		}
		o.State, o.inProgress, o.ChangedAt = Unknown, false, e.ChangedAt
		t.addEnded(o)
	case Taken, NeverRan: // it has not run, whatever the log contains
		if o.State == Unknown {
			return
		}
		o.State, o.inProgress, o.ChangedAt = NeverRan, false, e.ChangedAt
		t.addEnded(o)
	}
}

// Settle returns the entry that records the outcome of an unknown order as an operator determined it:
// Done with a receipt, or NeverRan.
func (t *Table) Settle(now time.Duration, n Name, s State, receipt []byte, operator string) (*Entry, error) {
	t.advance(now)
	o := t.orders[n]
	switch {
	case o == nil || o.State != Unknown || s != Done && s != NeverRan:
		return nil, ErrNotUnknown
	case operator == ReportedByCaller || operator == ReportedByStreaming:
		return nil, ErrOperatorName
	case o.pending:
		return nil, ErrPending
	}
	e := o.Entry
	e.State, e.ChangedAt, e.ReportedBy = s, t.now, operator
	if s == Done {
		e.Receipt = slices.Clone(receipt)
	}
	o.pending = true
	return &e, nil
}

// Replay applies an entry of the log while it is opened. Entries are passed in log order, and
// FinishReplay follows the last one.
func (t *Table) Replay(e *Entry) {
	t.advance(e.ChangedAt)
	t.apply(e, false)
}

// FinishReplay ends the replay. No order is in progress any more: orders in state Taken were never sent
// and become NeverRan; orders in state Sent may have run and become Unknown.
func (t *Table) FinishReplay(now time.Duration) {
	t.advance(now)
	for _, o := range t.orders {
		switch o.State {
		case Taken:
			o.State, o.ChangedAt = NeverRan, t.now
			t.addEnded(o)
		case Sent:
			o.State, o.ChangedAt = Unknown, t.now
			t.addEnded(o)
		}
	}
	slices.SortStableFunc(t.ended, func(x, y *order) int {
		return cmp.Or(cmp.Compare(x.ChangedAt, y.ChangedAt), compareNames(x.Name, y.Name))
	})
	t.removeExpired()
}

func compareNames(a, b Name) int {
	return cmp.Or(cmp.Compare(a.Tenant, b.Tenant), cmp.Compare(a.Key, b.Key))
}

func (t *Table) apply(e *Entry, inProgress bool) {
	o := t.orders[e.Name]
	if o == nil {
		o = &order{}
		t.orders[e.Name] = o
	}
	t.removeEnded(o)
	o.Entry, o.pending, o.inProgress = *e, false, inProgress && e.State < Done
	t.updateToken(e)
	if e.State >= Done {
		t.addEnded(o)
	}
}

// updateToken marks the token of an order as used, or releases it if the order never ran.
func (t *Table) updateToken(e *Entry) {
	if e.Token == "" {
		return
	}
	key := Name{e.Tenant, e.Token}
	if e.State != NeverRan {
		t.tokens[key] = &usedToken{e.Name, e.TokenExpiry}
	} else if token := t.tokens[key]; token != nil && token.order == e.Name {
		delete(t.tokens, key)
	}
}

// addEnded appends an order to the list of ended orders.
func (t *Table) addEnded(o *order) {
	t.removeEnded(o)
	o.listed = true
	t.ended = append(t.ended, o)
	t.receiptBytes += len(o.Receipt)
	t.updateToken(&o.Entry)
}

// removeEnded removes an order from the list of ended orders.
func (t *Table) removeEnded(o *order) {
	if !o.listed {
		return
	}
	o.listed = false
	if i := slices.Index(t.ended, o); i >= 0 {
		t.ended = slices.Delete(t.ended, i, i+1)
	}
	t.receiptBytes -= len(o.Receipt)
}

func (t *Table) deleteOrder(o *order) {
	t.removeEnded(o)
	delete(t.orders, o.Name)
	if token := t.tokens[Name{o.Tenant, o.Token}]; token != nil && token.order == o.Name &&
		(o.State == Taken || o.State == NeverRan || t.now >= token.expiry) {
		delete(t.tokens, Name{o.Tenant, o.Token})
	}
}

// removeExpired removes orders that ended more than the retention time ago. Unknown orders are kept
// until an operator settles them, which is the purpose of the record. If all orders are younger than
// the retention time, new orders are refused instead of removing old ones.
func (t *Table) removeExpired() {
	expired := 0
	for expired < len(t.ended) && t.now-t.ended[expired].ChangedAt >= t.limits.Retention {
		expired++ // the orders after it ended later
	}
	var kept []*order
	for _, o := range t.ended[:expired] {
		if o.State == Unknown || o.pending {
			kept = append(kept, o)
			continue
		}
		o.listed = false
		t.receiptBytes -= len(o.Receipt)
		t.deleteOrder(o)
	}
	if len(kept) < expired {
		t.ended = slices.Replace(t.ended, 0, expired, kept...)
	}
	if len(t.tokens) >= 2*t.limits.MaxOrders { // remove expired tokens of removed orders
		for n, token := range t.tokens {
			if t.now >= token.expiry && t.orders[token.order] == nil {
				delete(t.tokens, n)
			}
		}
	}
}

// Get returns the latest entry of an order.
func (t *Table) Get(n Name) (e Entry, ok bool) {
	o := t.orders[n]
	if o == nil {
		return Entry{}, false
	}
	return o.Entry, true
}

// ListUnknown returns up to limit unknown orders, sorted by the time at which they became unknown, and
// the total number of unknown orders.
func (t *Table) ListUnknown(limit int) (list []Entry, total int) {
	for _, o := range t.ended {
		if o.State == Unknown {
			if total++; len(list) < limit {
				list = append(list, o.Entry)
			}
		}
	}
	return list, total
}

// OrderCount returns the number of orders.
func (t *Table) OrderCount() int { return len(t.orders) }

// Counts returns the number of orders and the number of unknown ones. It iterates over all orders.
func (t *Table) Counts() (total, unknown int) {
	for _, o := range t.orders {
		if o.State == Unknown {
			unknown++
		}
	}
	return len(t.orders), unknown
}

// Entries yields the entries that a new log needs to hold the same record, sorted by time and name.
// Compaction uses it.
func (t *Table) Entries(yield func(*Entry) bool) {
	sorted := make([]*order, 0, len(t.orders))
	for _, o := range t.orders {
		sorted = append(sorted, o)
	}
	slices.SortFunc(sorted, func(x, y *order) int {
		return cmp.Or(cmp.Compare(x.ChangedAt, y.ChangedAt), compareNames(x.Name, y.Name))
	})
	for _, o := range sorted {
		e := o.Entry
		if !yield(&e) {
			return
		}
	}
}
