package lab

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

const (
	keysPerRequest   = 64
	manyKeysDeadline = 1000 * time.Millisecond
)

// manyKeysClient reads many keys, either with one request or with one pipelined request for each key.
type manyKeysClient struct {
	conn    net.Conn
	in      *bufio.Reader
	command []byte
	prefix  []byte
}

func dialManyKeys(addr string) (*manyKeysClient, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &manyKeysClient{conn: conn, in: bufio.NewReaderSize(conn, 64<<10)}, nil
}

// readTogether reads the keys from first on with one request, and counts the errors among them by error word.
func (m *manyKeysClient) readTogether(first int) (errorCounts map[string]int, err error) {
	m.command = resp.AppendArray(m.command[:0], 3+keysPerRequest)
	m.command = resp.AppendBulk(m.command, "OBJ.MGET")
	m.command = resp.AppendBulk(m.command, strconv.FormatUint(lastRequestID.Add(1), 16))
	m.command = resp.AppendBulk(m.command, fmt.Sprintf("c=tile-read,t=acme,d=%d", manyKeysDeadline.Milliseconds()))
	for i := range keysPerRequest {
		m.command = resp.AppendBulk(m.command, "k"+strconv.Itoa((first+i)%tileKeys))
	}
	m.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := m.conn.Write(m.command); err != nil {
		return nil, err
	}
	line, err := m.in.ReadString('\n')
	if err != nil || strings.TrimSpace(line) != "*"+strconv.Itoa(keysPerRequest) {
		return nil, fmt.Errorf("lab: unexpected answer %q: %w", line, err)
	}
	for i := range keysPerRequest {
		firstByte, err := m.in.Peek(1)
		if err != nil {
			return nil, err
		}
		if firstByte[0] == '-' {
			line, err := m.in.ReadString('\n')
			if err != nil {
				return nil, err
			}
			if errorCounts == nil {
				errorCounts = map[string]int{}
			}
			word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
			errorCounts[word]++
			continue
		}
		m.prefix = appendTilePrefix(m.prefix[:0], (first+i)%tileKeys)
		if err := readTile(m.in, m.prefix); err != nil {
			return nil, err
		}
	}
	return errorCounts, nil
}

// readSingly reads the same keys with one request for each, all pipelined.
func (m *manyKeysClient) readSingly(first int) error {
	m.command = m.command[:0]
	for i := range keysPerRequest {
		m.command = appendTileRead(m.command, (first+i)%tileKeys, "c=tile-read,t=acme,d=1000")
	}
	m.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := m.conn.Write(m.command); err != nil {
		return err
	}
	for i := range keysPerRequest {
		m.prefix = appendTilePrefix(m.prefix[:0], (first+i)%tileKeys)
		if err := readTile(m.in, m.prefix); err != nil {
			return err
		}
	}
	return nil
}

// ManyKeys runs the scenario of requests for many keys: their cost compared with single reads, and their
// outcome while a cache stalls.
func ManyKeys(_ context.Context, env *Env) (*Report, error) {
	report := &Report{Scenario: "mountain"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	fleet.Tenants = evenTenants
	addr, process, err := env.startProxyWith("many", fleet, "[many_keys]\nkeys = 256\n")
	if err != nil {
		return report, err
	}
	defer process.Kill()
	env.Log("mountain: one request compared with %d", keysPerRequest)
	newClients := func(together bool) func(int) (func(int) error, func(), error) {
		return func(w int) (func(int) error, func(), error) {
			client, err := dialManyKeys(addr)
			if err != nil {
				return nil, nil, err
			}
			return func(i int) error {
				first := (w*7919 + i*keysPerRequest) % tileKeys
				if !together {
					return client.readSingly(first)
				}
				errorCounts, err := client.readTogether(first)
				if len(errorCounts) > 0 {
					return errRefused
				}
				return err
			}, func() { client.conn.Close() }, nil
		}
	}
	var together, singly ClosedLoopResult
	const rounds = 4
	duration := time.Duration(env.Seconds) * time.Second / (3 * rounds)
	for range rounds {
		for _, part := range []struct {
			total    *ClosedLoopResult
			together bool
		}{{&together, true}, {&singly, false}} {
			result, err := runClosedLoop(process, 4, duration, newClients(part.together))
			if err != nil {
				return report, err
			}
			part.total.add(result)
		}
	}
	report.AddValue("mountains a second, by one request", together.PerSecond())
	report.Equal("of these, with a tile marked", float64(together.Refused), 0)
	report.AtMost("CPU a mountain by one request, of that by single pipelined reads", singly.PerCPU()/together.PerCPU(), 0.5)
	report.AddValue("p99 by one request, ms", milliseconds(together.Quantile(0.99)))
	report.AddValue("p99 by single reads, ms", milliseconds(singly.Quantile(0.99)))

	env.Log("mountain: one cache stalls")
	cache := fleet.Caches[0]
	cache.SetFault(standin.Stall)
	client, err := dialManyKeys(addr)
	if err != nil {
		return report, err
	}
	defer client.conn.Close()
	inTime, requests, failedKeys := 0, 0, 0
	errorCounts := map[string]int{}
	var slowest time.Duration
	for end := time.Now().Add(time.Duration(env.Seconds) * time.Second / 3); time.Now().Before(end); requests++ {
		sentAt := time.Now()
		replyErrors, err := client.readTogether(requests * keysPerRequest % tileKeys)
		if err != nil {
			return report, err
		}
		latency := time.Since(sentAt)
		slowest = max(slowest, latency)
		if latency <= manyKeysDeadline+50*time.Millisecond {
			inTime++
		}
		for word, n := range replyErrors {
			errorCounts[word] += n
			failedKeys += n
		}
	}
	cache.SetFault(standin.Healthy)
	report.Equal("a box stalls: replies in time, of all", float64(inTime)/float64(requests), 1)
	report.AddValue("a box stalls: the slowest reply, ms", milliseconds(slowest))
	report.AddValue("a box stalls: tiles asked for", float64(requests*keysPerRequest))
	for _, word := range slices.Sorted(maps.Keys(errorCounts)) {
		report.AddValue("a box stalls: marked "+word, float64(errorCounts[word]))
	}
	// Every cache holds every key, so each key is available at another cache.
	report.Equal("a box stalls: tiles marked, which others could give", float64(failedKeys), 0)
	return report, process.Stop()
}
