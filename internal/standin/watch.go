package standin

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"linenloom/internal/sender"
)

// Watch finds the attempts in what passes on a connection between a proxy and a member, and reports them to the checker of copies. Each of its
// methods takes a piece, or nil for the end. Without a checker it does nothing.
type Watch struct {
	copies *Copies // nil: nobody counts them
	heard  func(id, attrs string)
	member string
	origin bool // HTTP/1.1 is spoken, else RESP
	over   func() bool

	mu         sync.Mutex
	in         []byte // of the proxy's messages, what is not whole yet
	answers    []byte // of the member's
	sent       int64  // bytes that the proxy has written
	giving     int64  // of them, those that have come at the member or are being written to it
	delivered  int64
	attempts   []*watchedAttempt // in order
	given      int               // the first of them that is not being written to the member
	delivering int               // the first of them that has not come at the member
	answering  int               // the first that has no answer
}

type watchedAttempt struct {
	*copyAttempt // nil for what is no attempt
	id           string
	end          int64 // of its last byte, in what the proxy writes
}

// Watch begins to watch a connection from a proxy to a member. A nil checker watches nothing.
func (c *Copies) Watch(member string, origin bool, from net.Conn) *Watch {
	return &Watch{copies: c, member: member, origin: origin, over: func() bool { return over(from) }}
}

// Listen makes a Watch that counts nothing, and tells of each request in what is written, with its id and its list of names and values.
func Listen(heard func(id, attrs string)) *Watch { return &Watch{heard: heard} }

// Tell has a Watch tell of each attempt as well, as the proxy has written it.
func (w *Watch) Tell(heard func(id, attrs string)) *Watch {
	w.heard = heard
	return w
}

// over tells whether the other side of a connection has ended it, also behind bytes that nobody has read yet.
func over(conn net.Conn) (ended bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) { ended = sender.PeerClosed(fd) })
	return ended || err != nil
}

// Wrote takes what the proxy has written.
func (w *Watch) Wrote(b []byte) {
	if w.copies == nil && w.heard == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b == nil {
		if w.copies != nil {
			w.copies.closed(w.out())
		}
		return
	}
	w.in = append(w.in, b...)
	for len(w.in) > 0 {
		id, attrs, n := w.message()
		if n == 0 {
			return
		}
		w.sent += int64(n)
		w.in = w.in[n:]
		if w.heard != nil && id != "" {
			w.heard(id, attrs)
		}
		if w.copies == nil {
			continue
		}
		a := &watchedAttempt{id: id, end: w.sent}
		if id != "" {
			a.copyAttempt = w.copies.wrote(w.member, id, w.over)
		}
		w.attempts = append(w.attempts, a)
	}
}

// out is what the proxy has written and the member has not answered.
func (w *Watch) out() (all []*copyAttempt) {
	for _, a := range w.attempts[w.answering:] {
		if a.copyAttempt != nil {
			all = append(all, a.copyAttempt)
		}
	}
	return all
}

// Giving takes what is about to be written to the member. What the member says before that is no answer to it.
func (w *Watch) Giving(b []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.giving += int64(len(b))
	for ; w.given < len(w.attempts) && w.attempts[w.given].end <= w.giving; w.given++ {
		if a := w.attempts[w.given]; a.copyAttempt != nil {
			w.copies.giving(a.id, a.copyAttempt)
		}
	}
}

// Came takes what has come at the member.
func (w *Watch) Came(b []byte) {
	if w.copies == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b == nil {
		w.copies.closedAtMember(w.out())
		return
	}
	w.delivered += int64(len(b))
	for ; w.delivering < len(w.attempts) && w.attempts[w.delivering].end <= w.delivered; w.delivering++ {
		if a := w.attempts[w.delivering]; a.copyAttempt != nil {
			w.copies.arrived(a.id, a.copyAttempt)
		}
	}
}

// Replied takes what the member has written.
func (w *Watch) Replied(b []byte) {
	if w.copies == nil || b == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, b...)
	for len(w.answers) > 0 && w.answering < len(w.attempts) {
		n := w.answer()
		if n == 0 {
			return
		}
		w.answers = w.answers[n:]
		if w.attempts[w.answering].end > w.giving {
			continue
		}
		if a := w.attempts[w.answering]; a.copyAttempt != nil {
			w.copies.replied(a.copyAttempt)
		}
		w.answering++
	}
}

// message measures the message that w.in begins with; id is empty where it is no attempt, n is 0 where it is not whole.
func (w *Watch) message() (id, attrs string, n int) {
	text := bytes.NewReader(w.in)
	buffered := bufio.NewReader(text)
	length := func() int { return len(w.in) - text.Len() - buffered.Buffered() }
	if w.origin {
		request, err := http.ReadRequest(buffered)
		if err != nil {
			return "", "", 0
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return "", "", 0
		}
		return request.Header.Get("X-Request-ID"), request.Header.Get("X-Attrs"), length()
	}
	words, err := readWords(buffered)
	if err != nil {
		return "", "", 0
	}
	if len(words) > 3 && bytes.HasPrefix(words[0], []byte("OBJ.")) {
		id, attrs = string(words[2]), string(words[3])
	}
	return id, attrs, length()
}

// answer measures the answer that w.answers begins with; 0, where it is not whole.
func (w *Watch) answer() int {
	text := bytes.NewReader(w.answers)
	buffered := bufio.NewReader(text)
	if w.origin {
		response, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return 0
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return 0
		}
	} else if skipReply(buffered) != nil {
		return 0
	}
	return len(w.answers) - text.Len() - buffered.Buffered()
}

var errReply = errors.New("standin: no reply")

// skipReply reads over one reply.
func skipReply(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil || len(line) < 3 {
		return errReply
	}
	kind := line[0]
	switch kind {
	case '+', '-', ':':
		return nil
	case '$', '*':
	default:
		return errReply
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return errReply
	}
	if kind == '$' && n >= 0 {
		_, err = io.CopyN(io.Discard, in, int64(n)+2)
		return err
	}
	for range max(0, n) {
		if kind == '*' {
			if err := skipReply(in); err != nil {
				return err
			}
		}
	}
	return nil
}
