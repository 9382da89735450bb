// Package extproc holds what the external processor has to decide beside the routing module: which class and key
// a request has, how long its client still waits, what a response says of the attempt behind it, which messages may
// follow one another, and whether a call with a known request id continues, repeats or contradicts an earlier one.
//
// It never opens a socket, reads a clock, starts a goroutine or picks a member: the package server does the first
// three and the module in logic the last. Its types are not safe for concurrent use.
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

// Target is what a request maps to.
type Target struct {
	Class string
	Key   string
	Write bool
	Many  bool // the key is several, with commas between
}

// Mapping maps methods and paths to classes and keys, in the order of the operator's file.
type Mapping struct{ rules []rule }

type rule struct {
	many     bool
	methods  []string
	segments []string // plain, or {name}
	rest     bool     // the last one takes the rest
	class    string
	key      []part
	write    bool
}

// part is plain text, or the value of a segment if at >= 0.
type part struct {
	text string
	at   int
}

// NewMapping compiles the entries of a file that has been checked.
func NewMapping(entries []operator.MapEntry) (*Mapping, error) {
	m := &Mapping{}
	for _, e := range entries {
		r := rule{methods: e.Methods, class: e.Class, write: e.Write, many: e.MultipleKeys}
		r.segments = strings.Split(strings.TrimPrefix(e.Path, "/"), "/")
		at := map[string]int{}
		for i, s := range r.segments {
			if name, ok := operator.SegmentVariable(s); ok {
				name, rest := strings.CutSuffix(name, "...")
				at[name] = i
				r.rest = rest
			}
		}
		for key := e.Key; key != ""; {
			text, after, found := strings.Cut(key, "{")
			if text != "" {
				r.key = append(r.key, part{text: text, at: -1})
			}
			if !found {
				break
			}
			name, rest, _ := strings.Cut(after, "}")
			i, ok := at[name]
			if !ok {
				return nil, fmt.Errorf("map entry %s: the path has no {%s}", e.Path, name)
			}
			r.key = append(r.key, part{at: i})
			key = rest
		}
		m.rules = append(m.rules, r)
	}
	return m, nil
}

// Match finds the first entry that fits. The path may carry a query, which has no part in the match or the key.
func (m *Mapping) Match(method, path string) (Target, bool) {
	path, _, _ = strings.Cut(path, "?")
	path, _, _ = strings.Cut(path, "#")
	if !strings.HasPrefix(path, "/") {
		return Target{}, false
	}
	var room [16]string
	for i := range m.rules {
		r := &m.rules[i]
		values := room[:0]
		if !r.takes(method) {
			continue
		}
		values, ok := r.match(path[1:], values)
		if !ok {
			continue
		}
		t := Target{Class: r.class, Write: r.write, Many: r.many}
		if len(r.key) == 1 && r.key[0].at >= 0 {
			t.Key = values[r.key[0].at]
		} else {
			var b strings.Builder
			for _, p := range r.key {
				if p.at >= 0 {
					p.text = values[p.at]
				}
				b.WriteString(p.text)
			}
			t.Key = b.String()
		}
		return t, true
	}
	return Target{}, false
}

func (r *rule) takes(method string) bool {
	for _, m := range r.methods {
		if m == method {
			return true
		}
	}
	return false
}

// match splits the path into as many segments as the rule has. A variable's segment is not empty.
func (r *rule) match(path string, values []string) ([]string, bool) {
	for i, want := range r.segments {
		last := i == len(r.segments)-1
		segment, rest, more := strings.Cut(path, "/")
		if last && r.rest {
			segment, more = path, false
		}
		if more == last { // too many segments, or too few
			return nil, false
		}
		if _, variable := operator.SegmentVariable(want); variable && segment == "" || !variable && segment != want {
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

// ErrSpent tells that a request's time was over before it came.
var ErrSpent = errors.New("the time for the request is over")

// TimeLeft reads how long the client still waits from one header's value: whole or broken milliseconds, or, in
// grpc-timeout, up to eight digits and a unit (gRPC over HTTP/2, "Requests"). A time of zero or less is ErrSpent; any
// other error means that the value can't be read. Envoy's x-envoy-expected-rq-timeout-ms is 0 where the route has no
// time-out, so there it bounds nothing, and a negative one, which Envoy never sends, is spent.
func TimeLeft(name, value string) (time.Duration, error) {
	if name == "grpc-timeout" {
		return grpcTimeout(value)
	}
	ms, err := strconv.ParseFloat(value, 64)
	switch {
	case err != nil || math.IsNaN(ms) || math.IsInf(ms, 0):
		return 0, fmt.Errorf("%s: %q is no number of milliseconds", name, cut(value))
	case ms == 0 && name == "x-envoy-expected-rq-timeout-ms":
		return mostLeft, nil
	case ms <= 0:
		return 0, ErrSpent
	}
	return clamp(ms * float64(time.Millisecond)), nil
}

// mostLeft bounds times: more than a day is as good as no bound.
const mostLeft = 24 * time.Hour

func clamp(ns float64) time.Duration {
	if ns > float64(mostLeft) {
		return mostLeft
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
			return 0, ErrSpent
		}
		if err == nil {
			return clamp(float64(count) * float64(units[value[n-1]])), nil
		}
	}
	return 0, fmt.Errorf("grpc-timeout: %q is not up to eight digits and one of H, M, S, m, u, n", cut(given))
}

// cut bounds a text of the caller's that goes into a message.
func cut(text string) string { return text[:min(len(text), 40)] }
