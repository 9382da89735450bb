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

var usual = Limits{Keep: time.Hour, Most: 100, MostBytes: 1 << 20}

// world is a book with what it does not see: the log, what is on its way there, and what has really run.
type world struct {
	b        *Book
	now      time.Duration
	disk     []*Entry     // what is there after a crash
	inFlight []*Entry     // in the order in which they were handed over
	out      map[Name]int // sent, and neither run nor turned away
	ran      map[Name]int
	told     map[Name][]byte
}

func receipt(n Name) []byte { return []byte("receipt of " + n.Key) }

// written parses what was written, as an opening does.
func written(t *rapid.T, e *Entry) *Entry {
	got, err := Parse(e.Append(nil))
	if err != nil {
		t.Fatalf("%+v: %v", e, err)
	}
	return got
}

// Whatever fails, crashes or is asked again, no order runs twice, a receipt that was told stays on record, and the log says the same after
// a compaction.
func TestNothingRunsTwice(t *testing.T) {
	flag.Set("rapid.steps", "200") // an order takes ten steps to its end, and a crash may fall anywhere
	rapid.Check(t, func(t *rapid.T) {
		w := &world{b: New(usual), out: map[Name]int{}, ran: map[Name]int{}, told: map[Name][]byte{}}
		name := rapid.Map(rapid.IntRange(0, 1), func(i int) Name { return Name{"kiosk", fmt.Sprint("k", i)} })
		pop := func(t *rapid.T) *Entry {
			if len(w.inFlight) == 0 {
				t.Skip("nothing is on its way")
			}
			e := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			return e
		}
		push := func(e *Entry, err error) {
			if err == nil {
				w.inFlight = append(w.inFlight, e)
			}
		}
		write := func(t *rapid.T) {
			e := pop(t)
			w.disk = append(w.disk, written(t, e))
			w.b.Durable(e)
			switch e.State {
			case Sent: // only now is it sent
				w.out[e.Name]++
			case Done:
				w.told[e.Name] = e.Receipt
			}
		}
		send := func(t *rapid.T) { push(w.b.Send(w.now, name.Draw(t, "name"), "o-1")) }
		rarely := func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				t.Skip("not now")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"write, as it mostly goes": write, "write once more": write, "send once more": send,
			"take": func(t *rapid.T) {
				o := Order{Name: name.Draw(t, "name"), Again: rapid.Bool().Draw(t, "again")}
				v, r, e := w.b.Take(w.now, o)
				switch v {
				case Go:
					push(e, nil)
				case Receipt:
					if w.ran[o.Name] != 1 || !bytes.Equal(r, receipt(o.Name)) {
						t.Fatalf("%v: the receipt %q of an order that ran %d times", o.Name, r, w.ran[o.Name])
					}
				}
			},
			"send": send, "write": write,
			"fail to write": func(t *rapid.T) {
				rarely(t)
				e := pop(t)
				if rapid.Bool().Draw(t, "there after all") {
					w.disk = append(w.disk, written(t, e))
				}
				w.b.Lost(e)
			},
			"run": func(t *rapid.T) {
				if n := name.Draw(t, "name"); w.out[n] > 0 {
					w.out[n]--
					w.ran[n]++
					if s := rapid.SampledFrom([]State{Done, Unknown}).Draw(t, "end"); true {
						push(w.b.End(w.now, n, s, receipt(n), ""))
					}
				}
			},
			"turned away": func(t *rapid.T) {
				if n := name.Draw(t, "name"); w.out[n] > 0 {
					w.out[n]--
					w.b.Returned(n) // nobody is there to be told, if a crash came between
				}
			},
			"give up": func(t *rapid.T) { rarely(t); push(w.b.End(w.now, name.Draw(t, "name"), NeverRan, nil, "")) },
			"look up": func(t *rapid.T) {
				n := name.Draw(t, "name")
				if w.out[n] > 0 {
					t.Skip("it may run yet")
				}
				s := NeverRan
				if w.ran[n] > 0 {
					s = Done
				}
				push(w.b.Settle(w.now, n, s, receipt(n), "ops"))
			},
			"crash": func(t *rapid.T) {
				rarely(t)
				n := rapid.IntRange(0, len(w.inFlight)).Draw(t, "written")
				for _, e := range w.inFlight[:n] {
					w.disk = append(w.disk, written(t, e))
				}
				w.inFlight = nil
				w.b = New(usual)
				for _, e := range w.disk {
					w.b.Replay(e)
				}
				w.now = rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "the clock, which may jump back")
				w.b.Opened(w.now)
			},
			"compact": func(t *rapid.T) {
				if len(w.inFlight) > 0 {
					t.Skip("a log that is written to")
				}
				w.disk = nil
				w.b.Entries(func(e *Entry) bool { w.disk = append(w.disk, written(t, e)); return true })
			},
			"": func(t *rapid.T) {
				for n, times := range w.ran {
					if times > 1 {
						t.Fatalf("%v has run %d times", n, times)
					}
				}
				for n, r := range w.told {
					if e, ok := w.b.Get(n); !ok || e.State != Done || !bytes.Equal(e.Receipt, r) {
						t.Fatalf("%v: a receipt was told, and on record is %+v", n, e)
					}
				}
			},
		})
	})
}

// done takes an order through to its receipt.
func done(t *testing.T, b *Book, now time.Duration, o Order) {
	t.Helper()
	v, _, e := b.Take(now, o)
	if v != Go {
		t.Fatalf("%v: %v", o.Name, v)
	}
	b.Durable(e)
	for _, step := range []func() (*Entry, error){
		func() (*Entry, error) { return b.Send(now, o.Name, "o-1") },
		func() (*Entry, error) { return b.End(now, o.Name, Done, make([]byte, 10), "") },
	} {
		e, err := step()
		if err != nil {
			t.Fatal(err)
		}
		b.Durable(e)
	}
}

// What a client that asks again is told.
func TestVerdicts(t *testing.T) {
	b := New(Limits{Keep: time.Hour, Most: 4, MostBytes: 1000})
	first := Order{Name: Name{"shop", "k1"}, Digest: [32]byte{1}, Token: "j1", Until: 3 * time.Hour}
	done(t, b, 0, first)
	in := Order{Name: Name{"shop", "k2"}}
	if v, _, e := b.Take(0, in); v != Go {
		t.Fatal(v)
	} else if v, _, _ := b.Take(0, in); v != InHand {
		t.Errorf("not durable yet: %v", v)
	} else {
		b.Durable(e)
	}
	lost := Order{Name: Name{"shop", "k3"}}
	_, _, e := b.Take(0, lost)
	b.Durable(e)
	e, _ = b.Send(0, lost.Name, "o-1")
	b.Durable(e)
	e, _ = b.End(0, lost.Name, Done, []byte("r"), "")
	b.Lost(e) // it has run, and its receipt is on no record
	for name, c := range map[string]struct {
		order Order
		at    time.Duration
		want  Verdict
	}{
		"the same again":                   {first, 0, Receipt},
		"something else by its name":       {Order{Name: first.Name, Digest: [32]byte{2}}, 0, Mismatch},
		"in hand":                          {in, 0, InHand},
		"without a receipt on record":      {lost, 0, LookUp},
		"another tenant's key":             {Order{Name: Name{"kiosk", "k1"}}, 0, Go},
		"again, and nobody knows it":       {Order{Name: Name{"shop", "k9"}, Again: true}, 0, LookUp},
		"a token used by another":          {Order{Name: Name{"shop", "k9"}, Token: "j1", Until: time.Hour}, 0, Used},
		"forgotten, and its token is used": {first, 2 * time.Hour, Used},
	} {
		c2 := New(b.limits)
		b.Entries(func(e *Entry) bool { c2.Replay(e); return true })
		c2.now = 0
		for _, n := range []Name{in.Name} { // as in hand as it is there
			c2.by[n].inHand = true
		}
		if v, _, _ := c2.Take(c.at, c.order); v != c.want {
			t.Errorf("%s: %v, want %v", name, v, c.want)
		}
	}
	if v, _, e := b.Take(0, Order{Name: Name{"shop", "k4"}}); v != Go {
		t.Error(v)
	} else {
		b.Durable(e)
	}
	if v, _, _ := b.Take(0, Order{Name: Name{"shop", "k5"}}); v != Full {
		t.Errorf("past the bound: %v", v)
	}
	// What has ended for long enough is forgotten, but not what is unknown.
	if v, _, _ := b.Take(2*time.Hour, Order{Name: Name{"shop", "k5"}}); v != Go {
		t.Errorf("later: %v", v)
	}
	if _, ok := b.Get(lost.Name); !ok {
		t.Error("an unknown order is forgotten")
	}
	if _, unknown := b.Len(); unknown != 1 {
		t.Errorf("%d unknown orders", unknown)
	}
	if _, err := b.Settle(2*time.Hour, in.Name, Done, nil, "ops"); !errors.Is(err, ErrSettled) {
		t.Errorf("settling an order in hand: %v", err)
	}
}

func FuzzParse(f *testing.F) {
	e := Entry{State: Done, At: 5, Name: Name{"shop", "k"}, To: "o-1", Tries: 2, Token: "j", Until: 9, Receipt: []byte("r"), By: "ops"}
	f.Add(e.Append(nil))
	f.Add((&Entry{State: Taken}).Append(nil))
	f.Add([]byte{1, 3})
	f.Fuzz(func(t *testing.T, b []byte) {
		if e, err := Parse(b); err == nil && !bytes.Equal(e.Append(nil), b) {
			t.Errorf("%x is read as %+v, and written as %x", b, e, e.Append(nil))
		}
	})
}
