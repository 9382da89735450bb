package zones

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// TickInterval is how often an instance tells what it sees, and a leader what holds.
	TickInterval = 50 * time.Millisecond
	// leaderLease is how long the first in the order of leaders may be silent before the next acts in its place.
	leaderLease = 500 * time.Millisecond
	// reportMaxAge is how old a report may be to count.
	reportMaxAge = 700 * time.Millisecond
	// pauseThreshold between two ticks tells that this instance has stood still: it acts on nothing that it held before.
	pauseThreshold = time.Second

	minJudged       = 5    // fewer attempts of an instance tell nothing
	badRatio        = 0.4  // of an instance's attempts: it calls the zone bad
	trimmedBadRatio = 0.25 // of those at all but the worst third of the boxes: it is the zone, not some boxes
	goodRatio       = 0.2
	silentRatio     = 0.9 // of the bad ones had no answer at all
	minVoters       = 2   // who stands alone leaves for nobody else

	confirmTicks      = 2                // ticks in a row that a zone is bad before it is left
	minSilentVoters   = 3                // that find it silent, with nobody against a third of them: one tick
	maxUnsettledTicks = 10               // ticks that a zone in between holds up the decision on another
	suspicionTimeout  = time.Second      // without a bad sight ends a suspicion
	ackTimeout        = time.Second      // for all to say that they have left
	minOutTime        = time.Second / 2  // before the first try
	maxOutTime        = 30 * time.Second // and at the most, for a zone that flaps
	flapWindow        = time.Minute      // a zone that fails again within this of its return waits longer
	goodProbeTicks    = 10               // good ones in a row end the trial
	regionWaitTimeout = 15 * time.Second // a region's zone that answers waits for the others no longer
	shareStep         = 10               // hundredths of a zone's work
	maxRefusalSteps   = 3                // steps' time that a shortage of the origin may hold a step up
	mixedTimeout      = time.Second      // neither good nor bad for this long is worse
	noLeaderTimeout   = 5 * time.Second  // without a leader that has a quorum: each decides for itself, as without the fleet
	capacityTolerance = 0.8              // of Config.Least, where a verdict is checked: lists differ for a moment
)

// Peer is another instance, as membership knows it.
type Peer struct {
	Number int
	Zone   int
	Alive  bool // else it was there lately, and has not said that it leaves
}

// Machine is one instance's part in the fleet's decision. It is not safe for concurrent use.
type Machine struct {
	config         Config
	ownZone        int // this instance's zone
	peers          []Peer
	capacity       []float64
	reports        map[int]*receivedReport
	lastHeard      map[int]time.Duration // by the numbers of those that may lead: when they last said anything
	verdict        Verdict
	overrides      []Override
	trackers       []zoneTracker
	ticked         bool
	now            time.Duration
	observingSince time.Duration
	leaderHeardAt  time.Duration // when a leader with a quorum was last heard
	ownReport      Report        // this instance's own
	// limiters is the share that each zone gets here, which never rises faster than boxes that may be cold bear, whatever is told.
	limiters []shareLimiter
	changes  []Change
}

type receivedReport struct {
	Report
	receivedAt time.Duration
}

// zoneTracker is what a leader keeps of a zone beside the verdict. One that takes over begins anew with it, which can only delay a step.
type zoneTracker struct {
	since      time.Duration // of the state or step, as known here
	badTicks   int           // ticks in a row
	goodTicks  int
	mixedTicks int
	lastBadAt  time.Duration // last
	returnedAt time.Duration // when it was last whole again
}

type shareLimiter struct {
	share     float64 // now
	zeroAt    time.Duration
	rampingUp bool
}

// Change is one for the log.
type Change struct {
	Zone      int
	From      Zone
	To        Zone
	Epoch     uint64
	DecidedBy int
}

// New makes a Machine. Its configuration has been checked.
func New(c Config, own int) *Machine {
	n := len(c.Zones)
	m := &Machine{config: c, ownZone: own, reports: map[int]*receivedReport{}, lastHeard: map[int]time.Duration{}, overrides: make([]Override, n),
		trackers: make([]zoneTracker, n), limiters: make([]shareLimiter, n), capacity: make([]float64, n)}
	m.verdict.Zones = make([]Zone, n)
	for i := range m.verdict.Zones {
		m.verdict.Zones[i].Share, m.limiters[i].share, m.capacity[i] = FullShare, 1, 1
	}
	return m
}

// SetPeers takes over who else there is.
func (m *Machine) SetPeers(peers []Peer) { m.peers = slices.Clone(peers) }

// SetCapacity takes over what each zone can do, relative to the others.
func (m *Machine) SetCapacity(c []float64) { copy(m.capacity, c) }

// Verdict is what holds as far as this instance knows.
func (m *Machine) Verdict() Verdict { return m.verdict.clone() }

// Overrides are the operators' latest calls.
func (m *Machine) Overrides() []Override { return slices.Clone(m.overrides) }

// Changes are those since it was last asked.
func (m *Machine) Changes() (c []Change) {
	c, m.changes = m.changes, nil
	return c
}

// OwnReport is this instance's latest report.
func (m *Machine) OwnReport() Report { return m.ownReport }

// PeerReports is what the others last told, by number, as far as it is fresh.
func (m *Machine) PeerReports() (all []Report) {
	for _, n := range m.freshReporters() {
		all = append(all, m.reports[n].Report)
	}
	return all
}

// hasFreshReport tells whether another instance is heard: its latest report still counts.
func (m *Machine) hasFreshReport(number int) bool {
	r := m.reports[number]
	return r != nil && m.now-r.receivedAt <= reportMaxAge
}

func (m *Machine) freshReporters() (numbers []int) {
	for n := range m.reports {
		if m.hasFreshReport(n) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Leaders is the order in which instances lead: the first of each zone, then the second of each, so that no zone takes all of them with it.
func (m *Machine) Leaders() (numbers []int) {
	all := append(slices.Clone(m.peers), Peer{Number: m.config.Number, Zone: m.ownZone, Alive: true})
	all = slices.DeleteFunc(all, func(p Peer) bool { return !p.Alive })
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Number, b.Number) })
	place, seen := map[int]int{}, map[int]int{}
	for _, p := range all {
		place[p.Number] = seen[p.Zone]
		seen[p.Zone]++
	}
	slices.SortStableFunc(all, func(a, b Peer) int { return cmp.Compare(place[a.Number], place[b.Number]) })
	for _, p := range all {
		numbers = append(numbers, p.Number)
	}
	return numbers
}

// ReceiveReport takes a report.
func (m *Machine) ReceiveReport(now time.Duration, r Report) {
	if r.Number == m.config.Number || len(r.Zones) != len(m.trackers) {
		return
	}
	old := m.reports[r.Number]
	if old != nil && r.stale(&old.Report) || !m.isLivePeer(r.Number) {
		return
	}
	m.reports[r.Number] = &receivedReport{r, now}
	m.lastHeard[r.Number] = now
}

// ReceiveVerdict takes a verdict that another instance has told, which was decided by it, if it leads, or by another one. It tells
// whether that is news.
func (m *Machine) ReceiveVerdict(now time.Duration, from int, v Verdict, leads bool) (news bool) {
	if !m.isLivePeer(from) {
		return false
	}
	m.lastHeard[from] = now
	if leads {
		m.leaderHeardAt = now
	}
	return m.acceptVerdict(now, v)
}

// isLivePeer tells whether a number is another instance's that lives.
func (m *Machine) isLivePeer(number int) bool {
	return slices.ContainsFunc(m.peers, func(p Peer) bool { return p.Number == number && p.Alive })
}

func (m *Machine) acceptVerdict(now time.Duration, v Verdict) (news bool) {
	if !v.newer(&m.verdict) || !m.withinBounds(&v) {
		return false
	}
	m.adopt(now, v.clone())
	return true
}

// withinBounds tells whether a verdict keeps the bounds, which hold whoever decided it: it closes no zone where too little would stay open.
func (m *Machine) withinBounds(v *Verdict) bool {
	if len(v.Zones) != len(m.trackers) || v.Epoch > m.verdict.Epoch+1<<32 {
		return false
	}
	var open, all float64
	closes := false
	for i, z := range v.Zones {
		if z.State >= states || z.Share > FullShare || (z.State == StateIn || z.State == StateSuspected) != (z.Share == FullShare) {
			return false
		}
		all += m.capacity[i]
		if z.Share > 0 || m.overrides[i].Mode == ModeOut {
			open += m.capacity[i]
		} else if m.verdict.Zones[i].Share > 0 {
			closes = true
		}
	}
	return !closes || open >= capacityTolerance*m.config.MinCapacityShare*all
}

func (m *Machine) adopt(now time.Duration, v Verdict) {
	for i := range v.Zones {
		was := m.verdict.Zones[i]
		if was.State == v.Zones[i].State && was.Share == v.Zones[i].Share {
			continue
		}
		w := &m.trackers[i]
		if v.Zones[i].State == StateIn && was.State == StateReturning {
			w.returnedAt = now
		}
		w.since, w.goodTicks, w.mixedTicks = now, 0, 0
		if v.Zones[i].State != StateSuspected && v.Zones[i].State != StateLeaving {
			w.badTicks = 0
		}
		m.changes = append(m.changes[max(0, len(m.changes)-256):], Change{i, was, v.Zones[i], v.Epoch, v.DecidedBy})
	}
	m.verdict = v
}

// ErrNoZoneLeft tells that a call would have left nothing in use.
var ErrNoZoneLeft = errors.New("zones: no other zone is in use; bring one back first")

// SetOverride takes an operator's call at this instance, for a zone or all of a region.
func (m *Machine) SetOverride(now time.Duration, h Override, zones ...int) error {
	if h.Mode == ModeOut && !m.anyInUse(zones) {
		return ErrNoZoneLeft
	}
	h.ReceivedBy = m.config.Number
	for _, z := range zones {
		stamped := h
		stamped.TimestampMS = max(h.TimestampMS, m.overrides[z].TimestampMS+1) // a clock that was put back must not lose a call
		m.overrides[z] = stamped
	}
	m.updateShares(now)
	return nil
}

// anyInUse tells whether a zone is in use, beside some: as the verdict and the operators have it.
func (m *Machine) anyInUse(beside []int) bool {
	for i, z := range m.verdict.Zones {
		if z.Share > 0 && m.overrides[i].Mode != ModeOut && !slices.Contains(beside, i) {
			return true
		}
	}
	return false
}

// MergeOverrides takes operators' calls that another instance has told. It tells whether any is news.
func (m *Machine) MergeOverrides(now time.Duration, hands []Override) (news bool) {
	if len(hands) != len(m.overrides) {
		return false
	}
	for i, h := range hands {
		if h.Mode < modes && len(h.Requester) <= MaxRequesterLen && h.supersedes(m.overrides[i]) {
			m.overrides[i], news = h, true
		}
	}
	if news {
		m.updateShares(now)
	}
	return news
}

// Tick does what is due. sights and short are this instance's own, by its Meter. It tells whether this instance leads with a quorum, and whether it has
// stood still, and so has to forget what it saw.
func (m *Machine) Tick(now time.Duration, sights []ZoneStats, short int) (leads, paused bool) {
	if !m.ticked {
		m.ticked, m.observingSince, m.now, m.leaderHeardAt = true, now, now, max(m.leaderHeardAt, now)
	}
	if now-m.now > pauseThreshold {
		paused = true
		m.observingSince = now // it leads nobody until it has had time to hear of others
		clear(m.reports)
		for i := range m.trackers {
			m.trackers[i].badTicks, m.trackers[i].goodTicks, m.trackers[i].mixedTicks = 0, 0, 0
		}
		sights, short = make([]ZoneStats, len(m.trackers)), 0
	}
	m.now = now
	m.ownReport = Report{Number: m.config.Number, StartedAtMS: m.config.StartedAtMS, Seq: m.ownReport.Seq + 1, Epoch: m.verdict.Epoch, OriginRefusals: short, Zones: slices.Clone(sights)}
	maps.DeleteFunc(m.reports, func(n int, _ *receivedReport) bool { return !m.isLivePeer(n) })
	maps.DeleteFunc(m.lastHeard, func(n int, _ time.Duration) bool { return !m.isLivePeer(n) })
	if leads = m.isLeader() && m.hasQuorum(); leads {
		m.leaderHeardAt = now
		m.decide()
	}
	m.updateShares(now)
	return leads, paused
}

// isLeader tells whether this instance acts for all: each before it in the order has been silent for a lease, and it has had time to hear them.
func (m *Machine) isLeader() bool {
	if len(m.peers) == 0 || m.now-m.observingSince < leaderLease {
		return false
	}
	for _, n := range m.Leaders() {
		if n == m.config.Number {
			return true
		}
		if at, ok := m.lastHeard[n]; ok && m.now-at <= leaderLease {
			return false
		}
	}
	return false
}

// hasQuorum tells whether more than half of those that were there lately are heard: a side of a partition that has not leaves nobody and
// raises nobody. Of two equal halves, the one with the lowest number has it.
func (m *Machine) hasQuorum() bool {
	here, lowest := 1, m.config.Number
	lowestHere := true
	for _, p := range m.peers {
		ok := m.hasFreshReport(p.Number)
		if ok {
			here++
		}
		if p.Number < lowest {
			lowest, lowestHere = p.Number, ok
		}
	}
	all := len(m.peers) + 1
	return 2*here > all || 2*here == all && lowestHere
}

// zoneOpinion is what is thought of a zone.
type zoneOpinion struct {
	bad, good, mixed        int // instances
	silent                  bool
	pooledJudged, pooledBad int // of those that have too few attempts for an opinion of their own
}

func (o zoneOpinion) voters() int { return o.bad + o.good + o.mixed }

// isBad tells whether those that have an opinion agree that the zone fails; one alone convinces nobody, and so does a third.
func (o zoneOpinion) isBad() bool {
	return o.voters() >= minVoters && o.bad >= minVoters && 3*o.bad >= 2*o.voters()
}

// isGood tells whether most of those that have an opinion find nothing wrong.
func (o zoneOpinion) isGood() bool { return o.good > 0 && 3*o.good >= 2*o.voters() }

func (s ZoneStats) classify() (bad, good, some bool) {
	if s.Judged < minJudged || s.Bad > s.Judged || s.TrimmedBad > s.TrimmedJudged || s.TrimmedJudged > s.Judged {
		return false, false, false // nothing, or counts that can't be
	}
	part := float64(s.Bad) / float64(s.Judged)
	if s.RecentUnanswered >= minJudged && s.RecentUnanswered <= s.Judged {
		return s.TrimmedJudged == 0 || s.TrimmedBad > 0, false, true // more than the worst third of the boxes are
	}
	if part <= goodRatio {
		return false, true, true
	}
	return part >= badRatio && (s.TrimmedJudged == 0 || float64(s.TrimmedBad) >= trimmedBadRatio*float64(s.TrimmedJudged)), false, true
}

func (m *Machine) opinions() (all []zoneOpinion, short int) {
	all = make([]zoneOpinion, len(m.trackers))
	silents := make([]int, len(m.trackers)) // of the bad ones
	take := func(r *Report) {
		if r.OriginRefusals > 0 {
			short++
		}
		for i, s := range r.Zones {
			bad, good, some := s.classify()
			o := &all[i]
			switch {
			case bad:
				o.bad++
				if float64(s.Silent) >= silentRatio*float64(s.Bad) {
					silents[i]++
				}
			case good:
				o.good++
			case some:
				o.mixed++
			case s.Bad <= s.Judged:
				o.pooledJudged, o.pooledBad = o.pooledJudged+min(s.Judged, minJudged), o.pooledBad+min(s.Bad, minJudged)
			}
		}
	}
	take(&m.ownReport)
	for _, n := range m.freshReporters() {
		take(&m.reports[n].Report)
	}
	for i := range all {
		o := &all[i]
		o.silent = o.bad > 0 && silents[i] == o.bad
		// A zone that was left gets few attempts, and has been found bad before: all of them together tell.
		if s := m.verdict.Zones[i].State; (s == StateTrying || s == StateReturning) && o.voters() < minVoters && o.pooledJudged >= minJudged {
			switch part := float64(o.pooledBad) / float64(o.pooledJudged); {
			case part <= goodRatio:
				o.good += minVoters
			case part >= badRatio:
				o.bad += minVoters
			default:
				o.mixed += minVoters
			}
		}
	}
	return all, short
}

// decide is the leader's: one look at all zones, and a new epoch if anything changes.
func (m *Machine) decide() {
	all, short := m.opinions()
	next := m.verdict.clone()
	for i := range next.Zones {
		w, o := &m.trackers[i], all[i]
		w.badTicks, w.goodTicks, w.mixedTicks = nextStreak(w.badTicks, o.isBad()), nextStreak(w.goodTicks, o.isGood()), nextStreak(w.mixedTicks, !o.isBad() && !o.isGood() && o.voters() > 0)
		if o.isBad() {
			w.lastBadAt = m.now
		}
	}
	for i := range next.Zones {
		m.stepZone(i, &next, all, short)
	}
	m.markLeaving(&next, all)
	if !sameZones(&next, &m.verdict) {
		next.Epoch, next.DecidedBy = m.verdict.Epoch+1, m.config.Number
		m.adopt(m.now, next)
		m.ownReport.Epoch = next.Epoch
	}
}

func nextStreak(n int, more bool) int {
	if !more {
		return 0
	}
	return min(n+1, 1<<20)
}

func sameZones(a, b *Verdict) bool {
	return slices.EqualFunc(a.Zones, b.Zones, func(x, y Zone) bool {
		return x.State == y.State && x.Share == y.Share && x.Flaps == y.Flaps && x.WithRegion == y.WithRegion && slices.Equal(x.Probers, y.Probers)
	})
}

// stepZone moves one zone on, but for the decision to leave it.
func (m *Machine) stepZone(i int, next *Verdict, all []zoneOpinion, short int) {
	z, w, was := &next.Zones[i], &m.trackers[i], m.verdict.Zones[i]
	age := m.now - w.since
	switch h := m.overrides[i]; {
	case h.Mode == ModeHold:
		return
	case h.Mode == ModeOut:
		if z.State != StateOut {
			*z = Zone{State: StateOut}
		}
		return
	}
	switch was.State {
	case StateIn:
		if z.Flaps > 0 && m.now-w.returnedAt > flapWindow {
			z.Flaps = 0
		}
		if all[i].isBad() {
			z.State = StateSuspected
		}
	case StateSuspected:
		if m.now-w.lastBadAt > suspicionTimeout {
			z.State = StateIn
		}
	case StateLeaving:
		if age >= ackTimeout || m.acknowledged() {
			z.State = StateOut
		}
	case StateOut:
		if age >= min(maxOutTime, minOutTime<<min(z.Flaps, 10)) {
			z.State, z.Probers = StateTrying, m.selectProbers(i, all[i], 0)
		}
	case StateTrying:
		switch {
		case m.readyToReturn(i):
			z.State, z.Share, z.Probers = StateReturning, shareStep, nil
		case z.WithRegion && w.goodTicks >= goodProbeTicks && age > regionWaitTimeout: // the others of its region stay away
			z.WithRegion = false
		default:
			z.Probers = m.selectProbers(i, all[i], age)
		}
	case StateReturning:
		m.stepReturn(i, z, all[i], short, age)
	}
}

// readyToReturn tells whether a zone on trial answers, and all that are tied to it.
func (m *Machine) readyToReturn(i int) bool {
	for _, j := range append(m.linkedZones(i), i) {
		if m.verdict.Zones[j].State != StateTrying || m.trackers[j].goodTicks < goodProbeTicks {
			return false
		}
	}
	return true
}

// linkedZones are the other zones that were left together with this one.
func (m *Machine) linkedZones(i int) (others []int) {
	if !m.verdict.Zones[i].WithRegion {
		return nil
	}
	for _, j := range m.region(i) {
		if j != i && m.verdict.Zones[j].WithRegion && m.overrides[j].Mode == ModeAuto {
			others = append(others, j)
		}
	}
	return others
}

// region is the zones of a zone's region, itself included.
func (m *Machine) region(i int) []int {
	for _, r := range m.config.Regions {
		if slices.Contains(r, i) {
			return r
		}
	}
	return []int{i}
}

// stepReturn raises a zone's share by one step where the last one has gone well, and lowers it where it has not.
func (m *Machine) stepReturn(i int, z *Zone, o zoneOpinion, short int, age time.Duration) {
	w := &m.trackers[i]
	every := m.config.WarmupTime * shareStep / FullShare
	switch {
	case time.Duration(w.mixedTicks)*TickInterval >= mixedTimeout && age >= mixedTimeout:
		z.Share = max(shareStep, z.Share-shareStep)
		w.mixedTicks = 0
	case age < every:
	case !o.isGood() && o.voters() > 0: // a step waits for evidence of the last one
	case o.voters() == 0 && age < 2*every: // nobody has asked enough to tell: slower, but not for good
	case short > 0 && age < maxRefusalSteps*every:
	default:
		if z.Share = min(FullShare, z.Share+shareStep); z.Share == FullShare {
			z.State, z.WithRegion = StateIn, false
		}
	}
}

// selectProbers are the instances that send a zone on trial a read now and then: those in it, then others, in the order of leaders. As long as none
// is answered it is one alone, another one each second, since it may be the one that is cut off.
func (m *Machine) selectProbers(i int, o zoneOpinion, age time.Duration) (numbers []int) {
	zone := map[int]int{m.config.Number: m.ownZone}
	for _, p := range m.peers {
		zone[p.Number] = p.Zone
	}
	for _, own := range []bool{true, false} {
		for _, n := range m.Leaders() {
			if (zone[n] == i) == own && len(numbers) < maxProbers && (n == m.config.Number || m.hasFreshReport(n)) {
				numbers = append(numbers, n)
			}
			if own && len(numbers) >= maxProbers/2 {
				break
			}
		}
	}
	if len(numbers) > 1 && o.good == 0 && o.pooledJudged == o.pooledBad {
		numbers = []int{numbers[int(age/time.Second)%len(numbers)]}
	}
	return numbers
}

// acknowledged tells whether all that are heard go by the verdict that holds.
func (m *Machine) acknowledged() bool {
	for _, n := range m.freshReporters() {
		if m.reports[n].Epoch < m.verdict.Epoch {
			return false
		}
	}
	return true
}

// markLeaving decides which zones are left now.
func (m *Machine) markLeaving(next *Verdict, all []zoneOpinion) {
	failing := func(i int) bool {
		s := m.verdict.Zones[i].State
		sure := m.trackers[i].badTicks >= confirmTicks || m.trackers[i].badTicks > 0 && all[i].silent && all[i].bad >= minSilentVoters
		return m.overrides[i].Mode == ModeAuto && sure && (s == StateSuspected || s == StateReturning || s == StateIn && next.Zones[i].State == StateSuspected)
	}
	var open, total float64
	well := false // some zone that stays in use
	var left []int
	for i := range next.Zones {
		total += m.capacity[i]
		if next.Zones[i].Share > 0 {
			open += m.capacity[i]
		}
		if s := m.verdict.Zones[i].State; s != StateIn && s != StateSuspected && m.overrides[i].Mode == ModeAuto {
			left = append(left, i)
		}
		switch o := all[i]; {
		case next.Zones[i].Share < FullShare || failing(i):
		case o.isGood():
			well = true
		case o.bad+o.mixed > 0 && m.trackers[i].badTicks+m.trackers[i].mixedTicks < maxUnsettledTicks:
			return // it may be about to fail too: a cause common to all leaves nobody
		}
	}
	if !well {
		return // nothing that is well is left to go to
	}
	var order []int
	for i := range next.Zones {
		if failing(i) {
			order = append(order, i)
		}
	}
	// The most certain first: silent before slow, then by how long it has been seen.
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(-cmp.Compare(boolToInt(all[a].silent), boolToInt(all[b].silent)), -cmp.Compare(m.trackers[a].badTicks, m.trackers[b].badTicks))
	})
	for _, i := range order {
		unit := m.failingGroup(i, failing)
		var cost float64
		done := false
		for _, j := range unit {
			done = done || next.Zones[j].State == StateLeaving
			if next.Zones[j].Share > 0 {
				cost += m.capacity[j]
			}
		}
		// No more than one zone or region at a time, unless it is silent to all.
		others := slices.ContainsFunc(left, func(j int) bool { return !slices.Contains(m.region(i), j) })
		if done || others && !all[i].silent || open-cost < m.config.MinCapacityShare*total {
			continue
		}
		open -= cost
		left = append(left, unit...)
		for _, j := range unit {
			z := &next.Zones[j]
			flaps := z.Flaps
			if m.verdict.Zones[j].State == StateReturning || m.trackers[j].returnedAt > 0 && m.now-m.trackers[j].returnedAt < flapWindow {
				flaps = min(flaps+1, 10)
			}
			*z = Zone{State: StateLeaving, Flaps: flaps}
		}
		if r := m.region(i); len(r) > 1 && !slices.ContainsFunc(r, func(j int) bool { return next.Zones[j].Share > 0 }) {
			for _, j := range r {
				next.Zones[j].WithRegion = m.overrides[j].Mode == ModeAuto
			}
		}
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// failingGroup is what is left together with a zone: its region if all of it that is in use fails, else the zone alone.
func (m *Machine) failingGroup(i int, failing func(int) bool) []int {
	unit := []int{}
	for _, j := range m.region(i) {
		switch {
		case failing(j):
			unit = append(unit, j)
		case m.verdict.Zones[j].Share > 0:
			return []int{i}
		}
	}
	return unit
}

// updateShares lets the share of each zone here follow the verdict and the operators' calls: down at once, up no faster than boxes that may be
// cold bear. As every instance does so for its own part of the traffic, the sum of all does, however many there are.
func (m *Machine) updateShares(now time.Duration) {
	// A verdict and a call that crossed it may have left nothing: then all that is not out by hand is used, at the pace.
	none := !m.anyInUse(nil)
	for i := range m.limiters {
		g, want := &m.limiters[i], float64(m.verdict.Zones[i].Share)/FullShare
		if none || m.ticked && now-m.leaderHeardAt > noLeaderTimeout && m.overrides[i].Mode != ModeHold {
			want = 1
		}
		if m.overrides[i].Mode == ModeOut {
			want = 0
		}
		if want == 0 {
			*g = shareLimiter{zeroAt: now, rampingUp: true}
			continue
		}
		most := 1.0
		if g.rampingUp && m.config.WarmupTime > 0 {
			most = 2.0*shareStep/FullShare + (now-g.zeroAt).Seconds()/m.config.WarmupTime.Seconds()
			g.rampingUp = most < 1
		}
		g.share = min(want, most)
	}
}

// Share is what part of its usual work a zone is to get from this instance now, and whether it is to send it a read now and then while
// that is nothing.
func (m *Machine) Share(zone int) (share float64, trial bool) {
	z := &m.verdict.Zones[zone]
	trial = z.State == StateTrying && m.overrides[zone].Mode == ModeAuto && slices.Contains(z.Probers, m.config.Number)
	return m.limiters[zone].share, trial
}

// Inherit begins with what holds for the others: an instance that starts in the middle of a return takes no larger part than they do.
func (m *Machine) Inherit(now time.Duration, v Verdict, hands []Override) {
	m.leaderHeardAt = now
	m.acceptVerdict(now, v)
	m.MergeOverrides(now, hands)
	for i := range m.limiters {
		if share := float64(m.verdict.Zones[i].Share) / FullShare; share < 1 && share > 0 {
			m.limiters[i] = shareLimiter{share: share, rampingUp: true, zeroAt: now - time.Duration((share-2.0*shareStep/FullShare)*float64(m.config.WarmupTime))}
		}
	}
	m.updateShares(now)
}

// Healthy tells whether all zones are used as usual and this instance sees nothing amiss in any.
func (m *Machine) Healthy() bool {
	for i, z := range m.verdict.Zones {
		if z.State != StateIn || m.limiters[i].share < 1 || i < len(m.ownReport.Zones) && 10*m.ownReport.Zones[i].Bad > m.ownReport.Zones[i].Judged {
			return false
		}
	}
	return true
}

// DebugState is all that is kept of a zone beside the verdict, for checkers that tell states apart.
func (m *Machine) DebugState(zone int) string {
	return fmt.Sprint(m.trackers[zone], m.limiters[zone], m.leaderHeardAt, m.observingSince, m.lastHeard)
}
