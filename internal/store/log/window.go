package log

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"linenloom/internal/store/disk"
)

// segmentReader reads a segment through a buffer that is at most slightly larger than the longest
// record.
type segmentReader struct {
	file         disk.Reader
	fileName     string
	size         int64
	bufferOffset int64
	buffer       []byte
}

// minReadSize is the number of bytes that are read from the file at once, unless more are requested.
const minReadSize = 256 << 10

// readAt returns n bytes at an offset, or fewer at the end of the segment.
func (s *segmentReader) readAt(offset int64, n int) ([]byte, error) {
	n = int(min(int64(n), s.size-offset))
	if offset < s.bufferOffset || offset+int64(n) > s.bufferOffset+int64(len(s.buffer)) {
		size := min(int64(max(n, minReadSize)), s.size-offset)
		if int64(cap(s.buffer)) < size {
			s.buffer = make([]byte, size)
		}
		s.buffer, s.bufferOffset = s.buffer[:size], offset
		if read, err := s.file.ReadAt(s.buffer, offset); err != nil && (!errors.Is(err, io.EOF) || int64(read) < size) {
			return nil, fmt.Errorf("log: %s: %w", s.fileName, err)
		}
	}
	return s.buffer[offset-s.bufferOffset : offset-s.bufferOffset+int64(n)], nil
}

// readFrame reads the frame at an offset. size is 0 if there is no complete and valid frame.
func (s *segmentReader) readFrame(offset int64) (r Record, durable uint64, last bool, size int, err error) {
	b, err := s.readAt(offset, frameSize)
	if err != nil {
		return r, 0, false, 0, err
	}
	if n := frameLength(b); n > 0 {
		if b, err = s.readAt(offset, n); err != nil {
			return r, 0, false, 0, err
		}
	}
	r, durable, last, size = parseFrame(b)
	return r, durable, last, size, nil
}

// frameLength returns the length of the frame that starts at b, or 0 if it cannot be determined.
func frameLength(b []byte) int {
	if len(b) < frameSize {
		return 0
	}
	if n := int(binary.LittleEndian.Uint32(b)); n <= MaxRecord {
		return frameSize + n
	}
	return 0
}

// checkTorn returns Damage if a crash does not explain that the record with the given sequence is
// broken at this offset. That is the case if a later record states that this one was on stable storage
// before the later one was written.
func (s *segmentReader) checkTorn(offset int64, broken uint64) error {
	for position := offset + 1; position+frameSize <= s.size; position++ {
		data, err := s.readAt(position, frameSize)
		if err != nil {
			return err
		}
		// Most offsets are ruled out by the sequences alone: a match needs a frame with a later
		// sequence that states that the broken record was durable.
		sequence, durable := binary.LittleEndian.Uint64(data[4:]), binary.LittleEndian.Uint64(data[12:])
		length := frameLength(data)
		if sequence <= broken || durable < broken || durable >= sequence || length == 0 || position+int64(length) > s.size {
			continue
		}
		r, _, _, size, err := s.readFrame(position)
		if err != nil {
			return err
		}
		if size > 0 {
			return &Damage{File: s.fileName, Offset: offset, Reason: fmt.Sprintf("record %d is broken, and was whole when record %d was written", broken, r.Sequence)}
		}
	}
	return nil
}
