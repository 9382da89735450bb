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

const rootRotations = 4

// tlsSettings returns the operator's settings for TLS with certificates of the authority.
func tlsSettings(authority *standin.Authority) string {
	return fmt.Sprintf("[identity.tls]\ncert = %q\nkey = %q\nroots = %q\nhandshakes_per_s = 5000\n[[identity.certificate]]\ndns = \"*.acme.example\"\n"+
		"tenant = \"acme\"\n", authority.Path("cert.pem"), authority.Path("key.pem"), authority.Path("roots.pem"))
}

const clientDNSName = "one.acme.example"

// dialTLS is dialAuthClient over TLS.
func dialTLS(addr, name string, cfg *tls.Config) (*authClient, error) {
	conn, err := tls.Dial("tcp", addr, cfg)
	if err != nil {
		return nil, err
	}
	return &authClient{conn: conn, in: bufio.NewReader(conn), idPrefix: name}, nil
}

// measureTLS runs the part with client certificates: the cost of TLS, and root certificates that rotate under
// load.
func (e *Env) measureTLS(report *Report, fleet *standin.Fleet, plainAddr string, plainProcess *Process) error {
	authority, err := standin.NewAuthority(e.Dir, rootRotations+1)
	if err != nil {
		return err
	}
	addr, process, err := e.startProxyWith("doors", fleet, "[identity]\n[[identity.tenant]]\nname = \"acme\"\n"+tlsSettings(authority))
	if err != nil {
		return err
	}
	defer process.Kill()
	if err := e.measureTLSCost(report, authority, addr, process, plainAddr, plainProcess); err != nil {
		return err
	}
	if err := e.rotateRoots(report, authority, addr); err != nil {
		return err
	}
	return process.Stop()
}

// measureTLSCost compares reads over TLS with those of a proxy without TLS, both on persistent connections
// and on a new connection for each read.
func (e *Env) measureTLSCost(report *Report, authority *standin.Authority, addr string, process *Process, plainAddr string, plainProcess *Process) error {
	e.Log("identity: cost of TLS")
	tlsConfig, err := authority.ClientConfig(authority.Roots[0], clientDNSName)
	if err != nil {
		return err
	}
	newReads := func(name string, dial func(name string) (*authClient, error), newConnectionPerRead bool) func(int) (func(int) error, func(), error) {
		return func(w int) (func(int) error, func(), error) {
			name := fmt.Sprintf("%s%d-%d", name, w, time.Now().UnixNano())
			client, err := dial(name)
			if err != nil {
				return nil, nil, err
			}
			return func(i int) error {
				if newConnectionPerRead && i > 0 {
					client.conn.Close()
					lastID := client.lastID
					if client, err = dial(name); err != nil {
						return err
					}
					client.lastID = lastID
				}
				line, err := client.read((w*7919+i)%tileKeys, "")
				if err == nil && line[0] != '$' {
					err = fmt.Errorf("answered %q", line)
				}
				return err
			}, func() { client.conn.Close() }, nil
		}
	}
	dialPlain := func(name string) (*authClient, error) { return dialAuthClient(plainAddr, name) }
	dialSecure := func(name string) (*authClient, error) { return dialTLS(addr, name, tlsConfig) }
	var plainReads, tlsReads, plainConnections, tlsConnections ClosedLoopResult
	const rounds = 4
	duration := time.Duration(e.Seconds) * time.Second / (4 * rounds)
	for range rounds {
		for _, part := range []struct {
			total                *ClosedLoopResult
			process              *Process
			dial                 func(string) (*authClient, error)
			newConnectionPerRead bool
		}{{&plainReads, plainProcess, dialPlain, false}, {&tlsReads, process, dialSecure, false}, {&plainConnections, plainProcess, dialPlain, true}, {&tlsConnections, process, dialSecure, true}} {
			result, err := runClosedLoop(part.process, workerCount, duration, newReads("door", part.dial, part.newConnectionPerRead))
			if err != nil {
				return fmt.Errorf("reads with TLS %v, a new connection for each %v: %w", part.process == process, part.newConnectionPerRead, err)
			}
			part.total.add(result)
		}
	}
	report.AddValue("TLS: reads a CPU second, of those in plain text", tlsReads.PerCPU()/plainReads.PerCPU())
	report.AddValue("TLS: connections with one read each, of those in plain text, a CPU second", tlsConnections.PerCPU()/plainConnections.PerCPU())
	report.AddValue("TLS: CPU a handshake, us", 1e6/tlsConnections.PerCPU()-1e6/plainConnections.PerCPU())
	return nil
}

// rotateRoots replaces the root certificate several times under load. Clients switch to a certificate of the
// next root while both roots are valid; a connection lasts until it is closed or an answer announces its end.
// Every request is either answered or sees the end of the connection before the proxy has read it.
func (e *Env) rotateRoots(report *Report, authority *standin.Authority, addr string) error {
	e.Log("identity: rotation of roots under load")
	var usedRoot, firstValidRoot atomic.Int32 // the root that new clients use, and the first one that is valid
	var served, refused, endsAnnounced, connectionsEnded, connectionsRefused atomic.Int64
	var firstError atomic.Pointer[error]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for w := range workerCount {
		group.Go(func() {
			fail := func(err error) { firstError.CompareAndSwap(nil, &err) }
			for n := 0; ; n++ {
				root := usedRoot.Load()
				tlsConfig, err := authority.ClientConfig(authority.Roots[root], clientDNSName)
				if err != nil {
					fail(err)
					return
				}
				client, err := dialTLS(addr, fmt.Sprintf("roots%d-%d", w, n), tlsConfig)
				if err != nil {
					connectionsRefused.Add(1)
					fail(err)
					return
				}
				for i := 0; ; i++ {
					select {
					case <-stop:
						client.conn.Close()
						return
					default:
					}
					line, err := client.read((w*7919+i)%tileKeys, "")
					if err != nil { // the connection was closed; a read can safely be sent again
						connectionsEnded.Add(1)
						break
					}
					if line[0] == '$' {
						served.Add(1)
						continue
					}
					// Announced by an answer before the close.
					if strings.HasPrefix(line, "-WRONGPASS") && root < firstValidRoot.Load() {
						endsAnnounced.Add(1)
						connectionsEnded.Add(1)
						break
					}
					if !strings.HasPrefix(line, "-BUSY") {
						refused.Add(1)
					}
				}
				client.conn.Close()
			}
		})
	}
	longestToEnd := time.Duration(0)
	servedByRemovedRoot := int64(0)
	roundTime := max(3*time.Second, time.Duration(e.Seconds)*time.Second/rootRotations)
	for round := range rootRotations {
		currentRoot, nextRoot := authority.Roots[round], authority.Roots[round+1]
		tlsConfig, err := authority.ClientConfig(currentRoot, clientDNSName)
		if err != nil {
			return err
		}
		oldClient, err := dialTLS(addr, fmt.Sprint("old", round), tlsConfig)
		if err != nil {
			return err
		}
		if err := authority.PublishRoots(currentRoot, nextRoot); err != nil {
			return err
		}
		// Reads for longer than the proxy's interval for checking the files. The reads keep the connection from
		// being closed as idle, which would look like the removal of its root.
		for end := time.Now().Add(roundTime / 2); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
			if _, err := oldClient.read(1, ""); err != nil {
				return fmt.Errorf("a connection with a certificate of a valid root: %w", err)
			}
		}
		usedRoot.Store(int32(round + 1))
		firstValidRoot.Store(int32(round + 1))
		if err := authority.PublishRoots(nextRoot); err != nil {
			return err
		}
		removedAt := time.Now()
		for ended := false; !ended; {
			line, err := oldClient.read(1, "")
			switch {
			case err != nil:
				ended = true
			case time.Since(removedAt) > waitTimeout:
				return fmt.Errorf("a connection with a certificate of a removed root stays open, last answer %q", line)
			}
		}
		longestToEnd = max(longestToEnd, time.Since(removedAt))
		oldClient.conn.Close()
		for range 10 {
			if client, err := dialTLS(addr, "late", tlsConfig); err == nil {
				if line, err := client.read(1, ""); err == nil && line[0] == '$' {
					servedByRemovedRoot++
				}
				client.conn.Close()
			}
		}
		time.Sleep(roundTime / 2)
	}
	close(stop)
	group.Wait()
	if err := firstError.Load(); err != nil {
		return *err
	}
	report.AddValue("roots: requests served", float64(served.Load()))
	report.AddValue("roots: connections ended", float64(connectionsEnded.Load()))
	report.AddValue("roots: of these, told by an answer first", float64(endsAnnounced.Load()))
	report.Equal("roots: valid requests turned away", float64(refused.Load()), 0)
	report.Equal("roots: valid connections turned away", float64(connectionsRefused.Load()), 0)
	report.Equal("roots: connections by a root that is gone, once one was ended", float64(servedByRemovedRoot), 0)
	report.AtMost("roots: from the file's replacement to a connection's end, ms", float64(longestToEnd)/float64(time.Millisecond), 1400)
	return nil
}

// measureProcessorTokenCost compares exchanges with the external processor that carry a token with exchanges
// at a processor without authentication.
func (e *Env) measureProcessorTokenCost(ctx context.Context, report *Report, tokenIssuer *issuer, fleet *standin.Fleet) error {
	e.Log("identity: cost of a token at the external processor")
	token, err := tokenIssuer.token("")
	if err != nil {
		return err
	}
	var results [2]ClosedLoopResult
	var processes [2]*Process
	var callers [2]*caller.Caller
	for k, settings := range []string{"", fmt.Sprintf("[identity]\nkeys = %q\nissuer = \"lab\"\naudience = \"lab\"\n[[identity.tenant]]\nname = \"acme\"\n", tokenIssuer.file)} {
		socket := fmt.Sprintf("%s/proof-%d.sock", e.Dir, k)
		process, err := e.startProcessorWith(fmt.Sprint("proof-", k), fleet, "127.0.0.1:0", OperatorFile("unix:"+socket, "answer", "20s")+settings)
		if err != nil {
			return err
		}
		defer process.Kill()
		processorCaller, err := caller.Dial("unix://" + socket)
		if err != nil {
			return err
		}
		defer processorCaller.Close()
		processorCaller.MessageTimeout = waitTimeout
		processes[k], callers[k] = process, processorCaller
	}
	const rounds = 4
	var lastID atomic.Int64
	for range rounds {
		for k := range processes {
			result, err := runClosedLoop(processes[k], workerCount, time.Duration(e.Seconds)*time.Second/(2*rounds), func(w int) (func(int) error, func(), error) {
				return func(i int) error {
					request := caller.Request{Method: "GET", Path: fmt.Sprintf("/tiles/%016x", (w*7919+i)%tileKeys+1),
						Headers: map[string]string{"x-request-id": fmt.Sprint("q", lastID.Add(1))}}
					if k == 1 {
						request.Headers["authorization"] = "Bearer " + token
					}
					response := callers[k].Do(ctx, request)
					if response.Err == nil && response.Status != 200 {
						return fmt.Errorf("status %d: %s", response.Status, response.Body)
					}
					return response.Err
				}, func() {}, nil
			})
			if err != nil {
				return fmt.Errorf("processor %d: %w", k, err)
			}
			results[k].add(result)
		}
	}
	report.AtLeast("processor: by a token seen before, exchanges a CPU second of those without", results[1].PerCPU()/results[0].PerCPU(), 0.9)
	return nil
}
