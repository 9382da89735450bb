// Package instances connects the instances of an installation: memberlist provides the membership, and
// on top of it the instances exchange reports and verdicts about zones. It decides nothing itself:
// package zones does, and package logic applies the share of each zone. It never carries clients'
// requests, never names a cache node, and resolves no host names. Without [instances] in the operator's
// file none of it runs.
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
	// maxMembers limits the instances that are known at once; further ones are refused.
	maxMembers = 256
	// inboxSize limits the received messages that wait to be processed. Further ones are dropped, like
	// any lost datagram.
	inboxSize = 1024
	// rejoinInterval is the mean time between attempts to join the configured addresses while one of
	// them is not an alive member. Without these attempts, a partition that outlasts memberlist's memory
	// of dead members would be permanent.
	rejoinInterval = 5 * time.Second
	// joinTimeout is how long the start waits for the state of the other instances.
	joinTimeout  = 2 * time.Second
	leaveTimeout = time.Second
	// broadcastTicks is the number of ticks between two reports that go to all instances instead of only
	// the leaders, so that operators can see them.
	broadcastTicks                   = 24
	idleLeaderTicks, idleReportTicks = 4, 6 // ticks between two messages while all zones are healthy
	// forwardFanout is the number of instances to which a new verdict or override is forwarded.
	forwardFanout = 3
	sendTimeout   = time.Second
	// suspectTimeout is how long an instance may be silent before this one lists it as suspected.
	suspectTimeout = 3 * time.Second
)

// meta is the metadata that an instance publishes through memberlist.
type meta struct {
	Name         string      `json:"n"`
	Number       int         `json:"i"`
	Zone         string      `json:"z"`
	StartedAtMS  int64       `json:"s"` // Unix time; identifies the incarnation
	Version      app.Version `json:"v"`
	DecidesZones bool        `json:"d"` // takes part in decisions on zones and sends reports
}

// Instances is this instance's membership in the installation. It implements app.Fleet.
type Instances struct {
	options     app.FleetConfig
	proxy       *proxy.Proxy
	log         *slog.Logger
	memberlist  *memberlist.Memberlist
	self        meta
	received    chan []byte
	aloneLogged atomic.Bool // no other instance is alive, and this has been logged

	mu      sync.Mutex
	known   map[string]*member
	shares  []logic.ZoneShare // as last passed to the balancer
	leading bool
	// superseded is set once a later process of this proxy is a member and takes this one's place.
	superseded bool
	ticks      int
}

// member is another instance, identified by its name.
type member struct {
	meta
	node           *memberlist.Node
	lostAt         time.Time // when it was last lost or left; zero while it is alive
	announcedLeave bool
	lastHeard      time.Time // when its last message arrived
}

// state returns "there", "lost", or "suspected" if the instance should send reports and has sent none
// for suspectTimeout.
func (m *member) state() string {
	switch {
	case !m.lostAt.IsZero():
		return "lost"
	case m.DecidesZones && time.Since(m.lastHeard) > suspectTimeout:
		return "suspected"
	}
	return "there"
}

// New starts the membership on the first address that can be bound.
func New(o app.FleetConfig) (*Instances, error) {
	i := &Instances{options: o, proxy: o.Proxy, log: o.Log, received: make(chan []byte, inboxSize), known: map[string]*member{},
		self: meta{Name: o.Name, Number: o.Number, StartedAtMS: o.StartedAt.UnixMilli(), DecidesZones: o.Machine != nil, Version: o.Version}}
	if o.Zone >= 0 && o.Zone < len(o.Zones) {
		i.self.Zone = o.Zones[o.Zone]
	}
	var err error
	for index := range o.Listen {
		if err = i.listen(index); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("instances: %w", err)
	}
	return i, nil
}

// Join contacts the other instances. Once it returns, their state is in force here, if any of them
// answered in time.
func (i *Instances) Join() { i.join(joinTimeout) }

// listen starts memberlist on one of the configured addresses.
func (i *Instances) listen(index int) error {
	addr := i.options.Listen[index]
	config := memberlist.DefaultLANConfig()
	config.Name = fmt.Sprintf("%s@%d", i.options.Name, i.self.StartedAtMS)
	config.Label = i.options.Cluster
	config.BindAddr, config.BindPort = addr.Addr().String(), int(addr.Port())
	config.AdvertisePort = config.BindPort
	if len(i.options.Advertise) > index {
		config.AdvertiseAddr, config.AdvertisePort = i.options.Advertise[index].Addr().String(), int(i.options.Advertise[index].Port())
	}
	if len(i.options.Keys) > 0 {
		ring, err := memberlist.NewKeyring(i.options.Keys, i.options.Keys[0])
		if err != nil {
			return err
		}
		config.Keyring = ring
	}
	config.DNSConfigPath = "/dev/null"
	config.GossipInterval = 500 * time.Millisecond
	config.ProbeInterval, config.ProbeTimeout, config.PushPullInterval = 500*time.Millisecond, 250*time.Millisecond, 5*time.Second
	config.DeadNodeReclaimTime = time.Second
	config.Delegate, config.Events, config.Alive = (*delegate)(i), (*delegate)(i), (*delegate)(i)
	config.Logger = slog.NewLogLogger(debugHandler{i.log.With("of", "membership").Handler()}, slog.LevelDebug)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{config.BindAddr}, BindPort: config.BindPort, Logger: config.Logger})
	if err != nil {
		return err
	}
	if config.BindPort == 0 {
		config.BindPort = t.GetAutoBindPort()
		config.AdvertisePort = cmp.Or(config.AdvertisePort, config.BindPort)
	}
	config.Transport = &transport{t, addr.Addr().AsSlice()}
	if i.memberlist, err = memberlist.Create(config); err != nil {
		return errors.Join(err, t.Shutdown())
	}
	i.log.Info("instances", "listen", addr.String(), "advertise", fmt.Sprintf("%s:%d", i.memberlist.LocalNode().Addr, i.memberlist.LocalNode().Port),
		"cluster", i.options.Cluster, "number", i.self.Number, "zone", i.self.Zone)
	return nil
}

// join contacts the configured addresses that are not alive members, and waits at most the given time.
func (i *Instances) join(wait time.Duration) {
	alive := map[string]bool{}
	for _, n := range i.memberlist.Members() {
		alive[fmt.Sprintf("%s:%d", n.Addr, n.Port)] = true
	}
	var missing []string
	for _, a := range i.options.JoinAddrs {
		if !alive[a.String()] {
			missing = append(missing, a.String())
		}
	}
	if len(missing) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		n, err := i.memberlist.Join(missing)
		// Logged once, and again after another instance was a member: with a different key or cluster no
		// instance answers, and the error has the reason.
		if alone := n == 0 && len(alive) <= 1; alone && !i.aloneLogged.Swap(true) {
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

// Run sends this instance's reports and processes received messages until the context ends. Then it
// announces its shutdown and leaves.
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
				i.log.Warn("instances: leaving the cluster was not announced", "err", err)
			}
			if err := i.memberlist.Shutdown(); err != nil {
				i.log.Warn("instances: memberlist shutdown", "err", err)
			}
			return
		case b := <-i.received:
			i.handleMessage(b)
		case <-tick.C:
			i.tick()
		}
	}
}

// SetVersion publishes a changed version.
func (i *Instances) SetVersion(v app.Version) {
	i.mu.Lock()
	i.self.Version = v
	i.mu.Unlock()
	if err := i.memberlist.UpdateNode(sendTimeout); err != nil {
		i.log.Warn("instances: the new version did not reach all instances", "err", err)
	}
}

// announceLeave tells the other instances that this process shuts down on purpose. Memberlist reports
// only that a member left, and not why.
func (i *Instances) announceLeave() {
	i.mu.Lock()
	members := i.otherMembers()
	i.mu.Unlock()
	i.sendReliably(members, (&zones.Message{From: i.self.Number, ShuttingDown: true}).Append(nil))
}

// sendReliably sends an encoded message over connections to those of the given members that are alive,
// and waits for at most sendTimeout. It returns the names of those that were reached.
func (i *Instances) sendReliably(members []member, message []byte) map[string]bool {
	var mu sync.Mutex
	reached := map[string]bool{}
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, m := range members {
		if m.lostAt.IsZero() {
			g.Go(func() {
				if i.memberlist.SendReliable(m.node, message) == nil {
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

// otherMembers forgets the instances that have left and those that have been lost for longer than
// ForgetAfter. It returns a copy of the remaining ones, the latest incarnation of each name, ordered by
// number. The lock must be held.
func (i *Instances) otherMembers() []member {
	members := make([]member, 0, len(i.known))
	for name, m := range i.known {
		if !m.lostAt.IsZero() && (m.announcedLeave || time.Since(m.lostAt) > i.options.ForgetAfter) {
			delete(i.known, name)
			continue
		}
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Name, b.Name))
	})
	return members
}

// zonePeers converts the members to the form that the zones machine takes.
func (i *Instances) zonePeers(members []member) []zones.Peer {
	peers := make([]zones.Peer, 0, len(members))
	for _, m := range members {
		if m.Number != i.self.Number && m.DecidesZones && !i.superseded {
			peers = append(peers, zones.Peer{Number: m.Number, Zone: slices.Index(i.options.Zones, m.Zone), Alive: m.lostAt.IsZero()})
		}
	}
	return peers
}

// tick collects this instance's statistics, runs the machine, and sends the resulting message.
func (i *Instances) tick() {
	if i.options.Machine == nil {
		return
	}
	capacity := i.proxy.ZoneCapacity()
	i.mu.Lock()
	members := i.otherMembers()
	peers := i.zonePeers(members)
	i.proxy.UpdateZoneShares(func(now time.Duration) []logic.ZoneShare {
		stats, originRefusals := i.options.Meter.ZoneStats(now)
		i.options.Machine.SetPeers(peers)
		i.options.Machine.SetCapacity(capacity)
		var paused bool
		if i.leading, paused = i.options.Machine.Tick(now, stats, originRefusals); paused {
			i.options.Meter.Reset()
		}
		return i.changedShares()
	})
	i.ticks++
	changes := i.options.Machine.Changes()
	// While all zones are healthy, messages are sent less often. Any change or fault restores the full
	// rate at once.
	ticksBetweenMessages := idleReportTicks
	if i.leading {
		ticksBetweenMessages = idleLeaderTicks
	}
	if len(changes) > 0 || !i.options.Machine.Healthy() {
		ticksBetweenMessages = 1
	}
	if i.ticks%ticksBetweenMessages != 0 {
		i.mu.Unlock()
		return
	}
	own := i.options.Machine.OwnReport()
	for _, m := range members {
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
	for _, m := range members {
		if m.lostAt.IsZero() && (toAll || slices.Contains(leaders, m.Number)) {
			i.send(m.node, b)
		}
	}
}

// maxReportTargets is the number of instances, first in the leader order, that receive every report:
// usually one of each zone.
const maxReportTargets = 4

// send sends a datagram. A lost one is superseded by a later message.
func (i *Instances) send(to *memberlist.Node, b []byte) {
	if err := i.memberlist.SendBestEffort(to, b); err != nil {
		i.log.Debug("instances: sending a message failed", "to", to.Name, "err", err)
	}
}

// changedShares returns the zone shares for the balancer, or nil if they have not changed. The lock and
// the proxy's lock must be held.
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

// logChanges logs changes of zones.
func (i *Instances) logChanges(changes []zones.Change) {
	for _, c := range changes {
		i.log.Info("zone", "zone", i.options.Zones[c.Zone], "state", c.To.State.String(), "share", c.To.Share, "was", c.From.State.String(),
			"epoch", c.Epoch, "by", c.DecidedBy)
	}
}

// handleMessage processes a received message. A verdict or override that is new is forwarded to a few
// other instances.
func (i *Instances) handleMessage(b []byte) {
	msg, err := zones.Decode(b)
	if err != nil {
		i.log.Debug("instances: malformed message", "err", err)
		return
	}
	i.mu.Lock()
	if m := i.memberByNumber(msg.From); m != nil {
		m.lastHeard = time.Now()
		m.announcedLeave = msg.ShuttingDown
	}
	isNew := i.applyMessage(&msg)
	var changes []zones.Change
	if i.options.Machine != nil {
		changes = i.options.Machine.Changes()
	}
	var members []member
	if isNew {
		members = i.otherMembers()
	}
	i.mu.Unlock()
	i.logChanges(changes)
	if !isNew {
		return
	}
	// Other instances may not have received the verdict or override either, if their link to the leader
	// is cut.
	forwarded := zones.Message{From: i.self.Number, Verdict: msg.Verdict, Overrides: msg.Overrides}
	encoded := forwarded.Append(nil)
	rand.Shuffle(len(members), func(x, y int) { members[x], members[y] = members[y], members[x] })
	sent := 0
	for _, m := range members {
		if sent < forwardFanout && m.lostAt.IsZero() && m.Number != msg.From {
			i.send(m.node, encoded)
			sent++
		}
	}
}

// applyMessage passes a message to the machine, and the resulting shares to the balancer. It reports
// whether the message had a new verdict or override. The lock must be held.
func (i *Instances) applyMessage(msg *zones.Message) (isNew bool) {
	if i.options.Machine == nil || msg.From == i.self.Number {
		return false
	}
	i.proxy.UpdateZoneShares(func(now time.Duration) []logic.ZoneShare {
		if msg.Report != nil && msg.Report.Number == msg.From {
			i.options.Machine.ReceiveReport(now, *msg.Report)
		}
		if msg.Verdict != nil {
			isNew = i.options.Machine.ReceiveVerdict(now, msg.From, *msg.Verdict, msg.FromLeader)
		}
		isNew = i.options.Machine.MergeOverrides(now, msg.Overrides) || isNew
		return i.changedShares()
	})
	return isNew
}

func (i *Instances) memberByNumber(n int) *member {
	for _, m := range i.known {
		if m.Number == n && m.lostAt.IsZero() {
			return m
		}
	}
	return nil
}

// localState encodes what a joining instance has to know at once.
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

// mergeState applies the encoded state of another instance. If the state was exchanged in a join and this
// instance has not ticked yet, it starts from that state; otherwise the state is merged like a message.
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
	i.proxy.UpdateZoneShares(func(now time.Duration) []logic.ZoneShare {
		if msg.Verdict != nil {
			i.options.Machine.Inherit(now, *msg.Verdict, msg.Overrides)
		}
		return i.changedShares()
	})
}

func parseMeta(b []byte) (m meta, err error) {
	err = json.Unmarshal(b, &m)
	if err == nil && (m.Name == "" || m.Number < 0 || m.StartedAtMS <= 0) {
		err = errors.New("instances: invalid member metadata")
	}
	return m, err
}
