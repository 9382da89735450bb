package pool

import (
	"testing"
	"time"
)

// How long a request may be under way is learnt from answers, follows a member that has moved away, is bounded by the connect time-out and by what
// a way on earth takes, and counts for nothing where two attempts may be out at once.
func TestTransit(t *testing.T) {
	const never = 0
	for name, c := range map[string]struct {
		connect, answer, later time.Duration // the first answer, and those after it
		copies                 bool
		want, first            time.Duration
	}{
		"nothing is known":                {250 * time.Millisecond, never, never, false, 62500 * time.Microsecond, 250 * time.Millisecond},
		"a near member":                   {250 * time.Millisecond, time.Millisecond, time.Millisecond, false, time.Millisecond, 250 * time.Millisecond},
		"slow answers":                    {250 * time.Millisecond, time.Second, time.Second, false, 62500 * time.Microsecond, 250 * time.Millisecond},
		"it moved nearer":                 {250 * time.Millisecond, 40 * time.Millisecond, 2 * time.Millisecond, false, 2 * time.Millisecond, 250 * time.Millisecond},
		"it moved away":                   {250 * time.Millisecond, 2 * time.Millisecond, 40 * time.Millisecond, false, 40 * time.Millisecond, 250 * time.Millisecond},
		"an endless connect time-out":     {time.Hour, never, never, false, 150 * time.Millisecond, 600 * time.Millisecond},
		"two attempts may be out at once": {250 * time.Millisecond, time.Millisecond, time.Millisecond, true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := defaultConfig
			cfg.ConnectTimeout, cfg.ConcurrentAttempts = c.connect, c.copies
			w := newTestHost(t, cfg)
			m := &Member[*testRequest]{Ready: true}
			if c.answer > 0 {
				m.recordAnswerTime(c.answer)
				for range 1000 {
					m.recordAnswerTime(c.later)
				}
			}
			if got := w.pool.Transit(m); got != c.want {
				t.Errorf("under way for %v, want %v", got, c.want)
			}
			if got := w.pool.FirstTransit(); got != c.first {
				t.Errorf("the first one for %v, want %v", got, c.first)
			}
			w.pool.UpdateMember(m, true, true)
			if m.roundTrip != 0 {
				t.Error("another process at its place takes over what was learnt")
			}
		})
	}
}

// Where answers take now longer, now less, the slower ones say how long a request may be under way.
func TestTransitCoversSlowAnswers(t *testing.T) {
	const quick, slow = 2 * time.Millisecond, 20 * time.Millisecond
	w := newTestHost(t, defaultConfig)
	m := &Member[*testRequest]{Ready: true}
	for range 100 {
		m.recordAnswerTime(quick)
		m.recordAnswerTime(slow)
	}
	if got := w.pool.Transit(m); got < slow {
		t.Errorf("under way for %v, and answers took up to %v", got, slow)
	}
}
