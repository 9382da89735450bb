package lab

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/standin"
)

const doorRounds = 4

// doorTable is what the operator's file says of an authority.
func doorTable(a *standin.Authority) string {
	return fmt.Sprintf("[identity.tls]\ncert = %q\nkey = %q\nroots = %q\nhandshakes_per_s = 5000\n[[identity.certificate]]\ndns = \"*.acme.example\"\n"+
		"tenant = \"acme\"\n", a.Path("cert.pem"), a.Path("key.pem"), a.Path("roots.pem"))
}

const doorName = "one.acme.example"

// dialDoor is dialProven over TLS.
func dialDoor(addr, name string, cfg *tls.Config) (*proven, error) {
	conn, err := tls.Dial("tcp", addr, cfg)
	if err != nil {
		return nil, err
	}
	return &proven{conn: conn, in: bufio.NewReader(conn), name: name}, nil
}

// doors is callers proven by certificates: what TLS costs, and roots that change under load.
func (e *Env) doors(r *Report, fleet *standin.Fleet, bare string, plain *Process) error {
	a, err := standin.NewAuthority(e.Dir, doorRounds+1)
	if err != nil {
		return err
	}
	addr, p, err := e.guarded("doors", fleet, "[identity]\n[[identity.tenant]]\nname = \"acme\"\n"+doorTable(a))
	if err != nil {
		return err
	}
	defer p.Kill()
	if err := e.doorCost(r, a, addr, p, bare, plain); err != nil {
		return err
	}
	if err := e.changeRoots(r, a, addr); err != nil {
		return err
	}
	return p.Stop()
}

// doorCost compares reads over TLS, on connections that stand and on one for each read, with those of a proxy that speaks plainly.
func (e *Env) doorCost(r *Report, a *standin.Authority, addr string, p *Process, bare string, plain *Process) error {
	e.Log("identity: what TLS costs")
	cfg, err := a.ClientConfig(a.Roots[0], doorName)
	if err != nil {
		return err
	}
	reads := func(name string, dial func(name string) (*proven, error), each bool) func(int) (func(int) error, func(), error) {
		return func(w int) (func(int) error, func(), error) {
			name := fmt.Sprintf("%s%d-%d", name, w, time.Now().UnixNano())
			c, err := dial(name)
			if err != nil {
				return nil, nil, err
			}
			return func(i int) error {
				if each && i > 0 {
					c.conn.Close()
					n := c.n
					if c, err = dial(name); err != nil {
						return err
					}
					c.n = n
				}
				line, err := c.read((w*7919+i)%scaleKeys, "")
				if err == nil && line[0] != '$' {
					err = fmt.Errorf("answered %q", line)
				}
				return err
			}, func() { c.conn.Close() }, nil
		}
	}
	open := func(name string) (*proven, error) { return dialProven(bare, name) }
	secure := func(name string) (*proven, error) { return dialDoor(addr, name, cfg) }
	var without, with, withoutEach, withEach Rate
	const rounds = 4
	d := time.Duration(e.Seconds) * time.Second / (4 * rounds)
	for range rounds {
		for _, part := range []struct {
			rate *Rate
			p    *Process
			dial func(string) (*proven, error)
			each bool
		}{{&without, plain, open, false}, {&with, p, secure, false}, {&withoutEach, plain, open, true}, {&withEach, p, secure, true}} {
			got, err := loop(part.p, identityWorkers, d, reads("door", part.dial, part.each))
			if err != nil {
				return fmt.Errorf("TLS %v, a connection for each %v: %w", part.p == p, part.each, err)
			}
			part.rate.add(got)
		}
	}
	r.Tell("TLS: reads a CPU second, of those in plain text", with.PerCPU()/without.PerCPU())
	r.Tell("TLS: connections with one read each, of those in plain text, a CPU second", withEach.PerCPU()/withoutEach.PerCPU())
	r.Tell("TLS: CPU a handshake, us", 1e6/withEach.PerCPU()-1e6/withoutEach.PerCPU())
	return nil
}

// changeRoots changes the roots several times while callers go on: each takes the next root's certificate while both count, as long as
// its connection stands or when it is told of its end. What is asked on a connection is answered, or finds its end before it was read.
func (e *Env) changeRoots(r *Report, a *standin.Authority, addr string) error {
	e.Log("identity: roots that change under load")
	var use, gone atomic.Int32 // the root to come by; those before it don't count
	var served, refused, told, ends, shut atomic.Int64
	var failed atomic.Pointer[error]
	stop := make(chan struct{})
	var g sync.WaitGroup
	for w := range identityWorkers {
		g.Go(func() {
			fail := func(err error) { failed.CompareAndSwap(nil, &err) }
			for n := 0; ; n++ {
				by := use.Load()
				cfg, err := a.ClientConfig(a.Roots[by], doorName)
				if err != nil {
					fail(err)
					return
				}
				c, err := dialDoor(addr, fmt.Sprintf("roots%d-%d", w, n), cfg)
				if err != nil {
					shut.Add(1)
					fail(err)
					return
				}
				for i := 0; ; i++ {
					select {
					case <-stop:
						c.conn.Close()
						return
					default:
					}
					line, err := c.read((w*7919+i)%scaleKeys, "")
					if err != nil { // the end of the connection; a read is safe to send again
						ends.Add(1)
						break
					}
					if line[0] == '$' {
						served.Add(1)
						continue
					}
					if strings.HasPrefix(line, "-WRONGPASS") && by < gone.Load() { // told by an answer before the end
						told.Add(1)
						ends.Add(1)
						break
					}
					if !strings.HasPrefix(line, "-BUSY") {
						refused.Add(1)
					}
				}
				c.conn.Close()
			}
		})
	}
	worst := time.Duration(0)
	late := int64(0)
	each := max(3*time.Second, time.Duration(e.Seconds)*time.Second/doorRounds)
	for round := range doorRounds {
		now, next := a.Roots[round], a.Roots[round+1]
		cfg, err := a.ClientConfig(now, doorName)
		if err != nil {
			return err
		}
		old, err := dialDoor(addr, fmt.Sprint("old", round), cfg)
		if err != nil {
			return err
		}
		if err := a.PublishRoots(now, next); err != nil {
			return err
		}
		for end := time.Now().Add(each / 2); time.Now().Before(end); time.Sleep(200 * time.Millisecond) { // longer than a process takes to look
			if _, err := old.read(1, ""); err != nil { // one that stands idle is closed for that, and would be taken for the root's end
				return fmt.Errorf("a connection by a root that is in force: %w", err)
			}
		}
		use.Store(int32(round + 1))
		gone.Store(int32(round + 1))
		if err := a.PublishRoots(next); err != nil {
			return err
		}
		since := time.Now()
		for ended := false; !ended; {
			line, err := old.read(1, "")
			switch {
			case err != nil:
				ended = true
			case time.Since(since) > patience:
				return fmt.Errorf("a connection by a root that is gone stands for good, answered %q", line)
			}
		}
		worst = max(worst, time.Since(since))
		old.conn.Close()
		for range 10 {
			if c, err := dialDoor(addr, "late", cfg); err == nil {
				if line, err := c.read(1, ""); err == nil && line[0] == '$' {
					late++
				}
				c.conn.Close()
			}
		}
		time.Sleep(each / 2)
	}
	close(stop)
	g.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	r.Tell("roots: requests served", float64(served.Load()))
	r.Tell("roots: connections ended", float64(ends.Load()))
	r.Tell("roots: of these, told by an answer first", float64(told.Load()))
	r.Equal("roots: valid requests turned away", float64(refused.Load()), 0)
	r.Equal("roots: valid connections turned away", float64(shut.Load()), 0)
	r.Equal("roots: connections by a root that is gone, once one was ended", float64(late), 0)
	r.AtMost("roots: from the file's replacement to a connection's end, ms", float64(worst)/float64(time.Millisecond), 1400)
	return nil
}

// proofCostAtProcessor compares exchanges with the external processor by a token in each call with those at one that asks nobody.
func (e *Env) proofCostAtProcessor(ctx context.Context, r *Report, is *issuer, fleet *standin.Fleet) error {
	e.Log("identity: what a proof costs at the processor")
	token, err := is.token("")
	if err != nil {
		return err
	}
	var rates [2]Rate
	var procs [2]*Process
	var callers [2]*caller.Caller
	for k, more := range []string{"", fmt.Sprintf("[identity]\nkeys = %q\nissuer = \"lab\"\naudience = \"lab\"\n[[identity.tenant]]\nname = \"acme\"\n", is.file)} {
		socket := fmt.Sprintf("%s/proof-%d.sock", e.Dir, k)
		p, err := e.processorWith(fmt.Sprint("proof-", k), fleet, "127.0.0.1:0", OperatorFile("unix:"+socket, "answer", "20s")+more)
		if err != nil {
			return err
		}
		defer p.Kill()
		c, err := caller.Dial("unix://" + socket)
		if err != nil {
			return err
		}
		defer c.Close()
		c.MessageTimeout = patience
		procs[k], callers[k] = p, c
	}
	const rounds = 4
	var ids atomic.Int64
	for range rounds {
		for k := range procs {
			got, err := loop(procs[k], identityWorkers, time.Duration(e.Seconds)*time.Second/(2*rounds), func(w int) (func(int) error, func(), error) {
				return func(i int) error {
					q := caller.Request{Method: "GET", Path: fmt.Sprintf("/tiles/%016x", (w*7919+i)%scaleKeys+1),
						Headers: map[string]string{"x-request-id": fmt.Sprint("q", ids.Add(1))}}
					if k == 1 {
						q.Headers["authorization"] = "Bearer " + token
					}
					res := callers[k].Do(ctx, q)
					if res.Err == nil && res.Status != 200 {
						return fmt.Errorf("status %d: %s", res.Status, res.Body)
					}
					return res.Err
				}, func() {}, nil
			})
			if err != nil {
				return fmt.Errorf("processor %d: %w", k, err)
			}
			rates[k].add(got)
		}
	}
	r.AtLeast("processor: by a token seen before, exchanges a CPU second of those without", rates[1].PerCPU()/rates[0].PerCPU(), 0.9)
	return nil
}
