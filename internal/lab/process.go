package lab

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"linenloom/internal/cluster"
)

// Env is the environment of a scenario.
type Env struct {
	Dir        string // scratch folder, with a path short enough for unix sockets
	Bin        string // folder of the programs built for this run
	Executable string // path of the linenlab program itself
	Seconds    int    // duration of the longest part
	FirstSeed  uint64 // the first seed of a scenario that runs by seed
	SeedCount  int    // the number of seeds
	Log        func(format string, args ...any)
}

// ServeVariable makes the linenlab program serve a baseline instead: "bare ADDR", "bareanswer ADDR BYTES" or
// "relay ADDR TARGET".
const ServeVariable = "LINENLAB_SERVE"

// Build builds the project's programs into the scratch folder.
func (e *Env) Build(ctx context.Context) error {
	e.Bin = filepath.Join(e.Dir, "bin")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", e.Bin+"/", "linenloom/cmd/linenloom", "linenloom/cmd/linenproc")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("go build, which has to run in the project's folder: %w\n%s", err, out)
	}
	return nil
}

// Process is a program under measurement.
type Process struct{ *cluster.Process }

// Start starts a program and waits until the ready text appears on its standard error.
func Start(ready string, env []string, name string, args ...string) (*Process, error) {
	p, err := cluster.Start(ready, env, name, args...)
	if err != nil {
		return nil, err
	}
	return &Process{p}, nil
}

// Reasons returns the process's log of why requests waited, were refused or failed.
func (p *Process) Reasons() (reasons []string) {
	for _, l := range p.LogLines("msg=reasons ") {
		_, reason, _ := strings.Cut(l, "msg=reasons ")
		reasons = append(reasons, reason)
	}
	return reasons
}

// CPU returns the CPU time that the process has used, to a hundredth of a second (proc(5), stat).
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0, errors.New("lab: /proc/PID/stat has too few fields")
	}
	var ticks int
	for _, f := range fields[11:13] { // user and system time
		n, err := strconv.Atoi(f)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * 10 * time.Millisecond, nil
}

// Resident returns the resident memory in kilobytes.
func (p *Process) Resident() (kb int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	_, err = fmt.Sscanf(after, "%d", &kb)
	return kb, err
}

// writeFile writes a file into the scratch folder and returns its path.
func (e *Env) writeFile(name string, text []byte) (string, error) {
	path := filepath.Join(e.Dir, name)
	return path, os.WriteFile(path, text, 0o600)
}
