// Package retune decides what a running proxy takes over from a configuration that replaces its own:
// whether the text is complete, and which rules are in force while clients may use either of the two. It
// reads no files and uses no clock; a host passes the texts and the time.
package retune

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"linenloom/logic"
)

// Faults lists everything that is wrong with a configuration.
type Faults []string

func (f Faults) Error() string { return strings.Join(f, "; ") }

// maxFaults is the number of faults that are reported. A text of an entirely different kind has one for
// every key.
const maxFaults = 10

// Check reports whether a configuration has everything that the current one has: a single value with
// every key of every object, and in each entry of a list the keys that all entries of that list have now.
// Additional content is allowed. Check does not validate the values; the code that uses them does.
func Check(inForce, next []byte) error {
	var was, now any
	if err := json.Unmarshal(inForce, &was); err != nil {
		return fmt.Errorf("current configuration: %w", err)
	}
	if len(bytes.TrimSpace(next)) == 0 {
		return Faults{"the file is empty"}
	}
	d := json.NewDecoder(bytes.NewReader(next))
	if err := d.Decode(&now); err != nil {
		if err == io.ErrUnexpectedEOF {
			return Faults{fmt.Sprintf("the file is truncated after %d bytes", len(next))}
		}
		return Faults{err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return Faults{fmt.Sprintf("unexpected data after the configuration, at byte %d", d.InputOffset())}
	}
	var faults Faults
	findMissing("", was, now, &faults)
	if len(faults) == 0 {
		return nil
	}
	if more := len(faults) - maxFaults; more > 0 {
		faults = append(faults[:maxFaults], fmt.Sprintf("and %d more", more))
	}
	return faults
}

// findMissing appends a fault for each key that is missing at a path or below.
func findMissing(parent string, was, now any, faults *Faults) {
	switch was := was.(type) {
	case map[string]any:
		has, ok := now.(map[string]any)
		if !ok {
			*faults = append(*faults, fmt.Sprintf("%s is not an object", displayPath(parent)))
			return
		}
		for _, key := range slices.Sorted(maps.Keys(was)) {
			path := strings.TrimPrefix(parent+"."+key, ".")
			value, there := has[key]
			switch {
			case !there:
				*faults = append(*faults, path+" is missing")
			case value == nil && was[key] != nil:
				*faults = append(*faults, path+" is null")
			default:
				findMissing(path, was[key], value, faults)
			}
		}
	case []any:
		has, ok := now.([]any)
		if !ok {
			*faults = append(*faults, fmt.Sprintf("%s is not a list", displayPath(parent)))
			return
		}
		if entry := commonKeys(was); entry != nil {
			for i, e := range has {
				findMissing(fmt.Sprintf("%s[%d]", parent, i), entry, e, faults)
			}
		}
	}
}

func displayPath(at string) string {
	if at == "" {
		return "the configuration"
	}
	return at
}

// commonKeys returns an object with the keys that all entries of a list have; nil if not all entries are
// objects.
func commonKeys(list []any) (all map[string]any) {
	for _, e := range list {
		o, ok := e.(map[string]any)
		if !ok {
			return nil
		}
		if all == nil {
			all = maps.Clone(o)
		}
		maps.DeleteFunc(all, func(key string, _ any) bool { _, there := o[key]; return !there })
	}
	return all
}

// Transition returns the classes and the number of attempts in force while clients may still use the old
// configuration: only what both configurations allow. A class that is removed stays until then.
func Transition(was, now []logic.Class, wasTries, nowTries int) ([]logic.Class, int) {
	both := slices.Clone(now)
	for _, c := range was {
		i := slices.IndexFunc(both, func(n logic.Class) bool { return n.Name == c.Name })
		if i < 0 {
			both = append(both, c)
			continue
		}
		both[i] = stricter(both[i], c)
	}
	return both, min(wasTries, nowTries)
}

// stricter returns a class that satisfies the rules of both. Effects and scopes are ordered from the more
// to the less permissive.
func stricter(a, b logic.Class) logic.Class {
	a.Effect, a.Scope = max(a.Effect, b.Effect), max(a.Scope, b.Scope)
	a.SoftDeadline, a.Deadline = min(a.SoftDeadline, b.SoftDeadline), min(a.Deadline, b.Deadline)
	if b.Effect == logic.DeduplicatedByKey {
		a.DedupWindow = min(a.DedupWindow, b.DedupWindow)
	}
	return a
}
