// Package lab stages the project's own measurements on loopback: hosts and fleets of stand-ins, load, and claims that
// are kept or not. It serves no real traffic; nothing of the proxy depends on it.
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

// patience bounds every wait for something that must come about; only what fails waits as long.
const patience = cluster.WaitTimeout

// OperatorFile is an operator's file that maps /tiles/{key} and /orders/{key}.
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

// Host is a proxy with both fronts in this process, with a clock that moves only when it is told to.
type Host struct {
	Proxy  *proxy.Proxy
	Front  *server.Front
	Fleet  *standin.Fleet
	Caller *caller.Caller
	now    atomic.Int64
	stop   context.CancelFunc
	done   chan error
	mu     sync.Mutex
	sends  []logic.MemberID
}

// NewHost starts a host before a fleet.
func NewHost(fleet *standin.Fleet, mode string) (*Host, error) {
	h := &Host{Fleet: fleet, done: make(chan error, 1)}
	text, err := fleet.Config("lab", "127.0.0.1:0", "7", 128, 512)
	if err != nil {
		return nil, err
	}
	cfg, err := app.ProxyConfig(text)
	if err != nil {
		return nil, err
	}
	cfg.AcceptMore = 0
	cfg.Clock = func() time.Duration { return time.Duration(h.now.Load()) }
	cfg.OnSend = func(_ logic.RequestID, m logic.MemberID) {
		h.mu.Lock()
		h.sends = append(h.sends, m)
		h.mu.Unlock()
	}
	log := slog.New(slog.DiscardHandler)
	if h.Proxy, err = proxy.New(cfg, log); err != nil {
		return nil, err
	}
	file, err := operator.Parse("lab", []byte(OperatorFile("127.0.0.1:0", mode, "20s")))
	if err != nil {
		return nil, err
	}
	if h.Front, err = server.New(h.Proxy, file, log); err != nil {
		return nil, err
	}
	h.Proxy.AddFront(h.Front)
	if h.Caller, err = caller.Dial(h.Front.Addr().String()); err != nil {
		return nil, err
	}
	h.Caller.MessageTimeout, h.Caller.Retries = patience, 5
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { h.done <- h.Proxy.Run(ctx) }()
	return h, nil
}

// Close ends the host.
func (h *Host) Close() error {
	h.Caller.Close()
	h.stop()
	return <-h.done
}

func (h *Host) advance(d time.Duration) {
	h.now.Add(int64(d))
	h.Proxy.Tick()
}

func eventually(what string, ok func() bool) error {
	return cluster.WaitFor(500*time.Microsecond, what, ok)
}

// Choices is what became of a recorded run: the members in the order in which the module chose them, and how each
// request ended.
type Choices struct{ Sends, Ends []string }

// Play plays the recorded run of so many requests by one front or the other: reads of Zipf-like keys and some orders, a
// cold box, one that fails for a while, one that is full for a while, and one that drains. One request is in hand at a
// time and the clock is the run's own, so that the same outcomes come at the same times.
func Play(mode string, duplex bool, requests int, byRedis func(i int) bool) (c Choices, err error) {
	fleet, err := standin.NewFleet(6, 64)
	if err != nil {
		return c, err
	}
	defer fleet.Close()
	if _, err := fleet.AddCache("s-cold", time.UnixMilli(time.Hour.Milliseconds()-100)); err != nil {
		return c, err
	}
	for i := range 40 {
		fleet.Fill(fmt.Sprint("k", i)) // the others miss at first
	}
	h, err := NewHost(fleet, mode)
	if err != nil {
		return c, err
	}
	defer h.Close()
	if duplex {
		h.Caller.SetFullDuplex()
	}
	if err := eventually("the list is known", func() bool { return h.Proxy.Load().Ready == 8 }); err != nil {
		return c, err
	}
	rc, err := dialRedis(h.Proxy.Addr().String())
	if err != nil {
		return c, err
	}
	defer rc.conn.Close()
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		h.advance(5 * time.Millisecond)
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
			if err := eventually("the drain is known", func() bool { return h.Proxy.Load().Ready == 7 }); err != nil {
				return c, err
			}
		}
		key, id, write := fmt.Sprint("k", int(rng.ExpFloat64()*15)%60), fmt.Sprint("id", i), i%20 == 19
		answer, err := h.ask(rc, byRedis(i), mode, key, id, write)
		if err != nil {
			return c, err
		}
		switch {
		case strings.Contains(answer, " of "+key):
			c.Ends = append(c.Ends, "served")
		case strings.HasPrefix(answer, "-BUSY"), strings.HasPrefix(answer, "refused"):
			c.Ends = append(c.Ends, "refused")
		default:
			return c, fmt.Errorf("request %d was answered %q", i, answer)
		}
		if err := eventually("nothing is in hand", func() bool {
			l := h.Proxy.Load()
			return l.Requests == 0 && l.Busy == 0 && h.Front.Counts().Streams == 0
		}); err != nil {
			return c, err
		}
	}
	names := map[logic.MemberID]string{proxy.MemberID("o-1"): "o-1"}
	for _, b := range fleet.Caches {
		names[proxy.MemberID(b.ID)] = b.ID
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.sends {
		c.Sends = append(c.Sends, names[m])
	}
	return c, nil
}

// ask makes one request by one front.
func (h *Host) ask(rc *redisClient, byRedis bool, mode, key, id string, write bool) (string, error) {
	// The last byte of an order is held back for 2 ms; the clock has to move while it is.
	h.Caller.SendAfter = nil
	held := make(chan error, 1)
	switch {
	case write && mode == "route" && !byRedis:
		h.Caller.SendAfter = func(string) { h.advance(10 * time.Millisecond) }
		held <- nil
	case write:
		go func() {
			err := eventually("the order is out", func() bool { return h.Proxy.Load().Busy > 0 })
			h.advance(10 * time.Millisecond)
			held <- err
		}()
	default:
		held <- nil
	}
	var answer string
	if byRedis {
		words := []string{"OBJ.GET", key, id, "c=tile-read,d=2000"}
		if write {
			words = []string{"OBJ.SET", key, id, "c=pass-order,d=2000", "one pass"}
		}
		var err error
		if answer, err = rc.ask(words...); err != nil {
			return "", err
		}
	} else {
		q := caller.Request{Method: "GET", Path: "/tiles/" + key}
		if write {
			q = caller.Request{Method: "PUT", Path: "/orders/" + key, Body: []byte("one pass")}
		}
		q.Headers = map[string]string{"x-request-id": id, "x-envoy-expected-rq-timeout-ms": "2010"} // the margin is 10
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		res := h.Caller.Do(ctx, q)
		cancel()
		if res.Err != nil {
			return "", res.Err
		}
		answer = string(res.Body)
	}
	return answer, <-held
}

// redisClient asks one thing at a time over RESP2.
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

// ended tells whether the other side has ended the connection.
func (c *redisClient) ended() (yes bool) {
	raw, err := c.conn.(*net.TCPConn).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { yes = sender.Peek(fd) == sender.EndOfStream })
	}
	return yes || err != nil
}

// ask returns the value, or the error line.
func (c *redisClient) ask(words ...string) (string, error) {
	b := resp.AppendArray(c.buf[:0], len(words))
	for _, w := range words {
		b = resp.AppendBulk(b, w)
	}
	c.buf = b
	c.conn.SetDeadline(time.Now().Add(patience))
	if _, err := c.conn.Write(b); err != nil {
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
		return "", errors.New("lab: no value")
	}
	v := make([]byte, n+2)
	if _, err := io.ReadFull(c.in, v); err != nil {
		return "", err
	}
	return string(v[:n]), nil
}
