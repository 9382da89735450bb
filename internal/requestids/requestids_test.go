package requestids

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a request that runs at both processes of an upgrade: two tables in the same memory know of each
// other's ids, for Retention at least.
func TestIDIsClaimedOnceByAllProcesses(t *testing.T) {
	memory := make([]uint64, Slots)
	first, second := New(memory), New(memory)
	now := time.Hour
	if got := first.Claim([]byte("a"), now); got != Claimed {
		t.Fatalf("a new id: %v", got)
	}
	for _, table := range []*Table{first, second} {
		for _, later := range []time.Duration{0, time.Second, Retention, -time.Second} {
			if got := table.Claim([]byte("a"), now+later); got != Taken {
				t.Errorf("%v later: %v, want Taken", later, got)
			}
		}
	}
	if got := second.Claim([]byte("b"), now); got != Claimed {
		t.Errorf("another id: %v", got)
	}
	if got := second.Claim([]byte("a"), now+Retention+2*timeUnit); got != Claimed {
		t.Errorf("after its retention: %v", got)
	}
}

// Guards against an id that is forgotten because many others come: those are not kept once there is no room.
func TestIDsAreNotDisplaced(t *testing.T) {
	table := New(make([]uint64, Slots))
	now, claimed := time.Hour, 0
	id := func(i int) []byte { return fmt.Appendf(nil, "id-%d", i) }
	for i := range 4 * Slots {
		switch got := table.Claim(id(i), now); got {
		case Claimed:
			claimed++
			if again := table.Claim(id(i), now); again != Taken {
				t.Fatalf("id %d was claimed twice: %v", i, again)
			}
		case Taken:
			t.Fatalf("id %d is taken by another one", i)
		}
	}
	if claimed < Slots/2 {
		t.Errorf("%d of %d slots are used", claimed, Slots)
	}
	for i := range Slots / 4 {
		if got := table.Claim(id(i), now+Retention); got != Taken {
			t.Errorf("id %d was forgotten: %v", i, got)
		}
	}
	if got := table.Claim([]byte("new"), now+Retention+2*timeUnit); got != Claimed {
		t.Errorf("once all have expired: %v", got)
	}
}

// Guards against two processes that claim the same id at the same moment.
func TestConcurrentClaims(t *testing.T) {
	memory := make([]uint64, Slots)
	var claims atomic.Int64
	var processes sync.WaitGroup
	const ids = 2000
	for range 4 {
		processes.Go(func() {
			table := New(memory)
			for i := range ids {
				if table.Claim(fmt.Appendf(nil, "id-%d", i), time.Hour) == Claimed {
					claims.Add(1)
				}
			}
		})
	}
	processes.Wait()
	if claims.Load() != ids {
		t.Errorf("%d claims of %d ids", claims.Load(), ids)
	}
}
