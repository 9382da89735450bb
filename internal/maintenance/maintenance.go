// Package maintenance decides which members stand out of use because operators have called them out, whatever the list
// says of them, and since when one that came back counts as started. It knows no clock, no files and no sockets: every
// call brings the time, in Unix milliseconds, and a host carries the set from one process to the next.
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
)

// maxEntries bounds a set: many times the members of the largest fleet.
const maxEntries = 4096

// maxID bounds an id, in bytes.
const maxID = 256

// Errors of Enter.
var (
	ErrFull  = errors.New("too many members are out of use")
	ErrBadID = errors.New("an id is 1 to 256 printable bytes without spaces")
)

// entry is what has been asked for a member. It is kept after the member is back: it still tells since when the member
// counts as started.
type entry struct {
	Out     bool  `json:"out"`
	Entered int64 `json:"entered_ms"`
	Exited  int64 `json:"exited_ms,omitempty"`
	// Sequence counts the calls, so that of two sets the one that knows the latest of them is told apart.
	Sequence int64 `json:"turn"`
}

// Set is which members are out. The zero value is empty. A Set that has been handed out is never changed: Enter, Exit
// and Merge make new ones.
type Set struct{ entries map[string]entry }

// ValidID tells whether a text can be a member's id.
func ValidID(id string) bool {
	if len(id) == 0 || len(id) > maxID {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// Enter is the set with a member out of use. Called again it changes nothing, so that one call takes the member back.
func (s Set) Enter(id string, now int64) (Set, error) {
	if !ValidID(id) {
		return s, ErrBadID
	}
	e, known := s.entries[id]
	if e.Out {
		return s, nil
	}
	n := s.clone()
	if !known && len(n.entries) >= maxEntries && !n.dropOldest() {
		return s, ErrFull
	}
	n.entries[id] = entry{Out: true, Entered: now, Sequence: e.Sequence + 1}
	return n, nil
}

// Exit is the set with a member in use again, if it was out.
func (s Set) Exit(id string, now int64) Set {
	e := s.entries[id]
	if !e.Out {
		return s
	}
	n := s.clone()
	e.Out, e.Exited, e.Sequence = false, max(now, e.Entered), e.Sequence+1
	n.entries[id] = e
	return n
}

// dropOldest drops the entry of the member that came back first.
func (s Set) dropOldest() bool {
	oldest := ""
	for id, e := range s.entries {
		if was := s.entries[oldest]; !e.Out && (oldest == "" || e.Exited < was.Exited || e.Exited == was.Exited && id < oldest) {
			oldest = id
		}
	}
	delete(s.entries, oldest)
	return oldest != ""
}

func (s Set) clone() Set {
	if s.entries == nil {
		return Set{map[string]entry{}}
	}
	return Set{maps.Clone(s.entries)}
}

// IsOut tells whether a member is out of use.
func (s Set) IsOut(id string) bool { return s.entries[id].Out }

// UpSince is since when a member counts as started, given what the list says (0: long ago). Operators restart a member
// while it is out, and the list tells of that late: as long as it names a start from before the member was called out,
// the member counts as started when it was called back, which is never too early. It costs a member that was not
// restarted at all the time that a cold one takes to warm.
func (s Set) UpSince(id string, listed float64) float64 {
	e, known := s.entries[id]
	if !known || listed >= float64(e.Entered) {
		return listed
	}
	if e.Out {
		return float64(e.Entered)
	}
	return float64(e.Exited)
}

// CountOut counts the members that are out.
func (s Set) CountOut() (n int) {
	for _, e := range s.entries {
		if e.Out {
			n++
		}
	}
	return n
}

// Merge is both sets: of each member the one that knows the latest call; where they know as many, the member stays out.
func (s Set) Merge(o Set) Set {
	n := s.clone()
	for id, e := range o.entries {
		if was, known := n.entries[id]; !known || e.Sequence > was.Sequence || e.Sequence == was.Sequence && e.Out && !was.Out {
			n.entries[id] = e
		}
	}
	for len(n.entries) > maxEntries && n.dropOldest() {
	}
	return n
}

// MarshalJSON writes the set.
func (s Set) MarshalJSON() ([]byte, error) { return json.Marshal(s.entries) }

// UnmarshalJSON reads a set whole or not at all.
func (s *Set) UnmarshalJSON(text []byte) error {
	var entries map[string]entry
	if err := json.Unmarshal(text, &entries); err != nil {
		return err
	}
	if len(entries) > maxEntries {
		return fmt.Errorf("%d entries: %w", len(entries), ErrFull)
	}
	for id := range entries {
		if !ValidID(id) {
			return fmt.Errorf("%q: %w", id, ErrBadID)
		}
	}
	s.entries = entries
	return nil
}
