// Command cmd runs all tests except those listed in KNOWN-RED.txt, then the listed ones, and prints their
// verdicts. It fails if any other test fails, and if a listed test doesn't exist, or passes without being
// listed as one that fails at times.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"linenloom/internal/knownred"
)

// listPath is the path of the list from the root of the project.
const listPath = "KNOWN-RED.txt"

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "known-red:", err)
		os.Exit(1)
	}
}

func run() error {
	list, err := os.Open(listPath)
	if err != nil {
		return err
	}
	defer list.Close()
	entries, err := knownred.Parse(list)
	if err != nil {
		return fmt.Errorf("%s: %w", listPath, err)
	}
	packages, err := allPackages()
	if err != nil {
		return err
	}
	failures := runUnlisted(packages, entries)
	for _, e := range entries {
		if err := runEntry(e); err != nil {
			failures = append(failures, err)
		}
	}
	return errors.Join(failures...)
}

// runEntry runs a listed test and prints the verdict. Listed commands take too long for every run; of
// those it only checks that the program exists.
func runEntry(e knownred.Entry) error {
	if e.Command != "" {
		fmt.Printf("known red: %s is not run here (%s, %s)\n", e.Command, e.Cause, e.Issue)
		return checkProgram(e.Command)
	}
	// A listed test is expected to fail, so the exit status adds nothing to the output.
	output, _ := exec.Command("go", "test", "-race", "-count=1", "-v", "-run", e.Pattern(), e.Package).CombinedOutput()
	verdict := knownred.Judge(e.Test, output)
	fmt.Printf("known red: %s %s (%s, %s)\n", e.Name(), verdict, e.Cause, e.Issue)
	if e.Contradicts(verdict) {
		return fmt.Errorf("%s %s: the list is wrong", e.Name(), verdict)
	}
	return nil
}

// checkProgram returns an error if a command names a program of this project that doesn't exist. The
// operators' bench isn't available in every run.
func checkProgram(command string) error {
	program, ok := strings.CutPrefix(command, "go run ")
	if !ok {
		return nil
	}
	program, _, _ = strings.Cut(program, " ")
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%s names no program: %w", command, err)
	}
	return nil
}

// allPackages names the packages of the project as the list does.
func allPackages() ([]string, error) {
	output, err := exec.Command("go", "list", "-f", "{{.Dir}}", "./...").Output()
	if err != nil {
		return nil, fmt.Errorf("listing the packages: %w", err)
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	var packages []string
	for dir := range strings.FieldsSeq(string(output)) {
		packages = append(packages, "."+strings.TrimPrefix(dir, root))
	}
	return packages, nil
}

// runUnlisted runs all tests that are not listed.
func runUnlisted(packages []string, entries []knownred.Entry) (failures []error) {
	plain, skipping := knownred.PlanRun(packages, entries)
	if err := goTest(plain...); err != nil {
		failures = append(failures, err)
	}
	for _, plan := range skipping {
		if err := goTest("-skip", plan.Skip, plan.Package); err != nil {
			failures = append(failures, err)
		}
	}
	return failures
}

func goTest(args ...string) error {
	cmd := exec.Command("go", append([]string{"test", "-race"}, args...)...)
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("go test: %w", err)
	}
	return nil
}
