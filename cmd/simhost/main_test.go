package main

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"testing"

	"linenloom/internal/wire"
)

func frame(records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, r...)
	}
	b := binary.LittleEndian.AppendUint64(nil, math.Float64bits(1000))
	b = binary.LittleEndian.AppendUint32(b, uint32(16+len(body)))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(records)))
	return append(b, body...)
}

func record(code uint16, fields ...byte) []byte {
	b := binary.LittleEndian.AppendUint16(nil, code)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(fields)))
	return append(b, fields...)
}

func initRecord(settings string) []byte {
	f := append(make([]byte, 12), byte(len(settings)), 0, 0, 0)
	return record(wire.EvInit, append(f, settings...)...)
}

func TestCleanEndAndEmptyBatch(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(frame()), &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{8, 0, 0, 0, 0, 0, 0, 0}; !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply %x", out.Bytes())
	}
}

func TestMalformedInputIsAnError(t *testing.T) {
	cut := frame(record(wire.EvTimer, 1, 0, 0, 0))
	for name, in := range map[string][]byte{"cut": cut[:len(cut)-2], "fields": cut} {
		if err := serve(bytes.NewReader(in), &bytes.Buffer{}); !errors.Is(err, wire.ErrFrame) {
			t.Errorf("%s: %v, want ErrFrame", name, err)
		}
	}
}

func TestInvalidSettingsReplyWithBug(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(frame(initRecord(`{}`))), &out); err != nil {
		t.Fatal(err)
	}
	if code := binary.LittleEndian.Uint16(out.Bytes()[8:]); code != 264 {
		t.Errorf("action %d, want Bug", code)
	}
}

func TestEventsBeforeInitAreSkipped(t *testing.T) {
	var out bytes.Buffer
	in := frame(record(wire.EvExpired, 1, 0, 0, 0, 2, 0, 0, 0), record(wire.EvDetach, 1, 0, 0, 0))
	if err := serve(bytes.NewReader(in), &out); err != nil || out.Len() != 8 {
		t.Errorf("%v, reply %x", err, out.Bytes())
	}
}
