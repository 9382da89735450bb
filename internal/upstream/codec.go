package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"iter"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"linenloom/internal/resp"
	"linenloom/logic"
)

// Codec is a protocol that members speak. It is stateless: state that spans answers is kept in the Conn
// and in the function that Reader returns.
type Codec interface {
	// Append appends the encoded exchange to b: a whole read, or the part of a write before its value.
	// deadline is the time from now that is announced to the member.
	Append(b []byte, x *Exchange, addr string, deadline time.Duration) []byte
	// Trailer returns the bytes that follow the value of a write.
	Trailer() []byte
	// Fence returns a command that a member answers like no request; nil if the protocol has none.
	Fence() []byte
	// Ping returns a command that the member answers immediately; nil if the protocol has none.
	Ping() []byte
	// RunsOnLastByte reports whether a member executes a write only once its last byte has arrived, which
	// makes it worthwhile to hold that byte back until the connection is seen to be alive.
	RunsOnLastByte() bool
	// Reader returns a function that reads one answer, passes it to the connection (deliverResult,
	// streamValue) and returns the number of bytes received beyond it.
	Reader(c *Conn) func() (beyond int, err error)
}

// resp2 is the caches' protocol: the platform's commands in RESP2.
type resp2 struct{}

// http1 is the origins' protocol: HTTP/1.1, one request at a time.
type http1 struct{}

var (
	_ Codec = resp2{}
	_ Codec = http1{}
)

var (
	lineEnd     = []byte("\r\n")
	pingCommand = []byte("*1\r\n$4\r\nPING\r\n")
	// fenceCommand is answered +OK without any work or effect.
	fenceCommand = []byte("*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n")
)

func (resp2) Trailer() []byte      { return lineEnd }
func (resp2) Fence() []byte        { return fenceCommand }
func (resp2) Ping() []byte         { return pingCommand }
func (resp2) RunsOnLastByte() bool { return false }

func (resp2) Reader(c *Conn) func() (int, error) {
	in := c.set.readers.Get().(*resp.Reader)
	in.Reset(c)
	c.respReader = in
	return func() (int, error) {
		err := c.readRESP(in)
		return in.Buffered(), err
	}
}

func (http1) Trailer() []byte      { return nil }
func (http1) Fence() []byte        { return nil }
func (http1) Ping() []byte         { return nil }
func (http1) RunsOnLastByte() bool { return true }

func (http1) Reader(c *Conn) func() (int, error) {
	limit := &limitedReader{reader: c}
	in := bufio.NewReaderSize(limit, readBuffer)
	return func() (int, error) {
		limit.remaining = maxOriginOverhead + resp.MaxValue
		err := c.readHTTP(in, limit)
		return in.Buffered(), err
	}
}

// maxInterimAnswers is the maximum number of 1xx responses before the final one.
const maxInterimAnswers = 16

// maxOriginOverhead is the maximum number of bytes that an origin may send in addition to its value.
const maxOriginOverhead = 64 << 10

// maxWordLength is the maximum length of the strings that accompany a value.
const maxWordLength = 2 << 10

// Attributes iterates over a list of attributes, which are names and values.
func Attributes(attrs []byte) iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for rest := attrs; len(rest) > 0; {
			var item []byte
			item, rest, _ = bytes.Cut(rest, []byte{','})
			if name, value, ok := bytes.Cut(item, []byte{'='}); ok && !yield(string(name), value) {
				return
			}
		}
	}
}

// deadlineName is the name of the deadline attribute, in milliseconds from when the list is sent.
const deadlineName = "d"

// appendAttrs appends a list of attributes unchanged except for the deadline: time has passed since the
// client set it.
func appendAttrs(b, attrs []byte, deadline time.Duration) []byte {
	for first := true; len(attrs) > 0; first = false {
		var item []byte
		item, attrs, _ = bytes.Cut(attrs, []byte{','})
		if !first {
			b = append(b, ',')
		}
		if name, _, _ := bytes.Cut(item, []byte{'='}); string(name) != deadlineName {
			b = append(b, item...)
			continue
		}
		b = append(b, deadlineName...)
		b = append(b, '=')
		b = strconv.AppendInt(b, max(MinDeadline, deadline).Milliseconds(), 10)
	}
	return b
}

// Append appends the command for a cache.
func (resp2) Append(b []byte, x *Exchange, _ string, deadline time.Duration) []byte {
	attrs := appendAttrs(make([]byte, 0, len(x.Message.Attrs)+16), x.Message.Attrs, deadline)
	name, n := "OBJ.GET", 4
	if x.Write {
		name, n = "OBJ.SET", 5
	}
	b = resp.AppendArray(b, n)
	b = resp.AppendBulk(b, name)
	b = resp.AppendBulk(b, x.Message.Key)
	b = resp.AppendBulk(b, x.Message.ReqID)
	b = resp.AppendBulk(b, attrs)
	if x.Write {
		b = resp.AppendBulkHead(b, len(x.Message.Value))
	}
	return b
}

// parseNote returns the note for the word with which a cache says how a read was served.
func parseNote(word []byte) int {
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

// readRESP reads one answer of a cache.
func (c *Conn) readRESP(in *resp.Reader) error {
	h, err := in.Head()
	switch {
	case err != nil:
		return err
	case c.PingPending: // read without the lock: this goroutine's awaitData has seen it under the lock
		if h.Kind != '+' && h.Kind != '-' {
			return resp.ErrProtocol
		}
		return nil
	case h.Kind == '-':
		status := errorStatus(h.Text)
		if err := c.readFence(in); err != nil {
			return err
		}
		return c.deliverResult(status, 0, nil)
	case h.Kind == '*' && h.N == answerElements:
		return c.readArray(in)
	}
	return resp.ErrProtocol
}

// answerElements is the number of elements of an answer: the value, how the read was served, and the load
// report.
const answerElements = 3

// errorStatus returns the status for an error line. A cache that rejects the request itself says nothing
// about its own health.
func errorStatus(text []byte) logic.Status {
	switch word, rest, _ := bytes.Cut(text, []byte{' '}); {
	case string(word) == "BUSY":
		return logic.StatusFull
	case string(word) == "ERR" && !bytes.HasPrefix(rest, []byte("failed")):
		return logic.StatusRejected
	}
	return logic.StatusError
}

// readArray reads the elements of an answer. The answer is complete once the value and how it was served
// have been read; an error in the load report after them, which is not used, affects only the connection.
func (c *Conn) readArray(in *resp.Reader) error {
	h, err := in.Head()
	if err != nil {
		return err
	}
	if h.Kind != '$' {
		return resp.ErrProtocol
	}
	buf := c.set.buffers.Get().(*[]byte)
	defer c.set.buffers.Put(buf)
	status := logic.StatusMiss
	value := (*buf)[:0]
	if h.N > resp.MaxValue {
		return c.streamRESP(in, h.N)
	}
	if h.N >= 0 {
		status = logic.StatusOK
		if value, err = in.Bulk(slices.Grow(value, h.N), h.N); err != nil {
			return err
		}
		*buf = value
	}
	word, err := readWord(in)
	if err != nil {
		return err
	}
	note := parseNote(word)
	if !c.fenced() {
		if err := c.deliverResult(status, note, value); err != nil {
			return err
		}
		_, err = readWord(in)
		return err
	}
	if err := c.readReportAndFence(in); err != nil {
		return err
	}
	return c.deliverResult(status, note, value)
}

// fenced reports whether a fence follows the current exchange. Only the reader uses it, which has seen the
// exchange under the lock.
func (c *Conn) fenced() bool { return c.Current != nil && c.Current.Fenced }

// readReportAndFence reads the load report that ends an answer and, if one was sent, the answer to the fence.
func (c *Conn) readReportAndFence(in *resp.Reader) error {
	if _, err := readWord(in); err != nil {
		return err
	}
	return c.readFence(in)
}

// readFence reads the answer to the fence behind the current exchange, if one was sent. Any other answer in
// its place shows that the answers on the connection can't be attributed to requests.
func (c *Conn) readFence(in *resp.Reader) error {
	if !c.fenced() {
		return nil
	}
	h, err := in.Head()
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF // the member ended the connection instead
	case err != nil:
		return err
	case h.Kind == '+' && string(h.Text) == "OK":
		return nil
	}
	c.reportUnattributed(h)
	return errUnsolicited
}

// readWord reads a short string or null.
func readWord(in *resp.Reader) ([]byte, error) {
	h, err := in.Head()
	switch {
	case err != nil:
		return nil, err
	case h.Kind == '+':
		return bytes.Clone(h.Text), nil
	case h.Kind == '$' && h.N < 0:
		return nil, nil
	case h.Kind == '$' && h.N <= maxWordLength:
		return in.Bulk(nil, h.N)
	}
	return nil, resp.ErrProtocol
}

// Append appends the request for an origin, without a write's value, which http.Request.Write would copy
// as well. The texts come from a client, and must not be able to end a line and begin another.
func (http1) Append(b []byte, x *Exchange, addr string, deadline time.Duration) []byte {
	method := http.MethodGet
	if x.Write {
		method = http.MethodPut
	}
	path := url.URL{Path: "/" + string(x.Message.Key)}
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path.EscapedPath(), addr)
	b = appendHeader(b, "X-Request-ID", x.Message.ReqID)
	b = appendHeader(b, "X-Attrs", appendAttrs(make([]byte, 0, len(x.Message.Attrs)+16), x.Message.Attrs, deadline))
	if x.Write {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(x.Message.Value))
	}
	return append(b, "\r\n"...)
}

func appendHeader(b []byte, name string, value []byte) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = resp.AppendLine(b, value)
	return append(b, "\r\n"...)
}

// limitedReader limits the number of bytes that an origin may send for an answer.
type limitedReader struct {
	reader    io.Reader
	remaining int
}

func (c *limitedReader) Read(b []byte) (int, error) {
	if c.remaining <= 0 {
		return 0, resp.ErrProtocol
	}
	n, err := c.reader.Read(b[:min(len(b), c.remaining)])
	c.remaining -= n
	return n, err
}

// readHTTP reads one answer of an origin.
func (c *Conn) readHTTP(in *bufio.Reader, limit *limitedReader) error {
	for range maxInterimAnswers {
		answer, err := http.ReadResponse(in, nil)
		switch {
		case err != nil && (errors.Is(err, errTruncated) || errors.Is(err, resp.ErrProtocol)):
			return err
		case err != nil:
			return fmt.Errorf("%w: %w", resp.ErrProtocol, err)
		case answer.StatusCode >= http.StatusOK:
			return c.readAnswer(answer, limit)
		}
	}
	return resp.ErrProtocol
}

// readAnswer reads the value of an answer. An origin need not announce its length: the value may be
// chunked, or end with the connection, and then is complete unless the connection broke (RFC 9112,
// sections 7.1 and 8).
func (c *Conn) readAnswer(answer *http.Response, limit *limitedReader) error {
	status, n := httpStatus(answer), answer.ContentLength
	switch {
	case n > resp.MaxValue && n <= resp.MaxLongValue && status == logic.StatusOK:
		return c.streamHTTP(answer, limit, int(n))
	case n > resp.MaxValue:
		return resp.ErrProtocol
	}
	c.untilClose = n < 0 && len(answer.TransferEncoding) == 0
	defer func() { c.untilClose = false }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, resp.MaxValue+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errTruncated, err)
	case len(body) > resp.MaxValue && status != logic.StatusOK:
		return resp.ErrProtocol
	case len(body) > resp.MaxValue:
		return c.streamUnknownLength(answer, body, limit)
	}
	if err := c.deliverResult(status, 0, body); err != nil {
		return err
	}
	return closeAfter(answer)
}

// closeAfter returns io.EOF, which ends the connection, if the answer announces that.
func closeAfter(answer *http.Response) error {
	if answer.Close {
		return io.EOF
	}
	return nil
}

// httpStatus returns the status for an origin's answer.
func httpStatus(answer *http.Response) logic.Status {
	switch answer.StatusCode {
	case http.StatusOK:
		return logic.StatusOK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if answer.Header.Get("X-Not-Processed") == "1" {
			return logic.StatusFull
		}
	case http.StatusBadRequest:
		return logic.StatusRejected
	}
	return logic.StatusError
}
