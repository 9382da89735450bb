// Package logic makes the routing decisions of a proxy in front of a fleet of cache servers.
//
// A host (a proxy) owns one Balancer. It reports what happens by calling the Balancer's event
// methods: SetMembers, SetZoneShares, Request, Outcome, StreamStarted, Expired, Timer, Probed and PeerMessage. The
// Balancer answers by calling the host's Actions from inside those calls. It keeps no clock, starts no
// goroutine and reads nothing else: every event carries the host's time, as a time.Duration on any clock
// that only advances, and all randomness derives from the seed given to New. A Balancer is not safe for
// concurrent use; the host serialises its events.
//
// Every request gets exactly one final answer: the first attempt that ends StatusOK answers it, or the
// Balancer calls Refuse (retrying is harmless) or Fail (nothing is promised). After each event, a request that
// has nothing out and can't be sent to any member any more before its aim has its final answer: none is held
// back. The decisions themselves are in logic.go.
package logic

import (
	"errors"
	"fmt"
	"time"
)

// MemberID names a member; it is opaque and stable over the restarts of a process.
type MemberID uint64

// RequestID names a request; the host never uses one twice.
type RequestID uint32

// ZoneShare is how far the caches of a zone are to be used.
type ZoneShare struct {
	Share float64 // part of their usual work, from 0 to 1
	Trial bool    // with a share of 0: a read now and then goes there, to see whether they answer
}

// State is the life cycle of a member as discovery tells it.
type State uint8

// The states of a member. An unknown state is treated as gone.
const (
	Ready State = iota
	Gone
	Draining
)

// Member is one entry of the discovery list.
type Member struct {
	ID        MemberID
	Zone      int
	Cell      int // a group of members that drop each other's repeats
	Kind      int // kind of machine; members of Settings.OriginKind are origins
	State     State
	StartedAt time.Duration // 0: long ago
	Weight    float64       // relative size; its meaning is Settings.Weights
}

// ListKind says how a list of members is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // the whole list as last held, possibly outdated
	ListFailed                 // a Watch or Fetch failed or the watch broke; no entries
)

// Effect says whether a request may run more than once.
type Effect uint8

// The effects of a class.
const (
	Repeatable        Effect = iota // safe to repeat
	DeduplicatedByKey               // repeats are dropped inside a group for a time
	AtMostOnce                      // must never run twice
)

// Scope is the group of members that drop the repeats of a DeduplicatedByKey request.
type Scope uint8

// The scopes of a DeduplicatedByKey class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name                   string
	SoftDeadline           time.Duration // an answer within this is worth all
	SoftDeadlineCostFactor float64       // the aim grows by this multiple of the request's own work
	Deadline               time.Duration
	Value                  float64
	LateValue              float64 // share of the worth of an answer between aim and deadline
	Effect                 Effect
	Scope                  Scope
	DedupWindow            time.Duration // how long a DeduplicatedByKey repeat is dropped
	Stream                 bool
}

// EffectOf is the effect of a request of the class. A keyed one that lacks its key must not run twice: whoever gets a repeat could not tell that
// it is one.
func (c *Class) EffectOf(unkeyed bool) Effect {
	if c.Effect == DeduplicatedByKey && unkeyed {
		return AtMostOnce
	}
	return c.Effect
}

// SafeToRetry tells whether a request of the class with this effect may be asked for again by its client, whatever has become of it.
func (c *Class) SafeToRetry(effect Effect) bool {
	return effect == Repeatable || effect == DeduplicatedByKey && c.Scope == ScopeAll
}

// ClassNames are the names of classes, in their order.
func ClassNames(classes []Class) []string {
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	return names
}

// Tenant has a share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // requests a second over all proxies
}

// Weights says what Member.Weight means.
type Weights uint8

// The meanings of a weight.
const (
	WeightsOff Weights = iota
	WeightsNominal
	WeightsRough
	WeightsLive // nominal size over 1 + requests held a core, late
)

// Mode says who asks the origin for what a cache lacks.
type Mode uint8

// The modes of a fleet.
const (
	ReadThrough Mode = iota // the cache fetches it and forwards writes
	CacheAside              // the cache answers StatusMiss; the Balancer asks the origin
)

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	SelfIndex int // number of this instance
	Instances int
	Zone      int
	Zones     int
	Mode      Mode
	// OriginKind is the Member.Kind of origins in Aside mode; negative: none.
	OriginKind             int
	Weights                Weights
	Subscribe              bool          // lists come only after Watch or Fetch
	MaxPollInterval        time.Duration // without a watch, ask at least this often
	MaxEventDelay          time.Duration // events are late by up to this
	MaxAttempts            int           // attempts a request may have
	ConcurrentAttempts     bool          // two attempts of a request may be out at once
	CanCancel              bool
	CanProbe               bool
	CanMessagePeers        bool
	CanRetryAfter          bool
	MaxRetryAfter          time.Duration
	ConnectTimeout         time.Duration
	AnswerGrace            time.Duration // an answer this long after the deadline still counts
	SlowStartCapacity      float64       // a member starts at this share of its capacity
	SlowStartDuration      time.Duration // and is warm after this
	OverloadMultiple       float64       // sent more than this multiple of its capacity
	OverloadDuration       time.Duration // for this long, a cold member falls over
	OriginOverloadMultiple float64       // the same for the origin; 0: no such limit
	OriginOverloadDuration time.Duration
	CrossZoneCost          float64  // what a request that crosses zones costs, in worth
	OverShareValue         float64  // worth of a request over its tenant's share
	ReportColumns          []string // the names of Outcome.Load's values, see Column constants
}

// check tells what makes settings unusable.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("logic: settings name no class")
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("logic: try limit %d leaves no attempt", s.MaxAttempts)
	}
	if !(s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1) || !(s.OverloadMultiple >= 0) || s.SlowStartDuration < 0 || s.OverloadDuration < 0 {
		return errors.New("logic: cold-start settings out of range")
	}
	for _, c := range s.Classes {
		if c.SoftDeadline <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("logic: class %q has no aim or deadline", c.Name)
		}
	}
	return nil
}

// The names of load report values that the Balancer reads; others are skipped.
const (
	ColumnInflight = "inflight"   // requests in hand
	ColumnLatency  = "latency_ms" // recent service time without waiting
)

// Request is what a client asks.
type Request struct {
	ID         RequestID
	Key        uint64 // 0: none
	Class      int
	Tenant     int
	Cost       time.Duration // expected work, if CostKnown
	CostKnown  bool          // Cost is known
	Retry      bool          // the client marked it as a repeat
	Write      bool
	NoDedupKey bool // it has no key by which repeats of it could be dropped
	Size       float64
	Deadline   time.Duration // when the client gives up
	// AllowedMembers, if not nil, names the members that the request may go to; Narrow changes it.
	AllowedMembers []MemberID
}

// Status tells how an attempt or probe ended.
type Status uint8

// The statuses. StatusUnknown stands for any the host can't name; it may have run.
const (
	StatusUnknown Status = iota
	StatusOK
	StatusError
	StatusFull          // rejected unseen
	StatusTimeout       // no answer in time
	StatusConnectFailed // never sent
	StatusReset         // the connection broke
	StatusCancelled
	StatusMoot     // never sent: the request was over, or out of attempts
	StatusMiss     // the member holds no value for the key
	StatusRejected // the member finds fault with the request itself; a further attempt would end alike
	StatusNoConn   // never sent: the host had no connection free, which tells nothing of the member
)

var statusNames = [...]string{"unknown", "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot",
	"miss", "rejected", "no_conn"}

func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return statusNames[StatusUnknown]
	}
	return statusNames[s]
}

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == StatusFull || s == StatusConnectFailed || s == StatusMoot || s == StatusMiss ||
		s == StatusNoConn
}

// The notes on an outcome.
const (
	NoteHit     = 1
	NoteMiss    = 2
	NoteFetched = 3 // a miss while the member has told another request to fetch
)

// Outcome tells how one attempt ended.
type Outcome struct {
	Request           RequestID
	Attempt           int
	Member            MemberID
	Status            Status
	Elapsed           time.Duration
	Note              int
	Final             bool      // the request is over
	FirstOnConnection bool      // it was the first on its connection, and Elapsed holds the wait for a handshake
	Load              []float32 // in the order of Settings.ReportColumns; may be empty
	// InTransit is for how long the attempt may still come at its member though it was given up. Another one that came there, or elsewhere, before
	// it would be a second copy.
	InTransit time.Duration
}

// AllPeers addresses every other instance in Actions.Tell.
const AllPeers = -1

// Actions is what a host does for a Balancer. Calls come from inside the event methods, in order.
type Actions interface {
	// Send starts the request's next attempt; attempts are numbered from 0. A timeout of 0 lasts
	// until the client gives up.
	Send(id RequestID, to MemberID, timeout time.Duration)
	// Refuse is the final answer that tells the client a retry is harmless.
	Refuse(id RequestID, retryAfter time.Duration, why Reason)
	// Fail is the final answer that promises nothing.
	Fail(id RequestID, why Reason)
	// NotifyWaiting notes that the request waits, with nothing out; nothing is to be done.
	NotifyWaiting(id RequestID, why Reason)
	// ConnectionWait asks how long an attempt of the request would wait for a connection to a member if it were sent now, beside
	// the time that a handshake takes; below 0: nothing is known of that, or the wait would be in vain. It is the host's own
	// shortage and tells nothing of the member. A host whose clients make their attempts themselves tells 0.
	ConnectionWait(id RequestID, m MemberID) time.Duration
	// Cancel stops waiting for one attempt; its Outcome follows.
	Cancel(id RequestID, attempt int)
	// Probe checks a member; a Probed event follows.
	Probe(m MemberID)
	// CloseIdle closes the idle connections to a member.
	CloseIdle(m MemberID)
	// SetTimer asks for a Timer event at or after the time. Timers can't be withdrawn.
	SetTimer(at time.Duration, token uint64)
	// Watch subscribes to changes of the list; SetMembers answers, with ListFailed if it failed.
	Watch(on bool)
	// FetchList asks for the whole list once.
	FetchList()
	// SendToPeer sends up to 256 bytes to a peer, or to AllPeers.
	SendToPeer(peer int, data []byte)
	// Log records a line for the operators.
	Log(text string)
}

// ProbeResult takes the result of a probe. No decision rests on probes yet.
func (b *Balancer) ProbeResult(now time.Duration, id MemberID, s Status, elapsed time.Duration, load []float32) {
	b.advance(now)
}

// PeerMessage takes a message of another instance. No decision rests on messages.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) { b.advance(now) }
