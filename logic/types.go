package logic

import (
	"math/rand/v2"
	"time"
)

// limiter is the adaptive concurrency of a member, from this proxy.
type limiter struct {
	limit, latency         float64 // latency: seconds an answer takes lately
	sendInterval           float64 // seconds between sends, lately
	answerInterval         float64 // seconds between answers lately, at the most latency
	peakOutstanding        float64 // the most that was out lately
	minLatency             float64 // the least that latency has been; it rises slowly
	fastestAnswer          float64 // seconds the quickest answers take lately, without a handshake; 0: there was none
	samples, outstanding   int
	limitCutAt, lastSentAt time.Duration
	lastAnswerAt           time.Duration // when it answered last
	answeredSentAt         time.Duration // when the latest attempt was sent that has been answered
}

// memberState is what the balancer knows of a member.
type memberState struct {
	limiter
	entry            Member
	zone             *zoneState
	hash             uint64
	weight           float64       // its share of slots: alike at every proxy, untouched by load
	failureStreak    int           // failures in a row
	failureRate      float64       // share of attempts that failed, lately
	ejectedUntil     time.Duration // ejected, or full, until then
	coldTokens       float64       // the cold budget
	coldTokensAt     time.Duration
	hotLoad, hotKeys float64       // S and T of the paper
	hits, missStreak int           // the latter in a row
	coldSince        time.Duration // when it was found to have lost what it held
}

// zoneState is what a zone's caches have in common.
type zoneState struct {
	timeoutStreak  int           // time-outs in a row, over all of them
	firstTimeoutAt time.Duration // the first of them
	nextProbeAt    time.Duration // when one may be asked while they are silent, or on trial
	coldSince      time.Duration // when they were heard of again after an outage: they may be cold from then on
	withheldShare  float64       // the part of their work that they are not to get
	trial          bool          // while closed, they get a read now and then
}

type candidate struct {
	member *memberState
	score  float64
}

// pendingRequest is a request in hand.
type pendingRequest struct {
	Request
	class              *Class
	arrivedAt          time.Duration
	softDeadline       time.Duration // answers after this are worth little or nothing
	priority           float64
	slot, attempts     int
	maxAttempts        int    // attempts allowed, as when it came
	unsent             int    // attempts that found no connection: they count for nothing, up to the try limit
	outstanding        uint64 // attempts outstanding, a bit each
	originAttempts     uint64 // attempts that went to the origin
	mayHaveRun         uint64 // attempts that may have run, or may yet
	firstRunAt         time.Duration
	firstRunMember     *memberState  // the first of those went there
	notBefore          time.Duration // no attempt before: an earlier one may be in transit
	toOrigin           bool          // the next attempt goes there
	missedCache        *memberState  // where the value will be stored
	triedCaches        []*memberState
	waiting            bool // for another request's fetch, or in the origin's queue
	queued             bool // in the origin's queue
	coalesced          bool // it has waited for another's fetch before asking a cache
	coalescedAfterMiss bool // it has waited for another's fetch after a miss
	ownsFetch          bool // others may wait for its fetch
	retriedAfterReset  bool // a connection to a cache broke under it, and it went there again
	streaming          bool
	answered           bool // answered; kept until its attempts have ended
}

// Balancer makes the decisions of one proxy. Make it with New, then call Start.
type Balancer struct {
	settings                      Settings
	actions                       Actions
	randomSource                  *rand.PCG // the source of rng
	rng                           *rand.Rand
	now, windowStart              time.Duration
	members                       map[MemberID]*memberState
	caches, origins               []*memberState // ready, by id
	slots                         [][]candidate
	kindWeight                    map[int]float64
	zones                         [64]zoneState
	zonesOnTrial                  bool    // some zone is on trial
	cachedWarmWeight              float64 // weight of the caches, cold ones by their warmth
	cachedWarmWeightAt            time.Duration
	mostlyCold                    bool    // the fleet has less than half of its capacity
	peakWeight                    float64 // the most weight the list has held
	zoneTables                    bool    // each zone has a slot table of its own
	keyCounts                     counter
	earlierTotal                  float64 // of the count, from earlier windows
	hotTable                      map[uint64]*placement
	arrivals, spanSeconds         float64       // requests, and the seconds they were counted
	servedWork                    float64       // what the caches did of them, in answers; a miss is half of one
	windowLength                  time.Duration // of the window
	tenantRequests                []float64
	requests                      map[RequestID]*pendingRequest
	fetchWaiters                  map[uint64][]*pendingRequest // by key: who waits for the fetch that is out
	originQueue                   []*pendingRequest            // for the origin
	originQueueTimerAt            time.Duration
	fetchTarget                   float64 // seconds a fetch may take
	meanLatency, failureRate      float64 // the caches' mean
	retryTokens                   float64 // the retry budget
	recentAttempts, recentAnswers float64 // attempts at caches, lately
	recentCountsAt                time.Duration
	lastAnswerAt                  time.Duration // when a cache answered last
	outstandingAtCaches           int           // attempts at caches that have no outcome yet
	currentReads, previousReads   int           // reads asked for lately, and in the time before that
	currentReadsSince             time.Duration // when lately began
	listFailures                  int
	refusingSince                 time.Duration // since when this proxy has had to refuse
	lastRefusalAt                 time.Duration
}

// placement are the caches of a hot key; more than one only if the key is split.
type placement struct {
	members []*memberState
	next    int
}

// isSplit tells whether several caches hold the key.
func (p *placement) isSplit() bool { return p != nil && len(p.members) > 1 }
