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

// Observer finds attempts in the bytes on a connection between a proxy and a member, and reports them to a
// DuplicateChecker. Each of its methods takes a piece of the stream, or nil for its end. Without a checker
// it reports nothing.
type Observer struct {
	duplicates *DuplicateChecker // may be nil
	onRequest  func(id, attrs string)
	member     string
	origin     bool // speaks HTTP/1.1, otherwise RESP
	peerClosed func() bool

	mu               sync.Mutex
	requestBytes     []byte // the proxy's incomplete message
	answerBytes      []byte // the member's incomplete answer
	writtenOffset    int64  // bytes of complete messages written by the proxy
	forwardingOffset int64  // bytes that have been or are being written to the member
	deliveredOffset  int64
	attempts         []*observedAttempt // in the order of writing
	nextForwarded    int                // the first attempt that is not being written to the member
	nextDelivered    int                // the first attempt that has not arrived at the member
	nextAnswered     int                // the first attempt without an answer
}

type observedAttempt struct {
	*trackedAttempt // nil for a message that is no attempt
	id              string
	endOffset       int64 // of its last byte in the proxy's stream
}

// Observe returns an Observer for a connection from a proxy to a member. With a nil checker it reports
// nothing.
func (c *DuplicateChecker) Observe(member string, origin bool, from net.Conn) *Observer {
	return &Observer{duplicates: c, member: member, origin: origin, peerClosed: func() bool { return peerClosed(from) }}
}

// ObserveRequests returns an Observer without a checker. It calls heard with the id and the attributes of
// each request that is written.
func ObserveRequests(heard func(id, attrs string)) *Observer { return &Observer{onRequest: heard} }

// NotifyRequests makes an Observer call heard for each attempt as well, when the proxy has written it.
func (w *Observer) NotifyRequests(heard func(id, attrs string)) *Observer {
	w.onRequest = heard
	return w
}

// peerClosed reports whether the peer of a connection has closed it, even behind unread bytes.
func peerClosed(conn net.Conn) (ended bool) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) { ended = sender.PeerClosed(fd) })
	return ended || err != nil
}

// ProxyWrote processes bytes that the proxy has written.
func (w *Observer) ProxyWrote(b []byte) {
	if w.duplicates == nil && w.onRequest == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b == nil {
		if w.duplicates != nil {
			w.duplicates.recordClose(w.unanswered())
		}
		return
	}
	w.requestBytes = append(w.requestBytes, b...)
	for len(w.requestBytes) > 0 {
		id, attrs, n := w.nextMessage()
		if n == 0 {
			return
		}
		w.writtenOffset += int64(n)
		w.requestBytes = w.requestBytes[n:]
		if w.onRequest != nil && id != "" {
			w.onRequest(id, attrs)
		}
		if w.duplicates == nil {
			continue
		}
		a := &observedAttempt{id: id, endOffset: w.writtenOffset}
		if id != "" {
			a.trackedAttempt = w.duplicates.recordWrite(w.member, id, w.peerClosed)
		}
		w.attempts = append(w.attempts, a)
	}
}

// unanswered returns the attempts that the proxy has written and the member has not answered.
func (w *Observer) unanswered() (all []*trackedAttempt) {
	for _, a := range w.attempts[w.nextAnswered:] {
		if a.trackedAttempt != nil {
			all = append(all, a.trackedAttempt)
		}
	}
	return all
}

// Forwarding processes bytes that are about to be written to the member. Bytes that the member sends
// before that are no answer to them.
func (w *Observer) Forwarding(b []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forwardingOffset += int64(len(b))
	for ; w.nextForwarded < len(w.attempts) && w.attempts[w.nextForwarded].endOffset <= w.forwardingOffset; w.nextForwarded++ {
		if a := w.attempts[w.nextForwarded]; a.trackedAttempt != nil {
			w.duplicates.recordForwarding(a.id, a.trackedAttempt)
		}
	}
}

// MemberReceived processes bytes that have arrived at the member.
func (w *Observer) MemberReceived(b []byte) {
	if w.duplicates == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if b == nil {
		w.duplicates.recordCloseAtMember(w.unanswered())
		return
	}
	w.deliveredOffset += int64(len(b))
	for ; w.nextDelivered < len(w.attempts) && w.attempts[w.nextDelivered].endOffset <= w.deliveredOffset; w.nextDelivered++ {
		if a := w.attempts[w.nextDelivered]; a.trackedAttempt != nil {
			w.duplicates.recordArrival(a.id, a.trackedAttempt)
		}
	}
}

// MemberReplied processes bytes that the member has written.
func (w *Observer) MemberReplied(b []byte) {
	if w.duplicates == nil || b == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answerBytes = append(w.answerBytes, b...)
	for len(w.answerBytes) > 0 && w.nextAnswered < len(w.attempts) {
		n := w.nextAnswer()
		if n == 0 {
			return
		}
		w.answerBytes = w.answerBytes[n:]
		if w.attempts[w.nextAnswered].endOffset > w.forwardingOffset {
			continue
		}
		if a := w.attempts[w.nextAnswered]; a.trackedAttempt != nil {
			w.duplicates.recordAnswer(a.trackedAttempt)
		}
		w.nextAnswered++
	}
}

// nextMessage parses the message at the start of w.requestBytes and returns its length. The id is empty if
// the message is no attempt, and n is 0 if it is incomplete.
func (w *Observer) nextMessage() (id, attrs string, n int) {
	text := bytes.NewReader(w.requestBytes)
	buffered := bufio.NewReader(text)
	length := func() int { return len(w.requestBytes) - text.Len() - buffered.Buffered() }
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
	words, err := readCommand(buffered)
	if err != nil {
		return "", "", 0
	}
	if len(words) > 3 && bytes.HasPrefix(words[0], []byte("OBJ.")) {
		id, attrs = string(words[2]), string(words[3])
	}
	return id, attrs, length()
}

// nextAnswer returns the length of the answer at the start of w.answerBytes, or 0 if it is incomplete.
func (w *Observer) nextAnswer() int {
	text := bytes.NewReader(w.answerBytes)
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
	return len(w.answerBytes) - text.Len() - buffered.Buffered()
}

var errMalformedReply = errors.New("standin: no reply")

// skipReply reads and discards one reply.
func skipReply(in *bufio.Reader) error {
	line, err := in.ReadString('\n')
	if err != nil || len(line) < 3 {
		return errMalformedReply
	}
	kind := line[0]
	switch kind {
	case '+', '-', ':':
		return nil
	case '$', '*':
	default:
		return errMalformedReply
	}
	n, err := strconv.Atoi(strings.TrimSpace(line[1:]))
	if err != nil {
		return errMalformedReply
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
