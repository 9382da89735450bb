package app

import (
	"log/slog"
	"runtime/debug"
	"time"

	"golang.org/x/sys/unix"

	"linenloom/internal/handover"
	"linenloom/internal/requestids"
)

// sharedIDs are the ids of requests that the processes of a proxy have accepted, in memory that they share.
type sharedIDs struct {
	table *requestids.Table
}

// openSharedIDs maps the memory; it returns nil if there is none, and each process then knows its own ids only.
func openSharedIDs(dir *handover.Dir, log *slog.Logger) *sharedIDs {
	memory, err := dir.MapIDs(requestids.Slots)
	if err != nil {
		log.Warn("the ids of requests are not shared with a successor process", "err", err)
	}
	if memory == nil {
		return nil
	}
	return &sharedIDs{requestids.New(memory)}
}

// Claim implements proxy.RequestIDs.
func (s *sharedIDs) Claim(id []byte) (result requestids.Result) {
	// The file may be cut or its disk fail: an access to the mapped memory is then a fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if recover() != nil {
			result = requestids.Full // whether the id is known can't be told
		}
	}()
	return s.table.Claim(id, monotonicTime())
}

// monotonicTime returns the time by the machine's monotonic clock, which all processes have in common.
func monotonicTime() time.Duration {
	var now unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) // fails for unknown clocks only
	return time.Duration(now.Nano())
}
