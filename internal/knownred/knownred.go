// Package knownred reads the list of tests that are known to fail and judges their runs. A test that fails for a real fault may stand there for a
// while, so that it is kept and seen; the list can neither grow unnoticed nor hide a test that passes again.
package knownred

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// Most is how many tests may be listed.
const Most = 3

// Entry is a test that is known to fail.
type Entry struct {
	Package string // its path from the root, beginning with "./"
	Test    string
	Cause   string
	Issue   string
}

// separator stands between the parts of a line.
const separator = "|"

var (
	packagePath = regexp.MustCompile(`^\./[A-Za-z0-9_./-]+$`)
	testName    = regexp.MustCompile(`^(Test|Fuzz)[A-Za-z0-9_]+$`)
	issueNumber = regexp.MustCompile(`^issue [0-9]+$`)
)

// Errors of a list.
var (
	ErrTooMany  = errors.New("more tests are listed than may be")
	ErrBadEntry = errors.New("an entry is a package and a test, a cause and an issue: ./path TestName | cause | issue N")
	ErrTwice    = errors.New("a test is listed twice")
)

// Parse reads a list, one test a line. Empty lines are passed over.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	lines := bufio.NewScanner(r)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		entry, err := parseLine(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		for _, other := range entries {
			if other.Test == entry.Test && other.Package == entry.Package {
				return nil, fmt.Errorf("line %d: %s: %w", number, entry.Test, ErrTwice)
			}
		}
		entries = append(entries, entry)
		if len(entries) > Most {
			return nil, fmt.Errorf("line %d: %w: %d", number, ErrTooMany, Most)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	return entries, nil
}

func parseLine(line string) (Entry, error) {
	parts := strings.Split(line, separator)
	if len(parts) != 3 {
		return Entry{}, ErrBadEntry
	}
	path, name, _ := strings.Cut(strings.TrimSpace(parts[0]), " ")
	e := Entry{Package: path, Test: strings.TrimSpace(name), Cause: strings.TrimSpace(parts[1]), Issue: strings.TrimSpace(parts[2])}
	if !packagePath.MatchString(e.Package) || !testName.MatchString(e.Test) || e.Cause == "" || !issueNumber.MatchString(e.Issue) {
		return Entry{}, ErrBadEntry
	}
	return e, nil
}

// Verdict is what the run of a listed test has shown.
type Verdict uint8

// The verdicts.
const (
	Failed  Verdict = iota // as it is known to
	Passed                 // it has to be taken off the list
	Missing                // no such test has run
)

// String names a verdict.
func (v Verdict) String() string {
	return [...]string{"fails, as known", "passes: take it off the list", "is no test"}[v]
}

// Judge tells what the verbose output of `go test -run '^Test$'` says of a test.
func Judge(test string, output []byte) Verdict {
	text := "\n" + string(output)
	switch {
	case strings.Contains(text, "\n--- FAIL: "+test+" "), strings.Contains(text, "\npanic: "):
		return Failed
	case strings.Contains(text, "\n--- PASS: "+test+" "):
		return Passed
	}
	return Missing
}

// Plan is which tests of a package are left out of the ordinary run.
type Plan struct {
	Package string
	Skip    string // for `go test -skip`; empty: none
}

// PlanRun tells how the packages are tested without the listed tests. A test of the same name in another package still runs. Packages are
// given as in the list.
func PlanRun(packages []string, entries []Entry) (plain []string, skipping []Plan) {
	for _, p := range packages {
		var tests []string
		for _, e := range entries {
			if e.Package == p {
				tests = append(tests, e.Test)
			}
		}
		if len(tests) == 0 {
			plain = append(plain, p)
			continue
		}
		skipping = append(skipping, Plan{Package: p, Skip: "^(" + strings.Join(tests, "|") + ")$"})
	}
	return plain, skipping
}
