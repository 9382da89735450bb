// Package logic makes the routing decisions of a proxy in front of a fleet of cache servers.
//
// A host (a proxy) owns one Balancer and reports events by calling its methods: SetMembers, SetZoneShares,
// Request, Outcome, StreamStarted, RequestCancelled, RestrictMembers, FallbackUsed, UpdateClasses, Timer,
// ProbeResult and PeerMessage. The Balancer responds by calling the host's Actions from inside those
// calls. It has no clock, starts no goroutine and reads nothing else: every event carries the host's time,
// as a time.Duration on any monotonic clock, and all randomness derives from the seed passed to New. A
// Balancer is not safe for concurrent use; the host serialises its events.
//
// Every request gets exactly one final answer: the first attempt that ends with StatusOK answers it, or
// the Balancer calls Refuse (a retry is harmless) or Fail (no guarantee). After each event, a request that
// has no outstanding attempt and can't be sent to any member before its soft deadline has its final
// answer; it does not wait. The decisions are in logic.go.
package logic

import (
	"errors"
	"fmt"
	"time"
)

// MemberID identifies a member. It is opaque and stays the same when the process restarts.
type MemberID uint64

// RequestID identifies a request; the host never reuses one.
type RequestID uint32

// ZoneShare sets how much the caches of a zone are used.
type ZoneShare struct {
	Share float64 // share of their usual work, from 0 to 1
	Trial bool    // with a share of 0: an occasional read is sent to them as a probe
}

// State is the life-cycle state of a member as reported by discovery.
type State uint8

// The states of a member. An unknown state is treated as Gone.
const (
	Ready State = iota
	Gone
	Draining
)

// Member is one entry of the member list.
type Member struct {
	ID        MemberID
	Zone      int
	Cell      int // group of members that drop repeats of each other's requests
	Kind      int // machine type; members of Settings.OriginKind are origins
	State     State
	StartedAt time.Duration // 0: long ago
	Weight    float64       // relative size, interpreted according to Settings.Weights
}

// ListKind tells how a member list is to be applied.
type ListKind uint8

// The kinds of member list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the whole list
	ListCached                 // the whole list as last stored, possibly outdated
	ListFailed                 // Watch or FetchList failed, or the watch ended; no entries
)

// Effect tells whether a request may run more than once.
type Effect uint8

// The effects of a class.
const (
	Repeatable        Effect = iota // safe to repeat
	DeduplicatedByKey               // repeats are dropped within a group of members for some time
	AtMostOnce                      // must not run twice
)

// Scope is the group of members that drop repeats of a DeduplicatedByKey request.
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
	SoftDeadline           time.Duration // an answer within this time has the full value
	SoftDeadlineCostFactor float64       // the soft deadline is extended by the request's cost times this factor
	Deadline               time.Duration
	Value                  float64
	LateValue              float64 // share of the value that an answer between soft deadline and deadline has
	Effect                 Effect
	Scope                  Scope
	DedupWindow            time.Duration // how long repeats of a DeduplicatedByKey request are dropped
	Stream                 bool
}

// EffectOf returns the effect of a request of the class. A request without the key that its class requires
// must not run twice: the receiver of a repeat could not recognise it.
func (c *Class) EffectOf(unkeyed bool) Effect {
	if c.Effect == DeduplicatedByKey && unkeyed {
		return AtMostOnce
	}
	return c.Effect
}

// SafeToRetry reports whether the client may repeat a request of the class with this effect, regardless of
// the fate of the first one.
func (c *Class) SafeToRetry(effect Effect) bool {
	return effect == Repeatable || effect == DeduplicatedByKey && c.Scope == ScopeAll
}

// ClassNames returns the names of the classes in order.
func ClassNames(classes []Class) []string {
	names := make([]string, len(classes))
	for i, c := range classes {
		names[i] = c.Name
	}
	return names
}

// Tenant describes a tenant and its share of the service.
type Tenant struct {
	Name  string
	Share float64
	Quota float64 // requests per second over all proxies
}

// Weights tells how Member.Weight is interpreted.
type Weights uint8

// The interpretations of a weight.
const (
	WeightsOff Weights = iota
	WeightsNominal
	WeightsRough
	WeightsLive // nominal size divided by (1 + requests held per core), reported with delay
)

// Mode tells which component asks the origin for values that a cache lacks.
type Mode uint8

// The modes of a fleet.
const (
	ReadThrough Mode = iota // the cache fetches the value and forwards writes
	CacheAside              // the cache answers StatusMiss; the Balancer asks the origin
)

// Settings configure a Balancer. Apart from UpdateClasses they are fixed for its life.
type Settings struct {
	Classes   []Class
	Tenants   []Tenant
	SelfIndex int // index of this instance
	Instances int
	Zone      int
	Zones     int
	Mode      Mode
	// OriginKind is the Member.Kind of origins in CacheAside mode; negative: none.
	OriginKind             int
	Weights                Weights
	Subscribe              bool          // lists arrive only after Watch or FetchList
	MaxPollInterval        time.Duration // maximum time between list requests without a watch
	MaxEventDelay          time.Duration // maximum delay of events
	MaxAttempts            int           // maximum attempts per request
	ConcurrentAttempts     bool          // two attempts of a request may be outstanding at once
	CanCancel              bool
	CanProbe               bool
	CanMessagePeers        bool
	CanRetryAfter          bool
	MaxRetryAfter          time.Duration
	ConnectTimeout         time.Duration
	AnswerGrace            time.Duration // answers up to this long after the deadline still count
	SlowStartCapacity      float64       // share of its capacity that a member has when it starts
	SlowStartDuration      time.Duration // time from the start until a member has its full capacity
	OverloadMultiple       float64       // a cold member fails if it is sent more than this multiple of its capacity
	OverloadDuration       time.Duration // duration of such an overload after which the member fails
	OriginOverloadMultiple float64       // the same multiple for the origin; 0: no such limit
	OriginOverloadDuration time.Duration
	CrossZoneCost          float64  // cost of a request that crosses zones, in units of Class.Value
	OverShareValue         float64  // factor on the value of requests beyond the tenant's share
	ReportColumns          []string // names of the values in Outcome.Load; see the Column constants
}

// check returns an error if the settings are unusable.
func (s *Settings) check() error {
	if len(s.Classes) == 0 {
		return errors.New("logic: settings contain no class")
	}
	if s.MaxAttempts < 1 {
		return fmt.Errorf("logic: try limit %d allows no attempt", s.MaxAttempts)
	}
	if !(s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1) || !(s.OverloadMultiple >= 0) ||
		s.SlowStartDuration < 0 || s.OverloadDuration < 0 {
		return errors.New("logic: slow-start settings out of range")
	}
	for _, c := range s.Classes {
		if c.SoftDeadline <= 0 || c.Deadline <= 0 {
			return fmt.Errorf("logic: class %q has no aim or deadline", c.Name)
		}
	}
	return nil
}

// Names of load report values that the Balancer knows; others are skipped.
const (
	ColumnInflight = "inflight"   // requests being processed
	ColumnLatency  = "latency_ms" // recent service time without queueing
)

// Request describes a client request.
type Request struct {
	ID    RequestID
	Key   uint64 // 0: none
	Class int
	// AcceptedClass, if not nil, is the class in force when the host accepted the request; it replaces Class, whose
	// meaning may have changed since.
	AcceptedClass *Class
	Tenant        int
	Cost          time.Duration // expected work, valid if CostKnown
	CostKnown     bool          // Cost is valid
	Retry         bool          // the client marked the request as a repeat
	Write         bool
	NoDedupKey    bool // it has no key by which its repeats could be dropped
	Size          float64
	Deadline      time.Duration // time at which the client gives up
	// AllowedMembers, if not nil, restricts the members that the request may be sent to; RestrictMembers
	// changes it.
	AllowedMembers []MemberID
}

// Status tells how an attempt or probe ended.
type Status uint8

// The statuses. StatusUnknown is used for any outcome that the host can't classify; the attempt may have
// run.
const (
	StatusUnknown Status = iota
	StatusOK
	StatusError
	StatusFull          // rejected without being processed
	StatusTimeout       // no answer in time
	StatusConnectFailed // not sent
	StatusReset         // the connection broke
	StatusCancelled
	StatusMoot     // not sent: the request was already answered or had no attempts left
	StatusMiss     // the member holds no value for the key
	StatusRejected // the member considers the request invalid; a further attempt would end the same way
	StatusNoConn   // not sent: the host had no free connection, which says nothing about the member
)

var statusNames = [...]string{"unknown", "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot",
	"miss", "rejected", "no_conn"}

func (s Status) String() string {
	if int(s) >= len(statusNames) {
		return statusNames[StatusUnknown]
	}
	return statusNames[s]
}

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool {
	return s == StatusFull || s == StatusConnectFailed || s == StatusMoot || s == StatusMiss ||
		s == StatusNoConn
}

// The notes on an outcome.
const (
	NoteHit     = 1
	NoteMiss    = 2
	NoteFetched = 3 // a miss while another request has already been asked to fetch the value
)

// Outcome describes how one attempt ended.
type Outcome struct {
	Request           RequestID
	Attempt           int
	Member            MemberID
	Status            Status
	Elapsed           time.Duration
	Note              int
	Final             bool      // the request has its final answer
	FirstOnConnection bool      // first attempt on its connection: Elapsed includes the handshake
	Load              []float32 // values in the order of Settings.ReportColumns; may be empty
	// InTransit is how long an attempt that was given up may still arrive at its member. Another attempt
	// that arrives before it, there or elsewhere, would make it a second copy.
	InTransit time.Duration
}

// AllPeers addresses every other instance in Actions.SendToPeer.
const AllPeers = -1

// Actions are the operations that the host performs for a Balancer. They are called from inside the event
// methods, in order.
type Actions interface {
	// Send starts the request's next attempt; attempts are numbered from 0. A timeout of 0 means no
	// timeout: the attempt lasts until the client gives up. startBefore, unless it is 0, is the time from
	// which nothing of the attempt may be sent any more, as its member may no longer drop it as a repeat of
	// an earlier one. If the attempt still waits in the host then, the host ends it at once with a status
	// that says it never ran.
	Send(id RequestID, to MemberID, timeout, startBefore time.Duration)
	// Refuse gives the final answer that tells the client that a retry is harmless.
	Refuse(id RequestID, retryAfter time.Duration, why Reason)
	// Fail gives the final answer that guarantees nothing.
	Fail(id RequestID, why Reason)
	// NotifyWaiting reports that the request waits without an outstanding attempt. The host need not act
	// on it.
	NotifyWaiting(id RequestID, why Reason)
	// ConnectionWait returns how long an attempt of the request would wait for a connection to a member if
	// it were sent now, excluding the handshake. A negative result means that the wait is unknown or would
	// be in vain. The wait is a shortage of the host's own and says nothing about the member. A host whose
	// clients make the attempts themselves returns 0.
	ConnectionWait(id RequestID, m MemberID) time.Duration
	// Cancel stops waiting for one attempt; its Outcome follows.
	Cancel(id RequestID, attempt int)
	// Probe checks a member; a ProbeResult event follows.
	Probe(m MemberID)
	// CloseIdle closes the idle connections to a member.
	CloseIdle(m MemberID)
	// SetTimer requests a Timer event at or after the given time. Timers can't be cancelled.
	SetTimer(at time.Duration, token uint64)
	// Watch subscribes to changes of the member list. SetMembers follows, with ListFailed on failure.
	Watch(on bool)
	// FetchList requests the whole member list once.
	FetchList()
	// SendToPeer sends up to 256 bytes to a peer, or to AllPeers.
	SendToPeer(peer int, data []byte)
	// Log writes a line to the operators' log.
	Log(text string)
}

// ProbeResult handles the result of a probe. No decision depends on probes yet.
func (b *Balancer) ProbeResult(now time.Duration, id MemberID, s Status, elapsed time.Duration, load []float32) {
	b.advance(now)
}

// PeerMessage handles a message from another instance. No decision depends on messages.
func (b *Balancer) PeerMessage(now time.Duration, from int, data []byte) { b.advance(now) }
