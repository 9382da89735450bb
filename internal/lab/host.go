// Package lab runs the project's own measurements on loopback: proxies in front of simulated servers, load
// generators, and claims that are checked against the results. It serves no real traffic, and no part of the
// proxy depends on it.
package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"linenloom/internal/app"
	"linenloom/internal/cluster"
	"linenloom/internal/extproc/caller"
	"linenloom/internal/extproc/server"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/resp"
	"linenloom/internal/sender"
	"linenloom/internal/standin"
	"linenloom/logic"
)

// waitTimeout bounds every wait for an event; only a failure takes this long.
const waitTimeout = cluster.WaitTimeout

// OperatorFile returns the text of an operator's file that maps /tiles/{key} and /orders/{key}.
func OperatorFile(listen, mode, messageTimeout string) string {
	return fmt.Sprintf(`[extproc]
listen = %q
mode = %q
message_timeout = %q
max_streams = 1024
[[extproc.map]]
methods = ["GET"]
path = "/tiles/{key}"
class = "tile-read"
[[extproc.map]]
methods = ["PUT"]
path = "/orders/{key}"
class = "pass-order"
write = true
`, listen, mode, messageTimeout)
}

// Host is a proxy with both front ends in this process, with a clock that only the test advances.
type Host struct {
	Proxy  *proxy.Proxy
	Front  *server.Front
	Fleet  *standin.Fleet
	Caller *caller.Caller
	clock  atomic.Int64
	stop   context.CancelFunc
	done   chan error
	mu     sync.Mutex
	sentTo []logic.MemberID
}

// NewHost starts a host in front of a fleet.
func NewHost(fleet *standin.Fleet, mode string) (*Host, error) {
	h := &Host{Fleet: fleet, done: make(chan error, 1)}
	configText, err := fleet.Config("lab", "127.0.0.1:0", "7", 128, 512)
	if err != nil {
		return nil, err
	}
	config, err := app.ProxyConfig(configText)
	if err != nil {
		return nil, err
	}
	config.AcceptAfterStop = 0
	config.Clock = func() time.Duration { return time.Duration(h.clock.Load()) }
	config.OnSend = func(_ logic.RequestID, m logic.MemberID) {
		h.mu.Lock()
		h.sentTo = append(h.sentTo, m)
		h.mu.Unlock()
	}
	logger := slog.New(slog.DiscardHandler)
	if h.Proxy, err = proxy.New(config, logger); err != nil {
		return nil, err
	}
	operatorFile, err := operator.Parse("lab", []byte(OperatorFile("127.0.0.1:0", mode, "20s")))
	if err != nil {
		return nil, err
	}
	if h.Front, err = server.New(h.Proxy, operatorFile, logger); err != nil {
		return nil, err
	}
	h.Proxy.AddFront(h.Front)
	if h.Caller, err = caller.Dial(h.Front.Addr().String()); err != nil {
		return nil, err
	}
	h.Caller.MessageTimeout, h.Caller.Retries = waitTimeout, 5
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.done <- h.Proxy.Run(ctx) }()
	return h, nil
}

// Close stops the host.
func (h *Host) Close() error {
	h.Caller.Close()
	h.stop()
	return <-h.done
}

func (h *Host) advanceClock(d time.Duration) {
	h.clock.Add(int64(d))
	h.Proxy.Tick()
}

func eventually(what string, ok func() bool) error {
	return cluster.WaitFor(500*time.Microsecond, what, ok)
}

// Choices is the result of a recorded run: the members in the order in which the balancer chose them, and the
// outcome of each request.
type Choices struct{ Members, Outcomes []string }

// RunChoices sends a fixed sequence of requests through one front end or the other: reads of keys with uneven
// popularity and some orders, with a cold cache, one that fails for a while, one that is full for a while,
// and one that drains. Requests run one at a time and the clock is simulated, so that the same outcomes occur
// at the same times.
func RunChoices(mode string, duplex bool, requests int, byRedis func(i int) bool) (choices Choices, err error) {
	fleet, err := standin.NewFleet(6, 64)
	if err != nil {
		return choices, err
	}
	defer fleet.Close()
	if _, err := fleet.AddCache("s-cold", time.UnixMilli(time.Hour.Milliseconds()-100)); err != nil {
		return choices, err
	}
	for i := range 40 {
		fleet.Fill(fmt.Sprint("k", i)) // the other keys miss at first
	}
	host, err := NewHost(fleet, mode)
	if err != nil {
		return choices, err
	}
	defer host.Close()
	if duplex {
		host.Caller.SetFullDuplex()
	}
	if err := eventually("the proxy has the member list", func() bool { return host.Proxy.Load().Ready == 8 }); err != nil {
		return choices, err
	}
	redis, err := dialRedis(host.Proxy.Addr().String())
	if err != nil {
		return choices, err
	}
	defer redis.conn.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		host.advanceClock(5 * time.Millisecond)
		switch i {
		case requests / 4:
			fleet.Caches[1].SetFault(standin.Failing)
		case requests * 3 / 8:
			fleet.Caches[1].SetFault(standin.Healthy)
			fleet.Caches[2].SetFault(standin.Busy)
		case requests / 2:
			fleet.Caches[2].SetFault(standin.Healthy)
		case requests * 5 / 8:
			fleet.Drain(fleet.Caches[3])
			if err := eventually("the proxy has the drain", func() bool { return host.Proxy.Load().Ready == 7 }); err != nil {
				return choices, err
			}
		}
		key, id, write := fmt.Sprint("k", int(rng.ExpFloat64()*15)%60), fmt.Sprint("id", i), i%20 == 19
		answer, err := host.request(redis, byRedis(i), mode, key, id, write)
		if err != nil {
			return choices, err
		}
		switch {
		case strings.Contains(answer, " of "+key):
			choices.Outcomes = append(choices.Outcomes, "served")
		case strings.HasPrefix(answer, "-BUSY"), strings.HasPrefix(answer, "refused"):
			choices.Outcomes = append(choices.Outcomes, "refused")
		default:
			return choices, fmt.Errorf("request %d was answered %q", i, answer)
		}
		if err := eventually("no request is in flight", func() bool {
			load := host.Proxy.Load()
			return load.Requests == 0 && load.Busy == 0 && host.Front.Counts().Streams == 0
		}); err != nil {
			return choices, err
		}
	}
	names := map[logic.MemberID]string{proxy.MemberID("o-1"): "o-1"}
	for _, cache := range fleet.Caches {
		names[proxy.MemberID(cache.ID)] = cache.ID
	}
	host.mu.Lock()
	defer host.mu.Unlock()
	for _, m := range host.sentTo {
		choices.Members = append(choices.Members, names[m])
	}
	return choices, nil
}

// request sends one request through one of the front ends.
func (h *Host) request(redis *redisClient, byRedis bool, mode, key, id string, write bool) (string, error) {
	// The proxy holds back the last byte of an order for 2 ms, so the clock has to advance meanwhile.
	h.Caller.BeforeSend = nil
	advanced := make(chan error, 1)
	switch {
	case write && mode == "route" && !byRedis:
		h.Caller.BeforeSend = func(string) { h.advanceClock(10 * time.Millisecond) }
		advanced <- nil
	case write:
		go func() {
			err := eventually("the order is in flight", func() bool { return h.Proxy.Load().Busy > 0 })
			h.advanceClock(10 * time.Millisecond)
			advanced <- err
		}()
	default:
		advanced <- nil
	}
	var answer string
	if byRedis {
		words := []string{"OBJ.GET", key, id, "c=tile-read,d=2000"}
		if write {
			words = []string{"OBJ.SET", key, id, "c=pass-order,d=2000", "one pass"}
		}
		var err error
		if answer, err = redis.do(words...); err != nil {
			return "", err
		}
	} else {
		httpRequest := caller.Request{Method: "GET", Path: "/tiles/" + key}
		if write {
			httpRequest = caller.Request{Method: "PUT", Path: "/orders/" + key, Body: []byte("one pass")}
		}
		// 2000 and the margin of 10.
		httpRequest.Headers = map[string]string{"x-request-id": id, "x-envoy-expected-rq-timeout-ms": "2010"}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		result := h.Caller.Do(ctx, httpRequest)
		cancel()
		if result.Err != nil {
			return "", result.Err
		}
		answer = string(result.Body)
	}
	return answer, <-advanced
}

// redisClient sends one request at a time over RESP2.
type redisClient struct {
	conn net.Conn
	in   *bufio.Reader
	buf  []byte
}

func dialRedis(addr string) (*redisClient, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &redisClient{conn: conn, in: bufio.NewReader(conn)}, nil
}

// closedByPeer reports whether the server has closed the connection.
func (c *redisClient) closedByPeer() (closed bool) {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { closed = sender.Peek(fd) == sender.EndOfStream })
	}
	return closed || err != nil
}

// do sends a command and returns the value, or the error line.
func (c *redisClient) do(words ...string) (string, error) {
	command := resp.AppendArray(c.buf[:0], len(words))
	for _, w := range words {
		command = resp.AppendBulk(command, w)
	}
	c.buf = command
	c.conn.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := c.conn.Write(command); err != nil {
		return "", err
	}
	line, err := c.in.ReadString('\n')
	if err == io.EOF && line != "" {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return "", err
	}
	if line[0] != '$' {
		return strings.TrimSpace(line), nil
	}
	var n int
	if _, err := fmt.Sscanf(line, "$%d", &n); err != nil || n < 0 {
		return "", errors.New("lab: the answer has no value")
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(c.in, value); err != nil {
		return "", err
	}
	return string(value[:n]), nil
}
