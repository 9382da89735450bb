package arrival

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

func TestConnection(t *testing.T) {
	c := NewConnection(100*ms, 100*ms)
	step := func(what string, got, want time.Duration) {
		t.Helper()
		if got != want {
			t.Errorf("%s: dated %v, want %v", what, got, want)
		}
	}
	c.NoteRead(200*ms, false)
	step("what came by itself", c.EarliestArrival(), 200*ms)
	c.NoteRead(300*ms, true) // the buffer was filled
	step("the first of much", c.EarliestArrival(), 300*ms)
	c.NoteRead(350*ms, true)
	step("what stood behind it", c.EarliestArrival(), 300*ms)
	c.NoteUnreadPossible()
	c.NoteRead(900*ms, false)
	step("the rest, after a wait", c.EarliestArrival(), 300*ms)
	c.NoteUnreadPossible()
	c.NoteRead(1500*ms, false)
	step("what may have come during a wait", c.EarliestArrival(), 900*ms)
	c.NoteUnreadPossible()
	if !c.MayHaveUnread() {
		t.Error("nothing may stand unread after a wait")
	}
	c.NoteDrained() // the socket was checked and empty
	c.NoteRead(2500*ms, false)
	step("what came after a look", c.EarliestArrival(), 2500*ms)

	c = NewConnection(100*ms, 400*ms)
	c.NoteRead(500*ms, false)
	step("what stood on a connection in line", c.EarliestArrival(), 100*ms)
	c.NoteRead(600*ms, false)
	step("what came later on it", c.EarliestArrival(), 600*ms)
}

// Whatever arrives, and whenever it is read: no data is dated later than it arrived, and data that is
// read on arrival has that time.
func TestConnectionIsNeverDatedLate(t *testing.T) {
	for seed := range uint64(500) {
		rng := rand.New(rand.NewPCG(seed, 0))
		now := time.Duration(rng.IntN(100)) * ms
		c := NewConnection(now, now)
		var unread []time.Duration // arrival time of each byte
		for range 100 {
			switch rng.IntN(3) {
			case 0: // a burst arrives while the reader is blocked elsewhere
				for range rng.IntN(6) {
					now += time.Duration(rng.IntN(50)) * ms
					unread = append(unread, now)
				}
				now += time.Duration(rng.IntN(200)) * ms
				c.NoteUnreadPossible()
			case 1:
				if len(unread) == 0 && c.MayHaveUnread() {
					c.NoteDrained()
				}
				if len(unread) == 0 { // the reader waits for data
					now += time.Duration(rng.IntN(50)) * ms
					unread = append(unread, now)
					c.NoteRead(now, false)
					if unread = nil; c.EarliestArrival() != now {
						t.Fatalf("seed %d: read as it came at %v, dated %v", seed, now, c.EarliestArrival())
					}
					continue
				}
				n := 1 + rng.IntN(len(unread))
				c.NoteRead(now, n < len(unread))
				if first := unread[0]; c.EarliestArrival() > first {
					t.Fatalf("seed %d: came at %v, dated %v", seed, first, c.EarliestArrival())
				}
				unread = unread[n:]
			}
		}
	}
}

func TestStalls(t *testing.T) {
	s := Stalls{MaxGap: 60 * ms}
	want := func(what string, read, want time.Duration) {
		t.Helper()
		if got := s.EarliestArrival(read); got != want {
			t.Errorf("%s: read at %v, dated %v, want %v", what, read, got, want)
		}
	}
	want("none yet", 10*ms, 10*ms)
	s.NoteGap(100*ms, 160*ms)
	s.NoteEvent(160*ms, 165*ms)
	want("an ordinary pause", 160*ms, 160*ms)
	s.NoteEvent(200*ms, 350*ms)
	want("read while it was held up", 300*ms, 200*ms)
	want("read right after", 360*ms, 200*ms)
	want("read later", 371*ms, 371*ms)
	want("read before", 190*ms, 190*ms)
	s.NoteEvent(360*ms, 370*ms)
	want("held up again at once", 375*ms, 200*ms)
	s.NoteEvent(380*ms, 520*ms)
	want("and again", 530*ms, 200*ms)
	s.NoteEvent(525*ms, 665*ms)
	want("no further back than the longest and some more", 670*ms, 265*ms)
	s.NoteGap(690*ms, 900*ms)
	s.NoteEvent(901*ms, 907*ms)
	want("a long pause of its own", 908*ms, 690*ms)
	s = Stalls{MaxGap: 60 * ms}
	s.NoteGap(600*ms, 900*ms)
	want("a long pause of its own", 900*ms, 600*ms)
	s.NoteGap(1000*ms, 1500*ms)
	want("a longer one", 1510*ms, 1000*ms)
}
