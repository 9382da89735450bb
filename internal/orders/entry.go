package orders

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Entry is what a log holds of one change of an order; the latest of an order counts, and says all that is known of it.
type Entry struct {
	State     State
	ChangedAt time.Duration // of the change, since the epoch
	Name
	Digest      [32]byte
	Member      string        // the member that it was sent to last
	Attempts    int           // how often it was sent
	Token       string        // the id of the token that it uses up
	TokenExpiry time.Duration // when that has run out
	Receipt     []byte        // Done
	ReportedBy  string        // the operator who settled it; "": nobody has
}

// entryVersion is the first byte of an entry. Later versions go on reading this one.
const entryVersion = 1

// Bounds of what is read.
const (
	MaxTextBytes    = 4 << 10
	MaxReceiptBytes = 4 << 20
)

// ErrInvalidEntry is wrapped by what tells that bytes are no entry.
var ErrInvalidEntry = errors.New("orders: no entry")

// Append appends an entry's written form (docs/orders.md): version, state, five texts with their lengths, digest, and numbers, all as
// unsigned varints.
func (e *Entry) Append(b []byte) []byte {
	b = append(b, entryVersion, byte(e.State))
	for _, n := range []uint64{uint64(max(0, e.ChangedAt)), uint64(max(0, e.TokenExpiry)), uint64(max(0, e.Attempts))} {
		b = binary.AppendUvarint(b, n)
	}
	b = append(b, e.Digest[:]...)
	for _, t := range []string{e.Tenant, e.Key, e.Member, e.Token, e.ReportedBy} {
		b = binary.AppendUvarint(b, uint64(len(t)))
		b = append(b, t...)
	}
	b = binary.AppendUvarint(b, uint64(len(e.Receipt)))
	return append(b, e.Receipt...)
}

// Parse reads an entry, whole or not at all.
func Parse(b []byte) (e *Entry, err error) {
	at := 0
	fault := func(what string) (*Entry, error) {
		return nil, fmt.Errorf("%w: %s at byte %d", ErrInvalidEntry, what, at)
	}
	number := func() (uint64, bool) {
		n, size := binary.Uvarint(b[at:])
		if size <= 0 || size > 1 && b[at+size-1] == 0 { // one form for each number
			return 0, false
		}
		at += size
		return n, true
	}
	if len(b) < 2 {
		return fault("cut short")
	}
	if b[0] != entryVersion {
		return fault(fmt.Sprintf("version %d", b[0]))
	}
	e = &Entry{State: State(b[1])}
	if e.State < Taken || e.State > Unknown {
		return fault("no state")
	}
	at = 2
	var numbers [3]uint64
	for i := range numbers {
		n, ok := number()
		if !ok || n > 1<<62 {
			return fault("no number")
		}
		numbers[i] = n
	}
	e.ChangedAt, e.TokenExpiry, e.Attempts = time.Duration(numbers[0]), time.Duration(numbers[1]), int(numbers[2])
	if len(b)-at < len(e.Digest) {
		return fault("cut short")
	}
	at += copy(e.Digest[:], b[at:])
	for i, t := range []*string{&e.Tenant, &e.Key, &e.Member, &e.Token, &e.ReportedBy, nil} {
		most := MaxTextBytes
		if i == 5 {
			most = MaxReceiptBytes
		}
		n, ok := number()
		if !ok || n > uint64(most) || n > uint64(len(b)-at) {
			return fault("no length")
		}
		if text := b[at : at+int(n)]; t != nil {
			*t = string(text)
		} else if n > 0 {
			e.Receipt = append([]byte(nil), text...)
		}
		at += int(n)
	}
	if at != len(b) {
		return fault("more than an entry")
	}
	return e, nil
}
