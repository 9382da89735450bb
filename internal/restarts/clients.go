package restarts

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// keys is how many keys reads ask for.
const keys = 120

func keyName(n int) string { return fmt.Sprint("k", n) }

// crossing is how soon after its last byte was written a request's connection must have ended for the two to have crossed on the way.
const crossing = 20 * time.Millisecond

// end is what became of a request.
type end uint8

const (
	unanswered end = iota
	served
	refused
	failed
	untaken // its connection ended as it was sent
)

// ask is one request.
type ask struct {
	id, key string
	order   bool
	wait    time.Duration
	sent    time.Time // its last byte
	turn    time.Time // when the answers before it had come
	ended   time.Time
	end     end
	left    bool // its client has closed the connection
	opens   bool // it is the first on its connection
	text    string
}

// clients use the connections that they have for as long as these stay open.
type clients struct {
	p        *play
	seed     uint64
	mu       sync.Mutex
	asks     []*ask
	opened   []net.Conn // the crowd's
	drainsAt time.Time
	drains   string // the member
	killedAt time.Time
	quit     chan struct{}
	g        sync.WaitGroup
}

func newClients(p *play, seed uint64) *clients {
	return &clients{p: p, seed: seed, quit: make(chan struct{})}
}

// idle opens a connection that never asks for anything whole.
func (c *clients) idle() {
	conn, err := net.DialTimeout("tcp", c.p.listen, time.Second)
	if err != nil {
		return
	}
	c.opened = append(c.opened, conn)
	if c.p.rng.IntN(2) == 0 {
		io.WriteString(conn, "*4\r\n$7\r\nOBJ.GET\r\n$2\r\nk")
	}
}

func (c *clients) start(n int) {
	for i := range n {
		rng := rand.New(rand.NewPCG(c.seed, uint64(1000+i)))
		c.g.Go(func() {
			for round := 0; c.connection(rng, fmt.Sprintf("%d-%d", i, round)); round++ {
			}
		})
	}
}

// killed notes that the process was killed: what is unanswered then is lost.
func (c *clients) killed() {
	c.mu.Lock()
	c.killedAt = time.Now()
	c.mu.Unlock()
	close(c.quit)
	for _, conn := range c.opened {
		conn.Close()
	}
	c.g.Wait()
}

func (c *clients) drained(member string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drains, c.drainsAt = member, time.Now()
}

// connection asks on one connection until that ends; false: there are no more.
func (c *clients) connection(rng *rand.Rand, name string) bool {
	select {
	case <-c.quit:
		return false
	default:
	}
	conn, err := net.DialTimeout("tcp", c.p.listen, time.Second)
	if err != nil {
		// Nobody listens any more, or the kernel's line is full of the crowd.
		select {
		case <-c.quit:
			return false
		case <-time.After(10 * time.Millisecond):
			return true
		}
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for n := 0; ; n++ {
		select {
		case <-c.quit:
			return false
		case <-time.After(time.Duration(rng.IntN(8)) * time.Millisecond): // what a client does between requests
		}
		batch := c.batch(rng, fmt.Sprintf("%s-%d", name, n))
		batch[0].opens = n == 0
		var text strings.Builder
		for _, a := range batch {
			text.WriteString(a.command())
		}
		io.WriteString(conn, text.String()) // where it fails the connection has ended, which its reader finds out
		now := time.Now()
		c.mu.Lock()
		for _, a := range batch {
			a.sent, a.turn = now, now
		}
		c.asks = append(c.asks, batch...)
		c.mu.Unlock()
		if rng.IntN(60) == 0 { // it leaves
			time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
			conn.Close()
			c.mu.Lock()
			for _, a := range batch {
				a.left, a.ended = true, time.Now()
			}
			c.mu.Unlock()
			return true
		}
		if !c.answers(conn, in, batch) {
			return true
		}
	}
}

func (c *clients) batch(rng *rand.Rand, name string) []*ask {
	n := 1
	if c.p.pipelines && rng.IntN(3) == 0 {
		n += rng.IntN(7)
	}
	var batch []*ask
	for i := range n {
		a := &ask{id: fmt.Sprintf("%s-%d", name, i), key: keyName(rng.IntN(keys)), wait: c.p.deadline * time.Duration(70+rng.IntN(30)) / 100}
		if rng.IntN(12) == 0 {
			a.order, a.key = true, "order-"+a.id
		}
		batch = append(batch, a)
	}
	return batch
}

// command is the request as it is written.
func (a *ask) command() string {
	words := []string{"OBJ.GET", a.key, a.id, fmt.Sprintf("c=tile-read,d=%d", a.wait.Milliseconds())}
	if a.order {
		words = []string{"OBJ.SET", a.key, a.id, fmt.Sprintf("c=pass-order,d=%d", a.wait.Milliseconds()), "a pass for " + a.id}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(w), w)
	}
	return text.String()
}

// answers reads the answers to a batch; false: the connection has ended.
func (c *clients) answers(conn net.Conn, in *bufio.Reader, batch []*ask) bool {
	for i, a := range batch {
		conn.SetReadDeadline(a.turn.Add(a.wait + answerGrace + time.Second))
		line, value, err := answer(in)
		now := time.Now()
		c.mu.Lock()
		a.ended = now
		a.text = line
		switch {
		case err != nil:
			c.cut(batch[i:], i == 0, now, err)
		case strings.HasPrefix(line, "$"):
			a.end = served
			if want := a.expected(); !strings.HasPrefix(value, want) {
				a.end, a.text = unanswered, fmt.Sprintf("served with %.60q, want %q", value, want)
			}
		case strings.HasPrefix(line, "-BUSY"):
			a.end = refused
		default:
			a.end = failed
		}
		if i+1 < len(batch) {
			batch[i+1].turn = now
		}
		c.mu.Unlock()
		if err != nil {
			return false
		}
	}
	return true
}

// expected is how the value or the receipt of a request begins.
func (a *ask) expected() string {
	if a.order {
		return "receipt of " + a.key
	}
	return "value of " + a.key + " "
}

// cut notes that a connection has ended with requests unanswered. They may have crossed the end, if they were sent on one at rest and nobody has
// heard of them; else they are lost. Where a crowd fills the descriptors, a new connection may be shut unread.
func (c *clients) cut(rest []*ask, first bool, at time.Time, err error) {
	for _, a := range rest {
		a.ended = at
		a.text = fmt.Sprintf("no answer: %v", err)
		var slow net.Error
		timedOut := errors.As(err, &slow) && slow.Timeout()
		unread := at.Sub(a.sent) < crossing || c.p.crowd > 0 && rest[0].opens
		if first && !timedOut && unread && c.p.copies.Written("", a.id) == 0 {
			a.end = untaken
		}
	}
}

// answer reads one answer.
func answer(in *bufio.Reader) (line, value string, err error) {
	if line, err = in.ReadString('\n'); err != nil {
		return "", "", err
	}
	line = strings.TrimSpace(line)
	n := 0
	if k, _ := fmt.Sscanf(line, "$%d", &n); k == 1 && n >= 0 {
		b := make([]byte, n+2)
		if _, err = io.ReadFull(in, b); err != nil {
			return "", "", err
		}
		value = string(b[:n])
	}
	return line, value, nil
}

// count sums up what became of the requests.
func (c *clients) count(r *Result) {
	for _, a := range c.asks {
		r.Asked++
		switch a.end {
		case served:
			r.Served++
		case refused:
			r.Refused++
		case failed:
			r.Failed++
		case untaken:
			r.Untaken++
		}
	}
}

// verdicts are the rules broken for clients.
func (c *clients) verdicts() (faults []string) {
	executions := c.p.fleet.Origin.Executions()
	for _, a := range c.asks {
		took := a.ended.Sub(a.turn)
		switch {
		case a.left:
			if at, ok := c.p.copies.LastWrittenAt(a.id); ok && at.Sub(a.ended) > departGrace+ruleSlack {
				faults = append(faults, fmt.Sprintf("request %s: an attempt began %v after its client had left", a.id, at.Sub(a.ended)))
			}
		case a.end == unanswered:
			faults = append(faults, fmt.Sprintf("request %s is lost, sent %v before the kill, after %v: %s", a.id, c.killedAt.Sub(a.sent), took, a.text))
		case a.end != untaken && took > a.wait+answerGrace:
			faults = append(faults, fmt.Sprintf("request %s was answered after %v, and its client waited for %v", a.id, took, a.wait))
		}
		if a.order && a.end == refused && executions[a.key] > 0 {
			faults = append(faults, fmt.Sprintf("order %s was refused, and has run", a.id))
		}
		if a.order && a.end == untaken && executions[a.key] > 0 {
			faults = append(faults, fmt.Sprintf("order %s was not taken, and has run", a.id))
		}
	}
	if c.drains != "" && !c.p.moves {
		if at, id := c.p.copies.LastWriteTo(c.drains); at.Sub(c.drainsAt) > drainGrace+ruleSlack {
			faults = append(faults, fmt.Sprintf("request %s was sent to %s %v after the news that it drains", id, c.drains, at.Sub(c.drainsAt)))
		}
	}
	return faults
}
