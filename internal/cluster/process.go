package cluster

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// WaitTimeout bounds every wait for a condition. Only a failing test waits that long.
const WaitTimeout = 20 * time.Second

// maxLogLines bounds the log lines that are kept for a process.
const maxLogLines = 20000

// Process is a running program.
type Process struct {
	cmd    *exec.Cmd
	mu     sync.Mutex
	lines  []string
	logged chan struct{} // closed and replaced on each line
	done   chan struct{}
}

// Start starts a program and waits until a text appears in its log on standard error.
func Start(ready string, env []string, name string, args ...string) (*Process, error) {
	process := &Process{cmd: exec.Command(name, args...), logged: make(chan struct{}), done: make(chan struct{})}
	process.cmd.Env = append(os.Environ(), env...)
	out, err := process.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(process.done)
		in := bufio.NewScanner(out)
		in.Buffer(nil, 1<<20)
		for in.Scan() {
			process.mu.Lock()
			process.lines = append(process.lines[max(0, len(process.lines)-maxLogLines+1):], in.Text())
			close(process.logged)
			process.logged = make(chan struct{})
			process.mu.Unlock()
		}
		process.cmd.Wait()
	}()
	if _, err := process.WaitForLog(ready, WaitTimeout); err != nil {
		process.Kill()
		return nil, fmt.Errorf("%s: %w", filepath.Base(name), err)
	}
	return process, nil
}

// WaitForLog waits until a text appears in the log, and returns the first line with it.
func (p *Process) WaitForLog(text string, within time.Duration) (string, error) {
	timeout := time.After(within)
	for {
		p.mu.Lock()
		logged := p.logged
		last := ""
		for _, line := range p.lines {
			if last = line; strings.Contains(line, text) {
				p.mu.Unlock()
				return line, nil
			}
		}
		p.mu.Unlock()
		select {
		case <-logged:
		case <-p.done:
			return "", fmt.Errorf("process ended before logging %q; its last line is %q", text, last)
		case <-timeout:
			return "", fmt.Errorf("process did not log %q in time; its last line is %q", text, last)
		}
	}
}

// LogLines returns the log lines that contain a text.
func (p *Process) LogLines(text string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(p.lines), func(l string) bool { return !strings.Contains(l, text) })
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Kill kills the process, even while it is paused.
func (p *Process) Kill() {
	p.cmd.Process.Kill()
	<-p.done
}

// Exited reports whether the process has exited, and its state.
func (p *Process) Exited() (ended bool, how *os.ProcessState) {
	select {
	case <-p.done:
		return true, p.cmd.ProcessState
	default:
		return false, nil
	}
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Stop ends the process with SIGTERM.
func (p *Process) Stop() error {
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(WaitTimeout):
		p.Kill()
		return fmt.Errorf("process did not end on SIGTERM")
	}
	if s := p.cmd.ProcessState; !s.Success() {
		return fmt.Errorf("process ended with %v", s)
	}
	return nil
}
