package log

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"linenloom/internal/store/disk"
)

// segmentReader reads a segment through a buffer that is no longer than the longest record and some more.
type segmentReader struct {
	file         disk.Reader
	fileName     string
	size         int64
	bufferOffset int64
	buffer       []byte
}

const minReadSize = 256 << 10

// readAt is so many bytes from a place on, or as many as there are.
func (w *segmentReader) readAt(at int64, n int) ([]byte, error) {
	n = int(min(int64(n), w.size-at))
	if at < w.bufferOffset || at+int64(n) > w.bufferOffset+int64(len(w.buffer)) {
		size := min(int64(max(n, minReadSize)), w.size-at)
		if int64(cap(w.buffer)) < size {
			w.buffer = make([]byte, size)
		}
		w.buffer, w.bufferOffset = w.buffer[:size], at
		if k, err := w.file.ReadAt(w.buffer, at); err != nil && (!errors.Is(err, io.EOF) || int64(k) < size) {
			return nil, fmt.Errorf("log: %s: %w", w.fileName, err)
		}
	}
	return w.buffer[at-w.bufferOffset : at-w.bufferOffset+int64(n)], nil
}

// readFrame reads the frame at a place; size is 0 if there is none whole.
func (w *segmentReader) readFrame(at int64) (r Record, durable uint64, last bool, size int, err error) {
	b, err := w.readAt(at, frameSize)
	if err != nil {
		return r, 0, false, 0, err
	}
	if n := frameLength(b); n > 0 {
		if b, err = w.readAt(at, n); err != nil {
			return r, 0, false, 0, err
		}
	}
	r, durable, last, size = parseFrame(b)
	return r, durable, last, size, nil
}

// frameLength is how long the frame is that begins here; 0: that can't be told.
func frameLength(b []byte) int {
	if len(b) < frameSize {
		return 0
	}
	if n := int(binary.LittleEndian.Uint32(b)); n <= MaxRecord {
		return frameSize + n
	}
	return 0
}

// checkTorn tells whether a crash explains that the record expected here is broken. It does not, if a later record says that this one was on
// stable storage before it was written itself.
func (w *segmentReader) checkTorn(at int64, seq uint64) error {
	for p := at + 1; p+frameSize <= w.size; p++ {
		b, err := w.readAt(p, frameSize)
		if err != nil {
			return err
		}
		// Most places are told by the sequence alone: one that follows the broken record, and names it as durable.
		got, durable := binary.LittleEndian.Uint64(b[4:]), binary.LittleEndian.Uint64(b[12:])
		n := frameLength(b)
		if got <= seq || durable < seq || durable >= got || n == 0 || p+int64(n) > w.size {
			continue
		}
		r, _, _, size, err := w.readFrame(p)
		if err != nil {
			return err
		}
		if size > 0 {
			return &Damage{File: w.fileName, Offset: at, Reason: fmt.Sprintf("record %d is broken, and was whole when record %d was written", seq, r.Sequence)}
		}
	}
	return nil
}
