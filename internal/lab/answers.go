package lab

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/standin"
)

// answerRounds is how often each case of the answers scenario is played.
const answerRounds = 20

// mostLate is how long after the last outcome a final answer may come.
const mostLate = 50 * time.Millisecond

// answerCase is a way for a request to be given up.
type answerCase struct {
	name  string
	write bool
	// fault stages it on a fleet that is well.
	fault func(*standin.Fleet)
	want  string // what the answer begins with
	// wait is how long the client waits, where the answer is due by then; 0: until long after.
	wait time.Duration
	some bool   // some are served: those don't count
	only string // the front that it can be staged on; "": all
}

var answerCases = []answerCase{
	{name: "order, the origin answers 500", write: true, fault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Failing) }, want: "-ERR"},
	{name: "order, the origin resets once it has run", write: true, fault: func(f *standin.Fleet) { f.Origin.SetResetAfterRun(true) }, want: "-ERR"},
	{name: "order, the origin turns it away each time", write: true, fault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Busy) }, want: "-BUSY"},
	{name: "read, every box fails", write: false, fault: func(f *standin.Fleet) {
		for _, b := range f.Caches {
			b.SetFault(standin.Failing)
		}
	}, want: "-BUSY"},
	{name: "read, missed, and the origin answers 500", write: false, fault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Failing) }, want: "-BUSY"},
	{name: "read, every box finds fault with it", fault: func(f *standin.Fleet) {
		for _, b := range f.Caches {
			b.SetFault(standin.Rejecting)
		}
	}, want: "-ERR", only: "RESP2 answer"},
	{name: "read, every box is cold: the cold budget", fault: func(f *standin.Fleet) {
		for _, m := range f.Registry.List().Members {
			if m.Flavor == "box" {
				m.UpSinceMS = float64(time.Now().UnixMilli())
				f.Registry.Update(m)
			}
		}
	}, want: "-BUSY", some: true},
	{name: "read, every box stalls: out of its client's time", fault: func(f *standin.Fleet) {
		for _, b := range f.Caches {
			b.SetFault(standin.Stall)
		}
	}, want: "-BUSY", wait: 150 * time.Millisecond, only: "RESP2"},
	{name: "read, missed, and the origin resets", write: false, fault: func(f *standin.Fleet) { f.Origin.SetFault(standin.Reset) }, want: "-BUSY"},
}

// Answers is the scenario of requests that are given up: how long after the last outcome the client has its final answer,
// on both fronts, at light load.
func Answers(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "answers"}
	for _, front := range []string{"RESP2", "answer", "route"} {
		e.Log("answers: %s", front)
		worst := time.Duration(0)
		for i, c := range answerCases {
			if c.only != "" && !strings.Contains(c.only, front) {
				continue
			}
			late, err := e.answerTimes(ctx, fmt.Sprint("answers-", front, i), front, c)
			if err != nil {
				return r, fmt.Errorf("%s: %s: %w", front, c.name, err)
			}
			r.Tell(front+": "+c.name+": worst, ms", float64(late)/float64(time.Millisecond))
			worst = max(worst, late)
		}
		r.AtMost(front+": worst of all, ms after the last outcome", float64(worst)/float64(time.Millisecond),
			float64(mostLate)/float64(time.Millisecond))
	}
	for _, c := range crowdCases {
		e.Log("answers: %s", c.name)
		late, n, err := c.play(e)
		if err != nil {
			return r, fmt.Errorf("%s: %w", c.name, err)
		}
		r.Tell(c.name+": reads given up", float64(n))
		r.AtMost(c.name+": worst, ms after it was due", float64(late)/float64(time.Millisecond),
			float64(mostLate)/float64(time.Millisecond))
	}
	return r, ctx.Err()
}

// answerTimes plays a case and tells the longest time from the last outcome to the final answer.
func (e *Env) answerTimes(ctx context.Context, name, front string, c answerCase) (worst time.Duration, err error) {
	fleet, err := standin.NewFleet(3, 64)
	if err != nil {
		return 0, err
	}
	defer fleet.Close()
	var p *Process
	var ask func(key, id string) (string, error)
	if front == "RESP2" {
		var addr string
		if addr, p, err = e.proxy(name, fleet, 64, 512); err != nil {
			return 0, err
		}
		rc, err := dialRedis(addr)
		if err != nil {
			return 0, err
		}
		defer rc.conn.Close()
		ask = func(key, id string) (string, error) {
			if c.write {
				return rc.ask("OBJ.SET", key, id, "c=pass-order,d=3000", "one pass")
			}
			wait := cmp.Or(c.wait, 3*time.Second)
			if strings.HasPrefix(key, "warm") {
				wait = 3 * time.Second
			}
			return rc.ask("OBJ.GET", key, id, fmt.Sprint("c=tile-read,d=", wait.Milliseconds()))
		}
	} else {
		addr, err := standin.FreeAddr()
		if err != nil {
			return 0, err
		}
		if p, err = e.processor(name, fleet, "127.0.0.1:0", addr, front, "200ms"); err != nil {
			return 0, err
		}
		cl, err := caller.Dial(addr)
		if err != nil {
			return 0, err
		}
		defer cl.Close()
		cl.Retries, cl.MessageTimeout = 4, patience
		ask = func(key, id string) (string, error) {
			q := caller.Request{Method: "GET", Path: "/tiles/" + key, Headers: map[string]string{"x-request-id": id}}
			if c.write {
				q.Method, q.Path, q.Body = "PUT", "/orders/"+key, []byte("one pass")
			}
			res := cl.Do(ctx, q)
			switch {
			case res.Err != nil:
				return "", res.Err
			case res.Status == 503 || res.Status == 429:
				return "-BUSY", nil
			case res.Status == 502:
				return "-ERR", nil
			}
			return fmt.Sprint(res.Status), nil
		}
	}
	defer p.Kill()
	warmed := 0
	if err := eventually("one is served", func() bool {
		warmed++
		answer, err := ask(fmt.Sprint("warm", warmed), fmt.Sprint(name, "-w", warmed))
		return err == nil && !strings.HasPrefix(answer, "-")
	}); err != nil {
		return 0, err
	}
	c.fault(fleet)
	given := 0
	for i := 0; given < answerRounds; i++ {
		if i == 10*answerRounds {
			return 0, fmt.Errorf("only %d of %d answers are %s", given, i, c.want)
		}
		// With time between them, as at light load; the retry budget is not what is measured.
		time.Sleep(20 * time.Millisecond)
		asked := time.Now()
		last := asked // its coming counts too, where it is refused unsent
		answer, err := ask(fmt.Sprint("a", i), fmt.Sprint(name, "-", i))
		heard := time.Now()
		if err != nil {
			return 0, err
		}
		if c.some && !strings.HasPrefix(answer, "-") {
			continue
		}
		given++
		if !strings.HasPrefix(answer, c.want) {
			return 0, fmt.Errorf("answered %q, want %s", answer, c.want)
		}
		if at := fleet.LastEnded(); at.After(last) {
			last = at
		}
		if c.wait > 0 { // boxes that stall never end: it is due when its client gives up
			last = asked.Add(c.wait)
		}
		worst = max(worst, heard.Sub(last))
	}
	return worst, nil
}
