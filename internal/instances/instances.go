// Package instances lets the instances of an installation know of one another: membership on memberlist, and on top of it what they tell
// each other of the zones. It decides nothing: package zones does, and the module takes the part of each zone. It never carries clients'
// requests, never names a member, and looks no name up; without [instances] in the operator's file none of it runs.
package instances

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"linenloom/internal/app"
	"linenloom/internal/proxy"
	"linenloom/internal/zones"
	"linenloom/logic"
)

const (
	// maxMembers bounds the instances that are known at once; further ones are turned away.
	maxMembers = 256
	// inboxSize bounds the messages that wait to be read. One that finds no room is lost, like any datagram.
	inboxSize = 1024
	// rejoinInterval is how often the addresses to join by are tried while one of them is not among those that live: a partition that lasts
	// longer than membership remembers its dead would else last for good.
	rejoinInterval = 5 * time.Second
	// joinTimeout is how long the start waits to hear what holds.
	joinTimeout  = 2 * time.Second
	leaveTimeout = time.Second
	// broadcastTicks is how many reports go to the leaders only before one goes to all, for operators to see.
	broadcastTicks                   = 24
	idleLeaderTicks, idleReportTicks = 4, 6 // ticks between two messages
	// forwardFanout is to how many others a verdict that is news is passed on.
	forwardFanout = 3
	sendTimeout   = time.Second
	// suspectTimeout is how long an instance may be silent before this one says that it does not hear it.
	suspectTimeout = 3 * time.Second
)

// meta is what an instance says of itself to membership.
type meta struct {
	Name         string      `json:"n"`
	Number       int         `json:"i"`
	Zone         string      `json:"z"`
	StartedAtMS  int64       `json:"s"` // Unix milliseconds: its incarnation
	Version      app.Version `json:"v"`
	DecidesZones bool        `json:"d"` // it decides on zones with the others, and tells what it sees
}

// Instances is this instance's part.
type Instances struct {
	options     app.Joined
	proxy       *proxy.Proxy
	log         *slog.Logger
	memberlist  *memberlist.Memberlist
	self        meta
	received    chan []byte
	aloneLogged atomic.Bool // nobody is there, and that has been said

	mu      sync.Mutex
	known   map[string]*member
	shares  []logic.ZoneShare // as last handed to the module
	leading bool
	// superseded: a later process of this proxy is there, and stands in this one's place among the others.
	superseded bool
	ticks      int
}

// member is another instance, by name.
type member struct {
	meta
	node           *memberlist.Node
	lostAt         time.Time // when it was last lost without a word; zero: it lives
	announcedLeave bool
	lastHeard      time.Time // when it was last heard by its messages
}

// state is how an instance stands with this one: there, suspected (it should tell something, and has not for suspectTimeout), or lost.
func (m *member) state() string {
	switch {
	case !m.lostAt.IsZero():
		return "lost"
	case m.DecidesZones && time.Since(m.lastHeard) > suspectTimeout:
		return "suspected"
	}
	return "there"
}

// New listens for the others.
func New(o app.Joined) (*Instances, error) {
	i := &Instances{options: o, proxy: o.Proxy, log: o.Log, received: make(chan []byte, inboxSize), known: map[string]*member{},
		self: meta{Name: o.Name, Number: o.Number, StartedAtMS: o.Since.UnixMilli(), DecidesZones: o.Machine != nil, Version: o.Version}}
	if o.Zone >= 0 && o.Zone < len(o.Zones) {
		i.self.Zone = o.Zones[o.Zone]
	}
	var err error
	for at := range o.Listen {
		if err = i.listen(at); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("instances: %w", err)
	}
	return i, nil
}

// Join calls the others. What holds among them is in force when it returns, if any of them answers in time.
func (i *Instances) Join() { i.join(joinTimeout) }

// listen starts membership at one of the addresses.
func (i *Instances) listen(at int) error {
	addr := i.options.Listen[at]
	c := memberlist.DefaultLANConfig()
	c.Name = fmt.Sprintf("%s@%d", i.options.Name, i.self.StartedAtMS)
	c.Label = i.options.Cluster
	c.BindAddr, c.BindPort = addr.Addr().String(), int(addr.Port())
	c.AdvertisePort = c.BindPort
	if len(i.options.Tell) > at {
		c.AdvertiseAddr, c.AdvertisePort = i.options.Tell[at].Addr().String(), int(i.options.Tell[at].Port())
	}
	if len(i.options.Keys) > 0 {
		ring, err := memberlist.NewKeyring(i.options.Keys, i.options.Keys[0])
		if err != nil {
			return err
		}
		c.Keyring = ring
	}
	c.DNSConfigPath = "/dev/null"
	c.GossipInterval = 500 * time.Millisecond
	c.ProbeInterval, c.ProbeTimeout, c.PushPullInterval = 500*time.Millisecond, 250*time.Millisecond, 5*time.Second
	c.DeadNodeReclaimTime = time.Second
	c.Delegate, c.Events, c.Alive = (*delegate)(i), (*delegate)(i), (*delegate)(i)
	c.Logger = slog.NewLogLogger(debugHandler{i.log.With("of", "membership").Handler()}, slog.LevelDebug)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort, Logger: c.Logger})
	if err != nil {
		return err
	}
	if c.BindPort == 0 {
		c.BindPort = t.GetAutoBindPort()
		c.AdvertisePort = cmp.Or(c.AdvertisePort, c.BindPort)
	}
	c.Transport = &transport{t, addr.Addr().AsSlice()}
	if i.memberlist, err = memberlist.Create(c); err != nil {
		return errors.Join(err, t.Shutdown())
	}
	i.log.Info("instances", "listen", addr.String(), "advertise", fmt.Sprintf("%s:%d", i.memberlist.LocalNode().Addr, i.memberlist.LocalNode().Port),
		"cluster", i.options.Cluster, "number", i.self.Number, "zone", i.self.Zone)
	return nil
}

// join calls those that are to be joined by and are not there yet, and waits for them for so long at the most.
func (i *Instances) join(wait time.Duration) {
	there := map[string]bool{}
	for _, n := range i.memberlist.Members() {
		there[fmt.Sprintf("%s:%d", n.Addr, n.Port)] = true
	}
	var call []string
	for _, a := range i.options.Call {
		if !there[a.String()] {
			call = append(call, a.String())
		}
	}
	if len(call) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, err := i.memberlist.Join(call)
		// Said once, and again after one was there: with another key or cluster nobody answers, and the reason stands in the error.
		if alone := n == 0 && len(there) <= 1; alone && !i.aloneLogged.Swap(true) {
			i.log.Warn("instances: nobody that is to be joined answers", "err", err)
		} else if !alone {
			i.aloneLogged.Store(false)
		}
	}()
	select {
	case <-done:
	case <-time.After(wait):
	}
}

// Run tells the others what this instance sees, and takes what they tell, until the context ends; then it leaves with a word.
func (i *Instances) Run(ctx context.Context) {
	tick := time.NewTicker(zones.TickInterval)
	defer tick.Stop()
	var g sync.WaitGroup
	g.Go(func() { i.rejoin(ctx) })
	for {
		select {
		case <-ctx.Done():
			g.Wait()
			i.announceLeave()
			if err := i.memberlist.Leave(leaveTimeout); err != nil {
				i.log.Warn("instances: the others were not told of the end", "err", err)
			}
			if err := i.memberlist.Shutdown(); err != nil {
				i.log.Warn("instances", "err", err)
			}
			return
		case b := <-i.received:
			i.handleMessage(b)
		case <-tick.C:
			i.tick()
		}
	}
}

// Runs tells the others of another version.
func (i *Instances) Runs(v app.Version) {
	i.mu.Lock()
	i.self.Version = v
	i.mu.Unlock()
	if err := i.memberlist.UpdateNode(sendTimeout); err != nil {
		i.log.Warn("instances: not all were told of another version", "err", err)
	}
}

// announceLeave tells the others that this process ends by its own will: membership tells them that it has gone, and not why.
func (i *Instances) announceLeave() {
	i.mu.Lock()
	all := i.otherMembers()
	i.mu.Unlock()
	i.sendReliably(all, (&zones.Message{From: i.self.Number, ShuttingDown: true}).Append(nil))
}

// sendReliably sends to those that live over connections, for a moment at the most, and tells whom it has reached, by name.
func (i *Instances) sendReliably(all []member, text []byte) map[string]bool {
	var mu sync.Mutex
	reached := map[string]bool{}
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, m := range all {
		if m.lostAt.IsZero() {
			g.Go(func() {
				if i.memberlist.SendReliable(m.node, text) == nil {
					mu.Lock()
					reached[m.Name] = true
					mu.Unlock()
				}
			})
		}
	}
	go func() { g.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(sendTimeout):
	}
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(reached)
}

func (i *Instances) rejoin(ctx context.Context) {
	for {
		wait := rejoinInterval/2 + rand.N(rejoinInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			i.join(rejoinInterval)
		}
	}
}

// otherMembers are those known, the latest incarnation of each name, by number, as they are now. Called with the lock held.
func (i *Instances) otherMembers() []member {
	all := make([]member, 0, len(i.known))
	for name, m := range i.known {
		if !m.lostAt.IsZero() && (m.announcedLeave || time.Since(m.lostAt) > i.options.Forget) {
			delete(i.known, name)
			continue
		}
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// zonePeers are the others as the machine knows them.
func (i *Instances) zonePeers(all []member) []zones.Peer {
	peers := make([]zones.Peer, 0, len(all))
	for _, m := range all {
		if m.Number != i.self.Number && m.DecidesZones && !i.superseded {
			peers = append(peers, zones.Peer{Number: m.Number, Zone: slices.Index(i.options.Zones, m.Zone), Alive: m.lostAt.IsZero()})
		}
	}
	return peers
}

// tick looks at what was seen here, lets the machine decide, and tells the others.
func (i *Instances) tick() {
	if i.options.Machine == nil {
		return
	}
	capacity := i.proxy.Capacity()
	i.mu.Lock()
	all := i.otherMembers()
	peers := i.zonePeers(all)
	i.proxy.Zones(func(now time.Duration) []logic.ZoneShare {
		sights, short := i.options.Meter.ZoneStats(now)
		i.options.Machine.SetPeers(peers)
		i.options.Machine.SetCapacity(capacity)
		var paused bool
		if i.leading, paused = i.options.Machine.Tick(now, sights, short); paused {
			i.options.Meter.Reset()
		}
		return i.changedShares()
	})
	i.ticks++
	changes := i.options.Machine.Changes()
	// While nothing is amiss less is told, and all of it as soon as something is.
	every := idleReportTicks
	if i.leading {
		every = idleLeaderTicks
	}
	if len(changes) > 0 || !i.options.Machine.Healthy() {
		every = 1
	}
	if i.ticks%every != 0 {
		i.mu.Unlock()
		return
	}
	own := i.options.Machine.OwnReport()
	for _, m := range all {
		if m.state() != "there" {
			own.Suspects = append(own.Suspects, m.Number)
		}
	}
	msg := zones.Message{From: i.self.Number, Report: &own, Overrides: i.options.Machine.Overrides()}
	if i.leading {
		v := i.options.Machine.Verdict()
		msg.Verdict, msg.FromLeader = &v, true
	}
	leaders := i.options.Machine.Leaders()
	leaders = leaders[:min(len(leaders), maxReportTargets)]
	toAll := i.leading || i.ticks%broadcastTicks == 0
	i.mu.Unlock()
	i.logChanges(changes)
	b := msg.Append(nil)
	for _, m := range all {
		if m.lostAt.IsZero() && (toAll || slices.Contains(leaders, m.Number)) {
			i.send(m.node, b)
		}
	}
}

// maxReportTargets is how many of those that may lead hear every report: one of each zone, as a rule.
const maxReportTargets = 4

// send sends a datagram; what is lost is told again soon.
func (i *Instances) send(to *memberlist.Node, b []byte) {
	if err := i.memberlist.SendBestEffort(to, b); err != nil {
		i.log.Debug("instances: send", "to", to.Name, "err", err)
	}
}

// changedShares are the parts for the module, nil if they are as before. Called with the lock and the host's lock held.
func (i *Instances) changedShares() []logic.ZoneShare {
	shares := make([]logic.ZoneShare, len(i.options.Zones))
	for z := range shares {
		share, trial := i.options.Machine.Share(z)
		shares[z] = logic.ZoneShare{Share: float64(int(share*zones.FullShare+0.5)) / zones.FullShare, Trial: trial}
	}
	if slices.Equal(shares, i.shares) || i.shares == nil && !slices.ContainsFunc(shares, func(s logic.ZoneShare) bool { return s.Share < 1 || s.Trial }) {
		return nil
	}
	i.shares = shares
	return shares
}

// logChanges logs what has changed.
func (i *Instances) logChanges(changes []zones.Change) {
	for _, c := range changes {
		i.log.Info("zone", "zone", i.options.Zones[c.Zone], "state", c.To.State.String(), "share", c.To.Share, "was", c.From.State.String(),
			"epoch", c.Epoch, "by", c.DecidedBy)
	}
}

// handleMessage takes a message.
func (i *Instances) handleMessage(b []byte) {
	msg, err := zones.Decode(b)
	if err != nil {
		i.log.Debug("instances: a message can't be read", "err", err)
		return
	}
	i.mu.Lock()
	if m := i.memberByNumber(msg.From); m != nil {
		m.lastHeard = time.Now()
		m.announcedLeave = msg.ShuttingDown
	}
	news := i.applyMessage(&msg)
	var changes []zones.Change
	if i.options.Machine != nil {
		changes = i.options.Machine.Changes()
	}
	var all []member
	if news {
		all = i.otherMembers()
	}
	i.mu.Unlock()
	i.logChanges(changes)
	if !news {
		return
	}
	// What is news here may be so to others whose link to the leader is cut.
	pass := zones.Message{From: i.self.Number, Verdict: msg.Verdict, Overrides: msg.Overrides}
	text := pass.Append(nil)
	rand.Shuffle(len(all), func(x, y int) { all[x], all[y] = all[y], all[x] })
	sent := 0
	for _, m := range all {
		if sent < forwardFanout && m.lostAt.IsZero() && m.Number != msg.From {
			i.send(m.node, text)
			sent++
		}
	}
}

// applyMessage hands a message to the machine, and what follows from it to the module. Called with the lock held.
func (i *Instances) applyMessage(msg *zones.Message) (news bool) {
	if i.options.Machine == nil || msg.From == i.self.Number {
		return false
	}
	i.proxy.Zones(func(now time.Duration) []logic.ZoneShare {
		if msg.Report != nil && msg.Report.Number == msg.From {
			i.options.Machine.ReceiveReport(now, *msg.Report)
		}
		if msg.Verdict != nil {
			news = i.options.Machine.ReceiveVerdict(now, msg.From, *msg.Verdict, msg.FromLeader)
		}
		news = i.options.Machine.MergeOverrides(now, msg.Overrides) || news
		return i.changedShares()
	})
	return news
}

func (i *Instances) memberByNumber(n int) *member {
	for _, m := range i.known {
		if m.Number == n && m.lostAt.IsZero() {
			return m
		}
	}
	return nil
}

// localState is all that an instance that joins has to know at once.
func (i *Instances) localState() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.options.Machine == nil {
		return nil
	}
	v := i.options.Machine.Verdict()
	msg := zones.Message{From: i.self.Number, Verdict: &v, Overrides: i.options.Machine.Overrides()}
	return msg.Append(nil)
}

// mergeState takes over what an instance that was joined, or that joins, knows.
func (i *Instances) mergeState(b []byte, join bool) {
	msg, err := zones.Decode(b)
	if err != nil || i.options.Machine == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !join || i.ticks > 0 {
		i.applyMessage(&msg)
		return
	}
	i.proxy.Zones(func(now time.Duration) []logic.ZoneShare {
		if msg.Verdict != nil {
			i.options.Machine.Inherit(now, *msg.Verdict, msg.Overrides)
		}
		return i.changedShares()
	})
}

func parseMeta(b []byte) (m meta, err error) {
	err = json.Unmarshal(b, &m)
	if err == nil && (m.Name == "" || m.Number < 0 || m.StartedAtMS <= 0) {
		err = errors.New("instances: a member says nothing of itself")
	}
	return m, err
}
