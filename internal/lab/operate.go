package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"syscall"
	"time"

	"linenloom/internal/standin"
)

const (
	operateClients = 24
	operateRounds  = 6
	silentCallers  = 40
	// bindsAfter is when clients may name a new class, after SIGHUP, and drainGrace when nothing more may go to a box that is
	// called out, after the yes.
	bindsAfter = 1200 * time.Millisecond
	drainGrace = 250 * time.Millisecond
)

// Operate is the scenario of daily operation under load: boxes called out and back, a retuning, and a process that takes
// over from another, each round; in every other one the old process is killed instead of stopped.
func Operate(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "operate"}
	fleet, err := standin.NewFleet(4, 512)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	listen, err := standin.FreeAddr()
	if err != nil {
		return r, err
	}
	o := &operation{e: e, r: r, fleet: fleet, door: &Door{Addr: listen}, class: "tile-read"}
	if err := o.configure(); err != nil {
		return r, err
	}
	if err := o.start(); err != nil {
		return r, err
	}
	defer func() { o.process.Kill() }()
	o.door.Open(operateClients, 200, 10)
	closed := false
	defer func() {
		if !closed {
			o.door.Close()
		}
	}()
	if err := o.door.Progress(500); err != nil {
		return r, err
	}
	o.door.Pause()
	for round := range operateRounds {
		e.Log("operate: round %d of %d", round+1, operateRounds)
		if err := o.round(round); err != nil {
			return r, fmt.Errorf("round %d: %w", round+1, err)
		}
		if ctx.Err() != nil {
			return r, ctx.Err()
		}
	}
	o.door.Close()
	closed = true

	d := o.door
	r.Tell("requests served", float64(d.Served.Load()))
	r.Tell("requests that crossed the close of a connection, and went out again", float64(d.Crossed.Load()))
	r.Equal("connections refused, processes stopped", float64(o.stopped.shut), 0)
	r.Equal("connections broken under a request, processes stopped", float64(o.stopped.broken), 0)
	r.Equal("refused or failed, processes stopped", float64(o.stopped.turned), 0)
	r.Tell("connections refused, processes killed", float64(o.killed.shut))
	r.AtMost("connections broken, processes killed: one for each client and kill", float64(o.killed.broken), operateClients*operateRounds/2)
	r.Equal("orders that have run, unanswered, processes stopped", float64(o.unanswered), 0)
	r.Tell("orders without an answer, processes killed", float64(o.unsure))
	r.Equal("late", float64(d.Late.Load()), 0)
	twice := 0
	for _, n := range fleet.Origin.Executions() {
		if n > 1 {
			twice++
		}
	}
	r.Equal("orders run twice", float64(twice), 0)
	r.Equal("requests to a box that is out, 250 ms after the yes", float64(o.astray), 0)
	r.Equal("calls answered wrongly", float64(o.wrong), 0)
	r.AtMost("slowest call, ms", ms(o.slowest), 1000)
	r.Tell("longest time without an answer to anybody, ms", ms(o.pause))
	if err := crossings(e, r); err != nil {
		return r, err
	}
	return r, successors(ctx, e, r)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// met is what the door's clients met in some rounds.
type met struct{ shut, broken, turned int64 }

type operation struct {
	e       *Env
	r       *Report
	fleet   *standin.Fleet
	door    *Door
	process *Process
	calls   string // the operators' address of the process
	path    string
	class   string

	stopped, killed met
	astray, wrong   int
	unanswered      int // orders that a stopped process has carried out and not answered
	unsure          int // orders without an answer at a kill
	slowest, pause  time.Duration
}

// configure writes the configuration, with the class of the round beside the usual ones.
func (o *operation) configure() error {
	text, err := o.fleet.Config("operate", o.door.Addr, "8c1f30d27a5be964", 64, 384)
	if err != nil {
		return err
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		return err
	}
	s := c["settings"].(map[string]any)
	// The boxes of a round are not restarted, and would count as cold together: a fleet all cold is not what is measured.
	s["rules"].(map[string]any)["cold_ms"] = ms(time.Second)
	if o.class != "tile-read" {
		classes := s["classes"].([]any)
		added := map[string]any{}
		for k, v := range classes[0].(map[string]any) {
			added[k] = v
		}
		added["name"] = o.class
		s["classes"] = append(classes, added)
	}
	if text, err = json.Marshal(c); err != nil {
		return err
	}
	o.path, err = o.e.write("operate.json", text)
	return err
}

// start starts a process beside the one that serves, and waits until it says yes.
func (o *operation) start() error {
	calls, err := standin.FreeAddr()
	if err != nil {
		return err
	}
	p, err := Start("msg=ready", []string{"LB_CONFIG=" + o.path, "LB_MGMT=" + calls, "TMPDIR=" + filepath.Dir(o.path)},
		filepath.Join(o.e.Bin, "linenloom"))
	if err != nil {
		return err
	}
	o.process, o.calls = p, calls
	return eventually("the process says yes", func() bool {
		status, _ := Call("GET", calls, "/status", "")
		return status == 200
	})
}

// call makes a call that is owed a status.
func (o *operation) call(method, path, body string, want int) {
	got, took := Call(method, o.calls, path, body)
	if got != want {
		o.wrong++
	}
	o.slowest = max(o.slowest, took)
}

func (o *operation) round(n int) error {
	before := o.count()
	box := o.fleet.Caches[n%len(o.fleet.Caches)]
	var silent []net.Conn
	for i := range silentCallers {
		conn, err := net.Dial("tcp", o.calls)
		if err != nil {
			return err
		}
		if silent = append(silent, conn); i%2 == 0 {
			io.WriteString(conn, "PUT /maintenance/enter HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\n\r\ns-")
		}
	}
	o.call("PUT", "/maintenance/enter", box.ID, 200)
	o.call("PUT", "/maintenance/enter", box.ID, 200)
	o.call("PUT", "/maintenance/enter", "nobody", 404)
	for _, c := range silent {
		c.Close()
	}
	time.Sleep(drainGrace)
	out := box.Received()

	// A class comes with the new file; clients name it once it binds.
	o.class = fmt.Sprint("round-", n)
	if err := o.configure(); err != nil {
		return err
	}
	o.process.Signal(syscall.SIGHUP)
	time.Sleep(bindsAfter)
	named := o.class
	o.door.SetClass(named)
	if err := o.door.Progress(300); err != nil {
		return err
	}

	old := o.process
	if err := o.start(); err != nil {
		return err
	}
	if err := o.door.Progress(300); err != nil {
		return err
	}
	kill := n%2 == 1
	if kill {
		old.Kill()
	} else if err := old.Stop(); err != nil {
		return fmt.Errorf("the process that was followed: %w", err)
	}
	if err := o.door.Progress(500); err != nil {
		return err
	}
	o.astray += box.Received() - out
	o.call("PUT", "/maintenance/exit", box.ID, 200)
	back := box.Received()
	if err := eventually("the box is used again", func() bool { return box.Received() > back }); err != nil {
		return err
	}
	o.door.SetClass("tile-read") // the next file drops this round's
	if err := o.door.Progress(200); err != nil {
		return err
	}
	sum := &o.stopped
	if kill {
		sum = &o.killed
	}
	left := o.door.Left()
	if kill {
		o.unsure += len(left)
	} else {
		ran := o.fleet.Origin.Executions()
		for _, key := range left {
			o.unanswered += ran[key]
		}
	}
	after := o.count()
	if after.turned > before.turned {
		o.e.Log("operate: turned away or failed: %v; %v", old.Reasons(), o.process.Reasons())
	}
	sum.shut += after.shut - before.shut
	sum.broken += after.broken - before.broken
	sum.turned += after.turned - before.turned
	o.pause = max(o.pause, o.door.Pause())
	return nil
}

func (o *operation) count() met {
	d := o.door
	return met{d.Shut.Load(), d.Broken.Load(), d.Refused.Load() + d.Failed.Load()}
}
