package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"linenloom/logic"
)

func unhex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(strings.ReplaceAll(s, " ", ""), "\n", ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const (
	requestRecord      = "0301 2b000000 03000000 c4913a5d 0000000000002840 01 0000 00000000 0000000020e6c040 00000000 640ad2557c3bf091"
	timerRecord        = "0701 0c000000 03000000 4d00000000000000"
	expiredRecord      = "0601 08000000 05000000 192b6f0e"
	attemptEndedRecord = "0901 1c000000 03000000 c4913a5d 0000000000803240 00 00 01 0a124a07 5b1b c800 00"
	discoveryRecord    = "0201 3d000000 03000000 02 29000000 02000000" +
		"00 00 0000000000000000 0000 0000803f 0000 0a124a07 5b1b" +
		"01 00 0000000000d4b740 0000 0000c03f 0000 0a9011f2 841b"
	unknownRecord = "ff7f 03000000 010203"
	node1         = logic.MemberID(0x0a124a07<<16 | 0x1b5b)
	node2         = logic.MemberID(0x0a9011f2<<16 | 0x1b84)
)

func batch(t testing.TB, records ...string) []byte {
	body := unhex(t, strings.Join(records, ""))
	head := unhex(t, "00000000206ec040 00000000 00000000")
	head[8], head[9] = byte(len(body)+16), byte((len(body)+16)>>8)
	head[12] = byte(len(records))
	return append(head, body...)
}

func decode(t *testing.T, frame []byte) (events []Event, clock time.Duration) {
	t.Helper()
	err := Decode(frame, func(now time.Duration, e *Event) {
		c := *e
		c.Members = append([]logic.Member(nil), e.Members...)
		events, clock = append(events, c), now
	})
	if err != nil {
		t.Fatal(err)
	}
	return events, clock
}

func TestDecodeExamples(t *testing.T) {
	events, now := decode(t, batch(t, requestRecord, timerRecord, unknownRecord, expiredRecord, attemptEndedRecord, discoveryRecord))
	if len(events) != 5 || now != 8412250*time.Microsecond {
		t.Fatalf("%d events at %v, want 5 at 8412.25 ms", len(events), now)
	}
	want := logic.Request{ID: 0x5d3a91c4, Key: 0x91f03b7c55d20a64, Cost: 12 * time.Millisecond, CostKnown: true,
		Deadline: 8652250 * time.Microsecond}
	if !reflect.DeepEqual(events[0].Request, want) || events[0].Instance != 3 {
		t.Errorf("Ask: %+v", events[0].Request)
	}
	if events[1].Token != 77 || events[2].Instance != 5 || events[2].Request.ID != 0x0e6f2b19 {
		t.Errorf("Ring %d, Expired %d of %d", events[1].Token, events[2].Request.ID, events[2].Instance)
	}
	o := events[3].Outcome
	if o.Status != logic.StatusOK || !o.Final || o.Member != node1 || o.Elapsed != 18500*time.Microsecond {
		t.Errorf("ClosedAttempt: %+v", o)
	}
	m := events[4].Members
	if events[4].List != logic.ListCached || events[4].Version != 41 || len(m) != 2 {
		t.Fatalf("Discovery: %+v", events[4])
	}
	if m[0].ID != node1 || m[1] != (logic.Member{ID: node2, Zone: 1, Weight: 1.5, StartedAt: 6100 * time.Millisecond}) {
		t.Errorf("entries: %+v", m)
	}
}

func TestDecodeOtherEvents(t *testing.T) {
	events, _ := decode(t, batch(t,
		"0001 04000000 07000000",
		"0101 10000000 07000000 0100000000000000 00000000",
		"0401 17000000 03000000 c4913a5d 02 0a124a07 5b1b 0000000000803240",
		"0501 0a000000 03000000 0900 0200 6869",
		"0801 1d000000 03000000 0a124a07 5b1b 0902 0000000000803240 02 0000803f 0000c03f"))
	if events[0].Code != EvDetach || events[0].Instance != 7 || events[1].Seed != 1 {
		t.Errorf("Detach, Init: %+v %+v", events[0], events[1])
	}
	if o := events[2].Outcome; o.Attempt != 2 || o.Member != node1 || o.Request != 0x5d3a91c4 {
		t.Errorf("UnderWay: %+v", o)
	}
	if events[3].Peer != 9 || string(events[3].Data) != "hi" {
		t.Errorf("Message: %+v", events[3])
	}
	if o := events[4].Outcome; o.Status != logic.StatusConnectFailed || len(o.Load) != 2 || o.Load[1] != 1.5 {
		t.Errorf("ProbeDone: %+v", o)
	}
}

func TestEncodeExamples(t *testing.T) {
	var r Reply
	r.Reset()
	if got, want := r.Bytes(), unhex(t, "08000000 00000000"); !bytes.Equal(got, want) {
		t.Errorf("empty reply %x", got)
	}
	a := Actions{Reply: &r, Instance: 3}
	for name, c := range map[string]struct {
		do   func()
		want string
	}{
		"HandOff": {func() { a.Send(0x5d3a91c4, node1, 80*time.Millisecond, 0) },
			"0a01 16000000 03000000 c4913a5d 0a124a07 5b1b 0000000000005440"},
		"Remind": {func() { a.SetTimer(8770*time.Millisecond+250*time.Microsecond, 77) },
			"0501 14000000 03000000 000000002021c140 4d00000000000000"},
		"Trace":         {func() { a.Log("two servers known") }, "0101 17000000 03000000 1100 74776f2073657276657273206b6e6f776e"},
		"BroadcastTo":   {func() { a.SendToPeer(logic.AllPeers, []byte("h i7")) }, "0301 0e000000 03000000 ffffffff 0400 68206937"},
		"Shed":          {func() { a.Refuse(1, time.Millisecond, logic.NoRoom) }, "0601 10000000 03000000 01000000 000000000000f03f"},
		"Abort":         {func() { a.Fail(1, logic.MayHaveRun) }, "0001 08000000 03000000 01000000"},
		"DropAttempt":   {func() { a.Cancel(1, 2) }, "0b01 09000000 03000000 01000000 02"},
		"AskLoad":       {func() { a.Probe(node1) }, "0201 0a000000 03000000 0a124a07 5b1b"},
		"LetGo":         {func() { a.CloseIdle(node1) }, "0701 0a000000 03000000 0a124a07 5b1b"},
		"KeepInformed":  {func() { a.Watch(true) }, "0401 05000000 03000000 01"},
		"Refresh":       {func() { a.FetchList() }, "0901 04000000 03000000"},
		"Bug":           {func() { r.Bug(3, "x") }, "0801 07000000 03000000 0100 78"},
		"peer by index": {func() { a.SendToPeer(5, nil) }, "0301 0a000000 03000000 05000000 0000"},
	} {
		r.Reset()
		c.do()
		got := r.Bytes()
		if want := unhex(t, c.want); !bytes.Equal(got[8:], want) || got[0] != byte(len(got)) || got[4] != 1 {
			t.Errorf("%s: %x, want %x", name, got, want)
		}
	}
}

func TestReadBatch(t *testing.T) {
	whole := batch(t, requestRecord)
	r := bufio.NewReader(bytes.NewReader(append(bytes.Clone(whole), whole...)))
	for range 2 {
		if got, err := ReadBatch(r, nil); err != nil || !bytes.Equal(got, whole) {
			t.Fatalf("%x, %v", got, err)
		}
	}
	if _, err := ReadBatch(r, nil); err != io.EOF {
		t.Errorf("clean end: %v", err)
	}
	short, huge := bytes.Clone(whole), bytes.Clone(whole)
	short[8], short[9] = 3, 0
	huge[11] = 0xff
	for name, in := range map[string][]byte{"header": whole[:7], "body": whole[:20], "short": short, "huge": huge} {
		if _, err := ReadBatch(bufio.NewReader(bytes.NewReader(in)), nil); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: %v, want ErrFrame", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(batch(f, requestRecord, timerRecord, expiredRecord, attemptEndedRecord, discoveryRecord))
	f.Add(batch(f, unknownRecord, discoveryRecord))
	f.Add(batch(f, attemptEndedRecord)[:30])
	f.Fuzz(func(t *testing.T, frame []byte) {
		err := Decode(frame, func(_ time.Duration, e *Event) {
			if e.Code < EvDetach || e.Code > EvAttemptEnded {
				t.Errorf("event of unknown code %d", e.Code)
			}
		})
		if err != nil && !errors.Is(err, ErrFrame) {
			t.Errorf("%v does not wrap ErrFrame", err)
		}
	})
}

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(`{"areas": ["x", "y"], "az": 1, "instances": 7, "self_index": 4, "new_key": {"a": 1},
		"discovery": "subscribe", "granularity_ms": 5.0, "weights": "live", "over_share_worth": 0.25,
		"classes": [{"aim_ms": 80.5, "deadline_ms": 300, "repeat": "by_key", "dedup_scope": "cell", "window_ms": 50,
			"worth": 2, "streamed": true, "aim_stretch": 1.5}, {"repeat": "riddle", "dedup_scope": "riddle"}],
		"tenants": [{"name": "t", "quota_rps": 9, "share": 0.5}], "deductions": {"cross_zone": 0.5},
		"family_info": {"mode": "aside", "origin_kind": 0, "origin_fall_multiple": 2.5, "origin_fall_ms": 10},
		"limits": {"cancel": true, "try_limit": 6, "second_copies": true, "connect_timeout_ms": 11},
		"report": {"columns": ["mean_ms", "concurrent", "x0"]},
		"rules": {"cold_from": 0.5, "cold_ms": 100, "fall_multiple": 3, "tip_after_ms": 20, "must_ask_in_ms": 30}}`))
	if err != nil {
		t.Fatal(err)
	}
	c := s.Classes[0]
	if c.SoftDeadline != 80500*time.Microsecond || c.Effect != logic.DeduplicatedByKey || c.Scope != logic.ScopeCell || !c.Stream {
		t.Errorf("class %+v", c)
	}
	if x := s.Classes[1]; x.Effect != logic.AtMostOnce || x.Scope != logic.ScopeCell {
		t.Errorf("unknown words must be read strictly: %+v", x)
	}
	if s.Mode != logic.CacheAside || s.OriginKind != 0 || s.Zones != 2 || s.Zone != 1 || s.SelfIndex != 4 || !s.Subscribe ||
		s.Weights != logic.WeightsLive || s.MaxAttempts != 6 || s.CrossZoneCost != 0.5 || s.Tenants[0].Quota != 9 ||
		s.ReportColumns[0] != logic.ColumnLatency || s.OverloadDuration != 20*time.Millisecond || s.SlowStartCapacity != 0.5 {
		t.Errorf("settings %+v", s)
	}
	if s, err := ParseSettings([]byte(`{"family_info": {"mode": "through"}}`)); err != nil || s.OriginKind != -1 {
		t.Errorf("no origin: %+v, %v", s, err)
	}
	if _, err := ParseSettings([]byte(`{`)); err == nil {
		t.Error("broken text: no error")
	}
}
