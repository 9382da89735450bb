// Package resp reads and writes the part of RESP2 that clients and cache nodes use, within fixed limits.
//
// It is a layer over bufio, not a Redis client: the proxy must know when the last byte of a command was
// written and must decide by itself whether a value is buffered or streamed, which pooled clients hide.
// Every length is checked before anything is allocated for it, since lengths come from the peer.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// MaxValue is the maximum length of a value that is buffered as a rule. MaxLongValue is the maximum
// length that either side may send: a peer that announces more is broken or hostile, and is rejected at
// the first line of the element, before memory is allocated for it.
const (
	MaxValue     = 64 << 10
	MaxLongValue = 4 << 20
)

// defaultMaxElements is the maximum number of elements of an array unless SetMaxElements changes it; most
// commands and answers here have at most five.
const defaultMaxElements = 64

// ErrProtocol is wrapped by every error about bytes that are not RESP2, or exceed a limit.
var ErrProtocol = errors.New("not RESP2")

// Reader reads RESP2 elements.
type Reader struct {
	input       *bufio.Reader
	maxElements int
}

// NewReader returns a Reader with a buffer of the given size, which also limits the length of a line.
func NewReader(r io.Reader, size int) *Reader {
	return &Reader{input: bufio.NewReaderSize(r, size), maxElements: defaultMaxElements}
}

// Reset makes the reader read from another source and discards what it has buffered.
func (r *Reader) Reset(from io.Reader) { r.input.Reset(from) }

// SetMaxElements changes the maximum number of elements of an array. Nothing is allocated based on an
// array's announced length.
func (r *Reader) SetMaxElements(n int) { r.maxElements = n }

// Wait blocks until there is something to read.
func (r *Reader) Wait() error {
	_, err := r.input.Peek(1)
	return err
}

// Read reads raw bytes, for the content of a value.
func (r *Reader) Read(p []byte) (int, error) { return r.input.Read(p) }

// Head is the first line of an element.
type Head struct {
	Kind byte   // type: one of + - : $ *
	N    int    // length of a $ or *; -1 is null
	Text []byte // the line after the type, valid until the next read
}

// Head reads the first line of the next element.
func (r *Reader) Head() (Head, error) {
	line, err := r.input.ReadSlice('\n')
	if err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return Head{}, fmt.Errorf("line too long: %w", ErrProtocol)
		}
		return Head{}, unexpectedEOF(err, len(line))
	}
	if len(line) < 3 || line[len(line)-2] != '\r' {
		return Head{}, fmt.Errorf("bad line end: %w", ErrProtocol)
	}
	h := Head{Kind: line[0], Text: line[1 : len(line)-2]}
	switch h.Kind {
	case '+', '-', ':':
		return h, nil
	case '$':
		h.N, err = parseLength(h.Text, MaxLongValue)
	case '*':
		h.N, err = parseLength(h.Text, r.maxElements)
	default:
		err = fmt.Errorf("unknown type %q: %w", h.Kind, ErrProtocol)
	}
	return h, err
}

// unexpectedEOF distinguishes an end of input within an element from one between elements.
func unexpectedEOF(err error, read int) error {
	if errors.Is(err, io.EOF) && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseLength parses the digits of a length. -1 stands for null.
func parseLength(text []byte, limit int) (int, error) {
	if string(text) == "-1" {
		return -1, nil
	}
	n := 0
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, fmt.Errorf("bad length: %w", ErrProtocol)
		}
		if n = n*10 + int(c-'0'); n > limit {
			return 0, fmt.Errorf("length over %d: %w", limit, ErrProtocol)
		}
	}
	if len(text) == 0 {
		return 0, fmt.Errorf("empty length: %w", ErrProtocol)
	}
	return n, nil
}

// Bulk appends the n bytes of a bulk string to dst and reads its line end.
func (r *Reader) Bulk(dst []byte, n int) ([]byte, error) {
	at := len(dst)
	for len(dst) < at+n {
		if len(dst) == cap(dst) {
			dst = append(dst, 0)[:len(dst)]
		}
		m, err := r.input.Read(dst[len(dst):min(cap(dst), at+n)])
		dst = dst[:len(dst)+m]
		if err != nil {
			return dst, unexpectedEOF(err, 1)
		}
	}
	return dst, r.LineEnd()
}

// LineEnd reads the line end after the bytes of a bulk string.
func (r *Reader) LineEnd() error {
	a, err := r.input.ReadByte()
	if err != nil {
		return unexpectedEOF(err, 1)
	}
	b, err := r.input.ReadByte()
	if err != nil {
		return unexpectedEOF(err, 1)
	}
	if a != '\r' || b != '\n' {
		return fmt.Errorf("bulk string without line end: %w", ErrProtocol)
	}
	return nil
}

// Buffered returns the number of bytes that have been received and not yet read.
func (r *Reader) Buffered() int { return r.input.Buffered() }

// Skip discards the n bytes of a bulk string and its line end.
func (r *Reader) Skip(n int) error {
	if _, err := r.input.Discard(n); err != nil {
		return unexpectedEOF(err, 1)
	}
	return r.LineEnd()
}

// AppendArray appends the head of an array of n elements.
func AppendArray(b []byte, n int) []byte { return appendHead(b, '*', n) }

// AppendBulkHead appends the head of a bulk string of n bytes.
func AppendBulkHead(b []byte, n int) []byte { return appendHead(b, '$', n) }

// AppendBulk appends a bulk string.
func AppendBulk[T []byte | string](b []byte, s T) []byte {
	b = appendHead(b, '$', len(s))
	b = append(b, s...)
	return append(b, "\r\n"...)
}

// AppendError appends an error line; text begins with its code.
func AppendError(b []byte, text string) []byte {
	b = append(b, '-')
	b = append(b, text...)
	return append(b, "\r\n"...)
}

func appendHead(b []byte, kind byte, n int) []byte {
	b = append(b, kind)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}

// AppendLine appends text, with the characters that could end a line replaced by spaces.
func AppendLine[T []byte | string](b []byte, text T) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == 0x7f {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return b
}
