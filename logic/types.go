package logic

import (
	"math/rand/v2"
	"time"
)

// limiter is the adaptive concurrency of a member, from this proxy.
type limiter struct {
	limit, latency float64 // latency: seconds an answer takes lately
	gap            float64 // seconds between sends, lately
	pace           float64 // seconds between answers lately, at the most latency
	high           float64 // the most that was out lately
	floor          float64 // the least that latency has been; it rises slowly
	quickest       float64 // seconds the quickest answers take lately, without a handshake; 0: there was none
	seen, out      int
	cutAt, sentAt  time.Duration
	heardAt        time.Duration // when it answered last
	answered       time.Duration // when the latest attempt was sent that has been answered
}

// node is what the balancer knows of a member.
type node struct {
	limiter
	m                Member
	zone             *zone
	hash             uint64
	weight           float64       // its share of slots: alike at every proxy, untouched by load
	streak           int           // failures in a row
	fails            float64       // share of attempts that failed, lately
	outUntil         time.Duration // ejected, or full, until then
	tokens           float64       // the cold budget
	tokensAt         time.Duration
	hotLoad, hotKeys float64       // S and T of the paper
	hits, misses     int           // the latter in a row
	since            time.Duration // when it was found to have lost what it held
}

// zone is what a zone's caches have in common.
type zone struct {
	silent   int           // time-outs in a row, over all of them
	silentAt time.Duration // the first of them
	nextAt   time.Duration // when one may be asked while they are silent, or on trial
	since    time.Duration // when they were heard of again after an outage: they may be cold from then on
	closed   float64       // the part of their work that they are not to get
	trial    bool          // while closed, they get a read now and then
}

type ranked struct {
	n     *node
	score float64
}

// flight is a request in hand.
type flight struct {
	Request
	class          *Class
	askedAt        time.Duration
	aim            time.Duration // answers after this are worth little or nothing
	value          float64
	slot, attempts int
	tries          int    // attempts allowed, as when it came
	unsent         int    // attempts that found no connection: they count for nothing, up to the try limit
	out            uint64 // attempts outstanding, a bit each
	fetch          uint64 // attempts that went to the origin
	ran            uint64 // attempts that may have run, or may yet
	ranAt          time.Duration
	ranOn          *node         // the first of those went there
	nextAt         time.Duration // no attempt before: an earlier one may be in transit
	toOrigin       bool          // the next attempt goes there
	missAt         *node         // where the value will be stored
	tried          []*node
	waiting        bool // for another request's fetch, or in the origin's queue
	queued         bool // in the origin's queue
	joined         bool // it has waited for another's fetch before asking a cache
	leased         bool // it has waited for another's fetch after a miss
	owner          bool // others may wait for its fetch
	broke          bool // a connection to a cache broke under it, and it went there again
	stream         bool
	done           bool // answered; kept until its attempts have ended
}

// Balancer makes the decisions of one proxy. Make it with New, then call Start.
type Balancer struct {
	s               Settings
	do              Actions
	pcg             *rand.PCG // the source of rng
	rng             *rand.Rand
	now, closeAt    time.Duration
	nodes           map[MemberID]*node
	caches, origins []*node // ready, by id
	slots           [][]ranked
	kindSize        map[int]float64
	zones           [64]zone
	trials          bool    // some zone is on trial
	warm            float64 // weight of the caches, cold ones by their warmth
	warmAt          time.Duration
	allCold         bool    // the fleet has less than half of its capacity
	peak            float64 // the most weight the list has held
	local           bool    // each zone has a slot table of its own
	counts          counter
	kept            float64 // of the count, from earlier windows
	hot             map[uint64]*placed
	arrivals, span  float64       // requests, and the seconds they were counted
	carried         float64       // what the caches did of them, in answers; a miss is half of one
	period          time.Duration // of the window
	tenants         []float64
	flights         map[RequestID]*flight
	fetching        map[uint64][]*flight // by key: who waits for the fetch that is out
	queue           []*flight            // for the origin
	pumpAt          time.Duration
	target          float64 // seconds a fetch may take
	latency, fails  float64 // the caches' mean
	retries         float64 // the retry budget
	asked, answered float64 // attempts at caches, lately
	askedAt         time.Duration
	heardAt         time.Duration // when a cache answered last
	out             int           // attempts at caches that have no outcome yet
	young, elder    int           // reads asked for lately, and in the time before that
	youngAt         time.Duration // when lately began
	watches         int
	refusing        time.Duration // since when this proxy has had to refuse
	refusedAt       time.Duration
}

// placed are the caches of a hot key; more than one only if the key is split.
type placed struct {
	nodes []*node
	next  int
}

// split tells whether several caches hold the key.
func (p *placed) split() bool { return p != nil && len(p.nodes) > 1 }
