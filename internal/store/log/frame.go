package log

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Format version 1. Numbers are little endian, checksums are CRC-32C (Castagnoli). docs/store.md
// describes the format byte by byte.
const (
	magic   = "DEWRLOG"
	version = 1
	// magic and version; generation; first sequence; generation and valid length of the previous
	// segment; checksum
	headerSize = 8 + 8 + 8 + 8 + 8 + 4
	frameSize  = 4 + 8 + 8 + 1 + 4 // length, sequence, durable sequence, kind, checksum
	// MaxRecord is the maximum length of a payload.
	MaxRecord = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// header is the first part of a segment. It records how much of the previous segment is valid; anything
// beyond that was never acknowledged.
type header struct {
	generation, firstSequence uint64
	previous                  uint64 // 0: none
	previousSize              uint64
}

func (h header) append(b []byte) []byte {
	start := len(b)
	b = append(append(b, magic...), version)
	for _, n := range []uint64{h.generation, h.firstSequence, h.previous, h.previousSize} {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// parseHeader parses a header. foreign reports that the file was not written by this program or has an
// unknown version. A header that a crash truncated or filled with zeros is not ok, but not foreign
// either.
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
	number := func(i int) uint64 { return binary.LittleEndian.Uint64(b[8+8*i:]) }
	return header{number(0), number(1), number(2), number(3)}, false, true
}

// lastOfGroup is set in the kind of the last frame of a group, the records that are written and synced
// together.
const lastOfGroup = 0x80

// MaxKind is the highest kind of a record.
const MaxKind = lastOfGroup - 1

// Record is one record of the log.
type Record struct {
	Sequence uint64
	Kind     byte
	Payload  []byte
}

// appendFrame appends the frame of a record to b. durable is the sequence up to which all records were
// on stable storage when the frame was made; it lets recovery tell damage from the effects of a crash.
func appendFrame(b []byte, r Record, durable uint64, last bool) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(r.Payload)))
	b = binary.LittleEndian.AppendUint64(b, r.Sequence)
	b = binary.LittleEndian.AppendUint64(b, durable)
	if b = append(b, r.Kind); last {
		b[len(b)-1] |= lastOfGroup
	}
	checksum := crc32.Update(crc32.Checksum(b[start:], castagnoli), castagnoli, r.Payload)
	b = binary.LittleEndian.AppendUint32(b, checksum)
	return append(b, r.Payload...)
}

// parseFrame parses the frame at the start of b. size is 0 if there is no complete and valid frame.
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

// segmentName returns the file name of a segment.
func segmentName(generation uint64) string { return fmt.Sprintf("%016x.log", generation) }
