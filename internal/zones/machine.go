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
	// lease is how long the first in the order of leaders may be silent before the next acts in its place.
	lease = 500 * time.Millisecond
	// fresh is how old a report may be to count.
	fresh = 700 * time.Millisecond
	// gap between two ticks tells that this instance has stood still: it acts on nothing that it held before.
	gap = time.Second

	leastJudged = 5    // fewer attempts of an instance tell nothing
	badAt       = 0.4  // of an instance's attempts: it calls the zone bad
	badTrim     = 0.25 // of those at all but the worst third of the boxes: it is the zone, not some boxes
	goodAt      = 0.2
	silentAt    = 0.9 // of the bad ones had no answer at all
	leastVoters = 2   // who stands alone leaves for nobody else

	confirm    = 2                // ticks in a row that a zone is bad before it is left
	sureVoters = 3                // that find it silent, with nobody against a third of them: one tick
	settle     = 10               // ticks that a zone in between holds up the decision on another
	clearFor   = time.Second      // without a bad sight ends a suspicion
	ackWait    = time.Second      // for all to say that they have left
	firstOut   = time.Second / 2  // before the first try
	mostOut    = 30 * time.Second // and at the most, for a zone that flaps
	flapFor    = time.Minute      // a zone that fails again within this of its return waits longer
	tryTicks   = 10               // good ones in a row end the trial
	tieFor     = 15 * time.Second // a region's zone that answers waits for the others no longer
	stepUp     = 10               // hundredths of a zone's work
	shortFor   = 3                // steps' time that a shortage of the origin may hold a step up
	mixedFor   = time.Second      // neither good nor bad for this long is worse
	aloneFor   = 5 * time.Second  // without a leader that has a quorum: each decides for itself, as without the fleet
	slack      = 0.8              // of Config.Least, where a verdict is checked: lists differ for a moment
)

// Peer is another instance, as membership knows it.
type Peer struct {
	Number int
	Zone   int
	Alive  bool // else it was there lately, and has not said that it leaves
}

// Machine is one instance's part in the fleet's decision. It is not safe for concurrent use.
type Machine struct {
	c        Config
	own      int // this instance's zone
	peers    []Peer
	capacity []float64
	reports  map[int]*held
	heard    map[int]time.Duration // by the numbers of those that may lead: when they last said anything
	v        Verdict
	hands    []Override
	zones    []watched
	began    bool
	now      time.Duration
	startAt  time.Duration
	ledAt    time.Duration // when a leader with a quorum was last heard
	told     Report        // this instance's own
	// governed is the share that each zone gets here, which never rises faster than boxes that may be cold bear, whatever is told.
	governed []governor
	changes  []Change
}

type held struct {
	Report
	at time.Duration
}

// watched is what a leader keeps of a zone beside the verdict. One that takes over begins anew with it, which can only delay a step.
type watched struct {
	since    time.Duration // of the state or step, as known here
	bad      int           // ticks in a row
	good     int
	mixed    int
	badAt    time.Duration // last
	returned time.Duration // when it was last whole again
}

type governor struct {
	share  float64 // now
	zeroAt time.Duration
	rising bool
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
	m := &Machine{c: c, own: own, reports: map[int]*held{}, heard: map[int]time.Duration{}, hands: make([]Override, n),
		zones: make([]watched, n), governed: make([]governor, n), capacity: make([]float64, n)}
	m.v.Zones = make([]Zone, n)
	for i := range m.v.Zones {
		m.v.Zones[i].Share, m.governed[i].share, m.capacity[i] = FullShare, 1, 1
	}
	return m
}

// SetPeers takes over who else there is.
func (m *Machine) SetPeers(peers []Peer) { m.peers = slices.Clone(peers) }

// SetCapacity takes over what each zone can do, relative to the others.
func (m *Machine) SetCapacity(c []float64) { copy(m.capacity, c) }

// Verdict is what holds as far as this instance knows.
func (m *Machine) Verdict() Verdict { return m.v.clone() }

// Overrides are the operators' latest calls.
func (m *Machine) Overrides() []Override { return slices.Clone(m.hands) }

// Changes are those since it was last asked.
func (m *Machine) Changes() (c []Change) {
	c, m.changes = m.changes, nil
	return c
}

// OwnReport is this instance's latest report.
func (m *Machine) OwnReport() Report { return m.told }

// PeerReports is what the others last told, by number, as far as it is fresh.
func (m *Machine) PeerReports() (all []Report) {
	for _, n := range m.sortedReports() {
		all = append(all, m.reports[n].Report)
	}
	return all
}

// reporting tells whether another instance is heard: its latest report still counts.
func (m *Machine) reporting(number int) bool {
	r := m.reports[number]
	return r != nil && m.now-r.at <= fresh
}

func (m *Machine) sortedReports() (numbers []int) {
	for n := range m.reports {
		if m.reporting(n) {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// Leaders is the order in which instances lead: the first of each zone, then the second of each, so that no zone takes all of them with it.
func (m *Machine) Leaders() (numbers []int) {
	all := append(slices.Clone(m.peers), Peer{Number: m.c.Number, Zone: m.own, Alive: true})
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
	if r.Number == m.c.Number || len(r.Zones) != len(m.zones) {
		return
	}
	old := m.reports[r.Number]
	if old != nil && r.stale(&old.Report) || !m.knows(r.Number) {
		return
	}
	m.reports[r.Number] = &held{r, now}
	m.heard[r.Number] = now
}

// ReceiveVerdict takes a verdict that another instance has told, which was decided by it, if it leads, or by another one. It tells
// whether that is news.
func (m *Machine) ReceiveVerdict(now time.Duration, from int, v Verdict, leads bool) (news bool) {
	if !m.knows(from) {
		return false
	}
	m.heard[from] = now
	if leads {
		m.ledAt = now
	}
	return m.take(now, v)
}

// knows tells whether a number is another instance's that lives.
func (m *Machine) knows(number int) bool {
	return slices.ContainsFunc(m.peers, func(p Peer) bool { return p.Number == number && p.Alive })
}

func (m *Machine) take(now time.Duration, v Verdict) (news bool) {
	if !v.newer(&m.v) || !m.sound(&v) {
		return false
	}
	m.adopt(now, v.clone())
	return true
}

// sound tells whether a verdict keeps the bounds, which hold whoever decided it: it closes no zone where too little would stay open.
func (m *Machine) sound(v *Verdict) bool {
	if len(v.Zones) != len(m.zones) || v.Epoch > m.v.Epoch+1<<32 {
		return false
	}
	var open, all float64
	closes := false
	for i, z := range v.Zones {
		if z.State >= states || z.Share > FullShare || (z.State == StateIn || z.State == StateSuspected) != (z.Share == FullShare) {
			return false
		}
		all += m.capacity[i]
		if z.Share > 0 || m.hands[i].Mode == ModeOut {
			open += m.capacity[i]
		} else if m.v.Zones[i].Share > 0 {
			closes = true
		}
	}
	return !closes || open >= slack*m.c.MinCapacityShare*all
}

func (m *Machine) adopt(now time.Duration, v Verdict) {
	for i := range v.Zones {
		was := m.v.Zones[i]
		if was.State == v.Zones[i].State && was.Share == v.Zones[i].Share {
			continue
		}
		w := &m.zones[i]
		if v.Zones[i].State == StateIn && was.State == StateReturning {
			w.returned = now
		}
		w.since, w.good, w.mixed = now, 0, 0
		if v.Zones[i].State != StateSuspected && v.Zones[i].State != StateLeaving {
			w.bad = 0
		}
		m.changes = append(m.changes[max(0, len(m.changes)-256):], Change{i, was, v.Zones[i], v.Epoch, v.DecidedBy})
	}
	m.v = v
}

// ErrNoZoneLeft tells that a call would have left nothing in use.
var ErrNoZoneLeft = errors.New("zones: no other zone is in use; bring one back first")

// SetOverride takes an operator's call at this instance, for a zone or all of a region.
func (m *Machine) SetOverride(now time.Duration, h Override, zones ...int) error {
	if h.Mode == ModeOut && !m.anyUsed(zones) {
		return ErrNoZoneLeft
	}
	h.ReceivedBy = m.c.Number
	for _, z := range zones {
		stamped := h
		stamped.TimestampMS = max(h.TimestampMS, m.hands[z].TimestampMS+1) // a clock that was put back must not lose a call
		m.hands[z] = stamped
	}
	m.govern(now)
	return nil
}

// anyUsed tells whether a zone is in use, beside some: as the verdict and the operators have it.
func (m *Machine) anyUsed(beside []int) bool {
	for i, z := range m.v.Zones {
		if z.Share > 0 && m.hands[i].Mode != ModeOut && !slices.Contains(beside, i) {
			return true
		}
	}
	return false
}

// MergeOverrides takes operators' calls that another instance has told. It tells whether any is news.
func (m *Machine) MergeOverrides(now time.Duration, hands []Override) (news bool) {
	if len(hands) != len(m.hands) {
		return false
	}
	for i, h := range hands {
		if h.Mode < modes && len(h.Requester) <= MaxRequesterLen && h.after(m.hands[i]) {
			m.hands[i], news = h, true
		}
	}
	if news {
		m.govern(now)
	}
	return news
}

// Tick does what is due. sights and short are this instance's own, by its Meter. It tells whether this instance leads with a quorum, and whether it has
// stood still, and so has to forget what it saw.
func (m *Machine) Tick(now time.Duration, sights []ZoneStats, short int) (leads, paused bool) {
	if !m.began {
		m.began, m.startAt, m.now, m.ledAt = true, now, now, max(m.ledAt, now)
	}
	if now-m.now > gap {
		paused = true
		m.startAt = now // it leads nobody until it has had time to hear of others
		clear(m.reports)
		for i := range m.zones {
			m.zones[i].bad, m.zones[i].good, m.zones[i].mixed = 0, 0, 0
		}
		sights, short = make([]ZoneStats, len(m.zones)), 0
	}
	m.now = now
	m.told = Report{Number: m.c.Number, StartedAtMS: m.c.StartedAtMS, Seq: m.told.Seq + 1, Epoch: m.v.Epoch, OriginRefusals: short, Zones: slices.Clone(sights)}
	maps.DeleteFunc(m.reports, func(n int, _ *held) bool { return !m.knows(n) })
	maps.DeleteFunc(m.heard, func(n int, _ time.Duration) bool { return !m.knows(n) })
	if leads = m.leads() && m.quorum(); leads {
		m.ledAt = now
		m.decide()
	}
	m.govern(now)
	return leads, paused
}

// leads tells whether this instance acts for all: each before it in the order has been silent for a lease, and it has had time to hear them.
func (m *Machine) leads() bool {
	if len(m.peers) == 0 || m.now-m.startAt < lease {
		return false
	}
	for _, n := range m.Leaders() {
		if n == m.c.Number {
			return true
		}
		if at, ok := m.heard[n]; ok && m.now-at <= lease {
			return false
		}
	}
	return false
}

// quorum tells whether more than half of those that were there lately are heard: a side of a partition that has not leaves nobody and
// raises nobody. Of two equal halves, the one with the lowest number has it.
func (m *Machine) quorum() bool {
	here, lowest := 1, m.c.Number
	lowestHere := true
	for _, p := range m.peers {
		ok := m.reporting(p.Number)
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

// opinion is what is thought of a zone.
type opinion struct {
	bad, good, mixed int // instances
	silent           bool
	judged, failed   int // of those that have too few attempts for an opinion of their own
}

func (o opinion) voters() int { return o.bad + o.good + o.mixed }

// isBad tells whether those that have an opinion agree that the zone fails; one alone convinces nobody, and so does a third.
func (o opinion) isBad() bool {
	return o.voters() >= leastVoters && o.bad >= leastVoters && 3*o.bad >= 2*o.voters()
}

// isGood tells whether most of those that have an opinion find nothing wrong.
func (o opinion) isGood() bool { return o.good > 0 && 3*o.good >= 2*o.voters() }

func (s ZoneStats) call() (bad, good, some bool) {
	if s.Judged < leastJudged || s.Bad > s.Judged || s.TrimmedBad > s.TrimmedJudged || s.TrimmedJudged > s.Judged {
		return false, false, false // nothing, or counts that can't be
	}
	part := float64(s.Bad) / float64(s.Judged)
	if s.RecentUnanswered >= leastJudged && s.RecentUnanswered <= s.Judged {
		return s.TrimmedJudged == 0 || s.TrimmedBad > 0, false, true // more than the worst third of the boxes are
	}
	if part <= goodAt {
		return false, true, true
	}
	return part >= badAt && (s.TrimmedJudged == 0 || float64(s.TrimmedBad) >= badTrim*float64(s.TrimmedJudged)), false, true
}

func (m *Machine) opinions() (all []opinion, short int) {
	all = make([]opinion, len(m.zones))
	silents := make([]int, len(m.zones)) // of the bad ones
	take := func(r *Report) {
		if r.OriginRefusals > 0 {
			short++
		}
		for i, s := range r.Zones {
			bad, good, some := s.call()
			o := &all[i]
			switch {
			case bad:
				o.bad++
				if float64(s.Silent) >= silentAt*float64(s.Bad) {
					silents[i]++
				}
			case good:
				o.good++
			case some:
				o.mixed++
			case s.Bad <= s.Judged:
				o.judged, o.failed = o.judged+min(s.Judged, leastJudged), o.failed+min(s.Bad, leastJudged)
			}
		}
	}
	take(&m.told)
	for _, n := range m.sortedReports() {
		take(&m.reports[n].Report)
	}
	for i := range all {
		o := &all[i]
		o.silent = o.bad > 0 && silents[i] == o.bad
		// A zone that was left gets few attempts, and has been found bad before: all of them together tell.
		if s := m.v.Zones[i].State; (s == StateTrying || s == StateReturning) && o.voters() < leastVoters && o.judged >= leastJudged {
			switch part := float64(o.failed) / float64(o.judged); {
			case part <= goodAt:
				o.good += leastVoters
			case part >= badAt:
				o.bad += leastVoters
			default:
				o.mixed += leastVoters
			}
		}
	}
	return all, short
}

// decide is the leader's: one look at all zones, and a new epoch if anything changes.
func (m *Machine) decide() {
	all, short := m.opinions()
	next := m.v.clone()
	for i := range next.Zones {
		w, o := &m.zones[i], all[i]
		w.bad, w.good, w.mixed = count(w.bad, o.isBad()), count(w.good, o.isGood()), count(w.mixed, !o.isBad() && !o.isGood() && o.voters() > 0)
		if o.isBad() {
			w.badAt = m.now
		}
	}
	for i := range next.Zones {
		m.step(i, &next, all, short)
	}
	m.leave(&next, all)
	if !same(&next, &m.v) {
		next.Epoch, next.DecidedBy = m.v.Epoch+1, m.c.Number
		m.adopt(m.now, next)
		m.told.Epoch = next.Epoch
	}
}

func count(n int, more bool) int {
	if !more {
		return 0
	}
	return min(n+1, 1<<20)
}

func same(a, b *Verdict) bool {
	return slices.EqualFunc(a.Zones, b.Zones, func(x, y Zone) bool {
		return x.State == y.State && x.Share == y.Share && x.Flaps == y.Flaps && x.WithRegion == y.WithRegion && slices.Equal(x.Probers, y.Probers)
	})
}

// step moves one zone on, but for the decision to leave it.
func (m *Machine) step(i int, next *Verdict, all []opinion, short int) {
	z, w, was := &next.Zones[i], &m.zones[i], m.v.Zones[i]
	age := m.now - w.since
	switch h := m.hands[i]; {
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
		if z.Flaps > 0 && m.now-w.returned > flapFor {
			z.Flaps = 0
		}
		if all[i].isBad() {
			z.State = StateSuspected
		}
	case StateSuspected:
		if m.now-w.badAt > clearFor {
			z.State = StateIn
		}
	case StateLeaving:
		if age >= ackWait || m.acknowledged() {
			z.State = StateOut
		}
	case StateOut:
		if age >= min(mostOut, firstOut<<min(z.Flaps, 10)) {
			z.State, z.Probers = StateTrying, m.triers(i, all[i], 0)
		}
	case StateTrying:
		switch {
		case m.ready(i):
			z.State, z.Share, z.Probers = StateReturning, stepUp, nil
		case z.WithRegion && w.good >= tryTicks && age > tieFor: // the others of its region stay away
			z.WithRegion = false
		default:
			z.Probers = m.triers(i, all[i], age)
		}
	case StateReturning:
		m.stepReturn(i, z, all[i], short, age)
	}
}

// ready tells whether a zone on trial answers, and all that are tied to it.
func (m *Machine) ready(i int) bool {
	for _, j := range append(m.tied(i), i) {
		if m.v.Zones[j].State != StateTrying || m.zones[j].good < tryTicks {
			return false
		}
	}
	return true
}

// tied are the other zones that were left together with this one.
func (m *Machine) tied(i int) (others []int) {
	if !m.v.Zones[i].WithRegion {
		return nil
	}
	for _, j := range m.region(i) {
		if j != i && m.v.Zones[j].WithRegion && m.hands[j].Mode == ModeAuto {
			others = append(others, j)
		}
	}
	return others
}

// region is the zones of a zone's region, itself included.
func (m *Machine) region(i int) []int {
	for _, r := range m.c.Regions {
		if slices.Contains(r, i) {
			return r
		}
	}
	return []int{i}
}

// stepReturn raises a zone's share by one step where the last one has gone well, and lowers it where it has not.
func (m *Machine) stepReturn(i int, z *Zone, o opinion, short int, age time.Duration) {
	w := &m.zones[i]
	every := m.c.WarmupTime * stepUp / FullShare
	switch {
	case time.Duration(w.mixed)*TickInterval >= mixedFor && age >= mixedFor:
		z.Share = max(stepUp, z.Share-stepUp)
		w.mixed = 0
	case age < every:
	case !o.isGood() && o.voters() > 0: // a step waits for evidence of the last one
	case o.voters() == 0 && age < 2*every: // nobody has asked enough to tell: slower, but not for good
	case short > 0 && age < shortFor*every:
	default:
		if z.Share = min(FullShare, z.Share+stepUp); z.Share == FullShare {
			z.State, z.WithRegion = StateIn, false
		}
	}
}

// triers are the instances that send a zone on trial a read now and then: those in it, then others, in the order of leaders. As long as none
// is answered it is one alone, another one each second, since it may be the one that is cut off.
func (m *Machine) triers(i int, o opinion, age time.Duration) (numbers []int) {
	zone := map[int]int{m.c.Number: m.own}
	for _, p := range m.peers {
		zone[p.Number] = p.Zone
	}
	for _, own := range []bool{true, false} {
		for _, n := range m.Leaders() {
			if (zone[n] == i) == own && len(numbers) < maxTriers && (n == m.c.Number || m.reporting(n)) {
				numbers = append(numbers, n)
			}
			if own && len(numbers) >= maxTriers/2 {
				break
			}
		}
	}
	if len(numbers) > 1 && o.good == 0 && o.judged == o.failed {
		numbers = []int{numbers[int(age/time.Second)%len(numbers)]}
	}
	return numbers
}

// acknowledged tells whether all that are heard go by the verdict that holds.
func (m *Machine) acknowledged() bool {
	for _, n := range m.sortedReports() {
		if m.reports[n].Epoch < m.v.Epoch {
			return false
		}
	}
	return true
}

// leave decides which zones are left now.
func (m *Machine) leave(next *Verdict, all []opinion) {
	failing := func(i int) bool {
		s := m.v.Zones[i].State
		sure := m.zones[i].bad >= confirm || m.zones[i].bad > 0 && all[i].silent && all[i].bad >= sureVoters
		return m.hands[i].Mode == ModeAuto && sure && (s == StateSuspected || s == StateReturning || s == StateIn && next.Zones[i].State == StateSuspected)
	}
	var open, total float64
	well := false // some zone that stays in use
	var left []int
	for i := range next.Zones {
		total += m.capacity[i]
		if next.Zones[i].Share > 0 {
			open += m.capacity[i]
		}
		if s := m.v.Zones[i].State; s != StateIn && s != StateSuspected && m.hands[i].Mode == ModeAuto {
			left = append(left, i)
		}
		switch o := all[i]; {
		case next.Zones[i].Share < FullShare || failing(i):
		case o.isGood():
			well = true
		case o.bad+o.mixed > 0 && m.zones[i].bad+m.zones[i].mixed < settle:
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
		return cmp.Or(-cmp.Compare(b2i(all[a].silent), b2i(all[b].silent)), -cmp.Compare(m.zones[a].bad, m.zones[b].bad))
	})
	for _, i := range order {
		unit := m.unit(i, failing)
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
		if done || others && !all[i].silent || open-cost < m.c.MinCapacityShare*total {
			continue
		}
		open -= cost
		left = append(left, unit...)
		for _, j := range unit {
			z := &next.Zones[j]
			flaps := z.Flaps
			if m.v.Zones[j].State == StateReturning || m.zones[j].returned > 0 && m.now-m.zones[j].returned < flapFor {
				flaps = min(flaps+1, 10)
			}
			*z = Zone{State: StateLeaving, Flaps: flaps}
		}
		if r := m.region(i); len(r) > 1 && !slices.ContainsFunc(r, func(j int) bool { return next.Zones[j].Share > 0 }) {
			for _, j := range r {
				next.Zones[j].WithRegion = m.hands[j].Mode == ModeAuto
			}
		}
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

// unit is what is left together with a zone: its region if all of it that is in use fails, else the zone alone.
func (m *Machine) unit(i int, failing func(int) bool) []int {
	unit := []int{}
	for _, j := range m.region(i) {
		switch {
		case failing(j):
			unit = append(unit, j)
		case m.v.Zones[j].Share > 0:
			return []int{i}
		}
	}
	return unit
}

// govern lets the share of each zone here follow the verdict and the operators' calls: down at once, up no faster than boxes that may be
// cold bear. As every instance does so for its own part of the traffic, the sum of all does, however many there are.
func (m *Machine) govern(now time.Duration) {
	// A verdict and a call that crossed it may have left nothing: then all that is not out by hand is used, at the pace.
	none := !m.anyUsed(nil)
	for i := range m.governed {
		g, want := &m.governed[i], float64(m.v.Zones[i].Share)/FullShare
		if none || m.began && now-m.ledAt > aloneFor && m.hands[i].Mode != ModeHold {
			want = 1
		}
		if m.hands[i].Mode == ModeOut {
			want = 0
		}
		if want == 0 {
			*g = governor{zeroAt: now, rising: true}
			continue
		}
		most := 1.0
		if g.rising && m.c.WarmupTime > 0 {
			most = 2.0*stepUp/FullShare + (now-g.zeroAt).Seconds()/m.c.WarmupTime.Seconds()
			g.rising = most < 1
		}
		g.share = min(want, most)
	}
}

// Share is what part of its usual work a zone is to get from this instance now, and whether it is to send it a read now and then while
// that is nothing.
func (m *Machine) Share(zone int) (share float64, trial bool) {
	z := &m.v.Zones[zone]
	trial = z.State == StateTrying && m.hands[zone].Mode == ModeAuto && slices.Contains(z.Probers, m.c.Number)
	return m.governed[zone].share, trial
}

// Inherit begins with what holds for the others: an instance that starts in the middle of a return takes no larger part than they do.
func (m *Machine) Inherit(now time.Duration, v Verdict, hands []Override) {
	m.ledAt = now
	m.take(now, v)
	m.MergeOverrides(now, hands)
	for i := range m.governed {
		if share := float64(m.v.Zones[i].Share) / FullShare; share < 1 && share > 0 {
			m.governed[i] = governor{share: share, rising: true, zeroAt: now - time.Duration((share-2.0*stepUp/FullShare)*float64(m.c.WarmupTime))}
		}
	}
	m.govern(now)
}

// Healthy tells whether all zones are used as usual and this instance sees nothing amiss in any.
func (m *Machine) Healthy() bool {
	for i, z := range m.v.Zones {
		if z.State != StateIn || m.governed[i].share < 1 || i < len(m.told.Zones) && 10*m.told.Zones[i].Bad > m.told.Zones[i].Judged {
			return false
		}
	}
	return true
}

// DebugState is all that is kept of a zone beside the verdict, for checkers that tell states apart.
func (m *Machine) DebugState(zone int) string {
	return fmt.Sprint(m.zones[zone], m.governed[zone], m.ledAt, m.startAt, m.heard)
}
