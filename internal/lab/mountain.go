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

// manyKeysClient is a client that draws a whole mountain: it asks for many tiles, in one request or in as many.
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

// readTogether asks for the tiles from first on by one request, and counts those that are marked.
func (m *manyKeysClient) readTogether(first int) (marks map[string]int, err error) {
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
		return nil, fmt.Errorf("lab: answered %q, %w", line, err)
	}
	for i := range keysPerRequest {
		head, err := m.in.Peek(1)
		if err != nil {
			return nil, err
		}
		if head[0] == '-' {
			line, err := m.in.ReadString('\n')
			if err != nil {
				return nil, err
			}
			if marks == nil {
				marks = map[string]int{}
			}
			word, _, _ := strings.Cut(strings.TrimSpace(line), " ")
			marks[word]++
			continue
		}
		m.prefix = appendTilePrefix(m.prefix[:0], (first+i)%tileKeys)
		if err := readTile(m.in, m.prefix); err != nil {
			return nil, err
		}
	}
	return marks, nil
}

// readSingly asks for the same tiles by as many requests, all sent at once.
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

// ManyKeys is the scenario of many tiles in one request: what it costs against as many requests, and what becomes of it while a box stalls.
func ManyKeys(_ context.Context, e *Env) (*Report, error) {
	r := &Report{Scenario: "mountain"}
	fleet, err := newFilledFleet(8, 2048, tileKeys)
	if err != nil {
		return r, err
	}
	defer fleet.Close()
	fleet.Tenants = evenTenants
	addr, p, err := e.startProxyWith("many", fleet, "[many_keys]\nkeys = 256\n")
	if err != nil {
		return r, err
	}
	defer p.Kill()
	e.Log("mountain: one request against %d", keysPerRequest)
	clients := func(one bool) func(int) (func(int) error, func(), error) {
		return func(w int) (func(int) error, func(), error) {
			m, err := dialManyKeys(addr)
			if err != nil {
				return nil, nil, err
			}
			return func(i int) error {
				first := (w*7919 + i*keysPerRequest) % tileKeys
				if !one {
					return m.readSingly(first)
				}
				marks, err := m.readTogether(first)
				if len(marks) > 0 {
					return errRefused
				}
				return err
			}, func() { m.conn.Close() }, nil
		}
	}
	var whole, singles ClosedLoopResult
	const rounds = 4
	d := time.Duration(e.Seconds) * time.Second / (3 * rounds)
	for range rounds {
		for _, part := range []struct {
			rate *ClosedLoopResult
			one  bool
		}{{&whole, true}, {&singles, false}} {
			got, err := runClosedLoop(p, 4, d, clients(part.one))
			if err != nil {
				return r, err
			}
			part.rate.add(got)
		}
	}
	r.AddValue("mountains a second, by one request", whole.PerSecond())
	r.Equal("of these, with a tile marked", float64(whole.Refused), 0)
	r.AtMost("CPU a mountain by one request, of that by single pipelined reads", singles.PerCPU()/whole.PerCPU(), 0.5)
	r.AddValue("p99 by one request, ms", milliseconds(whole.Quantile(0.99)))
	r.AddValue("p99 by single reads, ms", milliseconds(singles.Quantile(0.99)))

	e.Log("mountain: one box stalls")
	box := fleet.Boxes[0]
	box.SetFault(standin.Stall)
	m, err := dialManyKeys(addr)
	if err != nil {
		return r, err
	}
	defer m.conn.Close()
	inTime, all, marked := 0, 0, 0
	words := map[string]int{}
	var slowest time.Duration
	for end := time.Now().Add(time.Duration(e.Seconds) * time.Second / 3); time.Now().Before(end); all++ {
		begun := time.Now()
		marks, err := m.readTogether(all * keysPerRequest % tileKeys)
		if err != nil {
			return r, err
		}
		took := time.Since(begun)
		slowest = max(slowest, took)
		if took <= manyKeysDeadline+50*time.Millisecond {
			inTime++
		}
		for word, n := range marks {
			words[word] += n
			marked += n
		}
	}
	box.SetFault(standin.Healthy)
	r.Equal("a box stalls: replies in time, of all", float64(inTime)/float64(all), 1)
	r.AddValue("a box stalls: the slowest reply, ms", milliseconds(slowest))
	r.AddValue("a box stalls: tiles asked for", float64(all*keysPerRequest))
	for _, word := range slices.Sorted(maps.Keys(words)) {
		r.AddValue("a box stalls: marked "+word, float64(words[word]))
	}
	// Every tile is at every box, so none is out of reach.
	r.Equal("a box stalls: tiles marked, which others could give", float64(marked), 0)
	return r, p.Stop()
}
