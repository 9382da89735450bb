package orders

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testLimits = Limits{Retention: time.Hour, MaxOrders: 100, MaxReceiptBytes: 1 << 20}

// simulation is a book with what it does not see: the log, what is on its way there, and what has really run.
type simulation struct {
	table         *Table
	now           time.Duration
	stored        []*Entry     // what is there after a crash
	pendingWrites []*Entry     // in the order in which they were handed over
	outstanding   map[Name]int // sent, and neither run nor turned away
	runs          map[Name]int
	reported      map[Name][]byte
}

func testReceipt(n Name) []byte { return []byte("receipt of " + n.Key) }

// roundTrip parses what was written, as an opening does.
func roundTrip(t *rapid.T, e *Entry) *Entry {
	got, err := Parse(e.Append(nil))
	if err != nil {
		t.Fatalf("%+v: %v", e, err)
	}
	return got
}

// Whatever fails, crashes or is asked again, no order runs twice, a receipt that was told stays on record, and the log says the same after
// a compaction.
func TestNoOrderRunsTwice(t *testing.T) {
	flag.Set("rapid.steps", "200") // an order takes ten steps to its end, and a crash may fall anywhere
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{table: New(testLimits), outstanding: map[Name]int{}, runs: map[Name]int{}, reported: map[Name][]byte{}}
		name := rapid.Map(rapid.IntRange(0, 1), func(i int) Name { return Name{"kiosk", fmt.Sprint("k", i)} })
		pop := func(t *rapid.T) *Entry {
			if len(w.pendingWrites) == 0 {
				t.Skip("nothing is on its way")
			}
			e := w.pendingWrites[0]
			w.pendingWrites = w.pendingWrites[1:]
			return e
		}
		push := func(e *Entry, err error) {
			if err == nil {
				w.pendingWrites = append(w.pendingWrites, e)
			}
		}
		write := func(t *rapid.T) {
			e := pop(t)
			w.stored = append(w.stored, roundTrip(t, e))
			w.table.MarkDurable(e)
			switch e.State {
			case Sent: // only now is it sent
				w.outstanding[e.Name]++
			case Done:
				w.reported[e.Name] = e.Receipt
			}
		}
		send := func(t *rapid.T) { push(w.table.Send(w.now, name.Draw(t, "name"), "o-1")) }
		rarely := func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				t.Skip("not now")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write, as it mostly goes": write, "write once more": write, "send once more": send,
			"take": func(t *rapid.T) {
				o := Order{Name: name.Draw(t, "name"), Retry: rapid.Bool().Draw(t, "again")}
				v, r, e := w.table.Take(w.now, o)
				switch v {
				case Proceed:
					push(e, nil)
				case Receipt:
					if w.runs[o.Name] != 1 || !bytes.Equal(r, testReceipt(o.Name)) {
						t.Fatalf("%v: the receipt %q of an order that ran %d times", o.Name, r, w.runs[o.Name])
					}
				}
			},
			"send": send, "write": write,
			"fail to write": func(t *rapid.T) {
				rarely(t)
				e := pop(t)
				if rapid.Bool().Draw(t, "there after all") {
					w.stored = append(w.stored, roundTrip(t, e))
				}
				w.table.MarkWriteFailed(e)
			},
			"run": func(t *rapid.T) {
				if n := name.Draw(t, "name"); w.outstanding[n] > 0 {
					w.outstanding[n]--
					w.runs[n]++
					if s := rapid.SampledFrom([]State{Done, Unknown}).Draw(t, "end"); true {
						push(w.table.End(w.now, n, s, testReceipt(n), ""))
					}
				}
			},
			"turned away": func(t *rapid.T) {
				if n := name.Draw(t, "name"); w.outstanding[n] > 0 {
					w.outstanding[n]--
					w.table.MarkNotRun(n) // nobody is there to be told, if a crash came between
				}
			},
			"give up": func(t *rapid.T) { rarely(t); push(w.table.End(w.now, name.Draw(t, "name"), NeverRan, nil, "")) },
			"look up": func(t *rapid.T) {
				n := name.Draw(t, "name")
				if w.outstanding[n] > 0 {
					t.Skip("it may run yet")
				}
				s := NeverRan
				if w.runs[n] > 0 {
					s = Done
				}
				push(w.table.Settle(w.now, n, s, testReceipt(n), "ops"))
			},
			"crash": func(t *rapid.T) {
				rarely(t)
				n := rapid.IntRange(0, len(w.pendingWrites)).Draw(t, "written")
				for _, e := range w.pendingWrites[:n] {
					w.stored = append(w.stored, roundTrip(t, e))
				}
				w.pendingWrites = nil
				w.table = New(testLimits)
				for _, e := range w.stored {
					w.table.Replay(e)
				}
				w.now = rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "the clock, which may jump back")
				w.table.FinishReplay(w.now)
			},
			"compact": func(t *rapid.T) {
				if len(w.pendingWrites) > 0 {
					t.Skip("a log that is written to")
				}
				w.stored = nil
				w.table.Entries(func(e *Entry) bool { w.stored = append(w.stored, roundTrip(t, e)); return true })
			},
			"": func(t *rapid.T) {
				for n, times := range w.runs {
					if times > 1 {
						t.Fatalf("%v has run %d times", n, times)
					}
				}
				for n, r := range w.reported {
					if e, ok := w.table.Get(n); !ok || e.State != Done || !bytes.Equal(e.Receipt, r) {
						t.Fatalf("%v: a receipt was told, and on record is %+v", n, e)
					}
				}
			},
		})
	})
}

// completeOrder takes an order through to its receipt.
func completeOrder(t *testing.T, b *Table, now time.Duration, o Order) {
	t.Helper()
	v, _, e := b.Take(now, o)
	if v != Proceed {
		t.Fatalf("%v: %v", o.Name, v)
	}
	b.MarkDurable(e)
	for _, step := range []func() (*Entry, error){
		func() (*Entry, error) { return b.Send(now, o.Name, "o-1") },
		func() (*Entry, error) { return b.End(now, o.Name, Done, make([]byte, 10), "") },
	} {
		e, err := step()
		if err != nil {
			t.Fatal(err)
		}
		b.MarkDurable(e)
	}
}

// What a client that asks again is told.
func TestVerdicts(t *testing.T) {
	b := New(Limits{Retention: time.Hour, MaxOrders: 4, MaxReceiptBytes: 1000})
	first := Order{Name: Name{"shop", "k1"}, Digest: [32]byte{1}, Token: "j1", TokenExpiry: 3 * time.Hour}
	completeOrder(t, b, 0, first)
	in := Order{Name: Name{"shop", "k2"}}
	if v, _, e := b.Take(0, in); v != Proceed {
		t.Fatal(v)
	} else if v, _, _ := b.Take(0, in); v != InProgress {
		t.Errorf("not durable yet: %v", v)
	} else {
		b.MarkDurable(e)
	}
	lost := Order{Name: Name{"shop", "k3"}}
	_, _, e := b.Take(0, lost)
	b.MarkDurable(e)
	e, _ = b.Send(0, lost.Name, "o-1")
	b.MarkDurable(e)
	e, _ = b.End(0, lost.Name, Done, []byte("r"), "")
	b.MarkWriteFailed(e) // it has run, and its receipt is on no record
	for name, c := range map[string]struct {
		order Order
		at    time.Duration
		want  Verdict
	}{
		"the same again":                   {first, 0, Receipt},
		"something else by its name":       {Order{Name: first.Name, Digest: [32]byte{2}}, 0, Mismatch},
		"in hand":                          {in, 0, InProgress},
		"without a receipt on record":      {lost, 0, OutcomeUnknown},
		"another tenant's key":             {Order{Name: Name{"kiosk", "k1"}}, 0, Proceed},
		"again, and nobody knows it":       {Order{Name: Name{"shop", "k9"}, Retry: true}, 0, OutcomeUnknown},
		"a token used by another":          {Order{Name: Name{"shop", "k9"}, Token: "j1", TokenExpiry: time.Hour}, 0, TokenUsed},
		"forgotten, and its token is used": {first, 2 * time.Hour, TokenUsed},
	} {
		c2 := New(b.limits)
		b.Entries(func(e *Entry) bool { c2.Replay(e); return true })
		c2.now = 0
		for _, n := range []Name{in.Name} { // as in hand as it is there
			c2.orders[n].inProgress = true
		}
		if v, _, _ := c2.Take(c.at, c.order); v != c.want {
			t.Errorf("%s: %v, want %v", name, v, c.want)
		}
	}
	if v, _, e := b.Take(0, Order{Name: Name{"shop", "k4"}}); v != Proceed {
		t.Error(v)
	} else {
		b.MarkDurable(e)
	}
	if v, _, _ := b.Take(0, Order{Name: Name{"shop", "k5"}}); v != RecordFull {
		t.Errorf("past the bound: %v", v)
	}
	// What has ended for long enough is forgotten, but not what is unknown.
	if v, _, _ := b.Take(2*time.Hour, Order{Name: Name{"shop", "k5"}}); v != Proceed {
		t.Errorf("later: %v", v)
	}
	if _, ok := b.Get(lost.Name); !ok {
		t.Error("an unknown order is forgotten")
	}
	if _, unknown := b.Counts(); unknown != 1 {
		t.Errorf("%d unknown orders", unknown)
	}
	if _, err := b.Settle(2*time.Hour, in.Name, Done, nil, "ops"); !errors.Is(err, ErrNotUnknown) {
		t.Errorf("settling an order in hand: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	e := Entry{State: Done, ChangedAt: 5, Name: Name{"shop", "k"}, Member: "o-1", Attempts: 2, Token: "j", TokenExpiry: 9, Receipt: []byte("r"), ReportedBy: "ops"}
	f.Add(e.Append(nil))
	f.Add((&Entry{State: Taken}).Append(nil))
	f.Add([]byte{1, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := Parse(b); err == nil && !bytes.Equal(e.Append(nil), b) {
			t.Errorf("%x is read as %+v, and written as %x", b, e, e.Append(nil))
		}
	})
}
