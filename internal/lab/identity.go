package lab

import (
	"bufio"
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-jose/go-jose/v4"

	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

const (
	workerCount        = 16
	keyRotations       = 6
	minKeyRotationTime = 32 * time.Second // all rotations together, at least
	forgerCount        = 16
)

// issuer signs tokens with the private keys of a key set that it publishes in a file.
type issuer struct {
	file        string
	mu          sync.Mutex
	keys        map[string]ed25519.PrivateKey
	signingKey  string // id of the key that token uses by default
	lastSubject int
}

// publish replaces the file by a key set with the given ids, creating keys as needed.
func (s *issuer) publish(ids ...string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var set jose.JSONWebKeySet
	for _, id := range ids {
		if s.keys[id] == nil {
			_, key, err := ed25519.GenerateKey(rand.Reader)
			if err != nil {
				return err
			}
			s.keys[id] = key
		}
		set.Keys = append(set.Keys, jose.JSONWebKey{Key: s.keys[id].Public(), KeyID: id})
	}
	text, err := json.Marshal(set)
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.file+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.file+".new", s.file)
}

// token returns a new token, signed with the given key or, if it is empty, with the default one.
func (s *issuer) token(key string) (string, error) {
	s.mu.Lock()
	if key == "" {
		key = s.signingKey
	}
	s.lastSubject++
	n, private := s.lastSubject, s.keys[key]
	s.mu.Unlock()
	return signToken(key, private, n)
}

func signToken(kid string, key ed25519.PrivateKey, n int) (string, error) {
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.EdDSA, Key: key}, (&jose.SignerOptions{}).WithHeader("kid", kid))
	if err != nil {
		return "", err
	}
	signature, err := signer.Sign(fmt.Appendf(nil, `{"iss":"lab","aud":"lab","tenant":"acme","sub":"%d","exp":%d}`, n, time.Now().Add(10*time.Minute).Unix()))
	if err != nil {
		return "", err
	}
	return signature.CompactSerialize()
}

// authClient is a RESP2 connection that sends one request at a time and may authenticate.
type authClient struct {
	conn     net.Conn
	in       *bufio.Reader
	buf      []byte
	lastID   int
	idPrefix string
}

func dialAuthClient(addr, name string) (*authClient, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &authClient{conn: conn, in: bufio.NewReader(conn), idPrefix: name}, nil
}

// do sends a command and returns the first line of the answer; a value is skipped.
func (c *authClient) do(words ...string) (string, error) {
	c.buf = resp.AppendArray(c.buf[:0], len(words))
	for _, w := range words {
		c.buf = resp.AppendBulk(c.buf, w)
	}
	c.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := c.conn.Write(c.buf); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if line = strings.TrimSpace(line); line[0] == '$' {
		var n int
		if _, err := fmt.Sscanf(line, "$%d", &n); err != nil || n < 0 {
			return line, err
		}
		_, err = io.CopyN(io.Discard, c.in, int64(n)+2)
	}
	return line, err
}

func (c *authClient) read(key int, attrs string) (string, error) {
	c.lastID++
	return c.do("OBJ.GET", fmt.Sprintf("%016x", key+1), fmt.Sprintf("%s-%d", c.idPrefix, c.lastID), "c=tile-read,d=1000"+attrs)
}

// auth authenticates the connection. A fast machine sends more new tokens than the proxy checks per second; a
// token refused unchecked is sent again.
func (c *authClient) auth(token string) error {
	line, err := c.do("AUTH", token)
	for end := time.Now().Add(waitTimeout); err == nil && strings.HasPrefix(line, "-BUSY") && time.Now().Before(end); line, err = c.do("AUTH", token) {
		time.Sleep(5 * time.Millisecond)
	}
	if err == nil && line != "+OK" {
		err = fmt.Errorf("answered %q", line)
	}
	if err != nil {
		return fmt.Errorf("AUTH: %w", err)
	}
	return nil
}

// Identity runs the scenario of authenticated callers: key rotation under load, the cost of authentication,
// and the effect of a flood of forged tokens on authenticated callers.
func Identity(ctx context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "identity"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	tokenIssuer := &issuer{file: filepath.Join(env.Dir, "keys.json"), keys: map[string]ed25519.PrivateKey{}, signingKey: "k0"}
	if err := tokenIssuer.publish("k0"); err != nil {
		return report, err
	}
	plainAddr, plainProcess, err := env.startProxy("identity-off", fleet, 192, 4096)
	if err != nil {
		return report, err
	}
	defer plainProcess.Kill()
	addr, process, err := env.startProxyWith("identity", fleet, fmt.Sprintf("[identity]\nkeys = %q\nissuer = \"lab\"\naudience = \"lab\"\nchecks_per_s = 500\n"+
		"[[identity.tenant]]\nname = \"acme\"\n", tokenIssuer.file))
	if err != nil {
		return report, err
	}
	defer process.Kill()
	if err := env.rotateKeys(report, tokenIssuer, addr); err != nil {
		return report, err
	}
	if err := env.measureTokenCost(report, tokenIssuer, addr, process, plainAddr, plainProcess); err != nil {
		return report, err
	}
	if err := env.floodWithForgeries(report, tokenIssuer, addr, process); err != nil {
		return report, err
	}
	if err := env.measureProcessorTokenCost(ctx, report, tokenIssuer, fleet); err != nil {
		return report, err
	}
	if err := env.measureTLS(report, fleet, plainAddr, plainProcess); err != nil {
		return report, err
	}
	if kb, err := process.Resident(); err == nil {
		report.AddValue("resident, MB", float64(kb)/1024)
	}
	return report, process.Stop()
}

// startProxyWith starts a proxy with the given operator's file.
func (e *Env) startProxyWith(name string, fleet *standin.Fleet, operator string) (string, *Process, error) {
	file, err := e.writeFile(name+".toml", []byte(operator))
	if err != nil {
		return "", nil, err
	}
	return e.startProxy(name, fleet, 192, 4096, "-operator", file)
}

// rotateKeys rotates the keys several times under load; half of the callers authenticate with AUTH and half
// send a token in each request. Callers sign new tokens with the current key. A request counts as valid if
// its token's key is in the file at that time.
func (e *Env) rotateKeys(report *Report, tokenIssuer *issuer, addr string) error {
	e.Log("identity: rotation of keys under load")
	var served, refused, accepted atomic.Int64
	var firstError atomic.Pointer[error]
	stop := make(chan struct{})
	var group sync.WaitGroup
	for w := range workerCount {
		group.Go(func() {
			fail := func(err error) { firstError.CompareAndSwap(nil, &err) }
			client, err := dialAuthClient(addr, fmt.Sprint("rot", w))
			if err != nil {
				fail(err)
				return
			}
			defer client.conn.Close()
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				attrs := ""
				token, err := tokenIssuer.token("")
				if err != nil {
					fail(err)
					return
				}
				if w%2 == 0 {
					attrs = ",tk=" + token
				} else if err := client.auth(token); err != nil {
					fail(err)
					return
				}
				for range 20 { // a new token every 20 requests
					line, err := client.read((w*7919+i)%tileKeys, attrs)
					switch {
					case err != nil:
						fail(err)
						return
					case line[0] == '$':
						served.Add(1)
					case strings.HasPrefix(line, "-WRONGPASS"), strings.HasPrefix(line, "-NOAUTH"):
						refused.Add(1)
					}
				}
				time.Sleep(20 * time.Millisecond) // about 400 new tokens a second, of 500 checks
			}
		})
	}
	longestToRefusal := time.Duration(0)
	// The proxy checks the file every second.
	roundTime := max(minKeyRotationTime, time.Duration(e.Seconds)*time.Second) / keyRotations
	for round := range keyRotations {
		currentKey, nextKey := fmt.Sprint("k", round), fmt.Sprint("k", round+1)
		if err := tokenIssuer.publish(currentKey, nextKey); err != nil { // before callers use the new key
			return err
		}
		time.Sleep(roundTime / 2) // longer than the proxy's interval for checking the file
		tokenIssuer.mu.Lock()
		tokenIssuer.signingKey = nextKey
		tokenIssuer.mu.Unlock()
		retiredToken, err := tokenIssuer.token(currentKey)
		if err != nil {
			return err
		}
		time.Sleep(roundTime / 4) // until no caller uses the old key any more
		// The proxy closes connections that are idle for long, so each round opens one.
		oldClient, err := dialAuthClient(addr, fmt.Sprint("old", round))
		if err != nil {
			return err
		}
		if err := oldClient.auth(retiredToken); err != nil {
			return fmt.Errorf("with a key that is still valid: %w", err)
		}
		if err := tokenIssuer.publish(nextKey); err != nil {
			return err
		}
		removedAt := time.Now()
		for {
			line, err := oldClient.read(1, "")
			if err != nil {
				return err
			}
			if line == "-WRONGPASS its key is retired" {
				break
			}
			if line[0] != '$' {
				return fmt.Errorf("a caller with a retired key was answered %q", line)
			}
			if time.Since(removedAt) > waitTimeout {
				return fmt.Errorf("a retired key is still accepted")
			}
		}
		longestToRefusal = max(longestToRefusal, time.Since(removedAt))
		for range 50 { // no request may succeed with the retired key any more
			if line, err := oldClient.read(1, ",tk="+retiredToken); err != nil || line != "-WRONGPASS its key is retired" && line != "-WRONGPASS unknown key" {
				accepted.Add(1) // accepted, or refused for another reason, which proves nothing
			}
			if oldClient.lastID%12 == 0 { // the proxy closes a connection after too many faults
				oldClient.conn.Close()
				if oldClient, err = dialAuthClient(addr, fmt.Sprintf("old%d-%d", round, oldClient.lastID)); err != nil {
					return err
				}
			}
		}
		oldClient.conn.Close()
		time.Sleep(roundTime / 4)
	}
	close(stop)
	group.Wait()
	if err := firstError.Load(); err != nil {
		return *err
	}
	report.AddValue("rotation: requests served", float64(served.Load()))
	report.Equal("rotation: valid requests turned away", float64(refused.Load()), 0)
	report.Equal("rotation: by a retired key, once one was refused: not turned away for it", float64(accepted.Load()), 0)
	report.AtMost("rotation: from the file's replacement to the first refusal, ms", float64(longestToRefusal)/float64(time.Millisecond), 1100)
	return nil
}

// measureTokenCost compares an authenticated caller's reads with those of a proxy without authentication.
func (e *Env) measureTokenCost(report *Report, tokenIssuer *issuer, addr string, process *Process, plainAddr string, plainProcess *Process) error {
	e.Log("identity: cost of a token")
	token, err := tokenIssuer.token("")
	if err != nil {
		return err
	}
	var byAuth, byAttribute, plainReads ClosedLoopResult
	const rounds = 4
	duration := time.Duration(e.Seconds) * time.Second / (3 * rounds)
	newReads := func(addr, name, auth, attrs string) func(int) (func(int) error, func(), error) {
		return func(w int) (func(int) error, func(), error) {
			client, err := dialAuthClient(addr, fmt.Sprintf("%s%d-%d", name, w, time.Now().UnixNano()))
			if err != nil {
				return nil, nil, err
			}
			if auth != "" {
				if line, err := client.do("AUTH", auth); err != nil || line != "+OK" {
					return nil, nil, fmt.Errorf("AUTH: %q, %v", line, err)
				}
			}
			return func(i int) error {
				line, err := client.read((w*7919+i)%tileKeys, attrs)
				if err == nil && line[0] != '$' {
					err = fmt.Errorf("answered %q", line)
				}
				return err
			}, func() { client.conn.Close() }, nil
		}
	}
	for range rounds { // in turns, as the machine's speed varies
		for _, part := range []struct {
			total      *ClosedLoopResult
			process    *Process
			addr       string
			auth, more string
		}{{&plainReads, plainProcess, plainAddr, "", ""}, {&byAuth, process, addr, token, ""}, {&byAttribute, process, addr, "", ",tk=" + token}} {
			result, err := runClosedLoop(part.process, workerCount, duration, newReads(part.addr, "cost", part.auth, part.more))
			if err != nil {
				return fmt.Errorf("reads at %s, AUTH %v, token in each request %v: %w", part.addr, part.auth != "", part.more != "", err)
			}
			part.total.add(result)
		}
	}
	report.AddValue("reads a CPU second without tokens", plainReads.PerCPU())
	report.AtLeast("by AUTH, a token seen before: reads a CPU second, of that", byAuth.PerCPU()/plainReads.PerCPU(), 0.9)
	report.AtLeast("by a token in each list, seen before: reads a CPU second, of that", byAttribute.PerCPU()/plainReads.PerCPU(), 0.9)
	return nil
}

// floodWithForgeries sends forged tokens as fast as possible, beside an authenticated caller's reads. Each
// token is new and only its signature is invalid; a connection that the proxy closes is replaced by a new
// one.
func (e *Env) floodWithForgeries(report *Report, tokenIssuer *issuer, addr string, process *Process) error {
	e.Log("identity: a flood of forged tokens")
	token, err := tokenIssuer.token("")
	if err != nil {
		return err
	}
	newValidReads := func(w int) (func(int) error, func(), error) {
		client, err := dialAuthClient(addr, fmt.Sprintf("good%d-%d", w, time.Now().UnixNano()))
		if err != nil {
			return nil, nil, err
		}
		if line, err := client.do("AUTH", token); err != nil || line != "+OK" {
			return nil, nil, fmt.Errorf("AUTH: %q, %v", line, err)
		}
		return func(i int) error {
			line, err := client.read((w*7919+i)%tileKeys, "")
			if err == nil && line[0] != '$' {
				err = errRefused
			}
			time.Sleep(5 * time.Millisecond) // at a fixed pace, not as fast as possible
			return err
		}, func() { client.conn.Close() }, nil
	}
	duration := time.Duration(e.Seconds) * time.Second / 4
	alone, err := runClosedLoop(process, workerCount, duration, newValidReads)
	if err != nil {
		return err
	}
	// Signing costs as much as checking, so the forgeries are made in advance.
	_, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	forged := make([]string, 20000)
	var signing sync.WaitGroup
	for w := range 4 {
		signing.Go(func() {
			for i := w; i < len(forged); i += 4 {
				forged[i], _ = signToken(tokenIssuer.signingKey, key, i)
			}
		})
	}
	signing.Wait()
	var nextForgery, sent, acceptedForgeries atomic.Int64
	stop := make(chan struct{})
	var group sync.WaitGroup
	for range forgerCount {
		group.Go(func() {
			var client *authClient
			for {
				select {
				case <-stop:
					return
				default:
				}
				if client == nil {
					if fresh, err := dialAuthClient(addr, "forger"); err == nil {
						client = fresh
					} else {
						return
					}
				}
				line, err := client.do("AUTH", forged[int(nextForgery.Add(1))%len(forged)])
				if err != nil {
					client.conn.Close()
					client = nil
					continue
				}
				if sent.Add(1); line == "+OK" {
					acceptedForgeries.Add(1)
				}
			}
		})
	}
	duringFlood, err := runClosedLoop(process, workerCount, duration, newValidReads)
	close(stop)
	group.Wait()
	if err != nil {
		return err
	}
	report.AddValue("flood: forged tokens a second", float64(sent.Load())/duration.Seconds())
	report.Equal("flood: forged tokens accepted", float64(acceptedForgeries.Load()), 0)
	report.AtLeast("flood: a proven caller's reads served, of those alone", float64(duringFlood.Served)/float64(max(1, alone.Served)), 0.9)
	report.Equal("flood: a proven caller's reads refused", float64(duringFlood.Refused), 0)
	report.AddValue("p99 alone, ms", float64(alone.Quantile(0.99))/float64(time.Millisecond))
	report.AddValue("p99 beside the flood, ms", float64(duringFlood.Quantile(0.99))/float64(time.Millisecond))
	return nil
}
