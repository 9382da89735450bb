package inherit

import (
	"errors"
	"math"
	"reflect"
	"testing"
	"time"

	"linenloom/internal/pool"
	"linenloom/logic"
)

const takenMS = 1_800_000_000_000

// sample is a snapshot of so many members, and what its successor's list says of them.
func sample(members int) (Snapshot, map[logic.MemberID]Member) {
	s := Snapshot{Fleet: Fleet("a", "b"), TakenMS: takenMS, Members: map[logic.MemberID]Link{}, Reuse: 0.1,
		Idle:   pool.IdleLearnt{Used: []float64{8, 4}, Broke: []float64{0, 4}},
		Learnt: logic.LearnedState{Total: 100, EarlierTotal: 40, Latency: 0.02, FailureRate: 0.1, Arrivals: 60, ServedWork: 50, SpanSeconds: 4, RecentAttempts: 30, RecentAnswers: 28}}
	now := map[logic.MemberID]Member{}
	for i := range members {
		id := logic.MemberID(i + 1)
		s.Learnt.Members = append(s.Learnt.Members, logic.LearnedMember{ID: id, Limit: 30, Latency: 0.01, Samples: 1000 + i, FailureRate: 0.2,
			FailureStreak: 2, EjectedFor: time.Second})
		s.Members[id] = Link{Addr: "10.1.0.1:6379", Learnt: pool.Learnt{Turn: time.Millisecond, Clean: 9}}
		now[id] = Member{Addr: "10.1.0.1:6379"}
	}
	s.Learnt.Keys = []logic.LearnedKey{{Key: 7, Count: 20, Err: 2, Members: []logic.MemberID{1}}}
	return s, now
}

// What is cut anywhere, has any byte changed, or is something else is turned down with the reason, and nothing of it is taken.
func TestDamaged(t *testing.T) {
	s, _ := sample(3)
	b, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v", got, err)
	}
	for n := range b {
		want := ErrCut
		if n == 0 {
			want = ErrCut // an empty file is one that was never written
		}
		if got, err := Decode(b[:n]); !errors.Is(err, want) || !reflect.DeepEqual(got, Snapshot{}) {
			t.Fatalf("cut at %d: %v", n, err)
		}
		changed := append([]byte(nil), b...)
		changed[n] ^= 0x20
		if got, err := Decode(changed); err == nil || !reflect.DeepEqual(got, Snapshot{}) {
			t.Fatalf("byte %d changed: %v", n, err)
		}
	}
	later := append([]byte(nil), b...)
	later[len(magic)+1]++
	for want, text := range map[error][]byte{ErrVersion: later, ErrForeign: append(b[:len(b):len(b)], 0)} {
		if _, err := Decode(text); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
}

// One of another fleet, of another time, or of members that have been replaced is turned down; else what still fits is kept.
func TestFor(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s *Snapshot, now map[logic.MemberID]Member)
		fleet   uint64
		age     time.Duration
		want    error
		members int
	}{
		"the same":         {members: 4},
		"another fleet":    {fleet: 1, want: ErrFleet},
		"too old":          {age: MaxAge + time.Second, want: ErrOld},
		"from the future":  {age: -time.Hour, want: ErrFuture},
		"a clock set back": {age: -time.Second / 2, members: 4},
		"one is gone":      {change: func(_ *Snapshot, now map[logic.MemberID]Member) { delete(now, 2) }, members: 3},
		"one started anew": {change: func(_ *Snapshot, now map[logic.MemberID]Member) { now[2] = Member{5, now[2].Addr} }, members: 3},
		"a zone started": {change: func(_ *Snapshot, now map[logic.MemberID]Member) {
			now[2], now[1], now[3] = Member{5, now[2].Addr}, Member{5, now[2].Addr}, Member{5, now[2].Addr}
		}, members: 1},
		"an id reused":       {change: func(_ *Snapshot, now map[logic.MemberID]Member) { now[2] = Member{0, "10.1.0.2:6379"} }, members: 3},
		"most are replaced":  {change: func(_ *Snapshot, now map[logic.MemberID]Member) { delete(now, 1); delete(now, 2); delete(now, 3) }, want: ErrFleet},
		"no share of a kind": {change: func(s *Snapshot, _ map[logic.MemberID]Member) { s.Reuse = math.NaN() }, members: 4},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := sample(4)
			fleet := s.Fleet + c.fleet
			if c.change != nil {
				c.change(&s, now)
			}
			got, err := s.For(fleet, takenMS+c.age.Milliseconds(), now)
			if !errors.Is(err, c.want) || len(got.Learnt.Members) != c.members || len(got.Members) != c.members {
				t.Fatalf("%d members, %v", len(got.Learnt.Members), err)
			}
			if err == nil && !(got.Reuse >= 0 && got.Reuse <= 1) {
				t.Errorf("reuse %v", got.Reuse)
			}
		})
	}
}

// Each figure moves from what was learnt to what a fresh process assumes, and never past either; an ejection runs on.
func TestFades(t *testing.T) {
	s, now := sample(1)
	last, err := s.For(s.Fleet, takenMS, now)
	if err != nil || !reflect.DeepEqual(last.Learnt, s.Learnt) {
		t.Fatalf("at once: %+v %v", last.Learnt, err)
	}
	for age := time.Second; age <= MaxAge; age += time.Second {
		next, err := s.For(s.Fleet, takenMS+age.Milliseconds(), now)
		if err != nil {
			t.Fatal(err)
		}
		was, is := last.Learnt, next.Learnt
		m, n := was.Members[0], is.Members[0]
		if n.Limit >= m.Limit || n.Limit <= logic.InitialLimit || n.Samples > m.Samples || n.FailureRate >= m.FailureRate || n.EjectedFor > max(0, time.Second-age) {
			t.Fatalf("%v: %+v after %+v", age, n, m)
		}
		if is.Total >= was.Total || is.Keys[0].Count >= was.Keys[0].Count || is.ServedWork >= was.ServedWork || is.FailureRate >= was.FailureRate ||
			next.Reuse <= last.Reuse || next.Reuse > 1 {
			t.Fatalf("%v: %+v after %+v", age, is, was)
		}
		if rate := is.ServedWork / is.SpanSeconds; math.Abs(rate-12.5) > 1e-9 {
			t.Fatalf("%v: the rate is %v, and was 12.5", age, rate)
		}
		last = next
	}
	if m := last.Learnt.Members[0]; m.Limit > 12 || m.FailureRate > 0.001 || m.EjectedFor != 0 {
		t.Errorf("after %v: %+v", MaxAge, m)
	}
}

// A snapshot past the bound is written with the members that are known best.
func TestBounded(t *testing.T) {
	s, _ := sample(20_000)
	b, err := Encode(s)
	if err != nil || len(b) > MaxBytes {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	got, err := Decode(b)
	if err != nil || len(got.Learnt.Members) < 1000 || len(got.Members) != len(got.Learnt.Members) {
		t.Fatalf("%d members, %v", len(got.Learnt.Members), err)
	}
	if least := got.Learnt.Members[len(got.Learnt.Members)-1].Samples; least < 1000+20_000-len(got.Learnt.Members) {
		t.Errorf("the least known has %d answers", least)
	}
	for _, n := range []int{60, 2000} {
		s, _ := sample(n)
		b, _ := Encode(s)
		t.Logf("%d members: %d bytes", n, len(b))
	}
}

func FuzzDecode(f *testing.F) {
	s, now := sample(2)
	b, err := Encode(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte(magic))
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err != nil {
			return
		}
		if len(b) > MaxBytes {
			return // the host reads no more
		}
		s.For(s.Fleet, s.TakenMS, now)
		again, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("what was read can't be written: %v", err)
		}
	})
}
