package pool

import (
	"testing"
	"time"
)

// The transit time is learned from answers, follows a member that has moved, is bounded by the connect
// timeout and by the longest path on earth, and is 0 where concurrent attempts are allowed.
func TestTransit(t *testing.T) {
	const never = 0
	for name, tc := range map[string]struct {
		connect, firstAnswer, laterAnswers time.Duration // duration of the first answer, and of those after it
		copies                             bool
		transit, firstTransit              time.Duration
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
			cfg.ConnectTimeout, cfg.ConcurrentAttempts = tc.connect, tc.copies
			host := newTestHost(t, cfg)
			member := &Member[*testRequest]{Ready: true}
			if tc.firstAnswer > 0 {
				member.recordAnswerTime(tc.firstAnswer)
				for range 1000 {
					member.recordAnswerTime(tc.laterAnswers)
				}
			}
			if got := host.pool.Transit(member); got != tc.transit {
				t.Errorf("under way for %v, want %v", got, tc.transit)
			}
			if got := host.pool.FirstTransit(); got != tc.firstTransit {
				t.Errorf("the first one for %v, want %v", got, tc.firstTransit)
			}
			host.pool.UpdateMember(member, true, true)
			if member.roundTrip != 0 {
				t.Error("another process at its place takes over what was learnt")
			}
		})
	}
}

// Where response times vary, the slower ones determine the transit time.
func TestTransitCoversSlowAnswers(t *testing.T) {
	const quick, slow = 2 * time.Millisecond, 20 * time.Millisecond
	host := newTestHost(t, defaultConfig)
	member := &Member[*testRequest]{Ready: true}
	for range 100 {
		member.recordAnswerTime(quick)
		member.recordAnswerTime(slow)
	}
	if got := host.pool.Transit(member); got < slow {
		t.Errorf("under way for %v, and answers took up to %v", got, slow)
	}
}
