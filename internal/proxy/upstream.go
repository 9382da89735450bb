package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"time"

	"linenloom/internal/resp"
	"linenloom/logic"
)

const (
	// nodeSockets is how many connections a cache surely takes from all proxies together; each has its
	// part of them. A fuller table also takes of what the cache can do, so few are opened beyond the first.
	nodeSockets    = 28
	cacheSockets   = 3
	originSockets  = 48
	maxDials       = 64 // at once: a zone that vanished takes its time to fail, and must not take the descriptors
	idleShare      = 80 // percent of the idle time, after which a connection is closed
	upstreamBuffer = 4 << 10
	fullFor        = time.Second // no further connection is tried after one failed while others stand
)

// member is what this package knows of a member: its address and the connections to it.
type member struct {
	id      logic.MemberID
	addr    string
	origin  bool
	state   logic.State
	started time.Duration
	conns   []*upstream // used last stands last
	dials   int
	queued  bool // in dialQueue
	waiting []*attempt
	full    time.Duration // no dials until then, while there are connections
}

// upstream is a connection to a member. A cache answers in the order of the commands; an origin has one
// request at a time.
type upstream struct {
	p       *Proxy
	m       *member
	conn    *net.TCPConn
	w       *writer
	pending []*attempt // sent and not yet answered, in order; given up ones are kept for their place
	used    time.Duration
	retired bool // nothing new is sent
	stream  bool // a long value is coming; what is sent now would wait for it
}

// update takes a list entry.
func (p *Proxy) update(e logic.Member, addr string) {
	m := p.members[e.ID]
	if m == nil {
		if e.State == logic.Gone {
			return
		}
		m = &member{id: e.ID, addr: addr, started: e.StartedAt}
		p.members[e.ID] = m
	}
	m.origin = e.Kind == p.cfg.Settings.OriginKind && p.cfg.Settings.Mode == logic.Aside
	moved := m.addr != addr || m.started != e.StartedAt
	m.addr, m.started, m.state = addr, e.StartedAt, e.State
	if moved || e.State != logic.Ready {
		p.retire(m)
	}
}

// retire lets the connections to a member end with what is out on them. Attempts that still wait for one
// have not been sent, and must not be once the member drains.
func (p *Proxy) retire(m *member) {
	for _, u := range slices.Clone(m.conns) {
		u.retire()
	}
	if m.state != logic.Ready {
		for _, a := range m.waiting {
			p.end(a, logic.StatusConnectFailed, 0)
		}
		m.waiting = nil
	}
	p.dial(m) // for those that wait for a dial to the old address
}

// retire takes a connection out of use and closes it once nothing is awaited on it.
func (u *upstream) retire() {
	u.retired = true
	if !u.awaited() {
		u.remove()
		u.conn.Close()
	}
}

// awaited tells whether any attempt on the connection is still wanted.
func (u *upstream) awaited() bool {
	return slices.ContainsFunc(u.pending, func(a *attempt) bool { return !a.ended })
}

func (u *upstream) remove() {
	if i := slices.Index(u.m.conns, u); i >= 0 {
		u.m.conns = slices.Delete(u.m.conns, i, i+1)
	}
}

// limits are the most connections to a member and the most attempts on one.
func (p *Proxy) limits(m *member) (conns, depth int) {
	if m.origin {
		return originSockets, 1
	}
	return min(cacheSockets, max(1, nodeSockets/max(1, p.cfg.Settings.Instances))), max(1, p.cfg.Multiplex)
}

// dispatch sends an attempt on a connection that is free, or has it wait for one.
func (p *Proxy) dispatch(m *member, a *attempt) {
	if u := p.pick(m); u != nil {
		u.start(a)
		return
	}
	m.waiting = append(m.waiting, a)
	p.schedule(due{at: p.now + p.cfg.Settings.ConnectTimeout, attempt: a, connect: true})
	p.dial(m)
}

// pick chooses the connection for the next attempt: the idle one used last, so that the others fall idle and
// close; with none idle a new one, as long as there may be more; else the one with the least before it.
func (p *Proxy) pick(m *member) *upstream {
	most, depth := p.limits(m)
	var best *upstream
	for i := len(m.conns) - 1; i >= 0; i-- {
		u := m.conns[i]
		if u.retired || u.stream || u.w.busy || u.w.failed || len(u.pending) >= depth {
			continue
		}
		if len(u.pending) == 0 {
			if p.now-u.used < p.cfg.ConnIdle*idleShare/100 {
				return u
			}
			u.retire() // the member may be closing it at this moment
			continue
		}
		if best == nil || len(u.pending) < len(best.pending) {
			best = u
		}
	}
	if best != nil && (len(m.conns)+m.dials >= most || p.now < m.full) {
		return best
	}
	return nil
}

// dial opens connections for those that wait, within the bounds.
func (p *Proxy) dial(m *member) {
	most, _ := p.limits(m)
	for m.state == logic.Ready && m.dials < len(m.waiting) && len(m.conns)+m.dials < most {
		if p.dialling >= maxDials || p.sockets() >= p.cfg.Sockets-spareSockets/2 && !p.makeRoom() {
			if !m.queued {
				m.queued = true
				p.dialQueue = append(p.dialQueue, m)
			}
			return
		}
		m.dials++
		p.dialling++
		p.upstreams++
		go p.connect(m, m.addr, m.started)
	}
}

// connect opens a connection and reads its answers until it ends.
func (p *Proxy) connect(m *member, addr string, started time.Duration) {
	d := net.Dialer{Timeout: p.cfg.Settings.ConnectTimeout, KeepAlive: -1}
	conn, err := d.DialContext(context.Background(), "tcp", addr)
	var u *upstream
	p.enter()
	m.dials--
	p.dialling--
	if err == nil {
		u, err = p.newUpstream(m, conn.(*net.TCPConn))
	}
	switch {
	case err != nil:
		p.dialFailed(m)
	case m.state != logic.Ready || addr != m.addr || started != m.started:
		u.retire() // the list has changed meanwhile
	default:
		m.conns = append(m.conns, u)
		p.serveWaiting(m)
	}
	p.dial(m)
	p.dialNext()
	p.leave()
	if u == nil {
		if conn != nil {
			conn.Close()
		}
		p.enter()
		p.upstreams--
		p.leave()
		return
	}
	if m.origin {
		u.fail(u.readHTTP())
	} else {
		u.fail(u.readRESP())
	}
}

func (p *Proxy) newUpstream(m *member, conn *net.TCPConn) (*upstream, error) {
	w, err := newWriter(p, conn)
	if err != nil {
		return nil, err
	}
	return &upstream{p: p, m: m, conn: conn, w: w, used: p.now}, nil
}

// dialFailed ends the attempt that has waited longest, unless another connection can still take it: a cache
// that is up but holds all the connections it will goes on answering on the open ones.
func (p *Proxy) dialFailed(m *member) {
	m.full = p.now + fullFor
	p.serveWaiting(m)
	if len(m.waiting) > 0 {
		a := m.waiting[0]
		m.waiting = m.waiting[1:]
		p.end(a, logic.StatusConnectFailed, 0)
	}
}

// dialNext lets the next member dial that had to wait for others' dials.
func (p *Proxy) dialNext() {
	for len(p.dialQueue) > 0 && p.dialling < maxDials {
		m := p.dialQueue[0]
		p.dialQueue = p.dialQueue[1:]
		m.queued = false
		p.dial(m)
		if m.queued {
			return
		}
	}
}

// serveWaiting sends those that wait, as far as there are connections.
func (p *Proxy) serveWaiting(m *member) {
	for len(m.waiting) > 0 && m.state == logic.Ready {
		a := m.waiting[0]
		if !a.ended {
			u := p.pick(m)
			if u == nil {
				return
			}
			u.start(a)
		}
		m.waiting = m.waiting[1:]
	}
}

// connectTimeout ends an attempt that has found no connection in time.
func (p *Proxy) connectTimeout(a *attempt) {
	if a.conn == nil && !a.ended {
		p.unqueue(a)
		p.end(a, logic.StatusConnectFailed, 0)
	}
}

func (p *Proxy) unqueue(a *attempt) {
	if m := p.members[a.to]; m != nil {
		if i := slices.Index(m.waiting, a); i >= 0 {
			m.waiting = slices.Delete(m.waiting, i, i+1)
		}
	}
}

// start writes an attempt. The caller has made sure, under the same lock, that the member is ready.
func (u *upstream) start(a *attempt) {
	p := u.p
	a.conn = u
	u.pending = append(u.pending, a)
	u.touch()
	b := p.scratch[:0]
	if u.m.origin {
		b = appendHTTP(b, a.req, u.m.addr)
	} else {
		b = a.req.appendCommand(b, a.until-p.now)
	}
	p.scratch = b[:0]
	u.w.send(b, false)
	if a.req.write {
		u.w.send(a.req.value, true)
		if !u.m.origin {
			u.w.send([]byte("\r\n"), true)
		}
	}
	a.end = u.w.taken
}

// touch makes the connection the one used last.
func (u *upstream) touch() {
	u.used = u.p.now
	if c := u.m.conns; len(c) > 0 && c[len(c)-1] != u {
		if i := slices.Index(c, u); i >= 0 {
			copy(c[i:], c[i+1:])
			c[len(c)-1] = u
		}
	}
}

// abandon stops waiting for an attempt. Its connection is closed, or if others wait on it, its sending is
// ended: until then the attempt is out, and a further one would be a second copy.
func (p *Proxy) abandon(a *attempt, s logic.Status) {
	u := a.conn
	if u == nil {
		p.unqueue(a)
		if s == logic.StatusTimeout {
			s = logic.StatusConnectFailed // it was never sent
		}
		p.end(a, s, 0)
		return
	}
	if a.end > u.w.sent { // part of it is still here, and won't go out
		s = logic.StatusConnectFailed
	}
	p.end(a, s, 0)
	u.retire()
	if u.awaited() {
		u.conn.CloseWrite()
	}
}

// next takes the attempt that the next answer belongs to; nil, if there is none.
func (u *upstream) next() *attempt {
	if len(u.pending) == 0 {
		return nil
	}
	return u.pending[0]
}

// answered takes the attempt that has been answered off the connection and lets the next one have it.
func (u *upstream) answered() {
	u.pending = slices.Delete(u.pending, 0, 1)
	u.used = u.p.now
	if u.retired {
		u.retire()
	}
	u.p.serveWaiting(u.m)
}

// result gives the attempt at the head its outcome, with the reply that the client gets if it was served.
func (u *upstream) result(s logic.Status, note int, reply []byte) error {
	p := u.p
	p.enter()
	defer p.leave()
	a := u.next()
	if a == nil {
		return errors.New("answer without a request")
	}
	if !a.ended {
		if r := a.req; s == logic.StatusOK && !r.done {
			r.done = true
			r.client.answer(r, reply)
		}
		p.end(a, s, note)
	}
	u.answered()
	return nil
}

// fail ends a connection and the attempts on it. One whose last byte was not written never ran; the others
// may have.
func (u *upstream) fail(err error) {
	p := u.p
	p.enter()
	defer p.leave()
	u.remove()
	u.retired = true
	u.w.failed = true
	u.conn.Close()
	for i, a := range u.pending {
		s := logic.StatusReset
		switch {
		case a.end > u.w.sent:
			s = logic.StatusConnectFailed
		case i == 0 && errors.Is(err, resp.ErrProtocol):
			s = logic.StatusError
		}
		p.end(a, s, 0)
	}
	u.pending = nil
	p.upstreams--
	p.dial(u.m)
	p.dialNext()
}

// closeIdle closes the connections to a member that have been idle for long enough, before the member does:
// a command that crosses its close would count as one that may have run.
func (p *Proxy) closeIdle(m *member, age time.Duration) (closed int) {
	for _, u := range slices.Clone(m.conns) {
		if len(u.pending) == 0 && p.now-u.used >= age {
			u.retire()
			closed++
		}
	}
	return closed
}

// notes are the words in which caches tell how a read went.
func noteOf(word []byte) int {
	switch string(word) {
	case "hit":
		return logic.NoteHit
	case "miss":
		return logic.NoteMiss
	case "pending":
		return logic.NoteFetched
	}
	return 0
}

// readRESP reads a cache's answers until the connection ends.
func (u *upstream) readRESP() error {
	in := resp.NewReader(u.conn, upstreamBuffer)
	for {
		h, err := in.Head()
		switch {
		case err != nil:
			return err
		case h.Kind == '-':
			s := logic.StatusError
			if bytes.HasPrefix(h.Text, []byte("BUSY")) {
				s = logic.StatusFull
			}
			err = u.result(s, 0, nil)
		case h.Kind == '*' && h.N >= 1:
			err = u.readArray(in, h.N)
		default:
			err = resp.ErrProtocol
		}
		if err != nil {
			return err
		}
	}
}

// readArray reads an answer of n elements: the value, how the read went, and a report, which is not used.
func (u *upstream) readArray(in *resp.Reader, n int) error {
	h, err := in.Head()
	if err != nil {
		return err
	}
	if h.Kind != '$' {
		return resp.ErrProtocol
	}
	size, rest := h.N, n-1
	if size > longValue {
		if err := u.pass(size, in); err != nil {
			return err
		}
		if err := in.End(); err != nil {
			return err
		}
		_, err := readRest(in, rest)
		return err
	}
	buf := u.p.buffers.Get().(*[]byte)
	defer u.p.buffers.Put(buf)
	status := logic.StatusMiss
	reply := (*buf)[:0]
	if size >= 0 {
		status = logic.StatusOK
		reply = resp.AppendBulkHead(slices.Grow(reply, size+16), size)
		if reply, err = in.Bulk(reply, size); err != nil {
			return err
		}
		reply = append(reply, "\r\n"...)
		*buf = reply
	}
	note, err := readRest(in, rest)
	if err != nil {
		return err
	}
	return u.result(status, note, reply)
}

// readRest reads the elements after the value.
func readRest(in *resp.Reader, n int) (note int, err error) {
	for i := range n {
		h, err := in.Head()
		if err != nil {
			return 0, err
		}
		word := h.Text
		switch {
		case h.Kind == '$' && h.N > maxText || h.Kind == '*' && h.N >= 0 || h.Kind == '-':
			return 0, resp.ErrProtocol
		case h.Kind == '$' && h.N >= 0:
			if word, err = in.Bulk(nil, h.N); err != nil {
				return 0, err
			}
		}
		if i == 0 {
			note = noteOf(word)
		}
	}
	return note, nil
}

// appendHTTP appends the request for an origin, without a write's value; http.Request.Write would copy that
// too. The texts are a client's: none may end its line and begin another.
func appendHTTP(b []byte, r *request, addr string) []byte {
	method := http.MethodGet
	if r.write {
		method = http.MethodPut
	}
	path := url.URL{Path: "/" + string(r.key)}
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path.EscapedPath(), addr)
	b = appendHeader(b, "X-Request-ID", r.reqID)
	b = appendHeader(b, "X-Attrs", r.attrs)
	if r.write {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.value))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name string, value []byte) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = appendLine(b, value)
	return append(b, "\r\n"...)
}

// appendLine appends text without what could end a line.
func appendLine[T []byte | string](b []byte, text T) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == 0x7f {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return b
}

// capped bounds what an origin may send before its value.
type capped struct {
	r    io.Reader
	left int
}

func (c *capped) Read(b []byte) (int, error) {
	if c.left <= 0 {
		return 0, resp.ErrProtocol
	}
	n, err := c.r.Read(b[:min(len(b), c.left)])
	c.left -= n
	return n, err
}

// readHTTP reads an origin's answers until the connection ends.
func (u *upstream) readHTTP() error {
	const maxHeader = 64 << 10
	limit := &capped{r: u.conn}
	in := bufio.NewReaderSize(limit, upstreamBuffer)
	for {
		limit.left = maxHeader
		if _, err := in.Peek(1); err != nil {
			return err
		}
		answer, err := http.ReadResponse(in, nil)
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNet(err) {
				return err
			}
			return errors.Join(resp.ErrProtocol, err)
		}
		if answer.StatusCode < http.StatusOK { // it only says that more will come
			continue
		}
		limit.left = resp.MaxValue + maxHeader
		if err := u.readAnswer(answer); err != nil {
			return err
		}
		if answer.Close {
			return io.EOF
		}
	}
}

func isNet(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// readAnswer reads one answer of an origin.
func (u *upstream) readAnswer(answer *http.Response) error {
	s := logic.StatusError
	switch answer.StatusCode {
	case http.StatusOK:
		s = logic.StatusOK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if answer.Header.Get("X-Not-Processed") == "1" {
			s = logic.StatusFull
		}
	}
	size := int(answer.ContentLength)
	if s == logic.StatusOK && size > longValue && size <= resp.MaxValue {
		return u.pass(size, answer.Body)
	}
	if size > resp.MaxValue {
		return resp.ErrProtocol
	}
	// Without a length, a value has to be held until its end shows how long it is.
	body, err := io.ReadAll(io.LimitReader(answer.Body, resp.MaxValue+1))
	if err != nil {
		return err
	}
	if len(body) > resp.MaxValue {
		return resp.ErrProtocol
	}
	return u.result(s, 0, resp.AppendBulk(nil, body))
}
