package resp

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// Every limit is enforced before anything beyond it is read or allocated.
func TestHeadWithinBounds(t *testing.T) {
	for _, c := range []struct {
		in   string
		kind byte
		n    int
		err  error
	}{
		{"$5\r\n", '$', 5, nil},
		{"$-1\r\n", '$', -1, nil},
		{"$65536\r\n", '$', MaxValue, nil},
		{"*4\r\n", '*', 4, nil},
		{"+PONG\r\n", '+', 0, nil},
		{"-BUSY 30\r\n", '-', 0, nil},
		{"$4194304\r\n", '$', MaxLongValue, nil},
		{"$4194305\r\n", 0, 0, ErrProtocol},
		{"$3000000000\r\n", 0, 0, ErrProtocol},
		{"$99999999999999999999999999\r\n", 0, 0, ErrProtocol},
		{"$-2\r\n", 0, 0, ErrProtocol},
		{"$\r\n", 0, 0, ErrProtocol},
		{"$4x\r\n", 0, 0, ErrProtocol},
		{"*65\r\n", 0, 0, ErrProtocol},
		{"*4\n", 0, 0, ErrProtocol},
		{"\x00\xff\r\n", 0, 0, ErrProtocol},
		{"PING\r\n", 0, 0, ErrProtocol},
		{"+" + strings.Repeat("k", 1<<20), 0, 0, ErrProtocol},
		{"$5", 0, 0, io.ErrUnexpectedEOF},
		{"", 0, 0, io.EOF},
	} {
		h, err := NewReader(strings.NewReader(c.in), 4096).Head()
		if !errors.Is(err, c.err) || c.err == nil && (h.Kind != c.kind || h.N != c.n) {
			t.Errorf("%.20q: %c %d, %v; want %c %d, %v", c.in, h.Kind, h.N, err, c.kind, c.n, c.err)
		}
	}
}

func TestBulkNeedsItsLineEnd(t *testing.T) {
	for in, want := range map[string]error{
		"value\r\n":  nil,
		"values\r\n": ErrProtocol,
		"value":      io.ErrUnexpectedEOF,
		"val":        io.ErrUnexpectedEOF,
	} {
		b, err := NewReader(strings.NewReader(in), 16).Bulk([]byte("a "), 5)
		if !errors.Is(err, want) || want == nil && string(b) != "a value" {
			t.Errorf("%q: %q, %v, want %v", in, b, err, want)
		}
	}
}

func TestBufferedCountsUnreadBytes(t *testing.T) {
	r := NewReader(strings.NewReader("+OK\r\nnoise"), 64)
	if _, err := r.Head(); err != nil || r.Buffered() != len("noise") {
		t.Errorf("%d bytes behind, %v", r.Buffered(), err)
	}
}
