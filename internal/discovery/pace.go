package discovery

import (
	"math/rand/v2"
	"time"
)

// Pace decides how long a proxy waits before it asks discovery. It is free of I/O and clock.
//
// Where discovery is asked, it is one service for all proxies. It works through calls in turn, and what it has taken in it works
// off, though the caller has long been told that it waited too long. What breaks one proxy's watch, or starts one, most often
// does so to many. If they all ask at once, and soon again when they are turned away, the calls that still count stand behind
// those that don't, and nobody is answered for as long as that goes on. So each call is put off by a part of a spread, the first
// too: by the proxy's own place among all, or, after a call in vain, at random. The spread grows with the number of proxies, and
// never keeps one from asking as often as it must. It could do harm where a proxy is alone in having lost its watch: it is without
// news for that much longer.
//
// Where lists are pushed, discovery is an agent of this proxy's own, which no other asks: there the spread is short.
type Pace struct {
	start, first, failed, most time.Duration
	spread                     time.Duration // of the latest wait
	vain                       bool          // the latest call was
	agent                      bool          // what is asked is one of this proxy's own
	place, step                float64       // this proxy's place among all, and how far they lie apart, of 1
	rand                       *rand.Rand
}

const (
	// eachCall is what each proxy adds to the spread: a call takes discovery so long at the most.
	eachCall = 100 * time.Millisecond
	// The most that a spread may be of the time in which a proxy must ask. A process that was killed may have been about to ask,
	// and the one that takes its place doesn't know: what it takes to find out that a watch is silent, the wait after that, the
	// time until the next process is there and its own wait go into that time together. A call in vain before that can still make
	// it late, and after a second one only its own calls count (mostShare): where all ask more often than this, a service that
	// has fallen behind stays so (docs/fleet.md has the tries).
	startShare, brokenShare, failedShare, mostShare = 0.35, 0.15, 0.33, 0.7
	// failedLeast is the part of its spread that surely passes after a call in vain: until what was in front of it is done.
	failedLeast = 0.7
	// brokenMost bounds the wait after a watch that broke, whatever the spread: what it takes to see that one is silent, this, and the 2 s
	// that the call may take in its turn must be over before what was missed counts as told, after 6 s.
	brokenMost = 1400 * time.Millisecond

	// What an agent has counts as told whether or not a watch is open, so none may be missing for longer than a drain may go unheeded.
	agentFirst = 50 * time.Millisecond
	agentMost  = 150 * time.Millisecond
	failedMin  = time.Second // of a discovery that is asked
)

// NewPace is the pace of the proxy with this number (self) of so many that have to ask at least every mustAsk (0: not said). Asked:
// discovery is one service for all of them.
func NewPace(asked bool, self, instances int, mustAsk time.Duration, seed uint64) *Pace {
	p := &Pace{agent: !asked, first: agentFirst, failed: agentMost, most: agentMost, rand: rand.New(rand.NewPCG(seed, 0xd15c))}
	instances = max(1, instances)
	p.place, p.step = float64((self%instances+instances)%instances)/float64(instances), 1/float64(instances)
	if asked {
		all := time.Duration(instances) * eachCall
		p.start, p.first, p.failed, p.most = all, all, 2*all, 4*all
		if mustAsk > 0 {
			p.start = min(all, part(mustAsk, startShare))
			p.first = min(all, part(mustAsk, brokenShare))
			p.failed, p.most = min(2*all, part(mustAsk, failedShare)), min(4*all, part(mustAsk, mostShare))
		}
		p.first, p.failed, p.most = max(agentFirst, min(brokenMost, p.first)), max(failedMin, p.failed), max(failedMin, p.most)
	}
	return p
}

// Start tells how long to wait before the first call. Each proxy has a place of its own in the spread, the same after each start: a
// process that takes another's place asks as long after its start as that one did, so that their calls lie no further apart than
// their starts. Drawn anew, an early call could be followed by a late one.
func (p *Pace) Start() time.Duration { return part(p.start, p.place+p.step*p.rand.Float64()) }

// Broken tells how long to wait after a watch that had brought something has broken. Who begins late asks again early: what both
// waits take together then varies little.
func (p *Pace) Broken() time.Duration {
	p.spread, p.vain = p.first, false
	return part(p.spread, 1-p.place-p.step*p.rand.Float64())
}

// Failed tells how long to wait after a call that has brought nothing.
func (p *Pace) Failed() time.Duration {
	if p.spread = min(max(p.first, 2*p.spread), p.failed); p.vain {
		p.spread = p.most
	}
	p.vain = true
	return part(p.spread, failedLeast+(1-failedLeast)*p.rand.Float64())
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(share * float64(d)) }
