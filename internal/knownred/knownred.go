// Package knownred reads the list of known failures and judges the runs of the tests among them. A test
// that fails because of a real fault may be listed for a while, so that it is kept and stays visible. The
// list can neither name a test that doesn't exist nor hide a test that passes again.
package knownred

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
)

// Entry is a known failure: a test, or a command with its seed.
type Entry struct {
	Package string // path from the root, beginning with "./"; empty for a command
	Test    string // including the subtest, if only that fails: TestName/part
	Command string // empty for a test
	Flaky   bool   // the test fails in some runs only
	Cause   string // with the observed failure
	Issue   string
}

// Name identifies the entry.
func (e Entry) Name() string {
	if e.Command != "" {
		return e.Command
	}
	return e.Package + " " + e.Test
}

const (
	// separator separates the parts of a line.
	separator = "|"
	// flakySuffix ends the first part of a line if the test fails in some runs only.
	flakySuffix = " (at times)"
)

var (
	packagePath = regexp.MustCompile(`^\./[A-Za-z0-9_./-]+$`)
	testName    = regexp.MustCompile(`^(Test|Fuzz)[A-Za-z0-9_]+(/[^\s/|]+)*$`)
	issueNumber = regexp.MustCompile(`^issue [0-9]+$`)
	// commandLine matches a program of this project, or of the operators' bench, with the seed that
	// reproduces the failure.
	commandLine = regexp.MustCompile(`^(go run \./|\.\./given/)\S+( .*)? --?(seed|first)[ =][0-9]+( |$)`)
)

// Errors of a list.
var (
	ErrBadEntry  = errors.New("malformed entry: want a test or a command with its seed, a cause and an issue: ./path TestName | cause | issue N, or COMMAND --seed N | cause | issue N")
	ErrDuplicate = errors.New("duplicate entry")
)

// Parse reads a list with one failure per line. Empty lines are ignored.
func Parse(r io.Reader) ([]Entry, error) {
	var entries []Entry
	listed := map[string]bool{}
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
		if listed[entry.Name()] {
			return nil, fmt.Errorf("line %d: %s: %w", number, entry.Name(), ErrDuplicate)
		}
		listed[entry.Name()] = true
		entries = append(entries, entry)
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
	what := strings.TrimSpace(parts[0])
	e := Entry{Cause: strings.TrimSpace(parts[1]), Issue: strings.TrimSpace(parts[2])}
	if e.Cause == "" || !issueNumber.MatchString(e.Issue) {
		return Entry{}, ErrBadEntry
	}
	if commandLine.MatchString(what) {
		e.Command = what
		return e, nil
	}
	what, e.Flaky = strings.CutSuffix(what, flakySuffix)
	e.Package, e.Test, _ = strings.Cut(what, " ")
	if !packagePath.MatchString(e.Package) || !testName.MatchString(e.Test) {
		return Entry{}, ErrBadEntry
	}
	return e, nil
}

// Verdict is the result of running a listed test.
type Verdict uint8

// Verdicts on a listed test.
const (
	Failed  Verdict = iota // as listed
	Passed                 // has to be removed from the list, unless it is flaky
	Missing                // no such test was run
)

// String describes a verdict.
func (v Verdict) String() string {
	return [...]string{"fails, as known", "passes", "is no test"}[v]
}

// Contradicts reports whether a verdict contradicts the entry.
func (e Entry) Contradicts(v Verdict) bool {
	return v == Missing || v == Passed && !e.Flaky
}

// Judge returns the verdict from the verbose output of a run of one test.
func Judge(test string, output []byte) Verdict {
	ended := func(how string) bool {
		return regexp.MustCompile(`(?m)^ *--- ` + how + `: ` + regexp.QuoteMeta(test) + ` `).Match(output)
	}
	switch {
	case ended("FAIL"), strings.Contains("\n"+string(output), "\npanic: "):
		return Failed
	case ended("PASS"):
		return Passed
	}
	return Missing
}

// Pattern returns the pattern of the test for the -run and -skip flags of `go test`.
func (e Entry) Pattern() string {
	parts := strings.Split(e.Test, "/")
	for i, part := range parts {
		parts[i] = "^" + regexp.QuoteMeta(part) + "$"
	}
	return strings.Join(parts, "/")
}

// Plan is the run of a package without its listed tests.
type Plan struct {
	Package string
	Skip    string // for `go test -skip`; may be empty
}

// PlanRun plans the run of the packages without the listed tests. A test of the same name in another
// package is still run. Packages are named as in the list.
func PlanRun(packages []string, entries []Entry) (plain []string, skipping []Plan) {
	for _, p := range packages {
		var tests []string
		for _, e := range entries {
			if e.Package == p {
				tests = append(tests, e.Pattern())
			}
		}
		if len(tests) == 0 {
			plain = append(plain, p)
			continue
		}
		skipping = append(skipping, Plan{Package: p, Skip: strings.Join(tests, "|")})
	}
	return plain, skipping
}
