package sender

import "testing"

// What the sender has handed to its goroutine may be out at any moment.
func TestUnsentKnowsWhatMayBeOut(t *testing.T) {
	w := &Sender{taken: 100, begun: 60}
	for _, c := range []struct {
		end  int64
		want bool
	}{{60, false}, {61, true}, {100, true}} {
		if got := w.Unsent(c.end); got != c.want {
			t.Errorf("unsent with the last byte at %d: %v, want %v", c.end, got, c.want)
		}
	}
}
