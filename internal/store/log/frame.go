package log

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// The format, version 1; numbers are little endian, checks are CRC-32C (Castagnoli). docs/store.md has it byte by byte.
const (
	magic      = "DEWRLOG"
	version    = 1
	headerSize = 8 + 8 + 8 + 8 + 8 + 4 // magic and version, generation, first sequence, the one before: generation and length; check
	frameSize  = 4 + 8 + 8 + 1 + 4     // length, sequence, durable, kind; check
	// MaxRecord is the longest payload.
	MaxRecord = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header begins a segment. It tells how much of the segment before counts: what stands there beyond was never acknowledged.
type header struct {
	generation, firstSequence uint64
	previous                  uint64 // 0: none
	previousSize              uint64
}

func (h header) append(b []byte) []byte {
	from := len(b)
	b = append(append(b, magic...), version)
	for _, n := range []uint64{h.generation, h.firstSequence, h.previous, h.previousSize} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[from:], castagnoli))
}

// parseHeader reads a header. Foreign tells that it is none of this program's, or of a version that it does not know, and not one that a crash
// has cut off, or left zeros in.
func parseHeader(b []byte) (h header, foreign, ok bool) {
	if len(b) < headerSize {
		return h, false, false
	}
	b = b[:headerSize]
	for i := range len(magic) {
		if b[i] != magic[i] && b[i] != 0 {
			return h, true, false
		}
	}
	if crc32.Checksum(b[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(b[headerSize-4:]) {
		return h, false, false
	}
	if b[len(magic)] != version {
		return h, true, false
	}
	at := func(i int) uint64 { return binary.LittleEndian.Uint64(b[8+8*i:]) }
	return header{at(0), at(1), at(2), at(3)}, false, true
}

// lastOfGroup, in a frame's kind, tells that the records that were written together end with it.
const lastOfGroup = 0x80

// MaxKind is the highest kind of a record.
const MaxKind = lastOfGroup - 1

// Record is what was appended.
type Record struct {
	Sequence uint64
	Kind     byte
	Payload  []byte
}

// appendFrame appends a record's frame. Durable is the sequence up to which all was on stable storage when it was made: by that, damage
// can be told from what a crash leaves.
func appendFrame(b []byte, r Record, durable uint64, last bool) []byte {
	from := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.Payload)))
	b = binary.LittleEndian.AppendUint64(b, r.Sequence)
	b = binary.LittleEndian.AppendUint64(b, durable)
	if b = append(b, r.Kind); last {
		b[len(b)-1] |= lastOfGroup
	}
	sum := crc32.Update(crc32.Checksum(b[from:], castagnoli), castagnoli, r.Payload)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, r.Payload...)
}

// parseFrame reads the frame at the begin of b; size is 0 if there is none whole.
func parseFrame(b []byte) (r Record, durable uint64, last bool, size int) {
	if len(b) < frameSize {
		return r, 0, false, 0
	}
	n := int(binary.LittleEndian.Uint32(b))
	if n > MaxRecord || len(b) < frameSize+n {
		return r, 0, false, 0
	}
	payload := b[frameSize : frameSize+n]
	if crc32.Update(crc32.Checksum(b[:frameSize-4], castagnoli), castagnoli, payload) != binary.LittleEndian.Uint32(b[frameSize-4:]) {
		return r, 0, false, 0
	}
	return Record{binary.LittleEndian.Uint64(b[4:]), b[20] &^ lastOfGroup, payload}, binary.LittleEndian.Uint64(b[12:]), b[20]&lastOfGroup != 0, frameSize + n
}

// segmentName is a segment's file.
func segmentName(generation uint64) string { return fmt.Sprintf("%016x.log", generation) }
