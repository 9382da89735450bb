package orders

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"
)

// Entry is one change of an order as the log stores it. It holds the complete state of the order, so
// only the latest entry of an order counts.
type Entry struct {
	State     State
	ChangedAt time.Duration // time of the change, since the epoch
	Name
	Digest      [32]byte
	Member      string        // member that the order was last sent to
	Attempts    int           // number of times the order was sent
	Token       string        // id of the token that the order consumes
	TokenExpiry time.Duration // expiry of that token, since the epoch
	Receipt     []byte        // set only in state Done
	ReportedBy  string        // operator who settled the order, or a ReportedBy constant; "" otherwise
}

// entryVersion is the first byte of an entry. Later versions must keep reading it.
const entryVersion = 1

// Limits that Parse enforces.
const (
	MaxTextBytes    = 4 << 10
	MaxReceiptBytes = 4 << 20
)

// ErrInvalidEntry is wrapped by every error of Parse.
var ErrInvalidEntry = errors.New("orders: no entry")

// Append appends the encoded entry to b: version, state, three numbers, digest, five texts, and the
// receipt, the texts and the receipt each preceded by its length. Numbers and lengths are unsigned
// varints. docs/orders.md describes the format.
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

// Parse decodes an entry. It fails on truncated input and on trailing bytes.
func Parse(data []byte) (entry *Entry, err error) {
	offset := 0
	fail := func(what string) (*Entry, error) {
		return nil, fmt.Errorf("%w: %s at byte %d", ErrInvalidEntry, what, offset)
	}
	readNumber := func() (uint64, bool) {
		n, size := binary.Uvarint(data[offset:])
		if size <= 0 || size > 1 && data[offset+size-1] == 0 { // each number has exactly one encoding
			return 0, false
		}
		offset += size
		return n, true
	}
	if len(data) < 2 {
		return fail("cut short")
	}
	if data[0] != entryVersion {
		return fail(fmt.Sprintf("version %d", data[0]))
	}
	entry = &Entry{State: State(data[1])}
	if entry.State < Taken || entry.State > Unknown {
		return fail("no state")
	}
	offset = 2
	var numbers [3]uint64
	for i := range numbers {
		n, ok := readNumber()
		if !ok || n > 1<<62 {
			return fail("no number")
		}
		numbers[i] = n
	}
	entry.ChangedAt, entry.TokenExpiry, entry.Attempts = time.Duration(numbers[0]), time.Duration(numbers[1]), int(numbers[2])
	if len(data)-offset < len(entry.Digest) {
		return fail("cut short")
	}
	offset += copy(entry.Digest[:], data[offset:])
	for i, field := range []*string{&entry.Tenant, &entry.Key, &entry.Member, &entry.Token, &entry.ReportedBy, nil} {
		maxLength := MaxTextBytes
		if i == 5 {
			maxLength = MaxReceiptBytes
		}
		n, ok := readNumber()
		if !ok || n > uint64(maxLength) || n > uint64(len(data)-offset) {
			return fail("no length")
		}
		if text := data[offset : offset+int(n)]; field != nil {
			*field = string(text)
		} else if n > 0 {
			entry.Receipt = append([]byte(nil), text...)
		}
		offset += int(n)
	}
	if offset != len(data) {
		return fail("more than an entry")
	}
	return entry, nil
}
