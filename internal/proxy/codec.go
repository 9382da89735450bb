package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"

	"linenloom/internal/resp"
	"linenloom/logic"
)

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

// readRESP reads one answer of a cache.
func (u *upstream) readRESP(in *resp.Reader) error {
	h, err := in.Head()
	switch {
	case err != nil:
		return err
	case u.pinged: // by this goroutine's own order of events: await saw it under the lock
		if h.Kind != '+' && h.Kind != '-' {
			return resp.ErrProtocol
		}
		return nil
	case h.Kind == '-':
		return u.result(refusal(h.Text), 0, nil)
	case h.Kind == '*' && h.N == answerParts:
		return u.readArray(in)
	}
	return resp.ErrProtocol
}

// answerParts are the elements of an answer: the value, how the read went, and the load report.
const answerParts = 3

// refusal names what an error line says. A cache that finds fault with the request itself says nothing about
// its own health.
func refusal(text []byte) logic.Status {
	switch word, rest, _ := bytes.Cut(text, []byte{' '}); {
	case string(word) == "BUSY":
		return logic.StatusFull
	case string(word) == "ERR" && !bytes.HasPrefix(rest, []byte("failed")):
		return logic.StatusRejected
	}
	return logic.StatusError
}

// readArray reads an answer's elements. It counts once the value and how the read went are there; what comes
// after, a report that is not used, can't spoil it, only the connection.
func (u *upstream) readArray(in *resp.Reader) error {
	h, err := in.Head()
	if err != nil {
		return err
	}
	if h.Kind != '$' {
		return resp.ErrProtocol
	}
	buf := u.p.buffers.Get().(*[]byte)
	defer u.p.buffers.Put(buf)
	status := logic.StatusMiss
	value := (*buf)[:0]
	if h.N > resp.MaxValue {
		return u.passRESP(in, h.N)
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
	if err := u.result(status, noteOf(word), value); err != nil {
		return err
	}
	_, err = readWord(in)
	return err
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
	case h.Kind == '$' && h.N <= maxText:
		return in.Bulk(nil, h.N)
	}
	return nil, resp.ErrProtocol
}

// appendHTTP appends the request for an origin, without a write's value; http.Request.Write would copy that
// too. The texts are a client's: none may end its line and begin another.
func appendHTTP(b []byte, r *Request, addr string) []byte {
	method := http.MethodGet
	if r.Write {
		method = http.MethodPut
	}
	path := url.URL{Path: "/" + string(r.Key)}
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path.EscapedPath(), addr)
	b = appendHeader(b, "X-Request-ID", r.ReqID)
	b = appendHeader(b, "X-Attrs", r.Attrs)
	if r.Write {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", len(r.Value))
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

// readHTTP reads one answer of an origin.
func (u *upstream) readHTTP(in *bufio.Reader, limit *capped) error {
	for range maxInterim {
		answer, err := http.ReadResponse(in, nil)
		switch {
		case err != nil && (errors.Is(err, errCut) || errors.Is(err, resp.ErrProtocol)):
			return err
		case err != nil:
			return fmt.Errorf("%w: %w", resp.ErrProtocol, err)
		case answer.StatusCode >= http.StatusOK:
			return u.readAnswer(answer, limit)
		}
	}
	return resp.ErrProtocol
}

// readAnswer reads an answer's value. Only one that tells its length can be told from a part of it.
func (u *upstream) readAnswer(answer *http.Response, limit *capped) error {
	chunked := len(answer.TransferEncoding) > 0
	if n := answer.ContentLength; n > resp.MaxValue && n <= resp.MaxLong && statusOf(answer) == logic.StatusOK {
		return u.passHTTP(answer, limit, int(n))
	}
	if answer.ContentLength > resp.MaxValue || answer.ContentLength < 0 && !chunked {
		return resp.ErrProtocol
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, resp.MaxValue+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", errCut, err)
	case len(body) > resp.MaxValue:
		return resp.ErrProtocol
	}
	if err := u.result(statusOf(answer), 0, body); err != nil {
		return err
	}
	if answer.Close {
		return io.EOF
	}
	return nil
}

// statusOf names what an origin's answer says.
func statusOf(answer *http.Response) logic.Status {
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
