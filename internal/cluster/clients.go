package cluster

import (
	"bufio"
	"fmt"
	"hash/crc64"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"linenloom/internal/resp"
	"linenloom/internal/standin"
)

// Load is what clients ask of each proxy.
type Load struct {
	Reads  float64 // a second, at each proxy
	Orders float64
	Keys   int // of reads, with a Zipf-like share each
	// Deadline is what clients tell, and Aim within what an answer is wanted.
	Deadline, Aim time.Duration
	// Grace is how late a final answer may come before it is lost: the proxies keep their time, the rig's own clients may not where the
	// machine is busy. Tests, whose verdict may not hang on speed, give enough that only an answer that never comes is found.
	Grace time.Duration
}

// Ask is one request and what became of it.
type Ask struct {
	Proxy string
	Order bool
	Key   string
	ID    string
	At    time.Time
	Took  time.Duration
	End   End
	Text  string // of a failure
}

// End is what became of a request.
type End uint8

// The ends.
const (
	Served End = iota
	Refused
	Failed
	Broken // its connection ended without an answer
	Wrong  // an answer that nobody may give: a value of another key
)

// Clients ask until they are stopped.
type Clients struct {
	c    *Cluster
	load Load
	mu   sync.Mutex
	asks []Ask
	quit chan struct{}
	g    sync.WaitGroup
	lost map[string][]span // by proxy: when its process may lose what it had
}

type span struct{ from, to time.Time }

// Ask starts clients at all proxies.
func (c *Cluster) Ask(load Load) *Clients {
	cl := &Clients{c: c, load: load, quit: make(chan struct{}), lost: map[string][]span{}}
	for i, p := range c.Proxies {
		cl.g.Go(func() { cl.run(p, load.Reads, false, uint64(2*i)) })
		if load.Orders > 0 {
			cl.g.Go(func() { cl.run(p, load.Orders, true, uint64(2*i+1)) })
		}
	}
	return cl
}

// MayLose notes that a proxy's process is killed or cut off from its clients: what it had then is the clients' to repeat.
func (cl *Clients) MayLose(proxy string, from, to time.Time) {
	cl.mu.Lock()
	cl.lost[proxy] = append(cl.lost[proxy], span{from, to})
	cl.mu.Unlock()
}

// run asks at a rate, whatever the answers take: each request takes a connection that is idle, or a new one.
func (cl *Clients) run(p *Proxy, rate float64, order bool, stream uint64) {
	rng := rand.New(rand.NewPCG(cl.c.Seed, stream))
	keys := rand.NewZipf(rng, 1.1, 20, uint64(max(1, cl.load.Keys-1)))
	idle := make(chan *conn, 512)
	var g sync.WaitGroup
	defer func() {
		g.Wait()
		close(idle)
		for c := range idle {
			c.Close()
		}
	}()
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-cl.quit:
			return
		case <-tick.C:
		}
		key := fmt.Sprintf("k%d", keys.Uint64())
		if order {
			key = fmt.Sprintf("order-%s-%d-%d", p.Name, stream, n)
		}
		id := fmt.Sprintf("%s%s-%d-%d", cl.c.idPrefix(), p.Name, stream, n)
		g.Go(func() {
			a := Ask{Proxy: p.Name, Order: order, Key: key, ID: id, At: time.Now()}
			cl.ask(p, idle, "", &a)
			cl.mu.Lock()
			cl.asks = append(cl.asks, a)
			cl.mu.Unlock()
		})
	}
}

// table makes an order's idempotency key of its name.
var table = crc64.MakeTable(crc64.ECMA)

type conn struct {
	net.Conn
	in *bufio.Reader
}

// Repeat asks again, as a client that has not heard what became of its request, and tells what it hears then.
func (cl *Clients) Repeat(p *Proxy, a Ask) Ask {
	a.At, a.End, a.ID = time.Now(), Served, a.ID+"-again"
	idle := make(chan *conn, 1)
	cl.ask(p, idle, ",r=1", &a)
	select {
	case c := <-idle:
		c.Close()
	default:
	}
	return a
}

func (cl *Clients) ask(p *Proxy, idle chan *conn, attrs string, a *Ask) {
	for try := 0; ; try++ {
		var c *conn
		fresh := false
		select {
		case c = <-idle:
		default:
			raw, err := net.DialTimeout("tcp", p.Addr, cl.load.Deadline)
			if err != nil {
				a.End, a.Text, a.Took = Broken, err.Error(), time.Since(a.At)
				return
			}
			c, fresh = &conn{raw, bufio.NewReader(raw)}, true
		}
		c.SetDeadline(a.At.Add(cl.load.Deadline + 2*cl.load.Grace))
		words := []string{"OBJ.GET", a.Key, a.ID, fmt.Sprintf("c=tile-read,d=%d%s", cl.load.Deadline.Milliseconds(), attrs)}
		if a.Order {
			words = []string{"OBJ.SET", a.Key, a.ID, fmt.Sprintf("c=pass-order,d=%d,k=%016x%s", cl.load.Deadline.Milliseconds(),
				crc64.Checksum([]byte(a.Key), table), attrs), "one pass"}
		}
		line, value, err := c.ask(words)
		a.Took = time.Since(a.At)
		switch {
		case err != nil && line == "" && !fresh && try < 3: // an idle connection that was closed as the request came: it goes again on another
			c.Close()
			continue
		case err != nil:
			a.End, a.Text = Broken, err.Error()
			c.Close()
			return
		case strings.HasPrefix(line, "-BUSY"):
			a.End = Refused
		case line[0] != '$' && line[0] != '*':
			a.End, a.Text = Failed, line
		case a.Order && value == "receipt of "+a.Key, !a.Order && value == string(standin.Value(a.Key, 200)):
			a.End = Served
		default:
			a.End, a.Text = Wrong, value
		}
		select {
		case idle <- c:
		default:
			c.Close()
		}
		return
	}
}

// ask asks one thing and reads the answer.
func (c *conn) ask(words []string) (line, value string, err error) {
	b := resp.AppendArray(nil, len(words))
	for _, w := range words {
		b = resp.AppendBulk(b, w)
	}
	if _, err = c.Write(b); err != nil {
		return "", "", err
	}
	if line, err = c.in.ReadString('\n'); err != nil {
		return line, "", err
	}
	if line = strings.TrimSpace(line); !strings.HasPrefix(line, "$") {
		return line, "", nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return line, "", err
	}
	v := make([]byte, n+2)
	_, err = io.ReadFull(c.in, v)
	return line, string(v[:max(0, len(v)-2)]), err
}

// Stop ends the asking, and waits for the last answers.
func (cl *Clients) Stop() {
	close(cl.quit)
	cl.g.Wait()
}

// Asks are those of a time that have ended.
func (cl *Clients) Asks(from, to time.Time) []Ask {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(cl.asks), func(a Ask) bool { return a.At.Before(from) || !a.At.Before(to) })
}

// InTime is the share of the reads of a time that were served within the aim, and how many there were.
func (cl *Clients) InTime(from, to time.Time) (share float64, all int) {
	good := 0
	for _, a := range cl.Asks(from, to) {
		if a.Order {
			continue
		}
		if all++; a.End == Served && a.Took <= cl.load.Aim {
			good++
		}
	}
	return float64(good) / float64(max(1, all)), all
}

// Breaches are the rules that were broken, as clients and members saw it, once all has been answered.
func (cl *Clients) Breaches() (all []string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	ran := cl.c.Fleet.Origin.Executions()
	for _, a := range cl.asks {
		may := slices.ContainsFunc(cl.lost[a.Proxy], func(s span) bool { return a.At.Add(a.Took).After(s.from) && a.At.Before(s.to) })
		what := ""
		switch {
		case a.End == Wrong:
			what = "a value that is another's: " + a.Text
		case a.End == Broken && !may:
			what = "no answer: " + a.Text
		case a.Took > cl.load.Deadline+cl.load.Grace && !may:
			what = fmt.Sprintf("answered after %v", a.Took)
		case a.Order && ran[a.Key] > 1:
			what = fmt.Sprintf("ran %d times", ran[a.Key])
		case a.Order && a.End == Refused && ran[a.Key] > 0:
			what = "refused, and has run"
		case a.Order && a.End == Served && ran[a.Key] != 1:
			what = "served, and has not run"
		}
		if what != "" && len(all) < 20 {
			all = append(all, fmt.Sprintf("%s at %s, %v after the start: %s", a.Key, a.Proxy, a.At.Sub(cl.c.start).Round(time.Millisecond), what))
		}
	}
	if cl.c.Copies != nil {
		all = append(all, cl.c.Copies.Violations()...)
	}
	for _, b := range cl.c.Fleet.Caches {
		if b.Overloaded() {
			all = append(all, "pushed over: "+b.ID)
		}
	}
	return all
}

// Number is that of the proxy that was asked.
func (a Ask) Number() (n int) {
	fmt.Sscanf(a.Proxy, "n%d", &n)
	return n
}
