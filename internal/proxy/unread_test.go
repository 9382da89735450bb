package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"linenloom/internal/resp"
)

// A client's disconnect is detected behind commands that were not read yet, while the commands before them
// wait: none of either is sent.
func TestDisconnectBehindUnreadCommands(t *testing.T) {
	requests := newRequestLog()
	blockedAddr, open := blockedMember(t, requests, "large")
	p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", blockedAddr, "large"))
	client := p.dial()
	var all strings.Builder
	for i := range 4 * maxPipeline {
		all.WriteString(getLongDeadline(fmt.Sprintf("b%d", i), fmt.Sprintf("left%d", i)))
	}
	client.send(all.String())
	p.eventually("its reader waits", func() bool {
		for c := range p.redis.clients {
			return c.resume != nil
		}
		return false
	})
	client.conn.Close()
	p.awaitNoClients()
	open()
	p.expectOnlyNext(requests)
}

// Commands that precede malformed input are cancelled when the client disconnects, although the connection
// is being ended for that input.
func TestDisconnectBehindMalformedInput(t *testing.T) {
	for name, rest := range map[string]string{
		"a little": "*1\r\n!\r\n",
		"a lot":    "*1\r\n!\r\n" + strings.Repeat("x", 2*lingerBytes),
	} {
		t.Run(name, func(t *testing.T) {
			requests := newRequestLog()
			blockedAddr, open := blockedMember(t, requests, "large")
			p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", blockedAddr, "large"))
			client := p.dial()
			client.send(getLongDeadline("a1", "left"))
			p.eventually("it waits for a connection", func() bool { return p.queuedAttempts() == 1 })
			client.send(rest)
			client.conn.Close()
			p.awaitNoClients()
			open()
			p.expectOnlyNext(requests)
		})
	}
}

// A client that disconnects while its long value waits for memory leaves the queue for it at once.
func TestDisconnectWaitingForMemory(t *testing.T) {
	cfg := noTimeoutConfig(false)
	cfg.MemoryMB = 32 // enough for two values
	came, release := make(chan struct{}, 10), make(chan struct{})
	o := startOrigin(t, func(*http.Request) string {
		came <- struct{}{}
		<-release
		return httpOK("receipt")
	})
	p := startProxy(t, cfg, listEntry("o", o, "origin"))
	p.Do(func() { p.longValues.maxWait = time.Hour })
	value := numberedText(resp.MaxLongValue)
	for i := range 2 { // both hold their memory until the origin answers
		p.dial().send(putLongDeadline(fmt.Sprint("k", i), fmt.Sprint("first", i), value))
		<-came
	}
	var writers []*testClient
	for i := range 2 {
		c := p.dial()
		text := putLongDeadline(fmt.Sprint("l", i), fmt.Sprint("left", i), value)
		c.send(text[:len(text)-resp.MaxLongValue])
		writers = append(writers, c)
		p.eventually("it waits for room", func() bool { return len(p.longValues.waiting) == i+1 })
	}
	for _, c := range writers {
		c.conn.Close()
	}
	p.eventually("their places are free", func() bool { return len(p.longValues.waiting) == 0 && p.longValues.usedBytes == 2*resp.MaxLongValue })
	close(release)
	p.eventually("nothing is held", func() bool { return p.longValues.usedBytes == 0 && p.bufferedBytes == 0 })
}

// A client that has disconnected before its connection is accepted has no request sent, though a connection
// to a member is free.
func TestDisconnectBeforeAccept(t *testing.T) {
	requests := newRequestLog()
	node := serveConns(t, func(conn net.Conn) { serveLoggingCache(conn, requests, nil) })
	p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", node, "large"))
	first := p.dial()
	first.send(getCommand("a0", "first"))
	first.answer()
	p.eventually("a connection is free", func() bool { return len(p.memberAt(node).Conns) == 1 && p.memberAt(node).Conns[0].Reusable(p.now) })
	p.beginEvent() // so that no connection is accepted
	conn, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(conn, getLongDeadline("a1", "left"))
	conn.Close()
	p.endEvent()
	p.eventually("it has come and gone", func() bool { return p.redis.accepted == 2 && len(p.redis.clients) == 1 })
	first.send(getCommand("a9", "next"))
	first.answer()
	if got := fmt.Sprint(requests.all()); got != "[first next]" {
		t.Errorf("the member was asked under %v", got)
	}
}

// A thousand clients that send and disconnect, some with several commands on a connection, leave nothing
// behind: no client entry, byte, descriptor or goroutine, and none of their requests is sent.
func TestBurstThatDisconnects(t *testing.T) {
	requests := newRequestLog()
	blockedAddr, open := blockedMember(t, requests, "large")
	cfg := noTimeoutConfig(false)
	cfg.Descriptors = 4096
	p := startProxy(t, cfg, listEntry("s-1", blockedAddr, "large"), listEntry("o-1", blockedAddr, "origin"))
	p.eventually("nobody is there", func() bool { return len(p.redis.clients) == 0 })
	const burst = 1000
	var all sync.WaitGroup
	for i := range burst {
		all.Go(func() {
			conn, err := net.Dial("tcp", p.Addr().String())
			if err != nil {
				t.Error(err)
				return
			}
			text := getLongDeadline(fmt.Sprintf("c%d", i), fmt.Sprintf("left%d", i))
			switch i % 4 {
			case 1:
				text = putLongDeadline(fmt.Sprintf("c%d", i), fmt.Sprintf("left%d", i), strings.Repeat("x", 500))
			case 2:
				text = text[:len(text)-1] // all but its last byte
			case 3:
				for n := range 2 * maxPipeline {
					text += getLongDeadline(fmt.Sprintf("c%d-%d", i, n), fmt.Sprintf("left%d-%d", i, n))
				}
			}
			io.WriteString(conn, text)
			conn.Close()
		})
	}
	all.Wait()
	p.eventually("all have been accepted", func() bool { return p.redis.accepted == burst })
	p.awaitNoClients()
	p.eventually("no descriptor is held for clients", func() bool { return p.frontDescriptors == 0 && p.queuedAttempts() == 0 })
	p.eventually("no goroutine is left of a client", func() bool {
		stacks := make([]byte, 4<<20)
		return !bytes.Contains(stacks[:runtime.Stack(stacks, true)], []byte("(*client).serve"))
	})
	open()
	p.expectOnlyNext(requests)
}

// longBacklog returns a client that has sent more commands at once than the kernel holds for its connection, the
// first of which wait at a member. Its reader is suspended, and input was read ahead.
func longBacklog(t *testing.T, p *testProxy) (client *testClient, commands int) {
	t.Helper()
	const size = 320 << 10
	client = p.dial()
	client.conn.(*net.TCPConn).SetWriteBuffer(size) // so that the client need not wait
	var all strings.Builder
	for ; all.Len() < size; commands++ {
		all.WriteString(getLongDeadline(fmt.Sprintf("b%d", commands), fmt.Sprintf("left%d", commands)))
	}
	client.send(all.String())
	return client, commands
}

// Guards against requests that are sent for a client that has left: its end stands behind more unread commands than
// the kernel holds.
func TestDisconnectBehindMoreThanTheKernelHolds(t *testing.T) {
	requests := newRequestLog()
	blockedAddr, open := blockedMember(t, requests, "large")
	p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", blockedAddr, "large"))
	client, _ := longBacklog(t, p)
	client.conn.Close()
	p.awaitNoClients()
	p.eventually("nothing is held", func() bool { return p.readAheadBytes == 0 && p.bufferedBytes == 0 })
	open()
	p.expectOnlyNext(requests)
}

// Guards against commands that are lost, mixed up or counted as held when they were read ahead.
func TestCommandsReadAheadAreAnswered(t *testing.T) {
	release := make(chan struct{})
	node := startCache(t, func(a memberCommand) string {
		<-release
		return hitReply("value of " + a.key)
	})
	p := startProxy(t, noTimeoutConfig(false), listEntry("s-1", node, "large"))
	client, commands := longBacklog(t, p)
	p.eventually("commands were read ahead", func() bool { return p.readAheadBytes > 2*readAheadFrom })
	close(release)
	for i := range commands {
		if got, want := client.answer(), fmt.Sprintf("value of b%d", i); got != want && !strings.HasPrefix(got, "-BUSY") {
			t.Fatalf("command %d of %d was answered %q", i, commands, got)
		}
	}
	p.eventually("nothing is held", func() bool { return p.readAheadBytes == 0 && p.bufferedBytes == 0 })
}

// Guards against memory without bound for what is read ahead.
func TestReadAheadIsBounded(t *testing.T) {
	requests := newRequestLog()
	blockedAddr, open := blockedMember(t, requests, "large")
	cfg := noTimeoutConfig(false)
	cfg.MemoryMB = 4
	p := startProxy(t, cfg, listEntry("s-1", blockedAddr, "large"))
	limit := p.maxBufferedBytes * readAheadPercent / 100
	longBacklog(t, p) // which is longer than the limit
	p.eventually("the memory for it is used", func() bool { return p.readAheadBytes == limit })
	time.Sleep(3 * frontSweepInterval)
	p.Do(func() {
		if p.readAheadBytes > limit {
			t.Errorf("%d bytes are read ahead, limit %d", p.readAheadBytes, limit)
		}
	})
	open()
}
