package app

import (
	"log/slog"
	"math"
	"net/netip"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"linenloom/internal/handover"
	"linenloom/internal/inherit"
	"linenloom/internal/proxy"
)

const (
	shareInterval = 50 * time.Millisecond
	// reservedDescriptors is the number of descriptors that each of two processes leaves free for what the
	// other one opens between two updates. minSockets and minMemoryMB are the least that each of them gets,
	// as it could serve nothing with less.
	reservedDescriptors = 16
	minSockets          = 64
	minMemoryMB         = 14
	// uncountedBytes is the memory of a process that its runtime does not include in its total.
	uncountedBytes = 4 << 20
	// stateTimeout is how long a successor process waits, from its own start, for the learned state of its
	// predecessor. The predecessor writes it within shareInterval of noticing the successor.
	stateTimeout      = 250 * time.Millisecond
	statePollInterval = 5 * time.Millisecond
	// maxMemoryShare is the share of the memory that either process may use, so that some is free for the
	// other one: a process can return memory in use only gradually.
	maxMemoryShare = 0.6
)

// processHandover divides the limits of a proxy between two processes while one takes over from the other. It
// also reads what the predecessor process has left, the learned state and the record of members out of use,
// and writes the learned state for the successor process.
type processHandover struct {
	dir               *handover.Dir
	cfg               *config
	log               *slog.Logger
	noPredecessorLeft bool // no predecessor process is running; there may be a successor
	startedAt         time.Time
	startedAlone      bool // no other process was serving when this one started; never changes
	// The limits in force.
	sockets  int
	memoryMB float64
}

// startHandover opens the directory that the processes of a proxy share and applies its contents to the
// settings.
func startHandover(cfg *config, settings *proxy.Config, log *slog.Logger) *processHandover {
	takeover := &processHandover{cfg: cfg, log: log, startedAt: time.Now(), sockets: cfg.Limits.Sockets, memoryMB: cfg.Limits.MemoryMB}
	path := os.Getenv("TMPDIR")
	if address, err := netip.ParseAddrPort(cfg.Listen); err == nil && address.Port() == 0 {
		path = "" // a random port gives every process another address, so none can be a successor
	}
	var err error
	if takeover.dir, takeover.noPredecessorLeft, err = handover.Open(path, cfg.Name+" "+cfg.Listen); err != nil {
		log.Warn("no handover directory: members out of use are forgotten when this process ends", "err", err)
	}
	takeover.startedAlone = takeover.noPredecessorLeft
	if settings.OutOfUse, _, err = takeover.dir.Reload(); err != nil {
		log.Error("reading the record of members out of use failed", "err", err)
	}
	if !takeover.noPredecessorLeft {
		log.Info("taking over from a predecessor process")
		takeover.shareLimits(nil)
		settings.Descriptors, settings.MemoryMB = takeover.sockets, int(takeover.memoryMB)
	}
	if takeover.dir.Persistent() {
		settings.LoadSnapshot = takeover.readState
	}
	if ids := openSharedIDs(takeover.dir, log); ids != nil {
		settings.RequestIDs = ids
	}
	return takeover
}

// readState reads the learned state of the predecessor. If the predecessor still serves, readState waits
// until it has written its current state, but at most stateTimeout from its own start.
func (s *processHandover) readState() (*inherit.Snapshot, error) {
	for {
		text, err := s.dir.ReadState(inherit.MaxBytes)
		if err != nil {
			return nil, err
		}
		var snapshot *inherit.Snapshot // nil: nothing was written (older versions write no state) or it is unreadable
		if text != nil {
			var decoded inherit.Snapshot
			if decoded, err = inherit.Decode(text); err == nil {
				snapshot = &decoded
			}
		}
		// An older state is returned as well; the proxy decides by its age how much of it to apply.
		if s.startedAlone || snapshot != nil && snapshot.TakenMS >= s.startedAt.UnixMilli() || time.Since(s.startedAt) >= stateTimeout {
			return snapshot, err
		}
		time.Sleep(statePollInterval)
	}
}

// writeState writes the learned state of this process.
func (s *processHandover) writeState(p *proxy.Proxy) {
	if !s.dir.Persistent() {
		return
	}
	text, err := inherit.Encode(p.Snapshot())
	if err == nil {
		err = s.dir.WriteState(text)
	}
	if err != nil {
		s.log.Error("writing the learned state failed", "err", err)
	}
}

// heapLimit returns the memory limit of the runtime for a memory limit of the process.
func heapLimit(mb float64) int64 { return int64(mb * heapShare * (1 << 20)) }

// run updates the limits until quit is closed, when the process ends. stop is closed when a planned stop
// begins.
func (s *processHandover) run(p *proxy.Proxy, stop, quit <-chan struct{}) {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	hasSuccessor := false
	for {
		select {
		case <-quit:
			return
		case <-stop: // a successor that starts from now on finds the state written here
			if stop = nil; s.noPredecessorLeft && !hasSuccessor {
				s.writeState(p)
			}
		case <-tick.C:
		}
		if !s.noPredecessorLeft {
			predecessorEnded, err := s.dir.Promote()
			if err != nil {
				s.log.Error("checking for the predecessor process failed", "err", err)
			}
			if s.noPredecessorLeft = predecessorEnded; predecessorEnded {
				s.log.Info("the predecessor process has ended")
			}
		}
		hadSuccessor := hasSuccessor
		if hasSuccessor = s.noPredecessorLeft && s.dir.HasSuccessor(); hasSuccessor && !hadSuccessor {
			s.writeState(p)
		}
		switch {
		case !s.noPredecessorLeft || hasSuccessor:
			s.shareLimits(p)
		case s.sockets != s.cfg.Limits.Sockets || s.memoryMB != s.cfg.Limits.MemoryMB: // no other process any more
			s.apply(p, s.cfg.Limits.Sockets, s.cfg.Limits.MemoryMB)
		}
	}
}

// shareLimits sets the limits to what the other process leaves free.
func (s *processHandover) shareLimits(p *proxy.Proxy) {
	var mine handover.Usage
	mine.Memory = memoryInUse()
	if p != nil {
		mine.Descriptors = int64(p.Load().Descriptors)
	}
	theirs, err := s.dir.ExchangeUsage(mine)
	if err != nil {
		s.log.Error("exchanging the usage with the other process failed", "err", err)
	}
	remaining := s.cfg.Limits.MemoryMB - float64(theirs.Memory+uncountedBytes)/(1<<20)
	s.apply(p, max(minSockets, s.cfg.Limits.Sockets-int(theirs.Descriptors)-reservedDescriptors),
		max(minMemoryMB, math.Floor(min(s.cfg.Limits.MemoryMB*maxMemoryShare, remaining))))
}

func (s *processHandover) apply(p *proxy.Proxy, sockets int, memory float64) {
	if s.sockets, s.memoryMB = sockets, memory; p != nil {
		p.SetLimits(sockets, int(memory))
	}
	debug.SetMemoryLimit(heapLimit(memory))
}

// memoryInUse returns the memory that the runtime has obtained from the system.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
