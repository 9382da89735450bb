package upstream

import (
	"testing"
	"time"

	"linenloom/internal/pool"
)

// Guards against a keyed request that runs twice because the process was stopped before its repeat was sent:
// the window of the repeat is compared with the current time, not with that of the event.
func TestRepeatIsNotSentByAProcessThatWasStopped(t *testing.T) {
	host := &testHost{}
	set := New(pool.Config{}, host)
	repeat := &Exchange{Request: pool.Request{ExpiresAt: 3 * time.Second, StartBefore: time.Second}}
	for now, want := range map[time.Duration]bool{0: false, time.Second - 1: false, time.Second: true, 2 * time.Second: true} {
		host.now = now
		if got := (actions{set}).Expired(repeat); got != want {
			t.Errorf("at %v: expired %v, want %v", now, got, want)
		}
	}
}
