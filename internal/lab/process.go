package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Env is what a scenario has to work with.
type Env struct {
	Dir     string // scratch, short enough for the paths of unix sockets
	Bin     string // the project's programs, built for this run
	Self    string // the rig's own program
	Seconds int    // how long the longest part goes on
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
type Process struct {
	cmd   *exec.Cmd
	lines chan string // closed at the end of standard error

	mu      sync.Mutex
	reasons []string // what it has logged of them, the latest last
}

// mostReasons bounds the lines about reasons that are kept.
const mostReasons = 1000

// Reasons is what the process has said of why requests waited, were refused or failed.
func (p *Process) Reasons() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reasons)
}

// Start starts a program and waits until it has said a text on standard error.
func Start(ready string, env []string, name string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(name, args...), lines: make(chan string, 256)}
	p.cmd.Env = append(os.Environ(), env...)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(p.lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			if _, why, ok := strings.Cut(in.Text(), "msg=reasons "); ok {
				p.mu.Lock()
				p.reasons = append(p.reasons[max(0, len(p.reasons)-mostReasons+1):], why)
				p.mu.Unlock()
			}
			select {
			case p.lines <- in.Text():
			default:
			}
		}
	}()
	limit := time.After(patience)
	last := ""
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				p.Kill()
				return nil, fmt.Errorf("%s ended before it was ready; it said %q", filepath.Base(name), last)
			}
			if last = line; strings.Contains(line, ready) {
				return p, nil
			}
		case <-limit:
			p.Kill()
			return nil, fmt.Errorf("%s never said %q", filepath.Base(name), ready)
		}
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	p.cmd.Wait()
}

// Signal sends it a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Stop ends it with SIGTERM.
func (p *Process) Stop() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	for range p.lines { // to the end: Wait closes the pipe
	}
	return p.cmd.Wait()
}

// CPU is the processor time that the process has used, to a hundredth of a second (proc(5), stat).
func (p *Process) CPU() (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
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
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
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
