package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"linenloom/internal/resp"
)

const (
	clientBuffer = 4 << 10
	maxText      = 2 << 10 // key, id and list together
	// maxPipeline is how many commands of a connection are read ahead of their answers.
	maxPipeline = 32
	// commandTime is how long a command may take to arrive. Clients may take 2 s; one that takes longer has
	// stopped in the middle and would hold its part of the memory for good.
	commandTime = 4 * time.Second
)

// command is what a client asks.
type command struct {
	name    string // of commands other than the two that are passed on
	refused bool   // there was no room for its value
	write   bool
	// Slices of one allocation, as they came.
	key, reqID, attrs []byte
	value             []byte
}

// client is a client's connection.
type client struct {
	p       *Proxy
	conn    *net.TCPConn
	in      *resp.Reader
	w       *writer
	pending []*request // in the order of their commands
	mid     bool       // a command has been read in part
	resume  chan struct{}
	active  time.Duration // when it last had something pending
	ended   bool          // nothing further is read or answered
	limited bool          // a deadline is set for the rest of a command
}

// Read reads for the parser. In the middle of a command it limits how long the rest may take.
func (c *client) Read(b []byte) (int, error) {
	if c.mid && !c.limited {
		c.limited = true
		c.conn.SetReadDeadline(time.Now().Add(commandTime))
	}
	return c.conn.Read(b)
}

// accept takes connections until the listener is closed.
func (p *Proxy) accept() error {
	for {
		conn, err := p.listen.AcceptTCP()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil && (errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)) {
			// What the kernel has taken must be answered: make room and take it.
			p.enter()
			p.makeRoom()
			p.leave()
			time.Sleep(time.Millisecond)
			continue
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil // drain's way to say that the backlog is empty
		}
		if err != nil {
			if errors.Is(err, syscall.ECONNABORTED) || errors.Is(err, syscall.EINTR) {
				continue
			}
			return fmt.Errorf("accept: %w", err)
		}
		p.enter()
		c, err := p.newClient(conn)
		p.leave()
		if err != nil {
			conn.Close()
			continue
		}
		go c.serve()
	}
}

func (p *Proxy) newClient(conn *net.TCPConn) (*client, error) {
	w, err := newWriter(p, conn)
	if err != nil {
		return nil, err
	}
	for p.sockets() >= p.cfg.Sockets-spareSockets && p.makeRoom() {
	}
	c := &client{p: p, conn: conn, w: w, active: p.now}
	c.in = resp.NewReader(c, clientBuffer)
	w.idle = c.flush
	p.clients[c] = struct{}{}
	return c, nil
}

// makeRoom closes the connection that has been idle longest: a client may open another at any time, and
// loses nothing by it.
func (p *Proxy) makeRoom() bool {
	var oldest *client
	for c := range p.clients {
		if c.free() && (oldest == nil || c.active < oldest.active) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.close()
		return true
	}
	for _, m := range p.members {
		if p.closeIdle(m, 0) > 0 {
			return true
		}
	}
	return false
}

// free tells whether the connection can be closed without losing anything.
func (c *client) free() bool {
	return len(c.pending) == 0 && !c.w.busy && !c.mid
}

// serve reads commands until the connection ends.
func (c *client) serve() {
	err := c.read()
	c.p.enter()
	if err != nil && !c.ended && (errors.Is(err, resp.ErrProtocol) || errors.Is(err, os.ErrDeadlineExceeded)) {
		text := "ERR Protocol error: " + err.Error()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			text = "ERR the command was not finished in time"
		}
		c.error(text)
		c.mid = false
		c.hangUp(true)
		c.p.leave()
		c.linger()
		c.p.enter()
	}
	c.gone()
	c.p.leave()
}

// linger reads and drops what still comes, so that the client can take in what it has been sent.
func (c *client) linger() {
	c.conn.SetReadDeadline(time.Now().Add(stallLimit))
	io.Copy(io.Discard, c.conn)
}

// hangUp ends the sending side once everything pending is answered. The client sees the end and closes.
func (c *client) hangUp(final bool) {
	c.ended = c.ended || final
	if c.free() && !c.w.failed {
		c.ended = true
		c.conn.CloseWrite()
	}
}

// read reads commands and submits them.
func (c *client) read() error {
	p := c.p
	for {
		if err := c.in.Wait(); err != nil {
			return err
		}
		c.begin(true)
		cmd, err := c.command()
		if err != nil {
			return err
		}
		p.enter()
		c.mid = false
		if c.ended { // it has been told of the end; a request that crosses it is sent again elsewhere
			p.held -= cap(cmd.value)
			p.leave()
			return io.EOF
		}
		switch {
		case cmd.refused:
			c.error("BUSY")
		case cmd.name == "":
			p.submit(c, cmd)
		case cmd.name == "PING":
			c.say("+PONG\r\n")
		default:
			c.error("ERR unknown command")
		}
		var wait chan struct{}
		if len(c.pending) >= maxPipeline || c.w.busy && p.held > p.heldMax {
			wait = make(chan struct{})
			c.resume = wait
		}
		p.leave()
		if c.limited {
			c.limited = false
			c.conn.SetReadDeadline(time.Time{})
		}
		if wait != nil {
			<-wait
		}
	}
}

// begin notes that a command has begun to arrive.
func (c *client) begin(mid bool) {
	c.p.mu.Lock()
	c.mid = mid
	c.p.mu.Unlock()
}

// command reads a command. A malformed one leaves no way to tell where the next begins.
func (c *client) command() (cmd command, err error) {
	h, err := c.in.Head()
	if err != nil {
		return cmd, err
	}
	if h.Kind != '*' || h.N < 1 {
		return cmd, fmt.Errorf("a command is an array: %w", resp.ErrProtocol)
	}
	n := h.N
	name, err := c.arg(nil, maxText)
	if err != nil {
		return cmd, err
	}
	switch {
	case n == 4 && string(name) == "OBJ.GET":
	case n == 5 && string(name) == "OBJ.SET":
		cmd.write = true
	default:
		cmd.name = strings.ToUpper(string(name))
		if strings.HasPrefix(cmd.name, "OBJ.") {
			cmd.name = "malformed OBJ"
		}
		for range n - 1 {
			if h, err = c.bulkHead(); err == nil {
				err = c.in.Skip(h.N)
			}
			if err != nil {
				return cmd, err
			}
		}
		return cmd, nil
	}
	text := make([]byte, 0, 96)
	ends := [3]int{}
	for i := range ends {
		if text, err = c.arg(text, maxText-len(text)); err != nil {
			return cmd, err
		}
		ends[i] = len(text)
	}
	cmd.key, cmd.reqID, cmd.attrs = text[:ends[0]], text[ends[0]:ends[1]], text[ends[1]:]
	if cmd.write {
		err = c.value(&cmd)
	}
	return cmd, err
}

func (c *client) bulkHead() (resp.Head, error) {
	h, err := c.in.Head()
	if err == nil && (h.Kind != '$' || h.N < 0) {
		err = fmt.Errorf("an argument is a bulk string: %w", resp.ErrProtocol)
	}
	return h, err
}

func (c *client) arg(dst []byte, most int) ([]byte, error) {
	h, err := c.bulkHead()
	if err != nil {
		return dst, err
	}
	if h.N > most {
		return dst, fmt.Errorf("argument too long: %w", resp.ErrProtocol)
	}
	return c.in.Bulk(dst, h.N)
}

// value reads a value into memory, which it takes from the shared room piece by piece as bytes arrive: a
// client that only announces a long value holds none of it. Past the room, the value is read over and the
// command is refused.
func (c *client) value(cmd *command) error {
	h, err := c.bulkHead()
	if err != nil {
		return err
	}
	p := c.p
	const piece = 64 << 10
	for len(cmd.value) < h.N {
		if len(cmd.value) == cap(cmd.value) {
			size := min(h.N, max(piece, 2*cap(cmd.value)))
			grown := make([]byte, len(cmd.value), size)
			copy(grown, cmd.value)
			p.mu.Lock()
			p.held += cap(grown) - cap(cmd.value)
			over := p.held > p.heldMax
			if over {
				p.held -= cap(grown)
			}
			p.mu.Unlock()
			if over {
				rest := h.N - len(cmd.value)
				*cmd = command{refused: true}
				return c.in.Skip(rest)
			}
			cmd.value = grown
		}
		n, err := c.in.Read(cmd.value[len(cmd.value):min(cap(cmd.value), h.N)])
		cmd.value = cmd.value[:len(cmd.value)+n]
		if err == nil && len(cmd.value) == h.N {
			break
		}
		if err != nil {
			p.mu.Lock()
			p.held -= cap(cmd.value)
			p.mu.Unlock()
			return err
		}
	}
	return c.in.End()
}

// say answers a command that is no request.
func (c *client) say(text string) {
	r := &request{client: c, done: true}
	c.pending = append(c.pending, r)
	c.answer(r, []byte(text))
}

func (c *client) error(text string) {
	c.say(string(resp.AppendError(nil, string(appendLine(nil, text)))))
}

// answer gives a request its final answer. It goes out now if it is its turn; the caller may then use the
// bytes again.
func (c *client) answer(r *request, reply []byte) {
	if len(c.pending) > 0 && c.pending[0] == r && !c.w.busy {
		c.w.send(reply, false)
		c.pop()
		c.flush()
		return
	}
	if slices.Contains(c.pending, r) {
		r.reply = slices.Clone(reply)
		c.p.held += len(r.reply)
	}
}

// flush writes the answers whose turn has come.
func (c *client) flush() {
	for len(c.pending) > 0 && !c.w.busy {
		r := c.pending[0]
		if r.stream != nil {
			c.w.busy = true // the stream has the sending side until it is through
			close(r.stream.turn)
			return
		}
		if r.reply == nil {
			return
		}
		c.p.held -= len(r.reply)
		c.w.send(r.reply, true)
		r.reply = nil
		c.pop()
	}
	if !c.w.busy {
		c.wake()
	}
	if c.ended {
		c.hangUp(false)
	}
}

// pop removes the request that has been answered.
func (c *client) pop() {
	c.pending = slices.Delete(c.pending, 0, 1)
	c.active = c.p.now
	c.wake()
}

func (c *client) wake() {
	if c.resume != nil {
		close(c.resume)
		c.resume = nil
	}
}

// close ends the connection; its reader cleans up.
func (c *client) close() {
	c.ended = true
	c.conn.Close()
	c.wake()
}

// gone cleans up after a connection that has ended: nobody waits for what is pending.
func (c *client) gone() {
	p := c.p
	c.close()
	c.w.failed = true
	pending := c.pending
	c.pending = nil
	for _, r := range pending {
		p.held -= len(r.reply)
		r.reply = nil
		if r.stream != nil && !r.stream.begun() {
			close(r.stream.turn)
		}
		if !r.done {
			r.done = true
			p.bal.Expired(p.now, r.id)
		}
		p.settle(r)
	}
	delete(p.clients, c)
}
