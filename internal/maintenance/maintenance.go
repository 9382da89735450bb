// Package maintenance decides which members operators have taken out of use, regardless of the discovery
// list, and since when a member that has returned to use counts as started. It uses no clock, files or
// sockets: every call passes the time in Unix milliseconds, and a host carries the set from one process
// to the next.
package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
)

// maxEntries bounds a set. It is many times the number of members of the largest fleet.
const maxEntries = 4096

// maxID is the length limit of an id, in bytes.
const maxID = 256

// Errors that Enter returns.
var (
	ErrFull  = errors.New("too many members are out of use")
	ErrBadID = errors.New("an id is 1 to 256 printable bytes without spaces")
)

// entry is the last call for a member. It is kept after the member has returned to use, as it determines
// since when the member counts as started.
type entry struct {
	Out     bool  `json:"out"`
	Entered int64 `json:"entered_ms"`
	Exited  int64 `json:"exited_ms,omitempty"`
	// Sequence counts the calls for the member. When two sets are merged, the entry with the higher count
	// is the newer one.
	Sequence int64 `json:"turn"`
}

// Set holds the members that are out of use. The zero value is empty. A Set is never modified: Enter,
// Exit and Merge return new ones.
type Set struct{ entries map[string]entry }

// ValidID reports whether a text can be the id of a member.
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

// Enter returns the set with a member out of use. A second call changes nothing, so one call of Exit
// takes the member back.
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

// Exit returns the set with a member back in use, if it was out.
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

// dropOldest removes the entry of the member that returned to use first. It reports whether there was
// one.
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

// IsOut reports whether a member is out of use.
func (s Set) IsOut(id string) bool { return s.entries[id].Out }

// UpSince returns since when a member counts as started, given the start time in the list (0: long ago).
// Operators restart a member while it is out of use, and the list reports the restart late. As long as
// the list has a start time from before the member was taken out, the member counts as started when it
// returned to use, which is never too early. A member that was not restarted pays for this with the
// warm-up time of a cold member.
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

// CountOut returns the number of members that are out of use.
func (s Set) CountOut() (n int) {
	for _, e := range s.entries {
		if e.Out {
			n++
		}
	}
	return n
}

// Merge returns the union of both sets, with the entry of the latest call for each member. If both count
// as many calls, the member stays out.
func (s Set) Merge(other Set) Set {
	merged := s.clone()
	for id, e := range other.entries {
		if was, known := merged.entries[id]; !known || e.Sequence > was.Sequence || e.Sequence == was.Sequence && e.Out && !was.Out {
			merged.entries[id] = e
		}
	}
	for len(merged.entries) > maxEntries && merged.dropOldest() {
	}
	return merged
}

// MarshalJSON implements json.Marshaler.
func (s Set) MarshalJSON() ([]byte, error) { return json.Marshal(s.entries) }

// UnmarshalJSON implements json.Unmarshaler. It reads a set completely or not at all.
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
