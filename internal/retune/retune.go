// Package retune decides what a running proxy takes over from a configuration that replaces its own: whether the text is
// whole, and what holds while clients may go by either of the two. It reads no files and knows no clock; a host brings
// the texts and the time.
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

// Faults are all that is wrong with a configuration.
type Faults []string

func (f Faults) Error() string { return strings.Join(f, "; ") }

// maxFaults is how many faults are told; a text of another kind altogether has one for every key.
const maxFaults = 10

// Check tells whether a configuration has everything that the one in force has: a single value, with every key of every
// object, and in each entry of a list the keys that all entries there have now. What it has beyond that is allowed.
// Whether the values are any good is for those to say who read them.
func Check(inForce, next []byte) error {
	var was, now any
	if err := json.Unmarshal(inForce, &was); err != nil {
		return fmt.Errorf("the configuration in force: %w", err)
	}
	if len(bytes.TrimSpace(next)) == 0 {
		return Faults{"the file is empty"}
	}
	d := json.NewDecoder(bytes.NewReader(next))
	if err := d.Decode(&now); err != nil {
		if err == io.ErrUnexpectedEOF {
			return Faults{fmt.Sprintf("the file is cut short, after %d bytes", len(next))}
		}
		return Faults{err.Error()}
	}
	if _, err := d.Token(); err != io.EOF {
		return Faults{fmt.Sprintf("something follows the configuration, at byte %d", d.InputOffset())}
	}
	var faults Faults
	compare("", was, now, &faults)
	if len(faults) == 0 {
		return nil
	}
	if more := len(faults) - maxFaults; more > 0 {
		faults = append(faults[:maxFaults], fmt.Sprintf("and %d more", more))
	}
	return faults
}

// compare notes what is lacking at a place.
func compare(at string, was, now any, faults *Faults) {
	switch was := was.(type) {
	case map[string]any:
		has, ok := now.(map[string]any)
		if !ok {
			*faults = append(*faults, fmt.Sprintf("%s is no object", name(at)))
			return
		}
		for _, key := range slices.Sorted(maps.Keys(was)) {
			path := strings.TrimPrefix(at+"."+key, ".")
			value, there := has[key]
			switch {
			case !there:
				*faults = append(*faults, path+" is missing")
			case value == nil && was[key] != nil:
				*faults = append(*faults, path+" is null")
			default:
				compare(path, was[key], value, faults)
			}
		}
	case []any:
		has, ok := now.([]any)
		if !ok {
			*faults = append(*faults, fmt.Sprintf("%s is no list", name(at)))
			return
		}
		if entry := common(was); entry != nil {
			for i, e := range has {
				compare(fmt.Sprintf("%s[%d]", at, i), entry, e, faults)
			}
		}
	}
}

func name(at string) string {
	if at == "" {
		return "the configuration"
	}
	return at
}

// common is what all entries of a list have: an object with the keys of each; nil, if they are none.
func common(list []any) (all map[string]any) {
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

// Between are the classes and the number of attempts that hold while clients may still go by the old configuration: what
// either allows is not allowed unless the other does. A class that is dropped stays until then.
func Between(was, now []logic.Class, wasTries, nowTries int) ([]logic.Class, int) {
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

// stricter is a class that keeps the rules of both. Effects and scopes are in the order of what they allow less.
func stricter(a, b logic.Class) logic.Class {
	a.Effect, a.Scope = max(a.Effect, b.Effect), max(a.Scope, b.Scope)
	a.SoftDeadline, a.Deadline = min(a.SoftDeadline, b.SoftDeadline), min(a.Deadline, b.Deadline)
	if b.Effect == logic.DeduplicatedByKey {
		a.DedupWindow = min(a.DedupWindow, b.DedupWindow)
	}
	return a
}
