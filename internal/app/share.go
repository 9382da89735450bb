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
	// reservedDescriptors is what each of two processes leaves of the descriptors for what the other opens between two looks, and
	// minSockets and minMemoryMB are what each has at the least, as nothing can be served with less.
	reservedDescriptors = 16
	minSockets          = 64
	minMemoryMB         = 14
	// nonHeapBytes is what a process takes beside the memory that its runtime counts.
	nonHeapBytes = 4 << 20
	// stateTimeout is how long a process that follows another waits for what that one has learnt, from its own start on. It is left
	// within shareInterval of the moment in which it is seen to be followed.
	stateTimeout      = 250 * time.Millisecond
	statePollInterval = 5 * time.Millisecond
	// maxMemoryShare is the part of the memory that either may take: what one holds can't be given back at once.
	maxMemoryShare = 0.6
)

// limitSharing keeps the limits of a proxy over two processes, while one follows the other.
type limitSharing struct {
	dir           *handover.Dir
	cfg           *config
	log           *slog.Logger
	alone         bool
	startedAt     time.Time
	noPredecessor bool // nobody served as this process began; never changed
	// what is in force
	sockets  int
	memoryMB float64
}

// startSharing opens the directory that the processes of a proxy share, and takes what stands there into the settings.
func startSharing(cfg *config, settings *proxy.Config, log *slog.Logger) *limitSharing {
	s := &limitSharing{cfg: cfg, log: log, startedAt: time.Now(), sockets: cfg.Limits.Sockets, memoryMB: cfg.Limits.MemoryMB}
	path := os.Getenv("TMPDIR")
	if at, err := netip.ParseAddrPort(cfg.Listen); err == nil && at.Port() == 0 {
		path = "" // nobody can follow at an address that is made up anew
	}
	var err error
	if s.dir, s.alone, err = handover.Open(path, cfg.Name+" "+cfg.Listen); err != nil {
		log.Warn("no directory to hand over by: members out of use are forgotten at the end of this process", "err", err)
	}
	s.noPredecessor = s.alone
	if settings.Out, _, err = s.dir.Reload(); err != nil {
		log.Error("the record of members out of use can't be read", "err", err)
	}
	if !s.alone {
		log.Info("following another process")
		s.shareLimits(nil)
		settings.Sockets, settings.MemoryMB = s.sockets, int(s.memoryMB)
	}
	if s.dir.Persistent() {
		settings.Inherit = s.readState
	}
	return s
}

// readState reads what the process before has learnt. One that still serves is waited for until it has left what it knows now.
func (s *limitSharing) readState() (*inherit.Snapshot, error) {
	for {
		text, err := s.dir.ReadState(inherit.MaxBytes)
		if err != nil {
			return nil, err
		}
		var old *inherit.Snapshot // nil: nothing was left, by a version that leaves nothing, or nothing that can be read
		if text != nil {
			var got inherit.Snapshot
			if got, err = inherit.Decode(text); err == nil {
				old = &got
			}
		}
		// Of an older one its age tells what holds.
		if s.noPredecessor || old != nil && old.TakenMS >= s.startedAt.UnixMilli() || time.Since(s.startedAt) >= stateTimeout {
			return old, err
		}
		time.Sleep(statePollInterval)
	}
}

// writeState writes what this process has learnt.
func (s *limitSharing) writeState(p *proxy.Proxy) {
	if !s.dir.Persistent() {
		return
	}
	text, err := inherit.Encode(p.Learnt())
	if err == nil {
		err = s.dir.WriteState(text)
	}
	if err != nil {
		s.log.Error("what has been learnt can't be left", "err", err)
	}
}

// heapLimit is the memory limit of the runtime for a limit of the process.
func heapLimit(mb float64) int64 { return int64(mb * heapShare * (1 << 20)) }

// run keeps the limits until the process has nothing left to do.
func (s *limitSharing) run(p *proxy.Proxy, stop, quit <-chan struct{}) {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	followed := false
	for {
		select {
		case <-quit:
			return
		case <-stop: // a planned stop begins: another process may take this one's place
			if stop = nil; s.alone && !followed {
				s.writeState(p)
			}
		case <-tick.C:
		}
		if !s.alone {
			alone, err := s.dir.Promote()
			if err != nil {
				s.log.Error("handover", "err", err)
			}
			if s.alone = alone; alone {
				s.log.Info("the process before has ended")
			}
		}
		was := followed
		if followed = s.alone && s.dir.HasSuccessor(); followed && !was {
			s.writeState(p)
		}
		switch {
		case !s.alone || followed:
			s.shareLimits(p)
		case s.sockets != s.cfg.Limits.Sockets || s.memoryMB != s.cfg.Limits.MemoryMB: // alone again
			s.apply(p, s.cfg.Limits.Sockets, s.cfg.Limits.MemoryMB)
		}
	}
}

// shareLimits leaves the other process what it holds.
func (s *limitSharing) shareLimits(p *proxy.Proxy) {
	var mine handover.Usage
	mine.Memory = memoryInUse()
	if p != nil {
		mine.Descriptors = int64(p.Load().Descriptors)
	}
	theirs, err := s.dir.ExchangeUsage(mine)
	if err != nil {
		s.log.Error("handover", "err", err)
	}
	left := s.cfg.Limits.MemoryMB - float64(theirs.Memory+nonHeapBytes)/(1<<20)
	s.apply(p, max(minSockets, s.cfg.Limits.Sockets-int(theirs.Descriptors)-reservedDescriptors),
		max(minMemoryMB, math.Floor(min(s.cfg.Limits.MemoryMB*maxMemoryShare, left))))
}

func (s *limitSharing) apply(p *proxy.Proxy, sockets int, memory float64) {
	if s.sockets, s.memoryMB = sockets, memory; p != nil {
		p.Limit(sockets, int(memory))
	}
	debug.SetMemoryLimit(heapLimit(memory))
}

// memoryInUse is the memory that the runtime has from the system.
func memoryInUse() int64 {
	m := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(m)
	return int64(m[0].Value.Uint64() - m[1].Value.Uint64())
}
