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
	"time"

	"golang.org/x/sys/unix"

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
	readLate   func() time.Duration // how long the bytes just read were in the socket

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
func (c *DuplicateChecker) Observe(member string, origin bool, conn net.Conn) *Observer {
	return &Observer{duplicates: c, member: member, origin: origin, peerClosed: func() bool { return peerClosed(conn) },
		readLate: func() time.Duration { return sinceLastData(conn) }}
}

// ObserveRequests returns an Observer without a checker. It calls onRequest with the id and the attributes
// of each request that is written.
func ObserveRequests(onRequest func(id, attrs string)) *Observer {
	return &Observer{onRequest: onRequest}
}

// NotifyRequests makes an Observer call onRequest for each attempt as well, when the proxy has written it.
func (o *Observer) NotifyRequests(onRequest func(id, attrs string)) *Observer {
	o.onRequest = onRequest
	return o
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

// sinceLastData returns how long ago the last data arrived on a connection, by the kernel's record; 0 if that
// is unknown.
func sinceLastData(conn net.Conn) (ago time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return ago
}

// ProxyWrote processes bytes that the proxy has written.
func (o *Observer) ProxyWrote(b []byte) {
	if o.duplicates == nil && o.onRequest == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if b == nil {
		if o.duplicates != nil {
			o.duplicates.recordClose(o.unanswered())
		}
		return
	}
	o.requestBytes = append(o.requestBytes, b...)
	for len(o.requestBytes) > 0 {
		id, attrs, n := o.nextMessage()
		if n == 0 {
			return
		}
		o.writtenOffset += int64(n)
		o.requestBytes = o.requestBytes[n:]
		if o.onRequest != nil && id != "" {
			o.onRequest(id, attrs)
		}
		if o.duplicates == nil {
			continue
		}
		a := &observedAttempt{id: id, endOffset: o.writtenOffset}
		if id != "" {
			a.trackedAttempt = o.duplicates.recordWrite(o.member, id, o.peerClosed)
			o.duplicates.recordReadLate(a.trackedAttempt, o.readLate())
		}
		o.attempts = append(o.attempts, a)
	}
}

// unanswered returns the attempts that the proxy has written and the member has not answered.
func (o *Observer) unanswered() (attempts []*trackedAttempt) {
	for _, a := range o.attempts[o.nextAnswered:] {
		if a.trackedAttempt != nil {
			attempts = append(attempts, a.trackedAttempt)
		}
	}
	return attempts
}

// Forwarding processes bytes that are about to be written to the member. Bytes that the member sends
// before that are no answer to them.
func (o *Observer) Forwarding(b []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forwardingOffset += int64(len(b))
	for ; o.nextForwarded < len(o.attempts) && o.attempts[o.nextForwarded].endOffset <= o.forwardingOffset; o.nextForwarded++ {
		if a := o.attempts[o.nextForwarded]; a.trackedAttempt != nil {
			o.duplicates.recordForwarding(a.id, a.trackedAttempt)
		}
	}
}

// MemberReceived processes bytes that have arrived at the member.
func (o *Observer) MemberReceived(b []byte) {
	if o.duplicates == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if b == nil {
		o.duplicates.recordCloseAtMember(o.unanswered())
		return
	}
	o.deliveredOffset += int64(len(b))
	for ; o.nextDelivered < len(o.attempts) && o.attempts[o.nextDelivered].endOffset <= o.deliveredOffset; o.nextDelivered++ {
		if a := o.attempts[o.nextDelivered]; a.trackedAttempt != nil {
			o.duplicates.recordArrival(a.id, a.trackedAttempt)
		}
	}
}

// MemberReplied processes bytes that the member has written.
func (o *Observer) MemberReplied(b []byte) {
	if o.duplicates == nil || b == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answerBytes = append(o.answerBytes, b...)
	for len(o.answerBytes) > 0 && o.nextAnswered < len(o.attempts) {
		n := o.nextAnswer()
		if n == 0 {
			return
		}
		o.answerBytes = o.answerBytes[n:]
		if o.attempts[o.nextAnswered].endOffset > o.forwardingOffset {
			continue
		}
		if a := o.attempts[o.nextAnswered]; a.trackedAttempt != nil {
			o.duplicates.recordAnswer(a.trackedAttempt)
		}
		o.nextAnswered++
	}
}

// nextMessage parses the message at the start of o.requestBytes and returns its length. The id is empty if
// the message is no attempt, and n is 0 if it is incomplete.
func (o *Observer) nextMessage() (id, attrs string, n int) {
	reader := bytes.NewReader(o.requestBytes)
	buffered := bufio.NewReader(reader)
	length := func() int { return len(o.requestBytes) - reader.Len() - buffered.Buffered() }
	if o.origin {
		request, err := http.ReadRequest(buffered)
		if err != nil {
			return "", "", 0
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return "", "", 0
		}
		return request.Header.Get("X-Request-ID"), request.Header.Get("X-Attrs"), length()
	}
	args, err := readCommand(buffered)
	if err != nil {
		return "", "", 0
	}
	if len(args) > 3 && bytes.HasPrefix(args[0], []byte("OBJ.")) {
		id, attrs = string(args[2]), string(args[3])
	}
	return id, attrs, length()
}

// nextAnswer returns the length of the answer at the start of o.answerBytes, or 0 if it is incomplete.
func (o *Observer) nextAnswer() int {
	reader := bytes.NewReader(o.answerBytes)
	buffered := bufio.NewReader(reader)
	if o.origin {
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
	return len(o.answerBytes) - reader.Len() - buffered.Buffered()
}

var errMalformedReply = errors.New("standin: malformed reply")

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
