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

const sampleTakenMS = 1_800_000_000_000

// sampleSnapshot returns a snapshot with the given number of members, and the entries of the successor's
// list for them.
func sampleSnapshot(members int) (Snapshot, map[logic.MemberID]CurrentMember) {
	s := Snapshot{Fleet: FleetHash("a", "b"), TakenMS: sampleTakenMS, Links: map[logic.MemberID]LinkState{}, ReuseShare: 0.1,
		Idle:     pool.IdleStats{Reused: []float64{8, 4}, Broken: []float64{0, 4}},
		Balancer: logic.LearnedState{Total: 100, EarlierTotal: 40, Latency: 0.02, FailureRate: 0.1, Arrivals: 60, ServedWork: 50, SpanSeconds: 4, RecentAttempts: 30, RecentAnswers: 28}}
	now := map[logic.MemberID]CurrentMember{}
	for i := range members {
		id := logic.MemberID(i + 1)
		s.Balancer.Members = append(s.Balancer.Members, logic.LearnedMember{ID: id, Limit: 30, Latency: 0.01, Samples: 1000 + i, FailureRate: 0.2,
			FailureStreak: 2, EjectedFor: time.Second})
		s.Links[id] = LinkState{Addr: "10.1.0.1:6379", ConnStats: pool.ConnStats{Occupancy: time.Millisecond, CleanAnswers: 9}}
		now[id] = CurrentMember{Addr: "10.1.0.1:6379"}
	}
	s.Balancer.Keys = []logic.LearnedKey{{Key: 7, Count: 20, MaxError: 2, Members: []logic.MemberID{1}}}
	return s, now
}

// A snapshot that is truncated, has a changed byte or is something else is rejected with a reason, and
// none of it is used.
func TestDamaged(t *testing.T) {
	s, _ := sampleSnapshot(3)
	b, err := Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(b); err != nil || !reflect.DeepEqual(got, s) {
		t.Fatalf("%+v, %v", got, err)
	}
	for n := range b {
		want := ErrTruncated
		if n == 0 {
			want = ErrTruncated // an empty file is a truncated snapshot
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
	for want, text := range map[error][]byte{ErrVersion: later, ErrNotSnapshot: append(b[:len(b):len(b)], 0)} {
		if _, err := Decode(text); !errors.Is(err, want) {
			t.Errorf("%v, want %v", err, want)
		}
	}
}

// A snapshot of another fleet, of another time or of replaced members is rejected; otherwise the valid
// part of it is used.
func TestAdjustFor(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s *Snapshot, now map[logic.MemberID]CurrentMember)
		fleet   uint64
		age     time.Duration
		want    error
		members int
	}{
		"the same":         {members: 4},
		"another fleet":    {fleet: 1, want: ErrFleet},
		"too old":          {age: MaxAge + time.Second, want: ErrTooOld},
		"from the future":  {age: -time.Hour, want: ErrFuture},
		"a clock set back": {age: -time.Second / 2, members: 4},
		"one is gone":      {change: func(_ *Snapshot, now map[logic.MemberID]CurrentMember) { delete(now, 2) }, members: 3},
		"one started anew": {change: func(_ *Snapshot, now map[logic.MemberID]CurrentMember) { now[2] = CurrentMember{5, now[2].Addr} }, members: 3},
		"a zone started": {change: func(_ *Snapshot, now map[logic.MemberID]CurrentMember) {
			now[2], now[1], now[3] = CurrentMember{5, now[2].Addr}, CurrentMember{5, now[2].Addr}, CurrentMember{5, now[2].Addr}
		}, members: 1},
		"an id reused": {change: func(_ *Snapshot, now map[logic.MemberID]CurrentMember) { now[2] = CurrentMember{0, "10.1.0.2:6379"} }, members: 3},
		"most are replaced": {change: func(_ *Snapshot, now map[logic.MemberID]CurrentMember) {
			delete(now, 1)
			delete(now, 2)
			delete(now, 3)
		}, want: ErrFleet},
		"no share of a kind": {change: func(s *Snapshot, _ map[logic.MemberID]CurrentMember) { s.ReuseShare = math.NaN() }, members: 4},
	} {
		t.Run(name, func(t *testing.T) {
			s, now := sampleSnapshot(4)
			fleet := s.Fleet + c.fleet
			if c.change != nil {
				c.change(&s, now)
			}
			got, err := s.AdjustFor(fleet, sampleTakenMS+c.age.Milliseconds(), now)
			if !errors.Is(err, c.want) || len(got.Balancer.Members) != c.members || len(got.Links) != c.members {
				t.Fatalf("%d members, %v", len(got.Balancer.Members), err)
			}
			if err == nil && !(got.ReuseShare >= 0 && got.ReuseShare <= 1) {
				t.Errorf("reuse %v", got.ReuseShare)
			}
		})
	}
}

// Each value moves from the inherited one to the default of a fresh process and never past either. The
// remaining time of an ejection runs on.
func TestDecay(t *testing.T) {
	s, now := sampleSnapshot(1)
	last, err := s.AdjustFor(s.Fleet, sampleTakenMS, now)
	if err != nil || !reflect.DeepEqual(last.Balancer, s.Balancer) {
		t.Fatalf("at once: %+v %v", last.Balancer, err)
	}
	for age := time.Second; age <= MaxAge; age += time.Second {
		next, err := s.AdjustFor(s.Fleet, sampleTakenMS+age.Milliseconds(), now)
		if err != nil {
			t.Fatal(err)
		}
		was, is := last.Balancer, next.Balancer
		m, n := was.Members[0], is.Members[0]
		if n.Limit >= m.Limit || n.Limit <= logic.InitialLimit || n.Samples > m.Samples || n.FailureRate >= m.FailureRate || n.EjectedFor > max(0, time.Second-age) {
			t.Fatalf("%v: %+v after %+v", age, n, m)
		}
		if is.Total >= was.Total || is.Keys[0].Count >= was.Keys[0].Count || is.ServedWork >= was.ServedWork || is.FailureRate >= was.FailureRate ||
			next.ReuseShare <= last.ReuseShare || next.ReuseShare > 1 {
			t.Fatalf("%v: %+v after %+v", age, is, was)
		}
		if rate := is.ServedWork / is.SpanSeconds; math.Abs(rate-12.5) > 1e-9 {
			t.Fatalf("%v: the rate is %v, and was 12.5", age, rate)
		}
		last = next
	}
	if m := last.Balancer.Members[0]; m.Limit > 12 || m.FailureRate > 0.001 || m.EjectedFor != 0 {
		t.Errorf("after %v: %+v", MaxAge, m)
	}
}

// A snapshot beyond the size limit is written with the members that have the most observations.
func TestEncodeIsBounded(t *testing.T) {
	s, _ := sampleSnapshot(20_000)
	b, err := Encode(s)
	if err != nil || len(b) > MaxBytes {
		t.Fatalf("%d bytes, %v", len(b), err)
	}
	got, err := Decode(b)
	if err != nil || len(got.Balancer.Members) < 1000 || len(got.Links) != len(got.Balancer.Members) {
		t.Fatalf("%d members, %v", len(got.Balancer.Members), err)
	}
	if least := got.Balancer.Members[len(got.Balancer.Members)-1].Samples; least < 1000+20_000-len(got.Balancer.Members) {
		t.Errorf("the least known has %d answers", least)
	}
	for _, n := range []int{60, 2000} {
		s, _ := sampleSnapshot(n)
		b, _ := Encode(s)
		t.Logf("%d members: %d bytes", n, len(b))
	}
}

func FuzzDecode(f *testing.F) {
	s, now := sampleSnapshot(2)
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
			return // the host reads at most MaxBytes
		}
		s.AdjustFor(s.Fleet, s.TakenMS, now)
		again, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("what was read can't be written: %v", err)
		}
	})
}
