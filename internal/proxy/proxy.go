// Package proxy connects a Balancer with client connections, members and discovery.
//
// The Balancer makes all decisions; this package carries them out. One mutex guards the Balancer and every
// table here: the process has one core, so finer locks would gain nothing, and with a single lock the Balancer's
// view and the state of the sockets cannot diverge. Nothing blocks while the mutex is held: writes are
// non-blocking (package sender), and dials and reads run in goroutines of their own.
//
// Package upstream runs the exchanges with members, and package pool assigns them to connections.
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

	"linenloom/internal/answerbudget"
	"linenloom/internal/arrival"
	"linenloom/internal/descriptors"
	"linenloom/internal/discovery"
	"linenloom/internal/inherit"
	"linenloom/internal/joining"
	"linenloom/internal/maintenance"
	"linenloom/internal/manykeys"
	"linenloom/internal/pool"
	"linenloom/internal/reasons"
	"linenloom/internal/requestids"
	"linenloom/internal/resp"
	"linenloom/internal/upstream"
	"linenloom/internal/zones"
	"linenloom/logic"
)

// Config holds the settings of a Proxy.
type Config struct {
	Listen          string
	Discovery       string
	Seed            uint64
	Settings        logic.Settings
	Zones           []string // names by index, as Settings numbers them
	Kinds           []string
	ConnIdle        time.Duration // members close a connection that has been idle for this long
	Multiplex       int           // maximum of concurrent attempts on a connection to a cache
	MaxRequests     int           // maximum of requests in progress
	MemoryMB        int
	Descriptors     int // file descriptors
	InitialList     discovery.List
	AcceptAfterStop time.Duration    // new connections are accepted for this long after the stop signal
	OutOfUse        maintenance.Set  // members out of use at the start
	Callers         Callers          // authenticates clients; nil: clients are not authenticated
	Joining         *joining.Limits  // coalescing of identical reads in flight; nil: none
	ManyKeys        *manykeys.Limits // limits of OBJ.MGET; nil: the command is unknown
	Record          Record           // record of orders; nil: none. The Proxy closes it when it stops
	ReceiptFronts   []string         // front ends that answer a repeated order with the recorded receipt
	RequestIDs      RequestIDs       // ids of requests that must not run twice; nil: those of this process only
	ZoneMeter       *zones.Meter     // gets attempts by zone, called under the lock; may be nil
	// LoadSnapshot, if set, returns the state that the predecessor process has learned, or a nil snapshot if
	// there is none. It is called once, before clients are accepted, and may block for a moment.
	LoadSnapshot func() (*inherit.Snapshot, error)

	// BeforeServing, if set, is called once, before clients are accepted; it may block for a moment.
	BeforeServing func()

	// Clock, if set, returns the time since the start instead of the system's clock; Tick has to be called after
	// it has advanced. For tests and the simulation.
	Clock func() time.Duration
	// WallClock, if set, returns the time since 1970 instead of the system's clock. For tests and the simulation.
	WallClock func() time.Duration
	// OnSend, if set, is called under the lock with each member that the Balancer selects. For tests and the
	// simulation.
	OnSend func(logic.RequestID, logic.MemberID)
}

const (
	// bufferMemoryShare is the share of the memory that bodies and unsent answers may use together, as far as
	// requests are accepted for it. The rest is for connections, tables and garbage that has not been collected
	// yet, and for answers beyond what was expected, up to answerMemoryShare.
	bufferMemoryShare = 0.25
	answerMemoryShare = 0.375
	// reservedDescriptors are kept for the listener, discovery, the runtime and connections that are being opened
	// or closed.
	reservedDescriptors     = 24
	clientDescriptorPercent = 50 // percent of the file descriptors that clients may use
	memberSweepInterval     = 250 * time.Millisecond
	frontSweepInterval      = 50 * time.Millisecond  // shorter, as many clients may connect at once
	firstListTimeout        = 500 * time.Millisecond // maximum wait for the first list from discovery
	listUpdateTimeout       = 50 * time.Millisecond  // maximum wait once discovery has accepted the watch
	reasonsLogInterval      = 10 * time.Second       // interval for logging changes of the counts by reason
	strayLogInterval        = time.Second            // shortest time between two log lines about stray bytes
)

// Proxy accepts requests from its front ends and sends them to members as its Balancer decides.
type Proxy struct {
	cfg          Config
	log          *slog.Logger
	debugEnabled bool // the debug level is logged
	redis        *redisFront

	mu          sync.Mutex
	now         time.Duration // by the Balancer's clock: when the lock was taken, or refreshNow was called after that
	eventBegan  time.Duration // when the lock was taken
	stalls      arrival.Stalls
	started     time.Time
	clockOffset time.Duration
	balancer    *logic.Balancer
	outcomes    []logic.Outcome // caused by actions; passed to the Balancer at the end of the current event
	timers      timerWheel
	timer       *time.Timer
	wakeAt      time.Duration

	members            map[logic.MemberID]*member
	requests           map[logic.RequestID]*Request
	joinTable          *joining.Table    // nil: reads are not coalesced, except for fetches by the Balancer
	lostLeads          []logic.RequestID // leading reads without an answer, whose lead is to be passed on
	followersToAnswer  []logic.RequestID // followers whose answer is available
	answeringFollowers bool              // a goroutine answers followersToAnswer
	joinStats          JoinCounts
	openOrders         int // recorded orders in progress
	recordClosed       bool
	pendingMany        []*Many // multi-key requests that can continue
	lastGroup          uint32  // number of the last multi-key request
	fronts             []Front
	frontDescriptors   int // file descriptors that front ends use
	nextID             logic.RequestID

	upstreams          *upstream.Set
	poolTimer          *time.Timer
	recentIDs          idHistory
	serving            bool                            // clients are accepted
	stopping           bool                            // no more requests are accepted
	maxStopDeadline    time.Duration                   // longest deadline that a stop allows for; shorter in tests
	outOfUse           maintenance.Set                 // members out of use, regardless of their listed phase
	watches            []*watch                        // the active one, then at most one that waits for its first list
	startWatch         func(w *watch, fetchFirst bool) // nil while Run is not active
	revision           int64                           // of the applied list
	bufferedBytes      int                             // bodies and unsent answers, without long values
	readAheadBytes     int                             // the part of bufferedBytes that was read ahead from clients
	answerBudget       answerbudget.Budget             // which answers are held
	longValues         longValueBudget                 // memory for long values
	maxBufferedBytes   int                             // beyond it no body and no request ahead of its turn is accepted
	maxHeldBytes       int                             // beyond it no request is accepted and no answer held
	scratch            []byte
	reasons            *reasons.Counts
	reasonsLogged      *reasons.Counts // as last logged
	shortOfDescriptors bool
	shortOfMemory      bool
	strayLog           strayLog
}

// setMemory sets the limits that follow from the memory.
func (p *Proxy) setMemory(memoryMB int) {
	bytes := float64(memoryMB) * (1 << 20)
	p.cfg.MemoryMB = memoryMB
	p.maxBufferedBytes, p.maxHeldBytes = int(bytes*bufferMemoryShare), int(bytes*answerMemoryShare)
}

// New creates a Proxy and binds its address; clients that connect from then on wait for Run. If another process
// of this proxy already listens there, new clients keep going to that process until this one is ready.
func New(cfg Config, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{
		cfg: cfg, log: log, debugEnabled: log.Enabled(context.Background(), slog.LevelDebug), started: time.Now(),
		members: map[logic.MemberID]*member{}, requests: map[logic.RequestID]*Request{},
		recentIDs:    newIDHistory(),
		answerBudget: answerbudget.New(resp.MaxValue),
		outOfUse:     cfg.OutOfUse, maxStopDeadline: maxKillDeadline,
	}
	p.setMemory(cfg.MemoryMB)
	if cfg.RequestIDs == nil {
		p.cfg.RequestIDs = ownIDs{p, requestids.New(make([]uint64, requestids.Slots))}
	}
	// The Balancer's clock is monotonic and starts at the wall-clock time, so that all start times are positive.
	p.clockOffset = time.Duration(p.started.UnixNano())
	if cfg.Clock != nil {
		p.clockOffset = time.Hour // any positive time, as Config.Clock starts at 0
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
	balancer, err := logic.New(cfg.Settings, cfg.Seed, actions{p})
	if err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	p.balancer = balancer
	if cfg.Joining != nil {
		p.joinTable = joining.New(*cfg.Joining)
	}
	if p.redis, err = newRedisFront(p, cfg.Listen); err != nil {
		return nil, err
	}
	p.fronts = []Front{p.redis}
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() net.Addr { return p.redis.listenAddr() }

// Run serves until the context ends and all requests accepted until then are answered.
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

	var goroutines sync.WaitGroup
	p.beginEvent()
	p.revision = p.cfg.InitialList.Revision
	p.startWatch = func(w *watch, fetchFirst bool) { goroutines.Go(func() { p.runWatch(background, w, fetchFirst) }) }
	firstWatch := p.addWatch(p.cfg.Discovery, false)
	p.endEvent()
	goroutines.Go(func() { p.sweep(background) })

	// Clients connect as soon as PING is answered, and with an outdated list their first requests would fail. If the
	// first call to discovery is delayed for longer than firstListTimeout, the configuration's list is used.
	if firstWatch.initialDelay < firstListTimeout {
		firstWatch.awaitFirstList(ctx, firstListTimeout)
	}
	p.restoreSnapshot()
	if p.cfg.BeforeServing != nil {
		p.cfg.BeforeServing()
	}
	if err := p.redis.startListening(); err != nil {
		stop()
		p.beginEvent()
		p.startWatch = nil
		p.closeAll()
		p.mu.Unlock()
		goroutines.Wait()
		return err
	}
	p.log.Info("ready", "listen", p.Addr().String(), "out_of_use", p.cfg.OutOfUse.CountOut(), "members", len(p.cfg.InitialList.Members))
	served := make(chan error, len(p.fronts))
	p.Do(func() { p.serving = true })
	for _, f := range p.fronts {
		goroutines.Go(func() { served <- f.Serve() })
	}

	var err error
	select {
	case <-ctx.Done():
		p.log.Info("draining")
		p.drain()
	case err = <-served:
	}
	p.beginEvent()
	newCounts := p.newReasonAttrs()
	p.startWatch = nil
	stop()
	p.closeAll()
	p.mu.Unlock()
	p.logReasons(newCounts)
	goroutines.Wait()
	return err
}

// closeAll closes all connections, on which no more answers are due, and stops the timers.
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

// maxEventGap is the longest time between events, including sweeps, before the process counts as stalled.
const maxEventGap = frontSweepInterval + 10*time.Millisecond

// beginEvent locks the proxy and reads the clock.
func (p *Proxy) beginEvent() {
	p.mu.Lock()
	last := p.now
	p.now = p.Clock()
	p.eventBegan = p.now
	if p.cfg.Clock == nil { // a clock set by Config.Clock advances in steps
		p.stalls.NoteGap(last, p.now)
	}
	p.upstreams.Advance(p.now)
}

// Clock returns the current time by the Balancer's clock. It needs no lock.
func (p *Proxy) Clock() time.Duration { return p.clockOffset + p.elapsed() }

// refreshNow reads the clock again during an event, which may have been stalled since it began.
func (p *Proxy) refreshNow() { p.now = max(p.now, p.Clock()) }

func (p *Proxy) elapsed() time.Duration {
	if p.cfg.Clock != nil {
		return p.cfg.Clock()
	}
	return time.Since(p.started)
}

// endEvent passes the outcomes caused by the Balancer's actions to the Balancer and unlocks the proxy. Passed from
// inside an action, they would re-enter the Balancer during its event.
func (p *Proxy) endEvent() {
	p.DeliverOutcomes()
	p.armTimer()
	p.longValues.grantWaiting(p.maxLongBytes())
	if p.cfg.Clock == nil {
		p.stalls.NoteEvent(p.eventBegan, p.Clock())
	}
	p.mu.Unlock()
}

// DeliverOutcomes passes the outcomes so far to the Balancer, within Do, so that its decisions take effect at once.
func (p *Proxy) DeliverOutcomes() {
	for {
		for i := 0; i < len(p.outcomes); i++ {
			p.balancer.Outcome(p.now, p.outcomes[i])
		}
		p.outcomes = p.outcomes[:0]
		if p.lostLeads != nil && p.passLeads() || len(p.pendingMany) > 0 && p.advanceMany() {
			continue
		}
		return
	}
}

// applyList applies a list here and then in the Balancer, so that both have the same members.
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

// balancerMember converts a list entry to the Balancer's member.
func (p *Proxy) balancerMember(e discovery.Member) logic.Member {
	m := logic.Member{
		ID: MemberID(e.ID), Zone: p.zoneIndex(e.Locality), Cell: e.Cell,
		Kind: slices.Index(p.cfg.Kinds, e.Flavor), State: logic.Gone, Weight: e.Size,
	}
	m.StartedAt = p.balancerClockStart(m.ID, p.wallClockStart(e))
	switch e.Phase {
	case discovery.PhaseInService:
		m.State = logic.Ready
	case discovery.PhaseTerminating:
		m.State = logic.Draining
	}
	// A member out of use gets no new requests, as if it were listed as draining.
	if m.State == logic.Ready && p.outOfUse.IsOut(e.ID) {
		m.State = logic.Draining
	}
	return m
}

// UpdateMaintenance merges a set of members out of use. Requests that wait to be sent to a member that goes out of
// use are not sent.
func (p *Proxy) UpdateMaintenance(outOfUse maintenance.Set) {
	p.beginEvent()
	defer p.endEvent()
	p.outOfUse = p.outOfUse.Merge(outOfUse) // two sets may arrive in a different order than they were recorded in
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

// KnowsMember reports whether a member is listed or out of use.
func (p *Proxy) KnowsMember(id string) (known bool) {
	p.Do(func() {
		m := p.members[MemberID(id)]
		known = m != nil && m.listed.ID == id && m.state != logic.Gone || p.outOfUse.IsOut(id)
	})
	return known
}

// Serving reports whether clients are accepted.
func (p *Proxy) Serving() (yes bool) {
	p.Do(func() { yes = p.serving && !p.stopping })
	return yes
}

// SetLimits changes the limits of file descriptors and memory, which two processes share during a handover.
func (p *Proxy) SetLimits(descriptors, memoryMB int) {
	p.Do(func() {
		p.cfg.Descriptors = descriptors
		p.setMemory(memoryMB)
		p.upstreams.SetDescriptors(descriptors)
	})
}

// MemberID returns the Balancer's number for a member's id.
func MemberID(id string) logic.MemberID { return logic.MemberID(hash(id)) }

// hash returns the hash of an id or key; it must be the same in every proxy.
func hash[T []byte | string](s T) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// keyNumber returns the Balancer's number for a key: its value if it is hexadecimal, else its hash. The result is
// never 0, which means no key.
func keyNumber(text []byte) uint64 {
	if k, err := strconv.ParseUint(string(text), 16, 64); err == nil && k != 0 {
		return k
	}
	return max(1, hash(text))
}

// sweep closes idle connections, removes members that are gone, and logs shortages and counts by reason.
func (p *Proxy) sweep(ctx context.Context) {
	tick := time.NewTicker(frontSweepInterval)
	defer tick.Stop()
	for ticks := 1; ; ticks++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.beginEvent()
		for _, f := range p.fronts {
			f.Sweep()
		}
		if ticks%int(memberSweepInterval/frontSweepInterval) != 0 {
			p.endEvent()
			continue
		}
		var newCounts []any
		if ticks%int(reasonsLogInterval/frontSweepInterval) == 0 {
			newCounts = p.newReasonAttrs()
		}
		p.upstreams.UpdateIdleLimit()
		for id, m := range p.members {
			p.upstreams.Sweep(&m.Member, len(p.members))
			if m.state == logic.Gone && m.Idle() {
				delete(p.members, id)
			}
		}
		p.shortOfDescriptors = p.logShortage(p.shortOfDescriptors,
			!p.descriptorBudget().HasSpare(p.descriptorUse()), "short of file descriptors")
		p.shortOfMemory = p.logShortage(p.shortOfMemory,
			p.bufferedBytes >= p.maxBufferedBytes, "short of memory for buffered bodies")
		var strays []any
		if ticks%int(strayLogInterval/frontSweepInterval) == 0 {
			strays = p.newStrayAttrs()
		}
		p.endEvent()
		p.logReasons(newCounts)
		p.logStrays(strays)
	}
}

// countReasons returns empty counts for the classes and tenants of the settings.
func countReasons(s *logic.Settings) *reasons.Counts {
	var tenants []string
	for _, t := range s.Tenants {
		tenants = append(tenants, t.Name)
	}
	return reasons.New(logic.ClassNames(s.Classes), tenants)
}

// newReasonAttrs returns log attributes with the counts of waits, refusals and failures by reason since the last call.
// The caller holds the lock.
func (p *Proxy) newReasonAttrs() []any {
	attrs := p.reasons.Since(p.reasonsLogged).Attrs()
	if len(attrs) > 0 {
		p.reasonsLogged = p.reasons.Clone()
	}
	return attrs
}

// logReasons logs the result of newReasonAttrs, without the lock: a blocked log must not delay requests.
func (p *Proxy) logReasons(newCounts []any) {
	if len(newCounts) > 0 {
		p.log.Info("reasons", newCounts...)
	}
}

// logShortage logs when a shortage begins and ends.
func (p *Proxy) logShortage(wasShort, isShort bool, message string) bool {
	switch {
	case isShort && !wasShort:
		p.log.Warn(message, "sockets", p.openDescriptors(), "held_bytes", p.bufferedBytes, "requests", len(p.requests),
			"expected_answers", p.answerBudget.Expected())
	case wasShort && !isShort:
		p.log.Info("no longer " + message)
	}
	return isShort
}

// openDescriptors returns the number of file descriptors in use by front ends and connections to members.
func (p *Proxy) openDescriptors() int { return p.frontDescriptors + p.upstreams.OpenConns() }

// member is a member with its list entry and its connections.
type member struct {
	upstream.Member
	id          logic.MemberID
	listed      discovery.Member // its list entry
	state       logic.State
	listedStart time.Duration // the listed start time that balancerClockStart was computed from
	startedAt   time.Duration
}

// wallClockStart returns a member's start by wall-clock time, from the list and the operators' calls; 0: long ago.
func (p *Proxy) wallClockStart(e discovery.Member) time.Duration {
	return time.Duration(p.outOfUse.UpSince(e.ID, e.UpSinceMS) * float64(time.Millisecond))
}

// balancerClockStart returns when a member started, by the Balancer's clock. It is computed once per listed start: the
// wall clock may be stepped while this process runs, and may have been wrong when the process started. Two estimates
// are made, one with the wall clock's offset now and one with its offset at the start of the process, and the later is
// used: a cold member that counts as older than it is would be overloaded.
func (p *Proxy) balancerClockStart(id logic.MemberID, listedStart time.Duration) time.Duration {
	if listedStart <= 0 {
		return 0
	}
	if m := p.members[id]; m != nil && m.listedStart == listedStart {
		return m.startedAt
	}
	byCurrentOffset := p.now - (p.wallTime() - listedStart)
	return min(p.now, max(byCurrentOffset, listedStart))
}

// wallTime returns the wall-clock time since 1970.
func (p *Proxy) wallTime() time.Duration {
	switch {
	case p.cfg.WallClock != nil:
		return p.cfg.WallClock()
	case p.cfg.Clock != nil:
		return p.Clock()
	}
	return time.Duration(time.Now().UnixNano())
}

// updateMember applies a list entry.
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
	m.Addr, m.startedAt, m.state, m.listedStart = addr, e.StartedAt, e.State, p.wallClockStart(listed)
	p.upstreams.UpdateMember(&m.Member, e.State == logic.Ready, moved)
}

// host implements upstream.Host for a Proxy.
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

// HasDescriptor reports whether a connection to a member may be opened. With evict, half of the reserved descriptors
// may be used, and an idle connection is closed if those are not enough.
func (h host) HasDescriptor(evict bool) bool {
	budget, use := h.descriptorBudget(), h.descriptorUse()
	if !evict {
		return budget.HasSpare(use)
	}
	action := budget.ForMember(use)
	return action == descriptors.Open || h.freeDescriptor(action)
}
