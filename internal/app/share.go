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
	shareEvery = 50 * time.Millisecond
	// keptBack is what each of two processes leaves of the descriptors for what the other opens between two looks, and
	// leastSockets and leastMemoryMB are what each has at the least, as nothing can be served with less.
	keptBack      = 16
	leastSockets  = 64
	leastMemoryMB = 14
	// outsideHeap is what a process takes beside the memory that its runtime counts.
	outsideHeap = 4 << 20
	// leaveWait is how long a process that follows another waits for what that one has learnt, from its own start on. It is left
	// within shareEvery of the moment in which it is seen to be followed.
	leaveWait = 250 * time.Millisecond
	leaveLook = 5 * time.Millisecond
	// mostShare is the part of the memory that either may take: what one holds can't be given back at once.
	mostShare = 0.6
)

// sharing keeps the limits of a proxy over two processes, while one follows the other.
type sharing struct {
	dir   *handover.Dir
	cfg   *config
	log   *slog.Logger
	alone bool
	began time.Time
	first bool // nobody served as this process began; never changed
	// what is in force
	sockets int
	memory  float64
}

// share opens the directory that the processes of a proxy share, and takes what stands there into the settings.
func share(cfg *config, settings *proxy.Config, log *slog.Logger) *sharing {
	s := &sharing{cfg: cfg, log: log, began: time.Now(), sockets: cfg.Limits.Sockets, memory: cfg.Limits.MemoryMB}
	path := os.Getenv("TMPDIR")
	if at, err := netip.ParseAddrPort(cfg.Listen); err == nil && at.Port() == 0 {
		path = "" // nobody can follow at an address that is made up anew
	}
	var err error
	if s.dir, s.alone, err = handover.Open(path, cfg.Name+" "+cfg.Listen); err != nil {
		log.Warn("no directory to hand over by: members out of use are forgotten at the end of this process", "err", err)
	}
	s.first = s.alone
	if settings.OutOfUse, _, err = s.dir.Reload(); err != nil {
		log.Error("the record of members out of use can't be read", "err", err)
	}
	if !s.alone {
		log.Info("following another process")
		s.keep(nil)
		settings.Descriptors, settings.MemoryMB = s.sockets, int(s.memory)
	}
	if s.dir.Persistent() {
		settings.LoadSnapshot = s.inherit
	}
	return s
}

// inherit reads what the process before has learnt. One that still serves is waited for until it has left what it knows now.
func (s *sharing) inherit() (*inherit.Snapshot, error) {
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
		if s.first || old != nil && old.TakenMS >= s.began.UnixMilli() || time.Since(s.began) >= leaveWait {
			return old, err
		}
		time.Sleep(leaveLook)
	}
}

// leave writes what this process has learnt.
func (s *sharing) leave(p *proxy.Proxy) {
	if !s.dir.Persistent() {
		return
	}
	text, err := inherit.Encode(p.Snapshot())
	if err == nil {
		err = s.dir.WriteState(text)
	}
	if err != nil {
		s.log.Error("what has been learnt can't be left", "err", err)
	}
}

// heapLimit is the memory limit of the runtime for a limit of the process.
func heapLimit(mb float64) int64 { return int64(mb * memoryShare * (1 << 20)) }

// run keeps the limits until the process has nothing left to do.
func (s *sharing) run(p *proxy.Proxy, stop, quit <-chan struct{}) {
	tick := time.NewTicker(shareEvery)
	defer tick.Stop()
	followed := false
	for {
		select {
		case <-quit:
			return
		case <-stop: // a planned stop begins: another process may take this one's place
			if stop = nil; s.alone && !followed {
				s.leave(p)
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
			s.leave(p)
		}
		switch {
		case !s.alone || followed:
			s.keep(p)
		case s.sockets != s.cfg.Limits.Sockets || s.memory != s.cfg.Limits.MemoryMB: // alone again
			s.set(p, s.cfg.Limits.Sockets, s.cfg.Limits.MemoryMB)
		}
	}
}

// keep leaves the other process what it holds.
func (s *sharing) keep(p *proxy.Proxy) {
	var mine handover.Usage
	mine.Memory = inUse()
	if p != nil {
		mine.Descriptors = int64(p.Load().Descriptors)
	}
	theirs, err := s.dir.ExchangeUsage(mine)
	if err != nil {
		s.log.Error("handover", "err", err)
	}
	left := s.cfg.Limits.MemoryMB - float64(theirs.Memory+outsideHeap)/(1<<20)
	s.set(p, max(leastSockets, s.cfg.Limits.Sockets-int(theirs.Descriptors)-keptBack),
		max(leastMemoryMB, math.Floor(min(s.cfg.Limits.MemoryMB*mostShare, left))))
}

func (s *sharing) set(p *proxy.Proxy, sockets int, memory float64) {
	if s.sockets, s.memory = sockets, memory; p != nil {
		p.SetLimits(sockets, int(memory))
	}
	debug.SetMemoryLimit(heapLimit(memory))
}

// inUse is the memory that the runtime has from the system.
func inUse() int64 {
	m := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(m)
	return int64(m[0].Value.Uint64() - m[1].Value.Uint64())
}
