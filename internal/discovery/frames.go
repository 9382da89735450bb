package discovery

import (
	"bufio"
	"errors"
	"io"
)

// errObjectTooLong tells that an object goes over the bound.
var errObjectTooLong = errors.New("an object of the list is too long")

// objectReader takes a watch's stream apart: one JSON object after the other, each on one line or on several, and empty lines between them. It
// knows no more of JSON than where an object ends; what stands in it is read elsewhere.
type objectReader struct {
	reader *bufio.Reader
	buf    []byte
	// started counts the objects, inner ones too, that have begun in what was read since it was last set to 0.
	started int
}

func newObjectReader(r io.Reader) *objectReader { return &objectReader{reader: bufio.NewReader(r)} }

// next is the next object, or nothing for an empty line; valid until the call after. What is no object goes up to its line's end. With an
// error comes what had been read of an object by then.
func (f *objectReader) next() ([]byte, error) {
	f.buf = f.buf[:0]
	depth, inText, escaped, other := 0, false, false, false
	for {
		c, err := f.reader.ReadByte()
		if err != nil {
			return f.buf, err
		}
		if len(f.buf) == 0 && (c == ' ' || c == '\t' || c == '\r') {
			continue
		}
		if c == '{' {
			f.started++
		}
		if c == '\n' && (len(f.buf) == 0 || other) {
			return f.buf, nil
		}
		if len(f.buf) == maxListBytes {
			return f.buf, errObjectTooLong
		}
		f.buf = append(f.buf, c)
		switch {
		case other:
		case inText:
			switch {
			case escaped:
				escaped = false
			case c == '\\':
				escaped = true
			case c == '"':
				inText = false
			}
		case c == '"':
			inText = true
		case c == '{' || c == '[':
			depth++
		case c == '}' || c == ']':
			if depth--; depth <= 0 {
				return f.buf, nil
			}
		}
		if depth == 0 { // it does not begin as an object does
			other = true
		}
	}
}
