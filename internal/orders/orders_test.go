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

// simulation is a table together with the state outside it: the log, the entries that are being
// written, and the runs of the orders.
type simulation struct {
	table         *Table
	now           time.Duration
	stored        []*Entry     // entries that are present after a crash
	pendingWrites []*Entry     // in the order in which the table returned them
	outstanding   map[Name]int // attempts that were sent and have neither run nor been rejected
	runs          map[Name]int
	reported      map[Name][]byte // receipts that clients have received
}

func testReceipt(n Name) []byte { return []byte("receipt of " + n.Key) }

// roundTrip encodes and parses an entry, as reopening the log does.
func roundTrip(t *rapid.T, e *Entry) *Entry {
	got, err := Parse(e.Append(nil))
	if err != nil {
		t.Fatalf("%+v: %v", e, err)
	}
	return got
}

// Failed writes, crashes and retries in any sequence must not make an order run twice, and a receipt
// that was reported to a client must stay on record. The record must be the same after a compaction.
func TestNoOrderRunsTwice(t *testing.T) {
	flag.Set("rapid.steps", "200") // an order takes ten steps to complete, and a crash may occur at any of them
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{table: New(testLimits), outstanding: map[Name]int{}, runs: map[Name]int{}, reported: map[Name][]byte{}}
		name := rapid.Map(rapid.IntRange(0, 1), func(i int) Name { return Name{"kiosk", fmt.Sprint("k", i)} })
		pop := func(t *rapid.T) *Entry {
			if len(sim.pendingWrites) == 0 {
				t.Skip("nothing is on its way")
			}
			e := sim.pendingWrites[0]
			sim.pendingWrites = sim.pendingWrites[1:]
			return e
		}
		push := func(e *Entry, err error) {
			if err == nil {
				sim.pendingWrites = append(sim.pendingWrites, e)
			}
		}
		write := func(t *rapid.T) {
			e := pop(t)
			sim.stored = append(sim.stored, roundTrip(t, e))
			sim.table.MarkDurable(e)
			switch e.State {
			case Sent: // the order is sent only after its entry is durable
				sim.outstanding[e.Name]++
			case Done:
				sim.reported[e.Name] = e.Receipt
			}
		}
		send := func(t *rapid.T) { push(sim.table.Send(sim.now, name.Draw(t, "name"), "o-1")) }
		sometimes := func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rarely") > 0 {
				t.Skip("not now")
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			// Repeated actions raise the probability of writes and sends.
			"write (2)": write, "write (3)": write, "send (2)": send,
			"take": func(t *rapid.T) {
				o := Order{Name: name.Draw(t, "name"), Retry: rapid.Bool().Draw(t, "again")}
				v, r, e := sim.table.Take(sim.now, o)
				switch v {
				case Proceed:
					push(e, nil)
				case Receipt:
					if sim.runs[o.Name] != 1 || !bytes.Equal(r, testReceipt(o.Name)) {
						t.Fatalf("%v: the receipt %q of an order that ran %d times", o.Name, r, sim.runs[o.Name])
					}
				}
			},
			"send": send, "write": write,
			"fail to write": func(t *rapid.T) {
				sometimes(t)
				e := pop(t)
				if rapid.Bool().Draw(t, "there after all") {
					sim.stored = append(sim.stored, roundTrip(t, e))
				}
				sim.table.MarkWriteFailed(e)
			},
			"run": func(t *rapid.T) {
				if n := name.Draw(t, "name"); sim.outstanding[n] > 0 {
					sim.outstanding[n]--
					sim.runs[n]++
					if s := rapid.SampledFrom([]State{Done, Unknown}).Draw(t, "end"); true {
						push(sim.table.End(sim.now, n, s, testReceipt(n), ""))
					}
				}
			},
			"rejected by the member": func(t *rapid.T) {
				if n := name.Draw(t, "name"); sim.outstanding[n] > 0 {
					sim.outstanding[n]--
					sim.table.MarkNotRun(n) // returns an error if a crash occurred in between
				}
			},
			"give up": func(t *rapid.T) { sometimes(t); push(sim.table.End(sim.now, name.Draw(t, "name"), NeverRan, nil, "")) },
			"look up": func(t *rapid.T) {
				n := name.Draw(t, "name")
				if sim.outstanding[n] > 0 {
					t.Skip("it may run yet")
				}
				s := NeverRan
				if sim.runs[n] > 0 {
					s = Done
				}
				push(sim.table.Settle(sim.now, n, s, testReceipt(n), "ops"))
			},
			"crash": func(t *rapid.T) {
				sometimes(t)
				n := rapid.IntRange(0, len(sim.pendingWrites)).Draw(t, "written")
				for _, e := range sim.pendingWrites[:n] {
					sim.stored = append(sim.stored, roundTrip(t, e))
				}
				sim.pendingWrites = nil
				sim.table = New(testLimits)
				for _, e := range sim.stored {
					sim.table.Replay(e)
				}
				sim.now = rapid.SampledFrom([]time.Duration{0, time.Minute}).Draw(t, "the clock, which may jump back")
				sim.table.FinishReplay(sim.now)
			},
			"compact": func(t *rapid.T) {
				if len(sim.pendingWrites) > 0 {
					t.Skip("a log that is written to")
				}
				sim.stored = nil
				sim.table.Entries(func(e *Entry) bool { sim.stored = append(sim.stored, roundTrip(t, e)); return true })
			},
			"": func(t *rapid.T) {
				for n, times := range sim.runs {
					if times > 1 {
						t.Fatalf("%v has run %d times", n, times)
					}
				}
				for n, r := range sim.reported {
					if e, ok := sim.table.Get(n); !ok || e.State != Done || !bytes.Equal(e.Receipt, r) {
						t.Fatalf("%v: a receipt was told, and on record is %+v", n, e)
					}
				}
			},
		})
	})
}

// completeOrder processes an order up to state Done with a receipt.
func completeOrder(t *testing.T, table *Table, now time.Duration, o Order) {
	t.Helper()
	v, _, e := table.Take(now, o)
	if v != Proceed {
		t.Fatalf("%v: %v", o.Name, v)
	}
	table.MarkDurable(e)
	for _, step := range []func() (*Entry, error){
		func() (*Entry, error) { return table.Send(now, o.Name, "o-1") },
		func() (*Entry, error) { return table.End(now, o.Name, Done, make([]byte, 10), "") },
	} {
		e, err := step()
		if err != nil {
			t.Fatal(err)
		}
		table.MarkDurable(e)
	}
}

// The verdict on a submitted order depends on the recorded state, the digest, the retry flag, the token
// and the limits.
func TestVerdicts(t *testing.T) {
	table := New(Limits{Retention: time.Hour, MaxOrders: 4, MaxReceiptBytes: 1000})
	first := Order{Name: Name{"shop", "k1"}, Digest: [32]byte{1}, Token: "j1", TokenExpiry: 3 * time.Hour}
	completeOrder(t, table, 0, first)
	inProgress := Order{Name: Name{"shop", "k2"}}
	if v, _, entry := table.Take(0, inProgress); v != Proceed {
		t.Fatal(v)
	} else if v, _, _ := table.Take(0, inProgress); v != InProgress {
		t.Errorf("not durable yet: %v", v)
	} else {
		table.MarkDurable(entry)
	}
	unrecorded := Order{Name: Name{"shop", "k3"}}
	_, _, entry := table.Take(0, unrecorded)
	table.MarkDurable(entry)
	entry, _ = table.Send(0, unrecorded.Name, "o-1")
	table.MarkDurable(entry)
	entry, _ = table.End(0, unrecorded.Name, Done, []byte("r"), "")
	table.MarkWriteFailed(entry) // it has run, and its receipt could not be recorded
	for name, test := range map[string]struct {
		order Order
		at    time.Duration
		want  Verdict
	}{
		"retry of a completed order":               {first, 0, Receipt},
		"different request under the same name":    {Order{Name: first.Name, Digest: [32]byte{2}}, 0, Mismatch},
		"in progress":                              {inProgress, 0, InProgress},
		"outcome unknown":                          {unrecorded, 0, OutcomeUnknown},
		"another tenant's key":                     {Order{Name: Name{"kiosk", "k1"}}, 0, Proceed},
		"retry of an order that is not on record":  {Order{Name: Name{"shop", "k9"}, Retry: true}, 0, OutcomeUnknown},
		"token used by another order":              {Order{Name: Name{"shop", "k9"}, Token: "j1", TokenExpiry: time.Hour}, 0, TokenUsed},
		"removed order whose token is still valid": {first, 2 * time.Hour, TokenUsed},
	} {
		replayed := New(table.limits)
		table.Entries(func(entry *Entry) bool { replayed.Replay(entry); return true })
		replayed.now = 0
		for _, n := range []Name{inProgress.Name} { // replayed orders are not in progress
			replayed.orders[n].inProgress = true
		}
		if v, _, _ := replayed.Take(test.at, test.order); v != test.want {
			t.Errorf("%s: %v, want %v", name, v, test.want)
		}
	}
	if v, _, entry := table.Take(0, Order{Name: Name{"shop", "k4"}}); v != Proceed {
		t.Error(v)
	} else {
		table.MarkDurable(entry)
	}
	if v, _, _ := table.Take(0, Order{Name: Name{"shop", "k5"}}); v != RecordFull {
		t.Errorf("past the bound: %v", v)
	}
	// Orders are removed after the retention time, except unknown ones.
	if v, _, _ := table.Take(2*time.Hour, Order{Name: Name{"shop", "k5"}}); v != Proceed {
		t.Errorf("later: %v", v)
	}
	if _, ok := table.Get(unrecorded.Name); !ok {
		t.Error("an unknown order is forgotten")
	}
	if _, unknown := table.Counts(); unknown != 1 {
		t.Errorf("%d unknown orders", unknown)
	}
	if _, err := table.Settle(2*time.Hour, inProgress.Name, Done, nil, "ops"); !errors.Is(err, ErrNotUnknown) {
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
