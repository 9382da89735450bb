package discovery

import (
	"bufio"
	"errors"
	"io"
)

// errObjectTooLong: an object exceeds maxListBytes.
var errObjectTooLong = errors.New("object of the discovery list is too long")

// objectReader splits the stream of a watch into JSON objects, each on one line or on several, with empty
// lines between them. It finds only the end of each object; the caller parses the content.
type objectReader struct {
	reader *bufio.Reader
	buf    []byte
	// started counts the objects, inner ones included, that have begun in the data read since it was last
	// set to 0.
	started int
}

func newObjectReader(r io.Reader) *objectReader { return &objectReader{reader: bufio.NewReader(r)} }

// next returns the next object, or an empty slice for an empty line. The slice is valid until the next
// call. Data that is not an object is returned up to the end of its line. Along with an error, next
// returns the part of an object that was read before it.
func (r *objectReader) next() ([]byte, error) {
	r.buf = r.buf[:0]
	depth, inString, escaped, notObject := 0, false, false, false
	for {
		c, err := r.reader.ReadByte()
		if err != nil {
			return r.buf, err
		}
		if len(r.buf) == 0 && (c == ' ' || c == '\t' || c == '\r') {
			continue
		}
		if c == '{' {
			r.started++
		}
		if c == '\n' && (len(r.buf) == 0 || notObject) {
			return r.buf, nil
		}
		if len(r.buf) == maxListBytes {
			return r.buf, errObjectTooLong
		}
		r.buf = append(r.buf, c)
		switch {
		case notObject:
		case inString:
			switch {
			case escaped:
				escaped = false
			case c == '\\':
				escaped = true
			case c == '"':
				inString = false
			}
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth--; depth <= 0 {
				return r.buf, nil
			}
		}
		if depth == 0 { // the first byte does not open an object
			notObject = true
		}
	}
}
