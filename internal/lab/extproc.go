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

// cacheReader reads the full answers of a cache, so that a relay is measured on the same exchanges as the
// proxy.
type cacheReader struct{ in *bufio.Reader }

func newCacheReader(conn net.Conn) *cacheReader { return &cacheReader{bufio.NewReader(conn)} }

func (b *cacheReader) get(c *redisClient, key, id string) error {
	out := resp.AppendArray(c.buf[:0], 4)
	for _, w := range []string{"OBJ.GET", key, id, "c=tile-read,d=3000"} {
		out = resp.AppendBulk(out, w)
	}
	c.buf = out
	c.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := c.conn.Write(out); err != nil {
		return err
	}
	for range 4 { // the array's head, the value, the result, the report
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

// loadKeys is the number of keys that the load generators read; every cache holds all of them.
const loadKeys = 200

// newFilledFleet starts a fleet in which every cache holds values for the given number of keys.
func newFilledFleet(boxes, size, held int) (*standin.Fleet, error) {
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

// startProcessor starts linenproc in front of a fleet.
func (e *Env) startProcessor(name string, fleet *standin.Fleet, redis, listen, mode, messageTimeout string) (*Process, error) {
	return e.startProcessorWith(name, fleet, redis, OperatorFile(listen, mode, messageTimeout))
}

func (e *Env) startProcessorWith(name string, fleet *standin.Fleet, redis, operator string) (*Process, error) {
	text, err := fleet.Config(name, redis, "8c1f30d27a5be964", 192, 1024)
	if err != nil {
		return nil, err
	}
	config, err := e.writeFile(name+".json", text)
	if err != nil {
		return nil, err
	}
	file, err := e.writeFile(name+".toml", []byte(operator))
	if err != nil {
		return nil, err
	}
	return Start("extproc listens", []string{"LB_CONFIG=" + config}, e.Bin+"/linenproc", "-operator", file)
}

// ExtProc runs the scenario of the external processor: whether it chooses the same members as the RESP2 front
// end, kills under load, and the cost of a call.
func ExtProc(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "extproc"}
	for _, part := range []struct {
		name string
		run  func(context.Context, *Env, *Report) error
	}{{"choices", compareChoices}, {"kill", killUnderLoad}, {"cost", measureCosts}} {
		env.Log("extproc: %s", part.name)
		if err := part.run(ctx, env, report); err != nil {
			return report, fmt.Errorf("%s: %w", part.name, err)
		}
	}
	return report, nil
}

func compareChoices(_ context.Context, _ *Env, report *Report) error {
	const requests = 300
	var group sync.WaitGroup
	kinds := []struct {
		name, mode    string
		redis, duplex bool
	}{{"", "answer", true, false}, {"answer", "answer", false, false}, {"route", "route", false, false},
		{"answer in full duplex", "answer", false, true}, {"route in full duplex", "route", false, true}}
	choices, errs := make([]Choices, len(kinds)), make([]error, len(kinds))
	for i, c := range kinds {
		group.Go(func() {
			choices[i], errs[i] = RunChoices(c.mode, c.duplex, requests, func(int) bool { return c.redis })
		})
	}
	group.Wait()
	for i, c := range kinds {
		name := c.name
		if errs[i] != nil {
			return errs[i]
		}
		if i == 0 {
			report.AddValue("choices of the module, by RESP2", float64(len(choices[0].Members)))
			continue
		}
		differ := max(len(choices[i].Members), len(choices[0].Members))
		for k := range min(len(choices[i].Members), len(choices[0].Members)) {
			if choices[i].Members[k] == choices[0].Members[k] {
				differ--
			}
		}
		if !slices.Equal(choices[i].Outcomes, choices[0].Outcomes) {
			differ++
		}
		report.Equal("choices by "+name+" that differ", float64(differ), 0)
	}
	return nil
}

// killUnderLoad sends 500 requests a second through a caller for the scenario's duration, in each mode, while
// the processor is killed and restarted at intervals; once with bodies sent as most callers do and once in
// full duplex.
func killUnderLoad(ctx context.Context, env *Env, report *Report) error {
	for _, duplex := range []bool{false, true} {
		if err := killUnderLoadWith(ctx, env, report, duplex); err != nil {
			return err
		}
	}
	return nil
}

func killUnderLoadWith(ctx context.Context, env *Env, report *Report, duplex bool) error {
	suffix := ""
	if duplex {
		suffix = " in full duplex"
	}
	type outcome struct {
		requests, answers, late, handKilled, served, failed, refused int64
		repeatedOrders, kills                                        int
		err                                                          error
	}
	var group sync.WaitGroup
	modes := []string{"answer", "route"}
	outcomes := make([]outcome, len(modes))
	for k, mode := range modes {
		group.Go(func() {
			result := &outcomes[k]
			result.err = func() error {
				fleet, err := newFilledFleet(4, 512, loadKeys)
				if err != nil {
					return err
				}
				defer fleet.Close()
				fleet.Origin.SetService(5*time.Millisecond, 0)
				socket := fmt.Sprintf("%s/kill-%s-%v.sock", env.Dir, mode, duplex)
				process, err := env.startProcessor("kill-"+mode, fleet, "127.0.0.1:0", "unix:"+socket, mode, "200ms")
				if err != nil {
					return err
				}
				defer func() { process.Kill() }()
				processorCaller, err := caller.Dial("unix://" + socket)
				if err != nil {
					return err
				}
				defer processorCaller.Close()
				const deadline = 2 * time.Second
				processorCaller.Retries, processorCaller.RetryFailedFor = 4, deadline/2
				if duplex {
					processorCaller.SetFullDuplex()
				}
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					return err
				}
				webServer := &http.Server{Handler: processorCaller}
				go webServer.Serve(listener)
				defer webServer.Close()
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
				defer client.CloseIdleConnections()

				var requests, answers, late, served, failed, refused atomic.Int64
				sendRequest := func(i int) {
					method, path, body := "GET", fmt.Sprint("/tiles/k", i%loadKeys), []byte(nil)
					if i%5 == 4 {
						method, path, body = "PUT", fmt.Sprint("/orders/o", i), []byte("one pass, adult")
					}
					// The caller enforces the deadline; its margin covers the client's own side of the
					// connection.
					requestContext, cancel := context.WithTimeout(ctx, deadline)
					defer cancel()
					request, err := http.NewRequestWithContext(requestContext, method, "http://"+listener.Addr().String()+path, bytes.NewReader(body))
					if err != nil {
						return
					}
					request.Header.Set("X-Request-Id", fmt.Sprint("q", i))
					request.Header.Set("X-Envoy-Expected-Rq-Timeout-Ms", fmt.Sprint(deadline.Milliseconds()))
					requests.Add(1)
					response, err := client.Do(request)
					if err != nil {
						late.Add(1)
						return
					}
					if _, err = io.Copy(io.Discard, response.Body); err != nil {
						late.Add(1)
						return
					}
					response.Body.Close()
					answers.Add(1)
					switch {
					case response.StatusCode == 200:
						served.Add(1)
					case response.StatusCode == 503, response.StatusCode == 429:
						refused.Add(1)
					default:
						failed.Add(1)
					}
				}
				var clients sync.WaitGroup
				tick := time.NewTicker(2 * time.Millisecond) // 500 a second
				defer tick.Stop()
				end := time.After(time.Duration(env.Seconds) * time.Second)
				kill := time.NewTicker(time.Duration(env.Seconds) * time.Second / 5)
				defer kill.Stop()
				restarted := make(chan error, 1)
				restarting := false
				for i := 0; ; i++ {
					select {
					case <-tick.C:
						clients.Go(func() { sendRequest(i) })
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
						result.kills++
						go func() {
							process.Kill()
							restartedProcess, err := env.startProcessor("kill-"+mode, fleet, "127.0.0.1:0", "unix:"+socket, mode, "200ms")
							if err == nil {
								process = restartedProcess
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
						result.repeatedOrders++
					}
				}
				result.requests, result.answers, result.late = requests.Load(), answers.Load(), late.Load()
				result.served, result.failed, result.refused = served.Load(), failed.Load(), refused.Load()
				return nil
			}()
		})
	}
	group.Wait()
	for k, mode := range modes {
		result := outcomes[k]
		mode += suffix
		if result.err != nil {
			return fmt.Errorf("%s: %w", mode, result.err)
		}
		report.AddValue(mode+": requests, at 500 a second", float64(result.requests))
		report.AddValue(mode+": kills with SIGKILL", float64(result.kills))
		report.Equal(mode+": answers per request", float64(result.answers)/float64(max(1, result.requests)), 1)
		report.Equal(mode+": deadlines missed", float64(result.late), 0)
		report.Equal(mode+": orders that ran twice", float64(result.repeatedOrders), 0)
		report.AtLeast(mode+": served, of all", float64(result.served)/float64(max(1, result.requests)), 0.9)
		report.AddValue(mode+": failed", float64(result.failed))
		report.AddValue(mode+": refused", float64(result.refused))
	}
	return nil
}

// measureCosts compares the cost of a call with the cheapest possible processor in the same library, and both
// front ends with each other and with a relay that only copies bytes. They run in turns, so that other load
// on the machine affects all alike.
func measureCosts(_ context.Context, env *Env, report *Report) error {
	fleet, err := newFilledFleet(8, 2048, loadKeys)
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
	route, err := env.startProcessor("cost-route", fleet, "127.0.0.1:0", addrs[0], "route", "5s")
	if err != nil {
		return err
	}
	defer route.Kill()
	answer, err := env.startProcessor("cost-answer", fleet, addrs[1], addrs[2], "answer", "5s")
	if err != nil {
		return err
	}
	defer answer.Kill()
	bare, err := Start("ready", []string{ServeVariable + "=bare " + addrs[3]}, env.Executable)
	if err != nil {
		return err
	}
	defer bare.Kill()
	relay, err := Start("ready", []string{ServeVariable + "=relay " + addrs[4] + " " + fleet.Caches[0].Addr()}, env.Executable)
	if err != nil {
		return err
	}
	defer relay.Kill()

	bareAnswer, err := Start("ready", []string{ServeVariable + "=bareanswer " + addrs[5] + " 2048"}, env.Executable)
	if err != nil {
		return err
	}
	defer bareAnswer.Kill()

	const workers = 16
	var rates struct{ bare, route, bareAnswer, answer, redis, relay ClosedLoopResult }
	for round := range 4 {
		for _, m := range []struct {
			total   *ClosedLoopResult
			process *Process
			addr    string
			workers int
			newLoad func(addr string) (func(int) (func(int) error, func(), error), error)
		}{
			{&rates.bare, bare, addrs[3], workers, newProcessorWorkers(true)},
			{&rates.route, route, addrs[0], workers, newProcessorWorkers(true)},
			{&rates.bareAnswer, bareAnswer, addrs[5], 8, newProcessorWorkers(false)},
			{&rates.answer, answer, addrs[2], 8, newProcessorWorkers(false)},
			{&rates.redis, answer, addrs[1], 8, func(a string) (func(int) (func(int) error, func(), error), error) {
				return newRESPWorker(a, loadKeys), nil
			}},
			{&rates.relay, relay, addrs[4], 8, func(a string) (func(int) (func(int) error, func(), error), error) {
				return newCacheWorker(a, loadKeys), nil
			}},
		} {
			load, err := m.newLoad(m.addr)
			if err != nil {
				return err
			}
			d := 600 * time.Millisecond
			if round == 0 {
				d = 200 * time.Millisecond // warm-up of connections and tables, not counted
			}
			result, err := runClosedLoop(m.process, m.workers, d, load)
			if err != nil {
				return fmt.Errorf("%s: %w", strings.TrimPrefix(m.addr, "127.0.0.1"), err)
			}
			if round > 0 {
				m.total.add(result)
			}
		}
	}
	report.AtLeast("route: requests a second against a bare processor", rates.route.PerSecond()/rates.bare.PerSecond(), 0.8)
	report.AtMost("route: p99 against a bare processor's", float64(rates.route.Quantile(0.99))/float64(rates.bare.Quantile(0.99)), 1.5)
	report.AtLeast("answer: requests a second against RESP2's", rates.answer.PerSecond()/rates.redis.PerSecond(), 0.5)
	// The cost of a call above that of a read is the gRPC library's: a processor that answers from memory
	// without a request to a cache has it too.
	report.AtMost("answer: CPU a request, of a bare answer's and a RESP2 read's together",
		(1/rates.answer.PerCPU())/(1/rates.bareAnswer.PerCPU()+1/rates.redis.PerCPU()), 1.2)
	report.AddValue("bare answer: requests a second against RESP2's, which no answer can exceed", rates.bareAnswer.PerSecond()/rates.redis.PerSecond())
	report.AddValue("bare answer: CPU us a request", 1e6/rates.bareAnswer.PerCPU())
	report.AddValue("bare processor: CPU us a request", 1e6/rates.bare.PerCPU())
	report.AddValue("route: CPU us a request", 1e6/rates.route.PerCPU())
	report.AddValue("answer: CPU us a request", 1e6/rates.answer.PerCPU())
	report.AddValue("RESP2: CPU us a read", 1e6/rates.redis.PerCPU())
	report.AddValue("RESP2: reads per CPU second against a byte relay", rates.redis.PerCPU()/rates.relay.PerCPU())
	report.AddValue("RESP2: refused, of all", float64(rates.redis.Refused)/float64(max(1, rates.redis.Refused+rates.redis.Served)))
	report.AddValue("answer: refused, of all", float64(rates.answer.Refused)/float64(max(1, rates.answer.Refused+rates.answer.Served)))
	return nil
}

// newProcessorWorkers returns a function that creates workers for an external processor on four connections.
func newProcessorWorkers(both bool) func(addr string) (func(int) (func(int) error, func(), error), error) {
	return func(addr string) (func(int) (func(int) error, func(), error), error) {
		conns, err := dialProcessor(addr, 4)
		if err != nil {
			return nil, err
		}
		return newProcessorWorker(conns, loadKeys, both), nil
	}
}
