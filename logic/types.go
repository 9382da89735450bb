package logic

import (
	"math/rand/v2"
	"time"
)

// limiter is the adaptive concurrency limit of a member at this proxy, with the measurements behind it.
type limiter struct {
	limit, latency         float64 // latency: mean seconds of recent answers
	sendInterval           float64 // mean seconds between recent sends
	answerInterval         float64 // mean seconds between recent answers; each interval counts as latency at most
	peakOutstanding        float64 // recent maximum of outstanding, decaying
	minLatency             float64 // minimum of latency, rising slowly
	fastestAnswer          float64 // seconds of the fastest recent answers, without handshakes; 0: none yet
	samples, outstanding   int
	limitCutAt, lastSentAt time.Duration
	lastAnswerAt           time.Duration // time of the last answer
	answeredSentAt         time.Duration // send time of the latest answered attempt
}

// memberState is what the Balancer knows about a member.
type memberState struct {
	limiter
	entry            Member
	zone             *zoneState
	hash             uint64
	weight           float64       // share of the slots; the same at every proxy and independent of load
	failureStreak    int           // consecutive failures
	failureRate      float64       // share of recent attempts that failed
	ejectedUntil     time.Duration // end of the ejection
	coldTokens       float64       // tokens of the cold budget
	coldTokensAt     time.Duration
	hotLoad, hotKeys float64       // requests for hot keys placed here, and the number of these keys
	hits, missStreak int           // missStreak: consecutive misses
	coldSince        time.Duration // time at which the cache was found to have lost its data
}

// zoneState is the state that the caches of a zone share.
type zoneState struct {
	timeoutStreak  int           // consecutive timeouts over all caches of the zone
	firstTimeoutAt time.Duration // time of the first timeout of the streak
	nextProbeAt    time.Duration // earliest next attempt while the zone is silent or on trial
	coldSince      time.Duration // time of the first answer after an outage; the caches may be cold from then on
	withheldShare  float64       // share of its work that the zone does not receive
	trial          bool          // while the share is withheld, the zone gets an occasional read
}

// candidate is a member with its score for a slot.
type candidate struct {
	member *memberState
	score  float64
}

// pendingRequest is a request that has no final answer or still has outstanding attempts.
type pendingRequest struct {
	Request
	class          *Class
	arrivedAt      time.Duration
	softDeadline   time.Duration // later answers have little or no value
	priority       float64
	slot, attempts int
	maxAttempts    int // maximum attempts according to the settings at arrival
	// uncountedAttempts is the part of attempts that maxAttempts does not limit: those that ended without a
	// connection, up to maxAttempts of them. Each attempt that the client made itself, as it is not in
	// attempts, lowers the number, which may become negative.
	uncountedAttempts int
	outstanding       uint64 // outstanding attempts, one bit each
	originAttempts    uint64 // attempts sent to the origin, one bit each
	mayHaveRun        uint64 // attempts that may have run or may still run, one bit each
	firstRunAt        time.Duration
	firstRunMember    Member        // list entry, at that time, of the member of the first attempt in mayHaveRun
	notBefore         time.Duration // earliest time of the next attempt: an earlier one may still arrive
	toOrigin          bool          // the next attempt goes to the origin
	missedCache       *memberState  // cache that will store the value
	triedCaches       []*memberState
	// no attempt is outstanding: in the origin queue, or waiting for a fetch, a delay or a connection
	waiting           bool
	queued            bool // in the origin queue
	waitedForFetch    bool // has waited for another request's fetch, and does not wait again unless that fetch has ended
	waitedAfterMiss   bool // has waited for another request's fetch after its own miss, and does not wait so again
	ownsFetch         bool // other requests may wait for its fetch
	retriedAfterReset bool // was sent to the same cache again after its connection broke
	streaming         bool
	answered          bool // has its final answer; kept until its attempts have ended
}

// Balancer makes the routing decisions of one proxy. Create it with New, then call Start.
type Balancer struct {
	settings                      Settings
	actions                       Actions
	randomSource                  *rand.PCG // source of rng
	rng                           *rand.Rand
	now, windowStart              time.Duration
	members                       map[MemberID]*memberState
	caches, origins               []*memberState // ready members, sorted by ID
	slots                         [][]candidate
	kindWeight                    map[int]float64
	zones                         [64]zoneState
	zonesOnTrial                  bool    // at least one zone is on trial
	cachedWarmWeight              float64 // weight of the caches, cold ones scaled by their warmth
	cachedWarmWeightAt            time.Duration
	mostlyCold                    bool    // less than half of the weight is warm
	peakWeight                    float64 // maximum weight of the list so far
	zoneTables                    bool    // each zone has its own slot table
	keyCounts                     counter
	earlierTotal                  float64 // part of keyCounts.total from earlier windows
	hotTable                      map[uint64]*placement
	arrivals, spanSeconds         float64       // requests, and the seconds in which they were counted
	servedWork                    float64       // answers of the caches; a miss counts as half
	windowLength                  time.Duration // length of the current counting window
	tenantRequests                []float64
	requests                      map[RequestID]*pendingRequest
	fetchWaiters                  map[uint64][]*pendingRequest // by key: requests that wait for an outstanding fetch
	originQueue                   []*pendingRequest            // reads and writes waiting for capacity of the origin
	originQueueTimerAt            time.Duration
	fetchTarget                   float64 // target duration of a fetch in seconds
	meanLatency, failureRate      float64 // mean over the caches
	retryTokens                   float64 // tokens of the retry budget
	recentAttempts, recentAnswers float64 // attempts at caches and their answers, decaying
	recentCountsAt                time.Duration
	lastAnswerAt                  time.Duration // time of the last answer of any cache
	outstandingAtCaches           int           // attempts at caches without an outcome
	currentReads, previousReads   int           // reads in the current and the previous interval of the throttle
	currentReadsSince             time.Duration // start of the current interval
	listFailures                  int
	refusingSince                 time.Duration // start of the current shortage
	lastRefusalAt                 time.Duration
}

// placement lists the caches of a hot key; there are several only if the key is split.
type placement struct {
	members []*memberState
	next    int
}

// isSplit reports whether several caches hold the key.
func (p *placement) isSplit() bool { return p != nil && len(p.members) > 1 }
