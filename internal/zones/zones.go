// Package zones decides, for all instances of an installation together, which zones (or regions) of
// cache nodes are taken out of use because they fail, and how they return. An instance's Meter turns its
// own attempts into bounded counts. Its Machine combines the counts of all instances and holds the
// Verdict that is in force for all of them. The package does no I/O, reads no clock and starts no
// goroutine: every call passes the time. It never names a cache node, never sees a request and decides
// nothing about one: package logic does, from the share of its usual load that a zone is to get.
package zones

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// State is the state of a zone in the verdict.
type State uint8

// The states, in the order in which a failing zone passes through them.
const (
	StateIn        State = iota // in normal use
	StateSuspected              // appears to fail: still in use, under observation
	StateLeaving                // gets no new requests; not all instances have confirmed this yet
	StateOut                    // gets no requests
	StateTrying                 // gets occasional probe reads from a few instances
	StateReturning              // gets a share of its load that rises in steps
	states
)

var stateNames = [states]string{"in", "suspected", "leaving", "out", "trying", "returning"}

func (s State) String() string {
	if s >= states {
		return "unknown"
	}
	return stateNames[s]
}

// FullShare is the share of a zone in normal use, in hundredths.
const FullShare = 100

// Zone is the verdict on one zone.
type Zone struct {
	State      State
	Share      uint8 // of its usual load, in hundredths
	Flaps      uint8 // how often it failed again soon after its return; it stays out longer each time
	WithRegion bool  // left together with its region, and returns together with it
	// Probers are the numbers of the instances that send it probe reads while it is in StateTrying, at
	// most maxProbers.
	Probers []int
}

// Verdict is the decision that all instances apply. One with a higher epoch replaces one with a lower
// epoch.
type Verdict struct {
	Epoch     uint64
	DecidedBy int // number of the instance that decided it
	Zones     []Zone
}

// newer reports whether v replaces old. If two instances decided the same epoch while there was no single
// leader, all instances choose the same one.
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

// Mode is an operator's setting for a zone.
type Mode uint8

// The modes.
const (
	ModeAuto Mode = iota // the instances decide; a zone that was taken out by hand returns in steps
	ModeOut              // the zone gets no requests until another override
	ModeHold             // the zone stays in its state
	modes
)

var modeNames = [modes]string{"auto", "out", "hold"}

func (m Mode) String() string {
	if m >= modes {
		return "unknown"
	}
	return modeNames[m]
}

// Override is an operator's latest setting for a zone. Every instance stores all overrides, so they
// survive the instance that received them.
type Override struct {
	Mode        Mode
	TimestampMS int64  // Unix time; the later override wins
	ReceivedBy  int    // number of the instance that received the call
	Requester   string // who asked, as given by the operator
}

// MaxRequesterLen is the maximum length of Override.Requester in bytes.
const MaxRequesterLen = 32

func (override Override) supersedes(other Override) bool {
	return cmp.Or(cmp.Compare(override.TimestampMS, other.TimestampMS), cmp.Compare(other.ReceivedBy, override.ReceivedBy), cmp.Compare(override.Mode, other.Mode)) > 0
}

// ZoneStats counts one instance's recent attempts in a zone. An attempt is judged when it ends or has
// taken too long.
type ZoneStats struct {
	Judged        int `json:"Judged"`  // attempts judged
	Bad           int `json:"Bad"`     // judged attempts that were silent, slow, failed or refused
	Silent        int `json:"Silent"`  // bad attempts without any answer so far
	TrimmedJudged int `json:"Trimmed"` // Judged without the worst third of the nodes
	TrimmedBad    int `json:"Trim"`    // Bad without the worst third of the nodes
	Misses        int `json:"Missed"`  // answers without a value: the zone is cold
	// RecentUnanswered is the number of recently judged attempts if hardly any of them was answered,
	// else 0. It shows silence before silent attempts are the majority in the window.
	RecentUnanswered int `json:"Quiet"`
}

// Report is what an instance reports to the others.
type Report struct {
	Number         int
	StartedAtMS    int64  // Unix time when the instance started; identifies its incarnation
	Seq            uint64 // rises with each report of an incarnation
	Epoch          uint64 // epoch of the verdict that the instance applies
	OriginRefusals int    // requests recently refused because the origin lacks capacity
	Zones          []ZoneStats
	// Suspects are the numbers of instances that this one does not hear from, at most maxSuspects. They
	// are shown to operators and affect no decision.
	Suspects []int
}

// stale reports whether r is no newer than old.
func (r *Report) stale(old *Report) bool {
	return r.StartedAtMS < old.StartedAtMS || r.StartedAtMS == old.StartedAtMS && r.Seq <= old.Seq
}

// Limits on what is stored and sent.
const (
	MaxZones   = 16
	maxProbers = 4

	maxSuspects = 16
	maxCount    = 1 << 20
)

// Config is the configuration of a Machine. It does not change during the Machine's life.
type Config struct {
	Number int
	Zones  []string
	// Regions groups zones by index. A zone in none of them is a region of its own.
	Regions [][]int
	// MinCapacityShare is the share of the total capacity that stays in use whatever the reports say.
	MinCapacityShare float64
	// WarmupTime is how long a cold cache node takes to warm up, and so how long a zone takes to return.
	WarmupTime time.Duration
	// StartedAtMS is the Unix time when this instance started.
	StartedAtMS int64
}

// DefaultMinCapacityShare is Config.MinCapacityShare if the operator's file does not set it.
const DefaultMinCapacityShare = 0.3

// Check returns an error if the configuration is invalid.
func (c *Config) Check() error {
	if len(c.Zones) < 2 || len(c.Zones) > MaxZones {
		return fmt.Errorf("zones: %d zones configured, must be from 2 to %d", len(c.Zones), MaxZones)
	}
	if !(c.MinCapacityShare > 0 && c.MinCapacityShare < 1) {
		return fmt.Errorf("zones: minimum capacity share %v is not between 0 and 1", c.MinCapacityShare)
	}
	if c.WarmupTime < 0 {
		return errors.New("zones: warm-up time is negative")
	}
	seen := map[int]bool{}
	for _, r := range c.Regions {
		for _, z := range r {
			if z < 0 || z >= len(c.Zones) || seen[z] {
				return fmt.Errorf("zones: a region contains zone %d, which is unknown or in another region", z)
			}
			seen[z] = true
		}
		if len(r) == len(c.Zones) {
			return errors.New("zones: a region of all zones can never be taken out of use")
		}
	}
	return nil
}
