// Package extproc makes the external processor's decisions other than routing: which class and key a
// request has, how long its client still waits, which outcome of an attempt a response stands for, which
// messages may follow one another, and whether a call with a known request id continues, repeats or
// contradicts an earlier one.
//
// The package opens no sockets, reads no clock, starts no goroutines and picks no members: package server
// does the first three and package logic the last. Its types are not safe for concurrent use.
package extproc

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"

	"linenloom/internal/operator"
)

// Target is the class and key that a request maps to.
type Target struct {
	Class string
	Key   string
	Write bool
	Many  bool // Key holds several keys, separated by commas
}

// Mapping maps methods and paths to classes and keys. Its rules apply in the order of the operator's file.
type Mapping struct{ rules []rule }

type rule struct {
	many        bool
	methods     []string
	segments    []string // literal, or {name}
	matchesRest bool     // the last segment matches the rest of the path
	class       string
	key         []keyPart
	write       bool
}

// keyPart is literal text, or the value of a path segment if segment >= 0.
type keyPart struct {
	text    string
	segment int
}

// NewMapping compiles the map entries of a validated file.
func NewMapping(entries []operator.MapEntry) (*Mapping, error) {
	mapping := &Mapping{}
	for _, entry := range entries {
		compiled := rule{methods: entry.Methods, class: entry.Class, write: entry.Write, many: entry.MultipleKeys}
		compiled.segments = strings.Split(strings.TrimPrefix(entry.Path, "/"), "/")
		segmentIndex := map[string]int{}
		for i, s := range compiled.segments {
			if name, ok := operator.SegmentVariable(s); ok {
				name, rest := strings.CutSuffix(name, "...")
				segmentIndex[name] = i
				compiled.matchesRest = rest
			}
		}
		for key := entry.Key; key != ""; {
			text, after, found := strings.Cut(key, "{")
			if text != "" {
				compiled.key = append(compiled.key, keyPart{text: text, segment: -1})
			}
			if !found {
				break
			}
			name, rest, _ := strings.Cut(after, "}")
			i, ok := segmentIndex[name]
			if !ok {
				return nil, fmt.Errorf("map entry %s: the path has no {%s}", entry.Path, name)
			}
			compiled.key = append(compiled.key, keyPart{segment: i})
			key = rest
		}
		mapping.rules = append(mapping.rules, compiled)
	}
	return mapping, nil
}

// Match returns the target of the first matching rule. A query in the path is ignored.
func (m *Mapping) Match(method, path string) (Target, bool) {
	path, _, _ = strings.Cut(path, "?")
	path, _, _ = strings.Cut(path, "#")
	if !strings.HasPrefix(path, "/") {
		return Target{}, false
	}
	var buffer [16]string
	for i := range m.rules {
		candidate := &m.rules[i]
		values := buffer[:0]
		if !candidate.hasMethod(method) {
			continue
		}
		values, ok := candidate.match(path[1:], values)
		if !ok {
			continue
		}
		target := Target{Class: candidate.class, Write: candidate.write, Many: candidate.many}
		if len(candidate.key) == 1 && candidate.key[0].segment >= 0 {
			target.Key = values[candidate.key[0].segment]
		} else {
			var b strings.Builder
			for _, p := range candidate.key {
				if p.segment >= 0 {
					p.text = values[p.segment]
				}
				b.WriteString(p.text)
			}
			target.Key = b.String()
		}
		return target, true
	}
	return Target{}, false
}

func (r *rule) hasMethod(method string) bool {
	for _, m := range r.methods {
		if m == method {
			return true
		}
	}
	return false
}

// match splits the path into as many segments as the rule has. The segment of a variable must not be empty.
func (r *rule) match(path string, values []string) ([]string, bool) {
	for i, pattern := range r.segments {
		last := i == len(r.segments)-1
		segment, rest, more := strings.Cut(path, "/")
		if last && r.matchesRest {
			segment, more = path, false
		}
		if more == last { // too many segments, or too few
			return nil, false
		}
		if _, variable := operator.SegmentVariable(pattern); variable && segment == "" || !variable && segment != pattern {
			return nil, false
		}
		if strings.Contains(segment, "%") {
			var err error
			if segment, err = url.PathUnescape(segment); err != nil {
				return nil, false
			}
		}
		values = append(values, segment)
		path = rest
	}
	return values, true
}

// ErrExpired means that a request's time was over before it arrived.
var ErrExpired = errors.New("the time for the request is over")

// TimeLeft parses the value of a header that says how long the client still waits: milliseconds, with or
// without a fraction, or for grpc-timeout up to eight digits and a unit (gRPC over HTTP/2, "Requests"). It
// returns ErrExpired for a time of zero or less and another error for an invalid value. Envoy sets
// x-envoy-expected-rq-timeout-ms to 0 for a route without a timeout, so 0 in that header means no limit; a
// negative value, which Envoy never sends, is expired.
func TimeLeft(name, value string) (time.Duration, error) {
	if name == "grpc-timeout" {
		return grpcTimeout(value)
	}
	ms, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil || math.IsNaN(ms) || math.IsInf(ms, 0):
		return 0, fmt.Errorf("%s: %q is no number of milliseconds", name, truncate(value))
	case ms == 0 && name == "x-envoy-expected-rq-timeout-ms":
		return maxTimeLeft, nil
	case ms <= 0:
		return 0, ErrExpired
	}
	return clampDuration(ms * float64(time.Millisecond)), nil
}

// maxTimeLeft limits times: more than a day is equivalent to no limit.
const maxTimeLeft = 24 * time.Hour

func clampDuration(ns float64) time.Duration {
	if ns > float64(maxTimeLeft) {
		return maxTimeLeft
	}
	return time.Duration(ns)
}

func grpcTimeout(value string) (time.Duration, error) {
	units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second,
		'm': time.Millisecond, 'u': time.Microsecond, 'n': time.Nanosecond}
	given := value
	value, negative := strings.CutPrefix(value, "-")
	n := len(value)
	if n >= 2 && n <= 9 && strings.Trim(value[:n-1], "0123456789") == "" && units[value[n-1]] > 0 {
		count, err := strconv.ParseUint(value[:n-1], 10, 64)
		if err == nil && (count == 0 || negative) {
			return 0, ErrExpired
		}
		if err == nil {
			return clampDuration(float64(count) * float64(units[value[n-1]])), nil
		}
	}
	return 0, fmt.Errorf("grpc-timeout: %q is not up to eight digits and one of H, M, S, m, u, n", truncate(given))
}

// truncate limits a caller's text that becomes part of an error message.
func truncate(text string) string { return text[:min(len(text), 40)] }
