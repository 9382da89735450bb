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

// Env is what a scenario has to work with.
type Env struct {
	Dir     string // scratch, short enough for the paths of unix sockets
	Bin     string // the project's programs, built for this run
	Self    string // the rig's own program
	Seconds int    // how long the longest part goes on
	First   uint64 // the first seed of a scenario that is played by seed
	Count   int    // how many of them
	Log     func(format string, args ...any)
}

// ServeVariable makes the rig's own program serve a baseline instead: "bare ADDR" or "relay ADDR TARGET".
const ServeVariable = "LINENLAB_SERVE"

// Build builds the project's programs into the scratch folder.
func (e *Env) Build(ctx context.Context) error {
	e.Bin = filepath.Join(e.Dir, "bin")
	cmd := exec.CommandContext(ctx, "go", "build", "-o", e.Bin+"/", "linenloom/cmd/linenloom", "linenloom/cmd/linenproc")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("build, which wants the project's folder: %w\n%s", err, out)
	}
	return nil
}

// Process is a program under measurement.
type Process struct{ *cluster.Process }

// Start starts a program and waits until it has said a text on standard error.
func Start(ready string, env []string, name string, args ...string) (*Process, error) {
	p, err := cluster.Start(ready, env, name, args...)
	if err != nil {
		return nil, err
	}
	return &Process{p}, nil
}

// Reasons is what the process has said of why requests waited, were refused or failed.
func (p *Process) Reasons() (all []string) {
	for _, l := range p.LogLines("msg=reasons ") {
		_, why, _ := strings.Cut(l, "msg=reasons ")
		all = append(all, why)
	}
	return all
}

// CPU is the processor time that the process has used, to a hundredth of a second (proc(5), stat).
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0, errors.New("lab: /proc/PID/stat is short")
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

// Resident is the resident memory in kilobytes.
func (p *Process) Resident() (kb int, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		return 0, err
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	_, err = fmt.Sscanf(after, "%d", &kb)
	return kb, err
}

// write writes a file into the scratch folder and returns its path.
func (e *Env) write(name string, text []byte) (string, error) {
	path := filepath.Join(e.Dir, name)
	return path, os.WriteFile(path, text, 0o600)
}
