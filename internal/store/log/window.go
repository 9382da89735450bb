package log

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"linenloom/internal/store/disk"
)

// window reads a segment through a buffer that is no longer than the longest record and some more.
type window struct {
	f    disk.Reader
	file string
	size int64
	from int64
	buf  []byte
}

const windowSize = 256 << 10

// at is so many bytes from a place on, or as many as there are.
func (w *window) at(at int64, n int) ([]byte, error) {
	n = int(min(int64(n), w.size-at))
	if at < w.from || at+int64(n) > w.from+int64(len(w.buf)) {
		size := min(int64(max(n, windowSize)), w.size-at)
		if int64(cap(w.buf)) < size {
			w.buf = make([]byte, size)
		}
		w.buf, w.from = w.buf[:size], at
		if k, err := w.f.ReadAt(w.buf, at); err != nil && (!errors.Is(err, io.EOF) || int64(k) < size) {
			return nil, fmt.Errorf("log: %s: %w", w.file, err)
		}
	}
	return w.buf[at-w.from : at-w.from+int64(n)], nil
}

// frame reads the frame at a place; size is 0 if there is none whole.
func (w *window) frame(at int64) (r Record, durable uint64, last bool, size int, err error) {
	b, err := w.at(at, frameSize)
	if err != nil {
		return r, 0, false, 0, err
	}
	if n := need(b); n > 0 {
		if b, err = w.at(at, n); err != nil {
			return r, 0, false, 0, err
		}
	}
	r, durable, last, size = parseFrame(b)
	return r, durable, last, size, nil
}

// need is how long the frame is that begins here; 0: that can't be told.
func need(b []byte) int {
	if len(b) < frameSize {
		return 0
	}
	if n := int(binary.LittleEndian.Uint32(b)); n <= MaxRecord {
		return frameSize + n
	}
	return 0
}

// torn tells whether a crash explains that the record expected here is broken. It does not, if a later record says that this one was on
// stable storage before it was written itself.
func (w *window) torn(at int64, seq uint64) error {
	for p := at + 1; p+frameSize <= w.size; p++ {
		b, err := w.at(p, frameSize)
		if err != nil {
			return err
		}
		// Most places are told by the sequence alone: one that follows the broken record, and names it as durable.
		got, durable := binary.LittleEndian.Uint64(b[4:]), binary.LittleEndian.Uint64(b[12:])
		n := need(b)
		if got <= seq || durable < seq || durable >= got || n == 0 || p+int64(n) > w.size {
			continue
		}
		r, _, _, size, err := w.frame(p)
		if err != nil {
			return err
		}
		if size > 0 {
			return &Damage{File: w.file, Offset: at, What: fmt.Sprintf("record %d is broken, and was whole when record %d was written", seq, r.Seq)}
		}
	}
	return nil
}
