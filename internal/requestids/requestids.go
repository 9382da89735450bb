// Package requestids tells whether a request that must not run twice has been accepted before, by this process
// or by another one of the same proxy. The processes share a Table: memory that all of them map.
//
// The package uses no I/O, clock or goroutines. Its only synchronization are atomic operations on the memory, as
// the other users of it are other processes.
package requestids

import (
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"
)

const (
	// Slots is the number of ids that a Table has room for. It should exceed the requests that must not run
	// twice and are accepted within Retention.
	Slots = 1 << 14
	// Bytes is the size of the memory of a Table.
	Bytes = Slots * 8
	// Retention is the minimum time for which an id is kept: more than the longest deadline, until which a client
	// may send a request again.
	Retention = 12 * time.Second

	probes     = 64 // slots in which an id may stand
	timeUnit   = 100 * time.Millisecond
	timeBits   = 24
	timeMask   = 1<<timeBits - 1
	indexShift = 64 - 14 // the index is the hash's upper bits, the tag its lower ones
)

// Result is the outcome of a Claim.
type Result uint8

// The results.
const (
	Claimed Result = iota // the id is new, and is now kept
	Taken                 // the id was claimed before
	Full                  // there is no room for the id
)

// Table is a set of ids. A slot holds an id's tag above the time at which it was claimed; 0 is an empty slot.
type Table struct {
	slots []uint64
}

// New returns a Table in the given memory, of Slots words, which other processes may use at the same time. Memory
// of zeros is an empty Table.
func New(memory []uint64) *Table { return &Table{memory[:Slots]} }

// Claim keeps an id unless it was claimed within Retention. now is the time by a clock that all processes that
// share the memory have in common.
func (t *Table) Claim(id []byte, now time.Duration) Result {
	digest := sha256.Sum256(id)
	sum := binary.LittleEndian.Uint64(digest[:])
	entry := sum<<timeBits | uint64(now/timeUnit)&timeMask
	for {
		free := (*uint64)(nil)
		var previous uint64
		for i := range uint64(probes) {
			slot := &t.slots[(sum>>indexShift+i)%Slots]
			value := atomic.LoadUint64(slot)
			switch {
			case expired(value, now):
				if free == nil {
					free, previous = slot, value
				}
			case value>>timeBits == entry>>timeBits:
				return Taken
			}
		}
		if free == nil {
			return Full
		}
		if atomic.CompareAndSwapUint64(free, previous, entry) {
			return Claimed
		} // another process has taken the slot, perhaps for the same id
	}
}

// expired reports whether a slot is free.
func expired(value uint64, now time.Duration) bool {
	age := (uint64(now/timeUnit) - value) & timeMask
	// An age of more than half of the range is that of a clock slightly ahead.
	return value == 0 || age > uint64(Retention/timeUnit) && age < timeMask/2
}
