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
	Listen     string
	Discovery  string
	Seed       uint64
	Settings   logic.Settings
	Zones      []string // by place, as in Settings
	Kinds      []string
	ConnIdle   time.Duration // members close a connection that stood idle for this long
	Multiplex  int           // attempts a connection to a cache carries at once
	MostHeld   int           // requests in hand
	MemoryMB   int
	Sockets    int // file descriptors
	Known      discovery.List
	AcceptMore time.Duration    // after the stop signal, new connections still come for this long
	Out        maintenance.Set  // the members out of use at the start
	Callers    Callers          // who clients are; nil: nobody asks
	Joining    *joining.Limits  // reads in flight may share an answer; nil: each has its own
	ManyKeys   *manykeys.Limits // OBJ.MGET; nil: it is unknown
	Record     Record           // of orders; nil: none is kept. The host closes it when it stops
	Receipts   []string         // the fronts that answer a repeat with the receipt on record
	Meter      *zones.Meter     // told of attempts by zone, under the lock; nil: nobody is
	// Inherit brings what the process before has learnt, once, before clients are taken; it may wait for a moment. Nil, or a nil
	// snapshot: there is nothing.
	Inherit func() (*inherit.Snapshot, error)

	// Before, if set, is called once, before clients are taken; it may wait for a moment.
	Before func()

	// Clock, if set, is the time since the start in place of the system's, and Tick has to be called once it has
	// moved; Wall is the wall's time in place of the system's. OnSend, if set, is told of each choice of the module's, under the lock. Both are for tests and the rig.
	Clock  func() time.Duration
	Wall   func() time.Duration
	OnSend func(logic.RequestID, logic.MemberID)
}

const (
	// bufferShare is the part of the memory that bodies and unsent answers may take together. The rest is
	// for connections, tables, and what the collector has not freed yet.
	bufferShare = 0.25
	// spareSockets are kept for the listener, discovery, the runtime and connections in between.
	spareSockets = 24
	clientShare  = 50 // percent of the descriptors that clients may hold
	sweepEvery   = 250 * time.Millisecond
	crowdEvery   = 50 * time.Millisecond  // idle clients are looked at more often: a crowd comes at once
	readyWithin  = 500 * time.Millisecond // wait this long at most for discovery's first list
	newsWithin   = 50 * time.Millisecond  // and this long once it has taken the watch up
	reasonsEvery = 10 * time.Second       // what has changed in the reasons' counts is logged this often
)

// Proxy is one proxy.
type Proxy struct {
	cfg   Config
	log   *slog.Logger
	debug bool // the log takes lines of debugging
	redis *redisFront

	mu       sync.Mutex
	now      time.Duration // when the lock was taken, or an attempt begun since, on the module's clock
	began    time.Duration // when the lock was taken
	stalls   arrival.Stalls
	started  time.Time
	offset   time.Duration
	bal      *logic.Balancer
	outcomes []logic.Outcome // caused by actions; told once the current event is done
	timers   timers
	timer    *time.Timer
	wakeAt   time.Duration

	members      map[logic.MemberID]*member
	requests     map[logic.RequestID]*Request
	joins        *joining.Table    // nil: reads share nothing but fetches
	lost         []logic.RequestID // leads that got no answer, to be passed on
	shares       []logic.RequestID // followers whose answer is there
	sharing      bool              // a goroutine hands these over
	joined       Joined
	recorded     int // orders on record that are in hand
	recordClosed bool
	manys        []*Many // requests for many keys to go on with
	groups       uint32  // of them, so far
	fronts       []Front
	frontFDs     int // descriptors that fronts hold
	nextID       logic.RequestID

	ups         *upstream.Set
	restTimer   *time.Timer
	ids         ids
	serving     bool                       // clients are taken
	stopping    bool                       // no request is taken any more
	killMost    time.Duration              // as the constant; tests have it shorter
	out         maintenance.Set            // members out of use, whatever the list says
	watches     []*watch                   // the one that counts, and one that has yet to tell its first list
	startWatch  func(w *watch, whole bool) // nil while the proxy does not run
	revision    int64                      // of the list
	held        int                        // bytes of bodies and unsent answers, but for long values
	long        room                       // for long values
	heldMax     int
	scratch     []byte
	reasons     *reasons.Counts
	reasonsTold *reasons.Counts // as last logged
	shortOfFDs  bool
	shortOfRoom bool
}

func heldMax(memoryMB int) int { return int(float64(memoryMB) * (1 << 20) * bufferShare) }

// New makes a Proxy and binds its address; clients that connect from then on wait for Run. Where another process of
// this proxy listens there already, clients go on going to that one until this one is ready.
func New(cfg Config, log *slog.Logger) (*Proxy, error) {
	p := &Proxy{
		cfg: cfg, log: log, debug: log.Enabled(context.Background(), slog.LevelDebug), started: time.Now(),
		members: map[logic.MemberID]*member{}, requests: map[logic.RequestID]*Request{},
		ids:     newIDs(),
		heldMax: heldMax(cfg.MemoryMB), out: cfg.Out, killMost: maxKillDeadline,
	}
	// The module's clock is monotonic and begins at the wall's time, so that all start times are positive on it.
	p.offset = time.Duration(p.started.UnixNano())
	if cfg.Clock != nil {
		p.offset = time.Hour
	}
	p.now = p.offset
	p.stalls.MaxGap = stallGap
	p.timers = newTimers(tickOf(&p.cfg.Settings), p.now)
	p.reasons = countReasons(&p.cfg.Settings)
	p.ups = upstream.New(pool.Config{
		ConnIdle: cfg.ConnIdle, ConnectTimeout: cfg.Settings.ConnectTimeout, Multiplex: cfg.Multiplex,
		Instances: cfg.Settings.Instances, Descriptors: cfg.Sockets, CanProbe: cfg.Settings.CanProbe,
		ConcurrentAttempts: cfg.Settings.ConcurrentAttempts,
	}, host{p})
	p.ups.Advance(p.now)
	bal, err := logic.New(cfg.Settings, cfg.Seed, actions{p})
	if err != nil {
		return nil, fmt.Errorf("balancer: %w", err)
	}
	p.bal = bal
	if cfg.Joining != nil {
		p.joins = joining.New(*cfg.Joining)
	}
	if p.redis, err = newRedisFront(p, cfg.Listen); err != nil {
		return nil, err
	}
	p.fronts = []Front{p.redis}
	return p, nil
}

// Addr is the address that clients connect to.
func (p *Proxy) Addr() net.Addr { return p.redis.listenAddr() }

// Run serves until the context ends and everything taken until then is answered.
func (p *Proxy) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	p.enter()
	p.timer = time.AfterFunc(time.Hour, p.ring)
	p.wakeAt = p.now + time.Hour
	p.restTimer = time.AfterFunc(time.Hour, func() { p.Do(p.ups.Wake) })
	p.bal.Start(p.now)
	p.apply(logic.ListCached, p.cfg.Known)
	p.leave()

	var g sync.WaitGroup
	p.enter()
	p.revision = p.cfg.Known.Revision
	p.startWatch = func(w *watch, whole bool) { g.Go(func() { p.watch(background, w, whole) }) }
	first := p.follow(p.cfg.Discovery, false)
	p.leave()
	g.Go(func() { p.sweep(background) })

	// Clients come once PING is answered: with a list too old, the first requests would go astray. Where the call for the
	// list is put off for longer than that may take, there is one from the configuration.
	if first.wait < readyWithin {
		first.first(ctx, readyWithin)
	}
	p.inherit()
	if p.cfg.Before != nil {
		p.cfg.Before()
	}
	if err := p.redis.startListening(); err != nil {
		stop()
		p.enter()
		p.startWatch = nil
		p.closeAll()
		p.mu.Unlock()
		g.Wait()
		return err
	}
	p.log.Info("ready", "listen", p.Addr().String(), "out_of_use", p.cfg.Out.CountOut(), "members", len(p.cfg.Known.Members))
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
	p.enter()
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
	p.restTimer.Stop()
	for _, f := range p.fronts {
		f.Close()
	}
	for _, m := range p.members {
		p.ups.CloseMember(&m.Member)
	}
}

// stallGap is how long the process may be without any event, of which the sweep is one, before it counts as held up.
const stallGap = crowdEvery + 10*time.Millisecond

// enter takes the lock and the time.
func (p *Proxy) enter() {
	p.mu.Lock()
	last := p.now
	p.now = p.Clock()
	p.began = p.now
	if p.cfg.Clock == nil { // a clock that is set moves in leaps
		p.stalls.NoteGap(last, p.now)
	}
	p.ups.Advance(p.now)
}

// Clock is the time right now, on the module's clock. It needs no lock.
func (p *Proxy) Clock() time.Duration { return p.offset + p.elapsed() }

// catchUp takes the time anew in the midst of an event, which may have been held up since it began.
func (p *Proxy) catchUp() { p.now = max(p.now, p.Clock()) }

func (p *Proxy) elapsed() time.Duration {
	if p.cfg.Clock != nil {
		return p.cfg.Clock()
	}
	return time.Since(p.started)
}

// leave tells the Balancer of the outcomes that its own actions have caused, and gives the lock back. Told
// from inside an action, they would reach it in the middle of its work.
func (p *Proxy) leave() {
	p.Tell()
	p.arm()
	p.long.grant(p.longMax())
	if p.cfg.Clock == nil {
		p.stalls.NoteEvent(p.began, p.Clock())
	}
	p.mu.Unlock()
}

// Tell tells the Balancer, within Do, of the outcomes so far, so that what it decides on them can be seen.
func (p *Proxy) Tell() {
	for {
		for i := 0; i < len(p.outcomes); i++ {
			p.bal.Outcome(p.now, p.outcomes[i])
		}
		p.outcomes = p.outcomes[:0]
		if p.lost != nil && p.passLeads() || len(p.manys) > 0 && p.manyOn() {
			continue
		}
		return
	}
}

// apply takes a list: first here, then by the Balancer, so that both see the same members.
func (p *Proxy) apply(kind logic.ListKind, l discovery.List) {
	members := make([]logic.Member, 0, len(l.Members))
	listed := make(map[logic.MemberID]bool, len(l.Members))
	for _, e := range l.Members {
		m := p.member(e)
		members = append(members, m)
		listed[m.ID] = true
		p.update(m, e)
	}
	if kind != logic.ListDelta {
		for id, m := range p.members {
			if !listed[id] && m.state != logic.Gone {
				m.state = logic.Gone
				p.ups.UpdateMember(&m.Member, false, false)
			}
		}
	}
	p.bal.SetMembers(p.now, kind, members)
}

// member is a list entry in the module's terms.
func (p *Proxy) member(e discovery.Member) logic.Member {
	m := logic.Member{
		ID: MemberID(e.ID), Zone: p.zone(e.Locality), Cell: e.Cell,
		Kind: slices.Index(p.cfg.Kinds, e.Flavor), State: logic.Gone, Weight: e.Size,
	}
	m.StartedAt = p.startedAt(m.ID, p.upSince(e))
	switch e.Phase {
	case discovery.PhaseInService:
		m.State = logic.Ready
	case discovery.PhaseTerminating:
		m.State = logic.Draining
	}
	// Nothing new goes to a member out of use, as if the list said that it drains.
	if m.State == logic.Ready && p.out.IsOut(e.ID) {
		m.State = logic.Draining
	}
	return m
}

// Maintain takes over which members are out of use. What waits to be sent to one that goes out is not sent.
func (p *Proxy) Maintain(out maintenance.Set) {
	p.enter()
	defer p.leave()
	p.out = p.out.Merge(out) // sets of two calls may come in another order than they were recorded in
	var changed []discovery.Member
	for _, m := range p.members {
		if e := p.member(m.listed); m.state != logic.Gone && (e.State != m.state || e.StartedAt != m.started) {
			changed = append(changed, m.listed)
		}
	}
	slices.SortFunc(changed, func(a, b discovery.Member) int { return cmp.Compare(a.ID, b.ID) })
	if len(changed) > 0 {
		p.apply(logic.ListDelta, discovery.List{Members: changed})
	}
}

// Knows tells whether the list names a member, or it is out of use.
func (p *Proxy) Knows(id string) (known bool) {
	p.Do(func() {
		m := p.members[MemberID(id)]
		known = m != nil && m.listed.ID == id && m.state != logic.Gone || p.out.IsOut(id)
	})
	return known
}

// Serving tells whether clients are taken.
func (p *Proxy) Serving() (yes bool) {
	p.Do(func() { yes = p.serving && !p.stopping })
	return yes
}

// Limit changes how many descriptors and how much memory this process may use, while another one shares the limits.
func (p *Proxy) Limit(descriptors, memoryMB int) {
	p.Do(func() {
		p.cfg.Sockets, p.cfg.MemoryMB, p.heldMax = descriptors, memoryMB, heldMax(memoryMB)
		p.ups.SetDescriptors(descriptors)
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

// keyOf is the module's number for a key: its value if it is hexadecimal, else its hash. 0 means none there.
func keyOf(text []byte) uint64 {
	if k, err := strconv.ParseUint(string(text), 16, 64); err == nil && k != 0 {
		return k
	}
	return max(1, hash(text))
}

// sweep closes what has stood idle for too long.
func (p *Proxy) sweep(ctx context.Context) {
	tick := time.NewTicker(crowdEvery)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.enter()
		for _, f := range p.fronts {
			f.Sweep()
		}
		if n%int(sweepEvery/crowdEvery) != 0 {
			p.leave()
			continue
		}
		var why []any
		if n%int(reasonsEvery/crowdEvery) == 0 {
			why = p.newReasons()
		}
		p.ups.UpdateIdleLimit()
		for id, m := range p.members {
			p.ups.Sweep(&m.Member, len(p.members))
			if m.state == logic.Gone && m.Idle() {
				delete(p.members, id)
			}
		}
		p.shortOfFDs = p.note(p.shortOfFDs, p.sockets() >= p.cfg.Sockets-spareSockets, "short of descriptors")
		p.shortOfRoom = p.note(p.shortOfRoom, p.held >= p.heldMax, "short of memory for bodies")
		p.leave()
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
	attrs := p.reasons.Since(p.reasonsTold).Attrs()
	if len(attrs) > 0 {
		p.reasonsTold = p.reasons.Clone()
	}
	return attrs
}

// logReasons logs them, not under the lock: a log that nobody reads must not hold requests up.
func (p *Proxy) logReasons(why []any) {
	if len(why) > 0 {
		p.log.Info("reasons", why...)
	}
}

// note logs when a shortage begins and ends, not each time it is met.
func (p *Proxy) note(was, is bool, what string) bool {
	switch {
	case is && !was:
		p.log.Warn(what, "sockets", p.sockets(), "held_bytes", p.held, "requests", len(p.requests))
	case was && !is:
		p.log.Info("no longer " + what)
	}
	return is
}

// sockets counts the descriptors in use on both sides.
func (p *Proxy) sockets() int { return p.frontFDs + p.ups.OpenConns() }

// member is what this package knows of a member: what the list has, and the connections to it.
type member struct {
	upstream.Member
	id      logic.MemberID
	listed  discovery.Member // as the list has it
	state   logic.State
	upSince time.Duration // as the list tells it, of which started was made
	started time.Duration
}

// upSince is when a member started by the wall's time, as the list and the operators' calls have it; 0: long ago.
func (p *Proxy) upSince(e discovery.Member) time.Duration {
	return time.Duration(p.out.UpSince(e.ID, e.UpSinceMS) * float64(time.Millisecond))
}

// startedAt is when a member started, on the module's clock. It is worked out once, when its start is learnt: the wall's time may be stepped while
// this process runs, and was perhaps wrong when it began. Where the two disagree the member counts as the younger one: taken for older than it is,
// a cold member would be pushed over.
func (p *Proxy) startedAt(id logic.MemberID, upSince time.Duration) time.Duration {
	if upSince <= 0 {
		return 0
	}
	if m := p.members[id]; m != nil && m.upSince == upSince {
		return m.started
	}
	byWall := p.now - (p.wall() - upSince)
	return min(p.now, max(byWall, upSince))
}

// wall is the wall's time, since 1970.
func (p *Proxy) wall() time.Duration {
	switch {
	case p.cfg.Wall != nil:
		return p.cfg.Wall()
	case p.cfg.Clock != nil:
		return p.Clock()
	}
	return time.Duration(time.Now().UnixNano())
}

// update takes a list entry.
func (p *Proxy) update(e logic.Member, listed discovery.Member) {
	addr := listed.HostPort
	m := p.members[e.ID]
	if m == nil {
		if e.State == logic.Gone {
			return
		}
		m = &member{id: e.ID, started: e.StartedAt}
		m.Addr = addr
		p.members[e.ID] = m
	}
	m.Origin = e.Kind == p.cfg.Settings.OriginKind && p.cfg.Settings.Mode == logic.CacheAside
	m.listed = listed
	moved := m.Addr != addr || m.started != e.StartedAt
	m.Addr, m.started, m.state, m.upSince = addr, e.StartedAt, e.State, p.upSince(listed)
	p.ups.UpdateMember(&m.Member, e.State == logic.Ready, moved)
}

// host is what package upstream sees of a Proxy.
type host struct{ *Proxy }

var _ upstream.Host = host{}

func (h host) Enter()  { h.enter() }
func (h host) Leave()  { h.leave() }
func (h host) Lock()   { h.mu.Lock() }
func (h host) Unlock() { h.mu.Unlock() }

func (h host) Clock() time.Duration {
	h.catchUp()
	return h.now
}

func (h host) ScheduleTimer(d upstream.Timer) { h.schedule(due{Timer: d}) }
func (h host) ScheduleWake(at time.Duration)  { h.restTimer.Reset(at - h.now) }

func (h host) HasDescriptor(make bool) bool {
	if !make {
		return h.sockets() < h.cfg.Sockets-spareSockets
	}
	return h.sockets() < h.cfg.Sockets-spareSockets/2 || h.freeDescriptor()
}
