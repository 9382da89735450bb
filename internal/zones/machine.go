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
	// TickInterval is how often an instance reports what it observes, and a leader sends the verdict.
	TickInterval = 50 * time.Millisecond
	// leaderLease is how long the first instance in the leader order may be silent before the next one
	// leads.
	leaderLease = 500 * time.Millisecond
	// reportMaxAge is the age up to which a report counts.
	reportMaxAge = 700 * time.Millisecond
	// pauseThreshold is the time between two ticks above which this process is taken to have been
	// suspended. It then discards all earlier observations.
	pauseThreshold = time.Second

	minJudged       = 5    // fewer judged attempts at an instance give it no vote
	badRatio        = 0.4  // share of bad attempts from which an instance votes a zone bad
	trimmedBadRatio = 0.25 // the same without the worst third of the nodes: the zone is at fault, not a few nodes
	goodRatio       = 0.2  // share of bad attempts up to which an instance votes a zone good
	silentRatio     = 0.9  // share of the bad attempts that had no answer at all
	minVoters       = 2    // a single instance never gets a zone taken out of use for the others

	confirmTicks      = 2                // consecutive bad ticks before a zone is left
	minSilentVoters   = 3                // bad votes, all of them for silence, with which one bad tick is enough
	maxUnsettledTicks = 10               // ticks for which a zone that is neither good nor bad delays leaving another
	suspicionTimeout  = time.Second      // time without a bad tick that ends a suspicion
	ackTimeout        = time.Second      // time for all instances to confirm that they have left a zone
	minOutTime        = time.Second / 2  // time out of use before the first probes, doubled by each flap
	maxOutTime        = 30 * time.Second // upper bound of that time for a flapping zone
	flapWindow        = time.Minute      // a zone that fails again within this time of its return stays out longer
	goodProbeTicks    = 10               // consecutive good ticks that end probing
	regionWaitTimeout = 15 * time.Second // longest time for which a zone that answers waits for the rest of its region
	shareStep         = 10               // in hundredths of a zone's usual load
	maxRefusalSteps   = 3                // step durations after which a step is due in spite of refusals at the origin
	mixedTimeout      = time.Second      // mixed results for this long lower the share
	// noLeaderTimeout is the time without a leader with a quorum after which all zones are used, as without
	// [zones].
	noLeaderTimeout   = 5 * time.Second
	capacityTolerance = 0.8 // factor on MinCapacityShare when checking a verdict: member lists may differ
)

// Peer is another instance in the membership list.
type Peer struct {
	Number int
	Zone   int
	Alive  bool // false: seen recently, and has not announced its shutdown
}

// Machine is one instance's part in the decision that all instances share. It is not safe for concurrent
// use.
type Machine struct {
	config         Config
	ownZone        int
	peers          []Peer
	capacity       []float64
	reports        map[int]*receivedReport
	lastHeard      map[int]time.Duration // by instance number: when its last message arrived
	verdict        Verdict
	overrides      []Override
	trackers       []zoneTracker
	ticked         bool
	now            time.Duration
	observingSince time.Duration
	leaderHeardAt  time.Duration // when a leader with a quorum was last heard
	ownReport      Report
	// limiters limit the share of each zone at this instance. A share never rises faster than cold cache
	// nodes can take load, whatever verdicts arrive.
	limiters []shareLimiter
	changes  []Change
}

type receivedReport struct {
	Report
	receivedAt time.Duration
}

// zoneTracker is the leader's state of a zone in addition to the verdict. A new leader starts with an
// empty one, which can only delay a step.
type zoneTracker struct {
	since      time.Duration // start of the state or step, as seen here
	badTicks   int           // consecutive ticks, as are the next two
	goodTicks  int
	mixedTicks int
	lastBadAt  time.Duration
	returnedAt time.Duration // when the zone last got back its full share
}

type shareLimiter struct {
	share     float64 // current share
	zeroAt    time.Duration
	rampingUp bool
}

// Change is a change of a zone's state or share, for the log.
type Change struct {
	Zone      int
	From      Zone
	To        Zone
	Epoch     uint64
	DecidedBy int
}

// New returns a Machine for a configuration that has passed Check.
func New(c Config, ownZone int) *Machine {
	n := len(c.Zones)
	m := &Machine{config: c, ownZone: ownZone, reports: map[int]*receivedReport{}, lastHeard: map[int]time.Duration{}, overrides: make([]Override, n),
		trackers: make([]zoneTracker, n), limiters: make([]shareLimiter, n), capacity: make([]float64, n)}
	m.verdict.Zones = make([]Zone, n)
	for i := range m.verdict.Zones {
		m.verdict.Zones[i].Share, m.limiters[i].share, m.capacity[i] = FullShare, 1, 1
	}
	return m
}

// SetPeers replaces the list of other instances.
func (m *Machine) SetPeers(peers []Peer) { m.peers = slices.Clone(peers) }

// SetCapacity sets the capacity of each zone, relative to the others.
func (m *Machine) SetCapacity(c []float64) { copy(m.capacity, c) }

// Verdict returns the verdict in force at this instance.
func (m *Machine) Verdict() Verdict { return m.verdict.clone() }

// Overrides returns the operators' latest overrides, by zone.
func (m *Machine) Overrides() []Override { return slices.Clone(m.overrides) }

// Changes returns the changes since the previous call.
func (m *Machine) Changes() (c []Change) {
	c, m.changes = m.changes, nil
	return c
}

// OwnReport returns this instance's latest report.
func (m *Machine) OwnReport() Report { return m.ownReport }

// PeerReports returns the fresh reports of the other instances, ordered by instance number.
func (m *Machine) PeerReports() (all []Report) {
	for _, n := range m.freshReporters() {
		all = append(all, m.reports[n].Report)
	}
	return all
}

// hasFreshReport reports whether another instance's latest report still counts.
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

// Leaders returns the instance numbers in leader order: the first instance of each zone, then the second
// of each, so that the loss of one zone does not take out all of the next leaders.
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

// ReceiveReport stores a report of another instance.
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

// ReceiveVerdict takes a verdict from another instance, which decided it if fromLeader is set, and
// forwards it otherwise. It reports whether the verdict was new.
func (m *Machine) ReceiveVerdict(now time.Duration, from int, v Verdict, fromLeader bool) (isNew bool) {
	if !m.isLivePeer(from) {
		return false
	}
	m.lastHeard[from] = now
	if fromLeader {
		m.leaderHeardAt = now
	}
	return m.acceptVerdict(now, v)
}

// isLivePeer reports whether the number belongs to another instance that is alive.
func (m *Machine) isLivePeer(number int) bool {
	return slices.ContainsFunc(m.peers, func(p Peer) bool { return p.Number == number && p.Alive })
}

func (m *Machine) acceptVerdict(now time.Duration, v Verdict) (isNew bool) {
	if !v.newer(&m.verdict) || !m.withinBounds(&v) {
		return false
	}
	m.adopt(now, v.clone())
	return true
}

// withinBounds reports whether a verdict keeps the bounds that hold whichever instance decided it. In
// particular, it may not take a zone out of use if too little capacity would stay in use.
func (m *Machine) withinBounds(v *Verdict) bool {
	if len(v.Zones) != len(m.trackers) || v.Epoch > m.verdict.Epoch+1<<32 {
		return false
	}
	var capacityInUse, total float64
	takesZoneOut := false
	for i, z := range v.Zones {
		if z.State >= states || z.Share > FullShare || (z.State == StateIn || z.State == StateSuspected) != (z.Share == FullShare) {
			return false
		}
		total += m.capacity[i]
		if z.Share > 0 || m.overrides[i].Mode == ModeOut {
			capacityInUse += m.capacity[i]
		} else if m.verdict.Zones[i].Share > 0 {
			takesZoneOut = true
		}
	}
	return !takesZoneOut || capacityInUse >= capacityTolerance*m.config.MinCapacityShare*total
}

func (m *Machine) adopt(now time.Duration, v Verdict) {
	for i := range v.Zones {
		previous := m.verdict.Zones[i]
		if previous.State == v.Zones[i].State && previous.Share == v.Zones[i].Share {
			continue
		}
		tracker := &m.trackers[i]
		if v.Zones[i].State == StateIn && previous.State == StateReturning {
			tracker.returnedAt = now
		}
		tracker.since, tracker.goodTicks, tracker.mixedTicks = now, 0, 0
		if v.Zones[i].State != StateSuspected && v.Zones[i].State != StateLeaving {
			tracker.badTicks = 0
		}
		m.changes = append(m.changes[max(0, len(m.changes)-256):], Change{i, previous, v.Zones[i], v.Epoch, v.DecidedBy})
	}
	m.verdict = v
}

// ErrNoZoneLeft is returned for an override that would leave no zone in use.
var ErrNoZoneLeft = errors.New("zones: no other zone is in use; bring one back first")

// SetOverride applies an operator's override at this instance, to one zone or all zones of a region.
func (m *Machine) SetOverride(now time.Duration, override Override, zones ...int) error {
	if override.Mode == ModeOut && !m.anyInUse(zones) {
		return ErrNoZoneLeft
	}
	override.ReceivedBy = m.config.Number
	for _, z := range zones {
		stamped := override
		// A clock that was set back must not lose an override.
		stamped.TimestampMS = max(override.TimestampMS, m.overrides[z].TimestampMS+1)
		m.overrides[z] = stamped
	}
	m.updateShares(now)
	return nil
}

// anyInUse reports whether any zone except those listed is in use, according to the verdict and the
// overrides.
func (m *Machine) anyInUse(except []int) bool {
	for i, z := range m.verdict.Zones {
		if z.Share > 0 && m.overrides[i].Mode != ModeOut && !slices.Contains(except, i) {
			return true
		}
	}
	return false
}

// MergeOverrides merges overrides from another instance. It reports whether any of them was new.
func (m *Machine) MergeOverrides(now time.Duration, overrides []Override) (isNew bool) {
	if len(overrides) != len(m.overrides) {
		return false
	}
	for i, override := range overrides {
		if override.Mode < modes && len(override.Requester) <= MaxRequesterLen && override.supersedes(m.overrides[i]) {
			m.overrides[i], isNew = override, true
		}
	}
	if isNew {
		m.updateShares(now)
	}
	return isNew
}

// Tick performs the periodic work. The statistics and the number of requests refused at the origin are
// this instance's own, from its Meter. It reports whether this instance leads with a quorum, and whether
// the process was suspended, so that the caller has to reset its Meter.
func (m *Machine) Tick(now time.Duration, stats []ZoneStats, originRefusals int) (leads, paused bool) {
	if !m.ticked {
		m.ticked, m.observingSince, m.now, m.leaderHeardAt = true, now, now, max(m.leaderHeardAt, now)
	}
	if now-m.now > pauseThreshold {
		paused = true
		m.observingSince = now // it does not lead until it has had time to hear from the others
		clear(m.reports)
		for i := range m.trackers {
			m.trackers[i].badTicks, m.trackers[i].goodTicks, m.trackers[i].mixedTicks = 0, 0, 0
		}
		stats, originRefusals = make([]ZoneStats, len(m.trackers)), 0
	}
	m.now = now
	m.ownReport = Report{Number: m.config.Number, StartedAtMS: m.config.StartedAtMS, Seq: m.ownReport.Seq + 1, Epoch: m.verdict.Epoch, OriginRefusals: originRefusals, Zones: slices.Clone(stats)}
	maps.DeleteFunc(m.reports, func(n int, _ *receivedReport) bool { return !m.isLivePeer(n) })
	maps.DeleteFunc(m.lastHeard, func(n int, _ time.Duration) bool { return !m.isLivePeer(n) })
	if leads = m.isLeader() && m.hasQuorum(); leads {
		m.leaderHeardAt = now
		m.decide()
	}
	m.updateShares(now)
	return leads, paused
}

// isLeader reports whether this instance leads: every instance before it in the leader order has been
// silent for leaderLease, and this one has had time to hear from them.
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

// hasQuorum reports whether this instance and those with fresh reports are more than half of the instances
// that were recently present. A side of a partition without a quorum takes no zone out of use and raises
// no share. Of two equal halves, the one with the lowest instance number has the quorum.
func (m *Machine) hasQuorum() bool {
	present, lowest := 1, m.config.Number
	lowestPresent := true
	for _, p := range m.peers {
		ok := m.hasFreshReport(p.Number)
		if ok {
			present++
		}
		if p.Number < lowest {
			lowest, lowestPresent = p.Number, ok
		}
	}
	total := len(m.peers) + 1
	return 2*present > total || 2*present == total && lowestPresent
}

// zoneOpinion sums up what the instances observe of a zone.
type zoneOpinion struct {
	bad, good, mixed        int // number of instances
	silent                  bool
	pooledJudged, pooledBad int // attempts of the instances that have too few for a vote of their own
}

func (o zoneOpinion) voters() int { return o.bad + o.good + o.mixed }

// isBad reports whether at least two thirds of the voters find the zone bad. One voter is never enough.
func (o zoneOpinion) isBad() bool {
	return o.voters() >= minVoters && o.bad >= minVoters && 3*o.bad >= 2*o.voters()
}

// isGood reports whether at least two thirds of the voters find the zone good.
func (o zoneOpinion) isGood() bool { return o.good > 0 && 3*o.good >= 2*o.voters() }

// classify returns the instance's vote on the zone. hasVote is false if there are too few attempts for a
// vote. If only hasVote is true, the vote is that the results are mixed.
func (s ZoneStats) classify() (bad, good, hasVote bool) {
	if s.Judged < minJudged || s.Bad > s.Judged || s.TrimmedBad > s.TrimmedJudged || s.TrimmedJudged > s.Judged {
		return false, false, false // too few attempts, or inconsistent counts
	}
	badShare := float64(s.Bad) / float64(s.Judged)
	// Hardly any recent attempt was answered, which makes the zone bad before the share of bad attempts in
	// the whole window does.
	if s.RecentUnanswered >= minJudged && s.RecentUnanswered <= s.Judged {
		return s.TrimmedJudged == 0 || s.TrimmedBad > 0, false, true // failures beyond the worst third of the nodes
	}
	if badShare <= goodRatio {
		return false, true, true
	}
	return badShare >= badRatio && (s.TrimmedJudged == 0 || float64(s.TrimmedBad) >= trimmedBadRatio*float64(s.TrimmedJudged)), false, true
}

// opinions combines the fresh reports by zone, and counts the instances that report refusals at the
// origin.
func (m *Machine) opinions() (all []zoneOpinion, refusingInstances int) {
	all = make([]zoneOpinion, len(m.trackers))
	silentVotes := make([]int, len(m.trackers)) // number of bad votes that report silence
	addReport := func(r *Report) {
		if r.OriginRefusals > 0 {
			refusingInstances++
		}
		for i, s := range r.Zones {
			bad, good, hasVote := s.classify()
			o := &all[i]
			switch {
			case bad:
				o.bad++
				if float64(s.Silent) >= silentRatio*float64(s.Bad) {
					silentVotes[i]++
				}
			case good:
				o.good++
			case hasVote:
				o.mixed++
			case s.Bad <= s.Judged:
				o.pooledJudged, o.pooledBad = o.pooledJudged+min(s.Judged, minJudged), o.pooledBad+min(s.Bad, minJudged)
			}
		}
	}
	addReport(&m.ownReport)
	for _, n := range m.freshReporters() {
		addReport(&m.reports[n].Report)
	}
	for i := range all {
		o := &all[i]
		o.silent = o.bad > 0 && silentVotes[i] == o.bad
		// A zone that was left gets few attempts, and has already been found bad: the attempts of all
		// instances count together.
		if s := m.verdict.Zones[i].State; (s == StateTrying || s == StateReturning) && o.voters() < minVoters && o.pooledJudged >= minJudged {
			switch badShare := float64(o.pooledBad) / float64(o.pooledJudged); {
			case badShare <= goodRatio:
				o.good += minVoters
			case badShare >= badRatio:
				o.bad += minVoters
			default:
				o.mixed += minVoters
			}
		}
	}
	return all, refusingInstances
}

// decide evaluates all zones once, as the leader, and starts a new epoch if anything changes.
func (m *Machine) decide() {
	all, refusingInstances := m.opinions()
	next := m.verdict.clone()
	for i := range next.Zones {
		tracker, o := &m.trackers[i], all[i]
		tracker.badTicks, tracker.goodTicks, tracker.mixedTicks = nextStreak(tracker.badTicks, o.isBad()), nextStreak(tracker.goodTicks, o.isGood()), nextStreak(tracker.mixedTicks, !o.isBad() && !o.isGood() && o.voters() > 0)
		if o.isBad() {
			tracker.lastBadAt = m.now
		}
	}
	for i := range next.Zones {
		m.stepZone(i, &next, all, refusingInstances)
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

// stepZone advances the state of one zone. Leaving a zone is decided by markLeaving.
func (m *Machine) stepZone(i int, next *Verdict, all []zoneOpinion, refusingInstances int) {
	z, tracker, previous := &next.Zones[i], &m.trackers[i], m.verdict.Zones[i]
	age := m.now - tracker.since
	switch override := m.overrides[i]; {
	case override.Mode == ModeHold:
		return
	case override.Mode == ModeOut:
		if z.State != StateOut {
			*z = Zone{State: StateOut}
		}
		return
	}
	switch previous.State {
	case StateIn:
		if z.Flaps > 0 && m.now-tracker.returnedAt > flapWindow {
			z.Flaps = 0
		}
		if all[i].isBad() {
			z.State = StateSuspected
		}
	case StateSuspected:
		if m.now-tracker.lastBadAt > suspicionTimeout {
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
		case z.WithRegion && tracker.goodTicks >= goodProbeTicks && age > regionWaitTimeout:
			// The zone may return without the rest of its region.
			z.WithRegion = false
		default:
			z.Probers = m.selectProbers(i, all[i], age)
		}
	case StateReturning:
		m.stepReturn(i, z, all[i], refusingInstances, age)
	}
}

// readyToReturn reports whether a zone that is being probed answers, together with all zones linked to it.
func (m *Machine) readyToReturn(i int) bool {
	for _, j := range append(m.linkedZones(i), i) {
		if m.verdict.Zones[j].State != StateTrying || m.trackers[j].goodTicks < goodProbeTicks {
			return false
		}
	}
	return true
}

// linkedZones returns the other zones that were left together with this one.
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

// region returns the zones of a zone's region, including the zone itself.
func (m *Machine) region(i int) []int {
	for _, r := range m.config.Regions {
		if slices.Contains(r, i) {
			return r
		}
	}
	return []int{i}
}

// stepReturn raises a zone's share by one step if the last step went well, and lowers it if results are
// mixed.
func (m *Machine) stepReturn(i int, z *Zone, o zoneOpinion, refusingInstances int, age time.Duration) {
	tracker := &m.trackers[i]
	stepDuration := m.config.WarmupTime * shareStep / FullShare
	switch {
	case time.Duration(tracker.mixedTicks)*TickInterval >= mixedTimeout && age >= mixedTimeout:
		z.Share = max(shareStep, z.Share-shareStep)
		tracker.mixedTicks = 0
	case age < stepDuration:
	case !o.isGood() && o.voters() > 0: // the next step waits until the last one is seen to go well
	case o.voters() == 0 && age < 2*stepDuration: // too few attempts to tell: continue, but more slowly
	case refusingInstances > 0 && age < maxRefusalSteps*stepDuration:
	default:
		if z.Share = min(FullShare, z.Share+shareStep); z.Share == FullShare {
			z.State, z.WithRegion = StateIn, false
		}
	}
}

// selectProbers returns the instances that send probe reads to a zone in StateTrying: those in the zone
// first, then others, in leader order. Until a probe succeeds there is a single prober, replaced every
// second, since that one may be cut off from the zone.
func (m *Machine) selectProbers(i int, o zoneOpinion, age time.Duration) (numbers []int) {
	zone := map[int]int{m.config.Number: m.ownZone}
	for _, p := range m.peers {
		zone[p.Number] = p.Zone
	}
	for _, inZone := range []bool{true, false} {
		for _, n := range m.Leaders() {
			if (zone[n] == i) == inZone && len(numbers) < maxProbers && (n == m.config.Number || m.hasFreshReport(n)) {
				numbers = append(numbers, n)
			}
			if inZone && len(numbers) >= maxProbers/2 {
				break
			}
		}
	}
	if len(numbers) > 1 && o.good == 0 && o.pooledJudged == o.pooledBad {
		numbers = []int{numbers[int(age/time.Second)%len(numbers)]}
	}
	return numbers
}

// acknowledged reports whether all instances with fresh reports apply the current verdict.
func (m *Machine) acknowledged() bool {
	for _, n := range m.freshReporters() {
		if m.reports[n].Epoch < m.verdict.Epoch {
			return false
		}
	}
	return true
}

// markLeaving decides which zones to leave now.
func (m *Machine) markLeaving(next *Verdict, all []zoneOpinion) {
	failing := func(i int) bool {
		s := m.verdict.Zones[i].State
		confirmed := m.trackers[i].badTicks >= confirmTicks || m.trackers[i].badTicks > 0 && all[i].silent && all[i].bad >= minSilentVoters
		return m.overrides[i].Mode == ModeAuto && confirmed && (s == StateSuspected || s == StateReturning || s == StateIn && next.Zones[i].State == StateSuspected)
	}
	var capacityInUse, total float64
	goodZoneInUse := false // a zone that stays in use is good
	var zonesOut []int
	for i := range next.Zones {
		total += m.capacity[i]
		if next.Zones[i].Share > 0 {
			capacityInUse += m.capacity[i]
		}
		if s := m.verdict.Zones[i].State; s != StateIn && s != StateSuspected && m.overrides[i].Mode == ModeAuto {
			zonesOut = append(zonesOut, i)
		}
		switch o := all[i]; {
		case next.Zones[i].Share < FullShare || failing(i):
		case o.isGood():
			goodZoneInUse = true
		case o.bad+o.mixed > 0 && m.trackers[i].badTicks+m.trackers[i].mixedTicks < maxUnsettledTicks:
			return // this zone may be about to fail too; no zone is left if the cause is common to all
		}
	}
	if !goodZoneInUse {
		return // no good zone would take over the load
	}
	var failingZones []int
	for i := range next.Zones {
		if failing(i) {
			failingZones = append(failingZones, i)
		}
	}
	// The most certain failures come first: silent before slow, then by the number of bad ticks.
	slices.SortStableFunc(failingZones, func(a, b int) int {
		return cmp.Or(-cmp.Compare(boolToInt(all[a].silent), boolToInt(all[b].silent)), -cmp.Compare(m.trackers[a].badTicks, m.trackers[b].badTicks))
	})
	for _, i := range failingZones {
		group := m.failingGroup(i, failing)
		var cost float64
		alreadyLeaving := false
		for _, j := range group {
			alreadyLeaving = alreadyLeaving || next.Zones[j].State == StateLeaving
			if next.Zones[j].Share > 0 {
				cost += m.capacity[j]
			}
		}
		// No more than one zone or region is out at a time, unless the zone is silent to all voters.
		otherRegionOut := slices.ContainsFunc(zonesOut, func(j int) bool { return !slices.Contains(m.region(i), j) })
		if alreadyLeaving || otherRegionOut && !all[i].silent || capacityInUse-cost < m.config.MinCapacityShare*total {
			continue
		}
		capacityInUse -= cost
		zonesOut = append(zonesOut, group...)
		for _, j := range group {
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

// failingGroup returns the zones that are left together with a zone: its region if every zone of it that
// is in use fails, else the zone alone.
func (m *Machine) failingGroup(i int, failing func(int) bool) []int {
	group := []int{}
	for _, j := range m.region(i) {
		switch {
		case failing(j):
			group = append(group, j)
		case m.verdict.Zones[j].Share > 0:
			return []int{i}
		}
	}
	return group
}

// updateShares makes the share of each zone at this instance follow the verdict and the overrides: down
// at once, up no faster than cold cache nodes can take load. As every instance does this for its own
// part of the traffic, the total is limited too, however many instances there are.
func (m *Machine) updateShares(now time.Duration) {
	// A verdict and an override decided at the same time may have taken all zones out of use. Then every zone that
	// no operator has taken out is used, with the limited rise.
	noZoneInUse := !m.anyInUse(nil)
	for i := range m.limiters {
		limiter, target := &m.limiters[i], float64(m.verdict.Zones[i].Share)/FullShare
		if noZoneInUse || m.ticked && now-m.leaderHeardAt > noLeaderTimeout && m.overrides[i].Mode != ModeHold {
			target = 1
		}
		if m.overrides[i].Mode == ModeOut {
			target = 0
		}
		if target == 0 {
			*limiter = shareLimiter{zeroAt: now, rampingUp: true}
			continue
		}
		limit := 1.0
		if limiter.rampingUp && m.config.WarmupTime > 0 {
			limit = 2.0*shareStep/FullShare + (now-limiter.zeroAt).Seconds()/m.config.WarmupTime.Seconds()
			limiter.rampingUp = limit < 1
		}
		limiter.share = min(target, limit)
	}
}

// Share returns the share of its usual load that a zone gets from this instance now, and whether this
// instance sends it occasional probe reads while the share is zero.
func (m *Machine) Share(zone int) (share float64, probe bool) {
	z := &m.verdict.Zones[zone]
	probe = z.State == StateTrying && m.overrides[zone].Mode == ModeAuto && slices.Contains(z.Probers, m.config.Number)
	return m.limiters[zone].share, probe
}

// Inherit starts from the verdict and overrides of the other instances: an instance that starts while a
// zone returns gives it no larger share than they do.
func (m *Machine) Inherit(now time.Duration, v Verdict, overrides []Override) {
	m.leaderHeardAt = now
	m.acceptVerdict(now, v)
	m.MergeOverrides(now, overrides)
	for i := range m.limiters {
		if share := float64(m.verdict.Zones[i].Share) / FullShare; share < 1 && share > 0 {
			m.limiters[i] = shareLimiter{share: share, rampingUp: true, zeroAt: now - time.Duration((share-2.0*shareStep/FullShare)*float64(m.config.WarmupTime))}
		}
	}
	m.updateShares(now)
}

// Healthy reports whether all zones get their full share and this instance observes no more than a tenth
// of bad attempts in any.
func (m *Machine) Healthy() bool {
	for i, z := range m.verdict.Zones {
		if z.State != StateIn || m.limiters[i].share < 1 || i < len(m.ownReport.Zones) && 10*m.ownReport.Zones[i].Bad > m.ownReport.Zones[i].Judged {
			return false
		}
	}
	return true
}

// DebugState returns all state of a zone in addition to the verdict, for model checkers that compare
// states.
func (m *Machine) DebugState(zone int) string {
	return fmt.Sprint(m.trackers[zone], m.limiters[zone], m.leaderHeardAt, m.observingSince, m.lastHeard)
}
