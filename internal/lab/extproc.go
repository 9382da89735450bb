package lab

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/extproc/caller"
	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

// boxReader reads a box's answers whole, so that a relay is measured on the same exchanges as the proxy.
type boxReader struct{ in *bufio.Reader }

func newBoxReader(conn net.Conn) *boxReader { return &boxReader{bufio.NewReader(conn)} }

func (b *boxReader) ask(c *redisClient, key, id string) error {
	out := resp.AppendArray(c.buf[:0], 4)
	for _, w := range []string{"OBJ.GET", key, id, "c=tile-read,d=3000"} {
		out = resp.AppendBulk(out, w)
	}
	c.buf = out
	c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := c.conn.Write(out); err != nil {
		return err
	}
	for range 4 { // the array's head, the value, how it went, the report
		line, err := b.in.ReadSlice('\n')
		if err != nil {
			return err
		}
		var n int
		if line[0] == '$' {
			if _, err := fmt.Sscanf(string(line), "$%d", &n); err != nil {
				return err
			}
			if n >= 0 {
				if _, err := b.in.Discard(n + 2); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// keysInLoad is how many keys the loads read; every box holds them all.
const keysInLoad = 200

// loadedFleet is a fleet whose every box holds the values of so many keys.
func loadedFleet(boxes, size, held int) (*standin.Fleet, error) {
	fleet, err := standin.NewFleet(boxes, size)
	if err != nil {
		return nil, err
	}
	keys := make([]string, held)
	for i := range keys {
		keys[i] = fmt.Sprint("k", i)
	}
	fleet.Fill(keys...)
	return fleet, nil
}

// processor starts linenproc before a fleet.
func (e *Env) processor(name string, fleet *standin.Fleet, redis, listen, mode, messageTimeout string) (*Process, error) {
	return e.processorWith(name, fleet, redis, OperatorFile(listen, mode, messageTimeout))
}

func (e *Env) processorWith(name string, fleet *standin.Fleet, redis, operator string) (*Process, error) {
	text, err := fleet.Config(name, redis, "8c1f30d27a5be964", 192, 1024)
	if err != nil {
		return nil, err
	}
	config, err := e.write(name+".json", text)
	if err != nil {
		return nil, err
	}
	file, err := e.write(name+".toml", []byte(operator))
	if err != nil {
		return nil, err
	}
	return Start("extproc listens", []string{"LB_CONFIG=" + config}, e.Bin+"/linenproc", "-operator", file)
}

// ExtProc is the scenario of the external processor: the same choices as RESP2's, the program killed under load, and
// what a call costs.
func ExtProc(ctx context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "extproc"}
	for _, part := range []struct {
		name string
		run  func(context.Context, *Env, *Report) error
	}{{"choices", sameChoices}, {"kill", killed}, {"cost", costs}} {
		e.Log("extproc: %s", part.name)
		if err := part.run(ctx, e, r); err != nil {
			return r, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return r, nil
}

func sameChoices(_ context.Context, _ *Env, r *Report) error {
	const requests = 300
	var g sync.WaitGroup
	kinds := []struct {
		name, mode    string
		redis, duplex bool
	}{{"", "answer", true, false}, {"answer", "answer", false, false}, {"route", "route", false, false},
		{"answer in full duplex", "answer", false, true}, {"route in full duplex", "route", false, true}}
	plays, errs := make([]Choices, len(kinds)), make([]error, len(kinds))
	for i, c := range kinds {
		g.Go(func() { plays[i], errs[i] = Play(c.mode, c.duplex, requests, func(int) bool { return c.redis }) })
	}
	g.Wait()
	for i, c := range kinds {
		name := c.name
		if errs[i] != nil {
			return errs[i]
		}
		if i == 0 {
			r.Tell("choices of the module, by RESP2", float64(len(plays[0].Sends)))
			continue
		}
		differ := max(len(plays[i].Sends), len(plays[0].Sends))
		for k := range min(len(plays[i].Sends), len(plays[0].Sends)) {
			if plays[i].Sends[k] == plays[0].Sends[k] {
				differ--
			}
		}
		if !slices.Equal(plays[i].Ends, plays[0].Ends) {
			differ++
		}
		r.Equal("choices by "+name+" that differ", float64(differ), 0)
	}
	return nil
}

// killed sends 500 requests a second through a caller for the scenario's time, in each mode, while the processor is
// killed and started again now and then; once as most callers send bodies, and once in full duplex.
func killed(ctx context.Context, e *Env, r *Report) error {
	for _, duplex := range []bool{false, true} {
		if err := killedWith(ctx, e, r, duplex); err != nil {
			return err
		}
	}
	return nil
}

func killedWith(ctx context.Context, e *Env, r *Report, duplex bool) error {
	how := ""
	if duplex {
		how = " in full duplex"
	}
	type outcome struct {
		requests, answers, late, handKilled, served, failed, refused int64
		twice, kills                                                 int
		err                                                          error
	}
	var g sync.WaitGroup
	modes := []string{"answer", "route"}
	out := make([]outcome, len(modes))
	for k, mode := range modes {
		g.Go(func() {
			o := &out[k]
			o.err = func() error {
				fleet, err := loadedFleet(4, 512, keysInLoad)
				if err != nil {
					return err
				}
				defer fleet.Close()
				fleet.Origin.SetService(5*time.Millisecond, 0)
				socket := fmt.Sprintf("%s/kill-%s-%v.sock", e.Dir, mode, duplex)
				p, err := e.processor("kill-"+mode, fleet, "127.0.0.1:0", "unix:"+socket, mode, "200ms")
				if err != nil {
					return err
				}
				defer func() { p.Kill() }()
				c, err := caller.Dial("unix://" + socket)
				if err != nil {
					return err
				}
				defer c.Close()
				const deadline = 2 * time.Second
				c.Retries, c.RetryFailed = 4, deadline/2
				if duplex {
					c.SetFullDuplex()
				}
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				web := &http.Server{Handler: c}
				go web.Serve(l)
				defer web.Close()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
				defer client.CloseIdleConnections()

				var requests, answers, late, served, failed, refused atomic.Int64
				one := func(i int) {
					method, path, body := "GET", fmt.Sprint("/tiles/k", i%keysInLoad), []byte(nil)
					if i%5 == 4 {
						method, path, body = "PUT", fmt.Sprint("/orders/o", i), []byte("one pass, adult")
					}
					// The caller keeps the client's time; the margin is for the client's own side of the connection.
					rctx, cancel := context.WithTimeout(ctx, deadline)
					defer cancel()
					q, err := http.NewRequestWithContext(rctx, method, "http://"+l.Addr().String()+path, bytes.NewReader(body))
					if err != nil {
						return
					}
					q.Header.Set("X-Request-Id", fmt.Sprint("q", i))
					q.Header.Set("X-Envoy-Expected-Rq-Timeout-Ms", fmt.Sprint(deadline.Milliseconds()))
					requests.Add(1)
					res, err := client.Do(q)
					if err != nil {
						late.Add(1)
						return
					}
					if _, err = io.Copy(io.Discard, res.Body); err != nil {
						late.Add(1)
						return
					}
					res.Body.Close()
					answers.Add(1)
					switch {
					case res.StatusCode == 200:
						served.Add(1)
					case res.StatusCode == 503, res.StatusCode == 429:
						refused.Add(1)
					default:
						failed.Add(1)
					}
				}
				var clients sync.WaitGroup
				tick := time.NewTicker(2 * time.Millisecond) // 500 a second
				defer tick.Stop()
				end := time.After(time.Duration(e.Seconds) * time.Second)
				kill := time.NewTicker(time.Duration(e.Seconds) * time.Second / 5)
				defer kill.Stop()
				restarted := make(chan error, 1)
				restarting := false
				for i := 0; ; i++ {
					select {
					case <-tick.C:
						clients.Go(func() { one(i) })
						continue
					case err := <-restarted:
						if err != nil {
							return err
						}
						restarting = false
						continue
					case <-kill.C:
						if restarting {
							continue
						}
						restarting = true
						o.kills++
						go func() {
							p.Kill()
							again, err := e.processor("kill-"+mode, fleet, "127.0.0.1:0", "unix:"+socket, mode, "200ms")
							if err == nil {
								p = again
							}
							restarted <- err
						}()
						continue
					case <-end:
					case <-ctx.Done():
						return ctx.Err()
					}
					break
				}
				if restarting {
					if err := <-restarted; err != nil {
						return err
					}
				}
				clients.Wait()
				for _, n := range fleet.Origin.Executions() {
					if n > 1 {
						o.twice++
					}
				}
				o.requests, o.answers, o.late = requests.Load(), answers.Load(), late.Load()
				o.served, o.failed, o.refused = served.Load(), failed.Load(), refused.Load()
				return nil
			}()
		})
	}
	g.Wait()
	for k, mode := range modes {
		o := out[k]
		mode += how
		if o.err != nil {
			return fmt.Errorf("%s: %w", mode, o.err)
		}
		r.Tell(mode+": requests, at 500 a second", float64(o.requests))
		r.Tell(mode+": kills with SIGKILL", float64(o.kills))
		r.Equal(mode+": answers per request", float64(o.answers)/float64(max(1, o.requests)), 1)
		r.Equal(mode+": deadlines missed", float64(o.late), 0)
		r.Equal(mode+": orders that ran twice", float64(o.twice), 0)
		r.AtLeast(mode+": served, of all", float64(o.served)/float64(max(1, o.requests)), 0.9)
		r.Tell(mode+": failed", float64(o.failed))
		r.Tell(mode+": refused", float64(o.refused))
	}
	return nil
}

// costs compares what a call costs with the least that a processor in the same library can do, and both fronts with one
// another and with a relay that only copies bytes. All take turns, so that what else the machine does meets each alike.
func costs(_ context.Context, e *Env, r *Report) error {
	fleet, err := loadedFleet(8, 2048, keysInLoad)
	if err != nil {
		return err
	}
	defer fleet.Close()
	addrs := make([]string, 6)
	for i := range addrs {
		if addrs[i], err = standin.FreeAddr(); err != nil {
			return err
		}
	}
	route, err := e.processor("cost-route", fleet, "127.0.0.1:0", addrs[0], "route", "5s")
	if err != nil {
		return err
	}
	defer route.Kill()
	answer, err := e.processor("cost-answer", fleet, addrs[1], addrs[2], "answer", "5s")
	if err != nil {
		return err
	}
	defer answer.Kill()
	bare, err := Start("ready", []string{ServeVariable + "=bare " + addrs[3]}, e.Self)
	if err != nil {
		return err
	}
	defer bare.Kill()
	relay, err := Start("ready", []string{ServeVariable + "=relay " + addrs[4] + " " + fleet.Caches[0].Addr()}, e.Self)
	if err != nil {
		return err
	}
	defer relay.Kill()

	bareAnswer, err := Start("ready", []string{ServeVariable + "=bareanswer " + addrs[5] + " 2048"}, e.Self)
	if err != nil {
		return err
	}
	defer bareAnswer.Kill()

	const workers = 16
	var rates struct{ bare, route, bareAnswer, answer, redis, relay Rate }
	for round := range 4 {
		for _, m := range []struct {
			into    *Rate
			p       *Process
			addr    string
			workers int
			make    func(addr string) (func(int) (func(int) error, func(), error), error)
		}{
			{&rates.bare, bare, addrs[3], workers, processorLoad(true)},
			{&rates.route, route, addrs[0], workers, processorLoad(true)},
			{&rates.bareAnswer, bareAnswer, addrs[5], 8, processorLoad(false)},
			{&rates.answer, answer, addrs[2], 8, processorLoad(false)},
			{&rates.redis, answer, addrs[1], 8, func(a string) (func(int) (func(int) error, func(), error), error) {
				return readRESP(a, keysInLoad), nil
			}},
			{&rates.relay, relay, addrs[4], 8, func(a string) (func(int) (func(int) error, func(), error), error) { return readBox(a, keysInLoad), nil }},
		} {
			load, err := m.make(m.addr)
			if err != nil {
				return err
			}
			d := 600 * time.Millisecond
			if round == 0 {
				d = 200 * time.Millisecond // connections and tables warm up
			}
			got, err := loop(m.p, m.workers, d, load)
			if err != nil {
				return fmt.Errorf("%s: %w", strings.TrimPrefix(m.addr, "127.0.0.1"), err)
			}
			if round > 0 {
				m.into.add(got)
			}
		}
	}
	r.AtLeast("route: requests a second against a bare processor", rates.route.PerSecond()/rates.bare.PerSecond(), 0.8)
	r.AtMost("route: p99 against a bare processor's", float64(rates.route.Quantile(0.99))/float64(rates.bare.Quantile(0.99)), 1.5)
	r.AtLeast("answer: requests a second against RESP2's", rates.answer.PerSecond()/rates.redis.PerSecond(), 0.5)
	// What a call costs over a read is the library's: a processor that answers from memory and asks nobody pays it too.
	r.AtMost("answer: CPU a request, of a bare answer's and a RESP2 read's together",
		(1/rates.answer.PerCPU())/(1/rates.bareAnswer.PerCPU()+1/rates.redis.PerCPU()), 1.2)
	r.Tell("bare answer: requests a second against RESP2's, which no answer can exceed", rates.bareAnswer.PerSecond()/rates.redis.PerSecond())
	r.Tell("bare answer: CPU us a request", 1e6/rates.bareAnswer.PerCPU())
	r.Tell("bare processor: CPU us a request", 1e6/rates.bare.PerCPU())
	r.Tell("route: CPU us a request", 1e6/rates.route.PerCPU())
	r.Tell("answer: CPU us a request", 1e6/rates.answer.PerCPU())
	r.Tell("RESP2: CPU us a read", 1e6/rates.redis.PerCPU())
	r.Tell("RESP2: reads per CPU second against a byte relay", rates.redis.PerCPU()/rates.relay.PerCPU())
	r.Tell("RESP2: refused, of all", float64(rates.redis.Refused)/float64(max(1, rates.redis.Refused+rates.redis.Done)))
	r.Tell("answer: refused, of all", float64(rates.answer.Refused)/float64(max(1, rates.answer.Refused+rates.answer.Done)))
	return nil
}

// processorLoad makes workers for an external processor, on four connections.
func processorLoad(both bool) func(addr string) (func(int) (func(int) error, func(), error), error) {
	return func(addr string) (func(int) (func(int) error, func(), error), error) {
		conns, err := dialProcessor(addr, 4)
		if err != nil {
			return nil, err
		}
		return callProcessor(conns, keysInLoad, both), nil
	}
}
