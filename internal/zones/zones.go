// Package zones decides, for all instances of an installation together, which zones (or regions) of cache nodes are left because they fail,
// and how they are returned to. An instance's Meter turns its own attempts into bounded counts; its Machine takes the counts of all and
// keeps the one Verdict that holds for everyone. The package does no I/O, keeps no clock and starts no goroutine: every call brings the
// time. It never names a cache node, never sees a request, and never decides what becomes of one: package logic does, by the part of its
// usual work that a zone is to get.
package zones

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// State is what the fleet makes of a zone.
type State uint8

// The states, in the order in which a zone that fails goes through them.
const (
	StateIn        State = iota // used like any other
	StateSuspected              // it looks as if it failed: used still, and looked at again
	StateLeaving                // nothing new goes there; not all instances have said so yet
	StateOut                    // nothing goes there
	StateTrying                 // a few instances send it a read now and then
	StateReturning              // it gets a part of its work, in steps
	states
)

var stateNames = [states]string{"in", "suspected", "leaving", "out", "trying", "returning"}

func (s State) String() string {
	if s >= states {
		return "unknown"
	}
	return stateNames[s]
}

// FullShare is a share of all of a zone's work, in hundredths.
const FullShare = 100

// Zone is the verdict on one zone.
type Zone struct {
	State      State
	Share      uint8 // of its work, in hundredths
	Flaps      uint8 // how often it failed again soon after its return: it waits longer each time
	WithRegion bool  // left together with its region, and returned to together
	// Probers are the numbers of the instances that send it a read now and then while it is Trying, at the most maxProbers.
	Probers []int
}

// Verdict is what holds for all instances. One with a higher epoch takes the place of one with a lower.
type Verdict struct {
	Epoch     uint64
	DecidedBy int // the number of the instance that decided it
	Zones     []Zone
}

// newer tells whether v takes the place of old. Of two that were decided at once, both sides of a moment without a leader take the same.
func (v *Verdict) newer(old *Verdict) bool {
	return v.Epoch > old.Epoch || v.Epoch == old.Epoch && v.Epoch > 0 && v.DecidedBy < old.DecidedBy
}

func (v *Verdict) clone() Verdict {
	c := *v
	c.Zones = slices.Clone(v.Zones)
	for i := range c.Zones {
		c.Zones[i].Probers = slices.Clone(c.Zones[i].Probers)
	}
	return c
}

// Mode is what an operator asks for a zone.
type Mode uint8

// The modes.
const (
	ModeAuto Mode = iota // the fleet decides; a zone that was out by hand is returned to at the pace
	ModeOut              // nothing goes there, until another call
	ModeHold             // it stays as it is
	modes
)

var modeNames = [modes]string{"auto", "out", "hold"}

func (m Mode) String() string {
	if m >= modes {
		return "unknown"
	}
	return modeNames[m]
}

// Override is an operator's latest call for a zone. Every instance holds all of them, so they survive the one that was called.
type Override struct {
	Mode        Mode
	TimestampMS int64  // Unix milliseconds; the later call wins
	ReceivedBy  int    // the number of the instance that was called
	Requester   string // who asked, as told
}

// MaxRequesterLen bounds what is kept of who asked.
const MaxRequesterLen = 32

func (h Override) supersedes(o Override) bool {
	return cmp.Or(cmp.Compare(h.TimestampMS, o.TimestampMS), cmp.Compare(o.ReceivedBy, h.ReceivedBy), cmp.Compare(h.Mode, o.Mode)) > 0
}

// ZoneStats is what an instance has seen of a zone lately: counts of attempts that have been judged.
type ZoneStats struct {
	Judged           int `json:"Judged"`  // attempts with a judgement
	Bad              int `json:"Bad"`     // of them those that were silent, slow, failed or turned away
	Silent           int `json:"Silent"`  // of the bad ones those without any answer so far
	TrimmedJudged    int `json:"Trimmed"` // of Judged, without the third of the boxes that were worst
	TrimmedBad       int `json:"Trim"`    // of Bad, likewise
	Misses           int `json:"Missed"`  // answers that had no value: the zone is cold
	RecentUnanswered int `json:"Quiet"`   // attempts judged of late, where hardly any was answered; 0 otherwise: silence shows before it is most of what was seen
}

// Report is what an instance tells the others.
type Report struct {
	Number         int
	StartedAtMS    int64  // when the instance started, Unix milliseconds: its incarnation
	Seq            uint64 // later reports of an incarnation have higher ones
	Epoch          uint64 // of the verdict that it goes by
	OriginRefusals int    // requests lately refused for want of the origin
	Zones          []ZoneStats
	// Suspects are the numbers of those that it does not hear, at the most maxSuspects. They decide nothing; operators see them.
	Suspects []int
}

// stale tells whether r is no later than old.
func (r *Report) stale(old *Report) bool {
	return r.StartedAtMS < old.StartedAtMS || r.StartedAtMS == old.StartedAtMS && r.Seq <= old.Seq
}

// Bounds of what is held and sent.
const (
	MaxZones   = 16
	maxProbers = 4

	maxSuspects = 16
	maxCount    = 1 << 20
)

// Config is fixed for the life of a Machine.
type Config struct {
	Number int
	Zones  []string
	// Regions groups zones, by their places; a zone in none is one by itself.
	Regions [][]int
	// MinCapacityShare is the share of the capacity that stays in use whatever the reports say.
	MinCapacityShare float64
	// WarmupTime is how long a cache node takes to be warm, and so how long a return takes.
	WarmupTime time.Duration
	// StartedAtMS is when this instance started, Unix milliseconds.
	StartedAtMS int64
}

// DefaultMinCapacityShare is Config.Least where the operator's file does not set it.
const DefaultMinCapacityShare = 0.3

// Check tells what makes a configuration unusable.
func (c *Config) Check() error {
	if len(c.Zones) < 2 || len(c.Zones) > MaxZones {
		return fmt.Errorf("zones: %d zones; there can be from 2 to %d", len(c.Zones), MaxZones)
	}
	if !(c.MinCapacityShare > 0 && c.MinCapacityShare < 1) {
		return fmt.Errorf("zones: a least share of %v is not between 0 and 1", c.MinCapacityShare)
	}
	if c.WarmupTime < 0 {
		return errors.New("zones: the time to warm is negative")
	}
	seen := map[int]bool{}
	for _, r := range c.Regions {
		for _, z := range r {
			if z < 0 || z >= len(c.Zones) || seen[z] {
				return fmt.Errorf("zones: a region names zone %d, which is unknown or in another region", z)
			}
			seen[z] = true
		}
		if len(r) == len(c.Zones) {
			return errors.New("zones: a region of all zones can never be left")
		}
	}
	return nil
}
