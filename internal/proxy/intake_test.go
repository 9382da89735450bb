package proxy

import (
	"net"
	"testing"
	"time"

	"linenloom/internal/sender"
)

// idleClient connects a client that has had an answer and is idle, and returns it with the proxy's side of
// it.
func (p *testProxy) idleClient() (client *testClient, side *client) {
	p.t.Helper()
	client = p.dial()
	client.send(getCommand("a1", "first"))
	client.answer()
	p.eventually("it stands idle", func() bool {
		for side = range p.redis.clients {
			return side.isIdle() && side.hasNoInput()
		}
		return false
	})
	return client, side
}

// closeReasons are the reasons for which the proxy itself ends a connection that is idle.
var closeReasons = map[string]func(c *client){
	"for its place":       func(c *client) { c.front.evictClient() },
	"for a crowded place": func(c *client) { c.lastActive -= clientIdleTimeout; c.front.evictClient() },
	"as it stands idle":   func(c *client) { c.lastActive -= clientIdleTimeout; c.front.closeIdleClients() },
	"as it is hardly reused": func(c *client) {
		c.front.reuseShare, c.front.activeClients, c.reused, c.keepOpen = 0, 1<<20, false, false
		c.endAfterAnswer()
	},
	"as the proxy ends":       func(c *client) { c.front.endingSince = c.proxy.now; c.endAfterAnswer() },
	"as the proxy still ends": func(c *client) { c.front.endingSince = c.proxy.now; c.lastActive -= drainQuietTime; c.front.EndIdle() },
}

// Guards against ending a connection whose next command has been read from the kernel while its reader
// still waits for the core or for the host's lock: nothing is unread and nothing is pending, so the
// connection looks idle, and the command would get no answer. Input that a reader held was known only from
// when it next had the lock. The fault occurred in a planned restart under many connections with few
// descriptors, and clients saw an EOF.
func TestCommandThatIsBeingReadKeepsItsConnection(t *testing.T) {
	for name, end := range closeReasons {
		t.Run(name, func(t *testing.T) {
			node := startCache(t, func(a memberCommand) string { return hitReply("value of " + a.key) })
			p := startProxy(t, testConfig(), listEntry("s-1", node, "large"))
			client, side := p.idleClient()
			p.Do(func() {
				client.send(getCommand("a1", "second")) // its reader can't proceed while the lock is held
				for deadline := time.Now().Add(testTimeout); side.sender.Peek() != sender.NoData; time.Sleep(time.Millisecond) {
					if time.Now().After(deadline) {
						t.Fatal("the command is never read from the kernel")
					}
				}
				end(side)
			})
			if got := client.answer(); got != "value of a1" {
				t.Errorf("answered %q", got)
			}
		})
	}
}

// A command that is still unread in the kernel keeps its connection open too: its client would have to send
// it again.
func TestUnreadCommandKeepsItsConnection(t *testing.T) {
	for name, end := range closeReasons {
		t.Run(name, func(t *testing.T) {
			p := startProxy(t, testConfig())
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			near, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			p.Do(func() {
				side, err := p.redis.newClient(near.(*net.TCPConn)) // without a reader goroutine
				if err != nil {
					t.Fatal(err)
				}
				side.noteCommand()
				if _, err := conn.Write([]byte(getCommand("a1", "only"))); err != nil {
					t.Fatal(err)
				}
				end(side)
				if side.closed || side.writeClosed {
					t.Error("its connection was ended")
				}
				side.close()
			})
		})
	}
}
