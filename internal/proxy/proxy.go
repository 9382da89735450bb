// Package proxy hosts a Balancer between client connections, members and discovery.
//
// The Balancer decides; this package only carries out. One mutex guards the Balancer and every table here:
// the process has one core, so finer locks would buy nothing, and with a single one the Balancer's view and
// the sockets' state can't drift apart. Nothing blocks under it: writes are tried without waiting (package sender),
// dials and reads have goroutines of their own.
//
// What goes on with members is package upstream's, and which connection carries what package pool's.
package proxy

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"linenloom/internal/arrival"
	"linenloom/internal/discovery"
	"linenloom/internal/inherit"
	"linenloom/internal/joining"
	"linenloom/internal/maintenance"
	"linenloom/internal/manykeys"
	"linenloom/internal/pool"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/internal/zones"
	"linenloom/logic"
)

// Config is what a Proxy is told at its start.
type Config struct {
	Listen          string
	Discovery       string
	Seed            uint64
	Settings        logic.Settings
	Zones           []string // by place, as in Settings
	Kinds           []string
	ConnIdle        time.Duration // members close a connection that stood idle for this long
	Multiplex       int           // attempts a connection to a cache carries at once
	MaxRequests     int           // requests in hand
	MemoryMB        int
	Descriptors     int // file descriptors
	InitialList     discovery.List
	AcceptAfterStop time.Duration    // after the stop signal, new connections still come for this long
	OutOfUse        maintenance.Set  // the members out of use at the start
	Callers         Callers          // who clients are; nil: nobody asks
	Joining         *joining.Limits  // reads in flight may share an answer; nil: each has its own
	ManyKeys        *manykeys.Limits // OBJ.MGET; nil: it is unknown
	Record          Record           // of orders; nil: none is kept. The host closes it when it stops
	ReceiptFronts   []string         // the fronts that answer a repeat with the receipt on record
	ZoneMeter       *zones.Meter     // told of attempts by zone, under the lock; nil: nobody is
	// LoadSnapshot brings what the process before has learnt, once, before clients are taken; it may wait for a moment. Nil, or a nil
	// snapshot: there is nothing.
	LoadSnapshot func() (*inherit.Snapshot, error)

	// BeforeServing, if set, is called once, before clients are taken; it may wait for a moment.
	BeforeServing func()

	// Clock, if set, is the time since the start in place of the system's, and Tick has to be called once it has
	// moved; Wall is the wall's time in place of the system's. OnSend, if set, is told of each choice of the module's, under the lock. Both are for tests and the rig.
	Clock     func() time.Duration
	WallClock func() time.Duration
	OnSend    func(logic.RequestID, logic.MemberID)
}

const (
	// bufferMemoryShare is the part of the memory that bodies and unsent answers may take together. The rest is
	// for connections, tables, and what the collector has not freed yet.
	bufferMemoryShare = 0.25
	// reservedDescriptors are kept for the listener, discovery, the runtime and connections in between.
	reservedDescriptors     = 24
	clientDescriptorPercent = 50 // percent of the descriptors that clients may hold
	memberSweepInterval     = 250 * time.Millisecond
	frontSweepInterval      = 50 * time.Millisecond  // idle clients are looked at more often: a crowd comes at once
	firstListTimeout        = 500 * time.Millisecond // wait this long at most for discovery's first list
	listUpdateTimeout       = 50 * time.Millisecond  // and this long once it has taken the watch up
	reasonsLogInterval      = 10 * time.Second       // what has changed in the reasons' counts is logged this often
)

// Proxy is one proxy.
type Proxy struct {
	cfg          Config
	log          *slog.Logger
	debugEnabled bool // the log takes lines of debugging
	redis        *redisFront

	mu          sync.Mutex
	now         time.Duration // when the lock was taken, or an attempt begun since, on the module's clock
	eventBegan  time.Duration // when the lock was taken
	stalls      arrival.Stalls
	started     time.Time
	clockOffset time.Duration
	balancer    *logic.Balancer
	outcomes    []logic.Outcome // caused by actions; told once the current event is done
	timers      timerWheel
	timer       *time.Timer
	wakeAt      time.Duration

	members          map[logic.MemberID]*member
	requests         map[logic.RequestID]*Request
	joinTable        *joining.Table    // nil: reads share nothing but fetches
	lostLeads        []logic.RequestID // leads that got no answer, to be passed on
	pendingShares    []logic.RequestID // followers whose answer is there
	sharing          bool              // a goroutine hands these over
	joinStats        Joined
	openOrders       int // orders on record that are in hand
	recordClosed     bool
	pendingMany      []*Many // requests for many keys to go on with
	lastGroup        uint32  // of them, so far
	fronts           []Front
	frontDescriptors int // descriptors that fronts hold
	nextID           logic.RequestID

	upstreams          *upstream.Set
	poolTimer          *time.Timer
	recentIDs          idHistory
	serving            bool                       // clients are taken
	stopping           bool                       // no request is taken any more
	maxStopDeadline    time.Duration              // as the constant; tests have it shorter
	outOfUse           maintenance.Set            // members out of use, whatever the list says
	watches            []*watch                   // the one that counts, and one that has yet to tell its first list
	startWatch         func(w *watch, whole bool) // nil while the proxy does not run
	revision           int64                      // of the list
	bufferedBytes      int                        // bytes of bodies and unsent answers, but for long values
	longValues         room                       // for long values
	maxBufferedBytes   int
	scratch            []byte
	reasons            *reasons.Counts
	reasonsLogged      *reasons.Counts // as last logged
	shortOfDescriptors bool
	shortOfMemory      bool
}

func bufferLimit(memoryMB int) int { return int(float64(memoryMB) * (1 << 20) * bufferMemoryShare) }

// New makes a Proxy and binds its address; clients that connect from then on wait for Run. Where another process of
// this proxy listens there already, clients go on going to that one until this one is ready.
func New(cfg Config, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{
		cfg: cfg, log: log, debugEnabled: log.Enabled(context.Background(), slog.LevelDebug), started: time.Now(),
		members: map[logic.MemberID]*member{}, requests: map[logic.RequestID]*Request{},
		recentIDs:        newIDHistory(),
		maxBufferedBytes: bufferLimit(cfg.MemoryMB), outOfUse: cfg.OutOfUse, maxStopDeadline: killMost,
	}
	// The module's clock is monotonic and begins at the wall's time, so that all start times are positive on it.
	p.clockOffset = time.Duration(p.started.UnixNano())
	if cfg.Clock != nil {
		p.clockOffset = time.Hour
	}
	p.now = p.clockOffset
	p.stalls.MaxGap = maxEventGap
	p.timers = newTimerWheel(tickLength(&p.cfg.Settings), p.now)
	p.reasons = countReasons(&p.cfg.Settings)
	p.upstreams = upstream.New(pool.Config{
		ConnIdle: cfg.ConnIdle, ConnectTimeout: cfg.Settings.ConnectTimeout, Multiplex: cfg.Multiplex,
		Instances: cfg.Settings.Instances, Descriptors: cfg.Descriptors, CanProbe: cfg.Settings.CanProbe,
		ConcurrentAttempts: cfg.Settings.ConcurrentAttempts,
	}, host{p})
	p.upstreams.Advance(p.now)
	bal, err := logic.New(cfg.Settings, cfg.Seed, actions{p})
	if err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	p.balancer = bal
	if cfg.Joining != nil {
		p.joinTable = joining.New(*cfg.Joining)
	}
	if p.redis, err = newRedisFront(p, cfg.Listen); err != nil {
		return nil, err
	}
	p.fronts = []Front{p.redis}
	return p, nil
}

// Addr is the address that clients connect to.
func (p *Proxy) Addr() net.Addr { return p.redis.addr() }

// Run serves until the context ends and everything taken until then is answered.
func (p *Proxy) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	p.beginEvent()
	p.timer = time.AfterFunc(time.Hour, p.onTimer)
	p.wakeAt = p.now + time.Hour
	p.poolTimer = time.AfterFunc(time.Hour, func() { p.Do(p.upstreams.Wake) })
	p.balancer.Start(p.now)
	p.applyList(logic.ListCached, p.cfg.InitialList)
	p.endEvent()

	var g sync.WaitGroup
	p.beginEvent()
	p.revision = p.cfg.InitialList.Revision
	p.startWatch = func(w *watch, whole bool) { g.Go(func() { p.runWatch(background, w, whole) }) }
	first := p.addWatch(p.cfg.Discovery, false)
	p.endEvent()
	g.Go(func() { p.sweep(background) })

	// Clients come once PING is answered: with a list too old, the first requests would go astray. Where the call for the
	// list is put off for longer than that may take, there is one from the configuration.
	if first.initialDelay < firstListTimeout {
		first.awaitFirstList(ctx, firstListTimeout)
	}
	p.restoreSnapshot()
	if p.cfg.BeforeServing != nil {
		p.cfg.BeforeServing()
	}
	if err := p.redis.open(); err != nil {
		stop()
		p.beginEvent()
		p.startWatch = nil
		p.closeAll()
		p.mu.Unlock()
		g.Wait()
		return err
	}
	p.log.Info("ready", "listen", p.Addr().String(), "out_of_use", p.cfg.OutOfUse.CountOut(), "members", len(p.cfg.InitialList.Members))
	served := make(chan error, len(p.fronts))
	p.Do(func() { p.serving = true })
	for _, f := range p.fronts {
		g.Go(func() { served <- f.Serve() })
	}

	var err error
	select {
	case <-ctx.Done():
		p.log.Info("draining")
		p.drain()
	case err = <-served:
	}
	p.beginEvent()
	why := p.newReasons()
	p.startWatch = nil
	stop()
	p.closeAll()
	p.mu.Unlock()
	p.logReasons(why)
	g.Wait()
	return err
}

// closeAll ends what is still open; nothing is owed on it any more.
func (p *Proxy) closeAll() {
	p.timer.Stop()
	p.poolTimer.Stop()
	for _, f := range p.fronts {
		f.Close()
	}
	for _, m := range p.members {
		p.upstreams.CloseMember(&m.Member)
	}
}

// maxEventGap is how long the process may be without any event, of which the sweep is one, before it counts as held up.
const maxEventGap = frontSweepInterval + 10*time.Millisecond

// beginEvent takes the lock and the time.
func (p *Proxy) beginEvent() {
	p.mu.Lock()
	last := p.now
	p.now = p.Clock()
	p.eventBegan = p.now
	if p.cfg.Clock == nil { // a clock that is set moves in leaps
		p.stalls.NoteGap(last, p.now)
	}
	p.upstreams.Advance(p.now)
}

// Clock is the time right now, on the module's clock. It needs no lock.
func (p *Proxy) Clock() time.Duration { return p.clockOffset + p.elapsed() }

// refreshNow takes the time anew in the midst of an event, which may have been held up since it began.
func (p *Proxy) refreshNow() { p.now = max(p.now, p.Clock()) }

func (p *Proxy) elapsed() time.Duration {
	if p.cfg.Clock != nil {
		return p.cfg.Clock()
	}
	return time.Since(p.started)
}

// endEvent tells the Balancer of the outcomes that its own actions have caused, and gives the lock back. Told
// from inside an action, they would reach it in the middle of its work.
func (p *Proxy) endEvent() {
	p.DeliverOutcomes()
	p.armTimer()
	p.longValues.grant(p.longMax())
	if p.cfg.Clock == nil {
		p.stalls.NoteEvent(p.eventBegan, p.Clock())
	}
	p.mu.Unlock()
}

// DeliverOutcomes tells the Balancer, within Do, of the outcomes so far, so that what it decides on them can be seen.
func (p *Proxy) DeliverOutcomes() {
	for {
		for i := 0; i < len(p.outcomes); i++ {
			p.balancer.Outcome(p.now, p.outcomes[i])
		}
		p.outcomes = p.outcomes[:0]
		if p.lostLeads != nil && p.passLeads() || len(p.pendingMany) > 0 && p.manyOn() {
			continue
		}
		return
	}
}

// applyList takes a list: first here, then by the Balancer, so that both see the same members.
func (p *Proxy) applyList(kind logic.ListKind, l discovery.List) {
	members := make([]logic.Member, 0, len(l.Members))
	listed := make(map[logic.MemberID]bool, len(l.Members))
	for _, e := range l.Members {
		m := p.balancerMember(e)
		members = append(members, m)
		listed[m.ID] = true
		p.updateMember(m, e)
	}
	if kind != logic.ListDelta {
		for id, m := range p.members {
			if !listed[id] && m.state != logic.Gone {
				m.state = logic.Gone
				p.upstreams.UpdateMember(&m.Member, false, false)
			}
		}
	}
	p.balancer.SetMembers(p.now, kind, members)
}

// balancerMember is a list entry in the module's terms.
func (p *Proxy) balancerMember(e discovery.Member) logic.Member {
	m := logic.Member{
		ID: MemberID(e.ID), Zone: p.zoneIndex(e.Locality), Cell: e.Cell,
		Kind: slices.Index(p.cfg.Kinds, e.Flavor), State: logic.Gone, Weight: e.Size,
	}
	m.StartedAt = p.startedAt(m.ID, p.listedStart(e))
	switch e.Phase {
	case discovery.PhaseInService:
		m.State = logic.Ready
	case discovery.PhaseTerminating:
		m.State = logic.Draining
	}
	// Nothing new goes to a member out of use, as if the list said that it drains.
	if m.State == logic.Ready && p.outOfUse.IsOut(e.ID) {
		m.State = logic.Draining
	}
	return m
}

// UpdateMaintenance takes over which members are out of use. What waits to be sent to one that goes out is not sent.
func (p *Proxy) UpdateMaintenance(out maintenance.Set) {
	p.beginEvent()
	defer p.endEvent()
	p.outOfUse = p.outOfUse.Merge(out) // sets of two calls may come in another order than they were recorded in
	var changed []discovery.Member
	for _, m := range p.members {
		if e := p.balancerMember(m.listed); m.state != logic.Gone && (e.State != m.state || e.StartedAt != m.startedAt) {
			changed = append(changed, m.listed)
		}
	}
	slices.SortFunc(changed, func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) })
	if len(changed) > 0 {
		p.applyList(logic.ListDelta, discovery.List{Members: changed})
	}
}

// KnowsMember tells whether the list names a member, or it is out of use.
func (p *Proxy) KnowsMember(id string) (known bool) {
	p.Do(func() {
		m := p.members[MemberID(id)]
		known = m != nil && m.listed.ID == id && m.state != logic.Gone || p.outOfUse.IsOut(id)
	})
	return known
}

// Serving tells whether clients are taken.
func (p *Proxy) Serving() (yes bool) {
	p.Do(func() { yes = p.serving && !p.stopping })
	return yes
}

// SetLimits changes how many descriptors and how much memory this process may use, while another one shares the limits.
func (p *Proxy) SetLimits(descriptors, memoryMB int) {
	p.Do(func() {
		p.cfg.Descriptors, p.cfg.MemoryMB, p.maxBufferedBytes = descriptors, memoryMB, bufferLimit(memoryMB)
		p.upstreams.SetDescriptors(descriptors)
	})
}

// MemberID is the module's number for a member's id.
func MemberID(id string) logic.MemberID { return logic.MemberID(hash(id)) }

// hash makes a number of an id or key; every proxy must come to the same one.
func hash[T []byte | string](s T) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// keyNumber is the module's number for a key: its value if it is hexadecimal, else its hash. 0 means none there.
func keyNumber(text []byte) uint64 {
	if k, err := strconv.ParseUint(string(text), 16, 64); err == nil && k != 0 {
		return k
	}
	return max(1, hash(text))
}

// sweep closes what has stood idle for too long.
func (p *Proxy) sweep(ctx context.Context) {
	tick := time.NewTicker(frontSweepInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.beginEvent()
		for _, f := range p.fronts {
			f.Sweep()
		}
		if n%int(memberSweepInterval/frontSweepInterval) != 0 {
			p.endEvent()
			continue
		}
		var why []any
		if n%int(reasonsLogInterval/frontSweepInterval) == 0 {
			why = p.newReasons()
		}
		p.upstreams.UpdateIdleLimit()
		for id, m := range p.members {
			p.upstreams.Sweep(&m.Member, len(p.members))
			if m.state == logic.Gone && m.Idle() {
				delete(p.members, id)
			}
		}
		p.shortOfDescriptors = p.logShortage(p.shortOfDescriptors, p.openDescriptors() >= p.cfg.Descriptors-reservedDescriptors, "short of descriptors")
		p.shortOfMemory = p.logShortage(p.shortOfMemory, p.bufferedBytes >= p.maxBufferedBytes, "short of memory for bodies")
		p.endEvent()
		p.logReasons(why)
	}
}

// countReasons makes the counts for the settings' classes and tenants.
func countReasons(s *logic.Settings) *reasons.Counts {
	var tenants []string
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	return reasons.New(logic.ClassNames(s.Classes), tenants)
}

// newReasons tells why requests have waited, been refused or failed since it was last asked, under the lock.
func (p *Proxy) newReasons() []any {
	attrs := p.reasons.Since(p.reasonsLogged).Attrs()
	if len(attrs) > 0 {
		p.reasonsLogged = p.reasons.Clone()
	}
	return attrs
}

// logReasons logs them, not under the lock: a log that nobody reads must not hold requests up.
func (p *Proxy) logReasons(why []any) {
	if len(why) > 0 {
		p.log.Info("reasons", why...)
	}
}

// logShortage logs when a shortage begins and ends, not each time it is met.
func (p *Proxy) logShortage(was, is bool, what string) bool {
	switch {
	case is && !was:
		p.log.Warn(what, "sockets", p.openDescriptors(), "held_bytes", p.bufferedBytes, "requests", len(p.requests))
	case was && !is:
		p.log.Info("no longer " + what)
	}
	return is
}

// openDescriptors counts the descriptors in use on both sides.
func (p *Proxy) openDescriptors() int { return p.frontDescriptors + p.upstreams.OpenConns() }

// member is what this package knows of a member: what the list has, and the connections to it.
type member struct {
	upstream.Member
	id          logic.MemberID
	listed      discovery.Member // as the list has it
	state       logic.State
	listedStart time.Duration // as the list tells it, of which started was made
	startedAt   time.Duration
}

// listedStart is when a member started by the wall's time, as the list and the operators' calls have it; 0: long ago.
func (p *Proxy) listedStart(e discovery.Member) time.Duration {
	return time.Duration(p.outOfUse.UpSince(e.ID, e.UpSinceMS) * float64(time.Millisecond))
}

// startedAt is when a member started, on the module's clock. It is worked out once, when its start is learnt: the wall's time may be stepped while
// this process runs, and was perhaps wrong when it began. Where the two disagree the member counts as the younger one: taken for older than it is,
// a cold member would be pushed over.
func (p *Proxy) startedAt(id logic.MemberID, upSince time.Duration) time.Duration {
	if upSince <= 0 {
		return 0
	}
	if m := p.members[id]; m != nil && m.listedStart == upSince {
		return m.startedAt
	}
	byWall := p.now - (p.wallTime() - upSince)
	return min(p.now, max(byWall, upSince))
}

// wallTime is the wall's time, since 1970.
func (p *Proxy) wallTime() time.Duration {
	switch {
	case p.cfg.WallClock != nil:
		return p.cfg.WallClock()
	case p.cfg.Clock != nil:
		return p.Clock()
	}
	return time.Duration(time.Now().UnixNano())
}

// updateMember takes a list entry.
func (p *Proxy) updateMember(e logic.Member, listed discovery.Member) {
	addr := listed.HostPort
	m := p.members[e.ID]
	if m == nil {
		if e.State == logic.Gone {
			return
		}
		m = &member{id: e.ID, startedAt: e.StartedAt}
		m.Addr = addr
		p.members[e.ID] = m
	}
	m.Origin = e.Kind == p.cfg.Settings.OriginKind && p.cfg.Settings.Mode == logic.CacheAside
	m.listed = listed
	moved := m.Addr != addr || m.startedAt != e.StartedAt
	m.Addr, m.startedAt, m.state, m.listedStart = addr, e.StartedAt, e.State, p.listedStart(listed)
	p.upstreams.UpdateMember(&m.Member, e.State == logic.Ready, moved)
}

// host is what package upstream sees of a Proxy.
type host struct{ *Proxy }

var _ upstream.Host = host{}

func (h host) Enter()  { h.beginEvent() }
func (h host) Leave()  { h.endEvent() }
func (h host) Lock()   { h.mu.Lock() }
func (h host) Unlock() { h.mu.Unlock() }

func (h host) Clock() time.Duration {
	h.refreshNow()
	return h.now
}

func (h host) ScheduleTimer(d upstream.Timer) { h.schedule(timerEntry{Timer: d}) }
func (h host) ScheduleWake(at time.Duration)  { h.poolTimer.Reset(at - h.now) }

func (h host) HasDescriptor(make bool) bool {
	if !make {
		return h.openDescriptors() < h.cfg.Descriptors-reservedDescriptors
	}
	return h.openDescriptors() < h.cfg.Descriptors-reservedDescriptors/2 || h.makeRoom()
}
