// Command cmd runs all tests but those that KNOWN-RED.txt lists, then those, and prints their verdicts. It fails if any other test fails, and if a
// listed one is not there, or passes though it is not listed as one that fails at times.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"linenloom/internal/knownred"
)

// listPath is the list, from the root of the project.
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

// runEntry runs a listed test, or looks for the program of a listed command, which is too long for every run, and prints the verdict.
func runEntry(e knownred.Entry) error {
	if e.Command != "" {
		fmt.Printf("known red: %s is not run here (%s, %s)\n", e.Command, e.Cause, e.Issue)
		return checkProgram(e.Command)
	}
	// A listed test fails by itself: its exit status says nothing more than its output does.
	output, _ := exec.Command("go", "test", "-race", "-count=1", "-v", "-run", e.Pattern(), e.Package).CombinedOutput()
	verdict := knownred.Judge(e.Test, output)
	fmt.Printf("known red: %s %s (%s, %s)\n", e.Name(), verdict, e.Cause, e.Issue)
	if e.Contradicts(verdict) {
		return fmt.Errorf("%s %s: the list is wrong", e.Name(), verdict)
	}
	return nil
}

// checkProgram tells what is wrong with a command of this project's. The operators' bench is not there in every run.
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

// runUnlisted tests everything that is not listed.
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
