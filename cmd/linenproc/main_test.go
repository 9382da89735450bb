package main

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/standin"
)

// asProgram is the environment variable that makes the test binary run the program, so that signals reach a
// separate process.
const asProgram = "LINENPROC_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

const waitTimeout = 30 * time.Second

// processor is the files of a processor and, while it runs, its process.
type processor struct {
	t                    *testing.T
	config, file, socket string
	cmd                  *exec.Cmd
	lines                chan string
	fleet                *standin.Fleet
}

func newProcessor(t *testing.T, mode string) *processor {
	t.Helper()
	fleet, err := standin.NewFleet(3, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	return newProcessorWithFleet(t, mode, fleet)
}

func newProcessorWithFleet(t *testing.T, mode string, fleet *standin.Fleet) *processor {
	t.Helper()
	dir, err := os.MkdirTemp("", "lp") // paths of unix sockets are limited to about 100 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	p := &processor{t: t, fleet: fleet, config: filepath.Join(dir, "config.json"), file: filepath.Join(dir, "op.toml"),
		socket: filepath.Join(dir, "x.sock")}
	text, err := fleet.Config("n0", "127.0.0.1:0", "8c1f30d27a5be964", 128, 512)
	if err != nil {
		t.Fatal(err)
	}
	p.write(p.config, string(text))
	p.write(p.file, fmt.Sprintf(`
[extproc]
listen = "unix:%s"
mode = %q
message_timeout = "2s"
[[extproc.map]]
methods = ["GET"]
path = "/tiles/{key}"
class = "tile-read"
[[extproc.map]]
methods = ["PUT"]
path = "/orders/{key}"
class = "pass-order"
write = true
`, p.socket, mode))
	return p
}

func (p *processor) write(path, text string) {
	p.t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
}

// start starts the program and waits until it listens.
func (p *processor) start() {
	p.t.Helper()
	self, err := os.Executable()
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(self, "-operator", p.file)
	p.cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+p.config)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	cmd := p.cmd
	p.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	lines := make(chan string, 1000)
	p.lines = lines
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			select {
			case lines <- in.Text():
			default:
			}
		}
	}()
	p.await("extproc listens")
}

func (p *processor) await(text string) {
	p.t.Helper()
	limit := time.After(waitTimeout)
	for {
		select {
		case line, ok := <-p.lines:
			if !ok {
				p.t.Fatalf("the program ended before it said %q", text)
			}
			if strings.Contains(line, text) {
				return
			}
		case <-limit:
			p.t.Fatalf("it never said %q", text)
		}
	}
}

// caller returns a caller of the processor that falls back to the others.
func (p *processor) caller(others ...*processor) *caller.Caller {
	p.t.Helper()
	targets := []string{"unix://" + p.socket}
	for _, o := range others {
		targets = append(targets, "unix://"+o.socket)
	}
	c, err := caller.Dial(targets...)
	if err != nil {
		p.t.Fatal(err)
	}
	c.Retries, c.RetryFailedFor = 4, clientTimeout/2
	p.t.Cleanup(c.Close)
	return c
}

// clients is eight clients that send requests in a loop, half of them orders.
type clients struct {
	served, processorFailed, failed, refused atomic.Int64
	late                                     atomic.Int64
	stop                                     chan struct{}
	workers                                  sync.WaitGroup
}

const clientTimeout = 3 * time.Second

func startClients(c *caller.Caller) *clients {
	started := &clients{stop: make(chan struct{})}
	for w := range 8 {
		started.workers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-started.stop:
					return
				default:
				}
				id := fmt.Sprintf("%d-%d", w, i)
				q := caller.Request{Method: "GET", Path: fmt.Sprintf("/tiles/k%d", i%50), Headers: map[string]string{"x-request-id": "r" + id}}
				if i%2 == 1 {
					q = caller.Request{Method: "PUT", Path: "/orders/o" + id, Headers: map[string]string{"x-request-id": "w" + id}, Body: []byte("one pass")}
				}
				started.send(c, q)
			}
		})
	}
	return started
}

// end stops the clients and checks that none of them exceeded its timeout.
func (l *clients) end(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.workers.Wait()
	if n := l.late.Load(); n > 0 {
		t.Errorf("%d clients waited past their time", n)
	}
}

func (l *clients) send(c *caller.Caller, q caller.Request) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	res := c.Do(ctx, q)
	if ctx.Err() != nil {
		l.late.Add(1)
	}
	switch {
	case res.Status == 200:
		l.served.Add(1)
	case res.Status == 500 || res.PassedThrough:
		l.processorFailed.Add(1)
	case res.Status == 502:
		l.failed.Add(1)
	default:
		l.refused.Add(1)
	}
}

func (p *processor) waitUntil(what string, ok func() bool) {
	p.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	p.t.Fatalf("never came about: %s", what)
}

func (p *processor) checkAtMostOnce() {
	p.t.Helper()
	ran := p.fleet.Origin.Executions()
	if len(ran) == 0 {
		p.t.Error("no order has run")
	}
	for key, n := range ran {
		if n > 1 {
			p.t.Errorf("order %s ran %d times", key, n)
		}
	}
}

// TestKilledUnderLoad kills and restarts the program under load. Each request has to be answered in time,
// and no order may run twice.
func TestKilledUnderLoad(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		t.Run(mode, func(t *testing.T) {
			p := newProcessor(t, mode)
			p.fleet.Origin.SetService(5*time.Millisecond, 0) // most orders in progress at a kill have run
			p.start()
			c := p.caller()
			c.MessageTimeout = time.Second
			running := startClients(c)
			for range 3 {
				before := running.served.Load()
				p.waitUntil("it serves", func() bool { return running.served.Load() > before+100 })
				p.cmd.Process.Kill()
				p.cmd.Wait()
				p.start()
			}
			before := running.served.Load()
			p.waitUntil("it serves again", func() bool { return running.served.Load() > before+100 })
			running.end(t)
			if running.failed.Load() == 0 {
				t.Error("no order met the kill")
			}
			p.checkAtMostOnce()
		})
	}
}

// TestRollingReplacement replaces two processors in turn under load, by SIGTERM and then by SIGKILL. SIGTERM
// must not lose, delay or fail any request; SIGKILL may only fail the orders in progress, with status 502.
func TestRollingReplacement(t *testing.T) {
	for _, mode := range []string{"answer", "route"} {
		for _, duplex := range []bool{false, true} {
			t.Run(fmt.Sprint(mode, "/duplex=", duplex), func(t *testing.T) {
				a := newProcessor(t, mode)
				b := newProcessorWithFleet(t, mode, a.fleet)
				a.fleet.Origin.SetService(3*time.Millisecond, 0)
				a.start()
				b.start()
				c := a.caller(b)
				c.MessageTimeout = time.Second
				if duplex {
					c.SetFullDuplex()
				}
				running := startClients(c)
				awaitProgress := func() {
					before := running.served.Load()
					a.waitUntil("they serve", func() bool { return running.served.Load() > before+150 })
				}
				awaitProgress()
				for _, p := range []*processor{a, b, a} {
					p.cmd.Process.Signal(syscall.SIGTERM)
					if err := p.cmd.Wait(); err != nil {
						t.Errorf("after SIGTERM it ended with %v", err)
					}
					awaitProgress()
					p.start()
					awaitProgress()
				}
				if f, d := running.processorFailed.Load(), running.failed.Load(); f+d > 0 {
					t.Errorf("SIGTERM cost %d requests their processor and failed %d", f, d)
				}
				for _, p := range []*processor{a, b, a, b} {
					p.cmd.Process.Kill()
					p.cmd.Wait()
					awaitProgress()
					p.start()
					awaitProgress()
				}
				running.end(t)
				if n := running.processorFailed.Load(); n > 0 {
					t.Errorf("%d requests ended with no processor's answer", n)
				}
				t.Logf("served %d, refused %d, failed %d", running.served.Load(), running.refused.Load(), running.failed.Load())
				a.checkAtMostOnce()
			})
		}
	}
}

// TestFrozenProcess stops the process in the middle of streams. Callers act on their message timeout and
// failure_mode_allow, no client exceeds its timeout, and after SIGCONT the process serves as before.
func TestFrozenProcess(t *testing.T) {
	for _, allow := range []bool{false, true} {
		t.Run(fmt.Sprintf("failure_mode_allow %v", allow), func(t *testing.T) {
			p := newProcessor(t, "answer")
			p.start()
			c := p.caller()
			c.MessageTimeout, c.FailureModeAllow = 200*time.Millisecond, allow
			running := startClients(c)
			p.waitUntil("it serves", func() bool { return running.served.Load() > 100 })
			p.cmd.Process.Signal(syscall.SIGSTOP)
			p.waitUntil("callers give it up", func() bool { return running.processorFailed.Load()+running.failed.Load() >= 16 })
			p.cmd.Process.Signal(syscall.SIGCONT)
			before := running.served.Load()
			p.waitUntil("it serves again", func() bool { return running.served.Load() > before+100 })
			running.end(t)
			p.checkAtMostOnce()
		})
	}
}

// TestReload checks that SIGHUP applies what can change and logs what cannot, and that an invalid file
// changes nothing and is logged with the line.
func TestReload(t *testing.T) {
	p := newProcessor(t, "answer")
	p.start()
	c := p.caller()
	c.MessageTimeout = waitTimeout
	status := func(path string) int {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return c.Do(ctx, caller.Request{Method: "GET", Path: path, Headers: map[string]string{}}).Status
	}
	if a, b := status("/tiles/k"), status("/maps/k"); a != 200 || b != 404 {
		t.Fatalf("at the start: %d, %d", a, b)
	}
	text, err := os.ReadFile(p.file)
	if err != nil {
		t.Fatal(err)
	}
	p.write(p.file, strings.Replace(string(text), `methods = ["GET"]`, `methods = 3`, 1))
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.await("op.toml:7: extproc.map[0].methods must be a list")
	if a, b := status("/tiles/k"), status("/maps/k"); a != 200 || b != 404 {
		t.Errorf("after a faulty file: %d, %d", a, b)
	}
	p.write(p.file, strings.NewReplacer("/tiles/", "/maps/", `"answer"`, `"route"`).Replace(string(text)))
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.await("keys=[extproc.mode]")
	p.await("changed=[extproc.map]")
	if a, b := status("/tiles/k"), status("/maps/k"); a != 404 || b != 200 {
		t.Errorf("after the reload: %d, %d", a, b)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.await("msg=stopped")
	if err := p.cmd.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// TestFaultyFileAtTheStart checks that an invalid file is reported by line, with status 2, before anything
// listens.
func TestFaultyFileAtTheStart(t *testing.T) {
	p := newProcessor(t, "neither")
	text, _ := os.ReadFile(p.file)
	p.write(p.file, strings.Replace(string(text), "pass-order", "no-such-class", 1))
	self, _ := os.Executable()
	for _, args := range [][]string{{"check", "-operator", p.file}, {"-operator", p.file}} {
		cmd := exec.Command(self, args...)
		cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+p.config)
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), `op.toml:4: extproc.mode is "neither"`) {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
	p.write(p.file, strings.NewReplacer("neither", "route", "pass-order", "no-such-class").Replace(string(text)))
	for _, args := range [][]string{{"check", "-operator", p.file}, {"-operator", p.file}} {
		cmd := exec.Command(self, args...)
		cmd.Env = append(os.Environ(), asProgram+"=1", "LB_CONFIG="+p.config)
		out, err := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != 2 || !strings.Contains(string(out), `op.toml:10: extproc.map[1].class is "no-such-class"`) {
			t.Errorf("%v: %v\n%s", args, err, out)
		}
	}
	if _, err := os.Stat(p.socket); err == nil {
		t.Error("a socket was opened")
	}
}
