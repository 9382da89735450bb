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
	// mostMembers bounds the instances that are known at once; further ones are turned away.
	mostMembers = 256
	// inbox bounds the messages that wait to be read. One that finds no room is lost, like any datagram.
	inbox = 1024
	// rejoinEvery is how often the addresses to join by are tried while one of them is not among those that live: a partition that lasts
	// longer than membership remembers its dead would else last for good.
	rejoinEvery = 5 * time.Second
	// joinWait is how long the start waits to hear what holds.
	joinWait  = 2 * time.Second
	leaveWait = time.Second
	// allEvery is how many reports go to the leaders only before one goes to all, for operators to see.
	allEvery               = 24
	calmLeader, calmReport = 4, 6 // ticks between two messages
	// forwards is to how many others a verdict that is news is passed on.
	forwards = 3
	callWait = time.Second
	// silentFor is how long an instance may be silent before this one says that it does not hear it.
	silentFor = 3 * time.Second
)

// meta is what an instance says of itself to membership.
type meta struct {
	Name    string      `json:"n"`
	Number  int         `json:"i"`
	Zone    string      `json:"z"`
	Since   int64       `json:"s"` // Unix milliseconds: its incarnation
	Version app.Version `json:"v"`
	Zones   bool        `json:"d"` // it decides on zones with the others, and tells what it sees
}

// Instances is this instance's part.
type Instances struct {
	o     app.Joined
	p     *proxy.Proxy
	log   *slog.Logger
	list  *memberlist.Memberlist
	self  meta
	in    chan []byte
	alone atomic.Bool // nobody is there, and that has been said

	mu     sync.Mutex
	seen   map[string]*member
	shares []logic.ZoneShare // as last handed to the module
	leads  bool
	// followed: a later process of this proxy is there, and stands in this one's place among the others.
	followed bool
	ticks    int
}

// member is another instance, by name.
type member struct {
	meta
	node   *memberlist.Node
	gone   time.Time // when it was last lost without a word; zero: it lives
	left   bool
	moment time.Time // when it was last heard by its messages
}

// state is how an instance stands with this one: there, suspected (it should tell something, and has not for silentFor), or lost.
func (m *member) state() string {
	switch {
	case !m.gone.IsZero():
		return "lost"
	case m.Zones && time.Since(m.moment) > silentFor:
		return "suspected"
	}
	return "there"
}

// New listens for the others.
func New(o app.Joined) (*Instances, error) {
	i := &Instances{o: o, p: o.Proxy, log: o.Log, in: make(chan []byte, inbox), seen: map[string]*member{},
		self: meta{Name: o.Name, Number: o.Number, Since: o.Since.UnixMilli(), Zones: o.Machine != nil, Version: o.Version}}
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
func (i *Instances) Join() { i.join(joinWait) }

// listen starts membership at one of the addresses.
func (i *Instances) listen(at int) error {
	addr := i.o.Listen[at]
	c := memberlist.DefaultLANConfig()
	c.Name = fmt.Sprintf("%s@%d", i.o.Name, i.self.Since)
	c.Label = i.o.Cluster
	c.BindAddr, c.BindPort = addr.Addr().String(), int(addr.Port())
	c.AdvertisePort = c.BindPort
	if len(i.o.Tell) > at {
		c.AdvertiseAddr, c.AdvertisePort = i.o.Tell[at].Addr().String(), int(i.o.Tell[at].Port())
	}
	if len(i.o.Keys) > 0 {
		ring, err := memberlist.NewKeyring(i.o.Keys, i.o.Keys[0])
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
	c.Logger = slog.NewLogLogger(quieter{i.log.With("of", "membership").Handler()}, slog.LevelDebug)
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{c.BindAddr}, BindPort: c.BindPort, Logger: c.Logger})
	if err != nil {
		return err
	}
	if c.BindPort == 0 {
		c.BindPort = t.GetAutoBindPort()
		c.AdvertisePort = cmp.Or(c.AdvertisePort, c.BindPort)
	}
	c.Transport = &transport{t, addr.Addr().AsSlice()}
	if i.list, err = memberlist.Create(c); err != nil {
		return errors.Join(err, t.Shutdown())
	}
	i.log.Info("instances", "listen", addr.String(), "advertise", fmt.Sprintf("%s:%d", i.list.LocalNode().Addr, i.list.LocalNode().Port),
		"cluster", i.o.Cluster, "number", i.self.Number, "zone", i.self.Zone)
	return nil
}

// join calls those that are to be joined by and are not there yet, and waits for them for so long at the most.
func (i *Instances) join(wait time.Duration) {
	there := map[string]bool{}
	for _, n := range i.list.Members() {
		there[fmt.Sprintf("%s:%d", n.Addr, n.Port)] = true
	}
	var call []string
	for _, a := range i.o.Call {
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
		n, err := i.list.Join(call)
		// Said once, and again after one was there: with another key or cluster nobody answers, and the reason stands in the error.
		if alone := n == 0 && len(there) <= 1; alone && !i.alone.Swap(true) {
			i.log.Warn("instances: nobody that is to be joined answers", "err", err)
		} else if !alone {
			i.alone.Store(false)
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
			i.goodbye()
			if err := i.list.Leave(leaveWait); err != nil {
				i.log.Warn("instances: the others were not told of the end", "err", err)
			}
			if err := i.list.Shutdown(); err != nil {
				i.log.Warn("instances", "err", err)
			}
			return
		case b := <-i.in:
			i.take(b)
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
	if err := i.list.UpdateNode(callWait); err != nil {
		i.log.Warn("instances: not all were told of another version", "err", err)
	}
}

// goodbye tells the others that this process ends by its own will: membership tells them that it has gone, and not why.
func (i *Instances) goodbye() {
	i.mu.Lock()
	all := i.others()
	i.mu.Unlock()
	i.reliably(all, (&zones.Message{From: i.self.Number, ShuttingDown: true}).Append(nil))
}

// reliably sends to those that live over connections, for a moment at the most, and tells whom it has reached, by name.
func (i *Instances) reliably(all []member, text []byte) map[string]bool {
	var mu sync.Mutex
	reached := map[string]bool{}
	done := make(chan struct{})
	var g sync.WaitGroup
	for _, m := range all {
		if m.gone.IsZero() {
			g.Go(func() {
				if i.list.SendReliable(m.node, text) == nil {
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
	case <-time.After(callWait):
	}
	mu.Lock()
	defer mu.Unlock()
	return maps.Clone(reached)
}

func (i *Instances) rejoin(ctx context.Context) {
	for {
		wait := rejoinEvery/2 + rand.N(rejoinEvery)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
			i.join(rejoinEvery)
		}
	}
}

// others are those known, the latest incarnation of each name, by number, as they are now. Called with the lock held.
func (i *Instances) others() []member {
	all := make([]member, 0, len(i.seen))
	for name, m := range i.seen {
		if !m.gone.IsZero() && (m.left || time.Since(m.gone) > i.o.Forget) {
			delete(i.seen, name)
			continue
		}
		all = append(all, *m)
	}
	slices.SortFunc(all, func(a, b member) int {
		return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Name, b.Name))
	})
	return all
}

// peers are the others as the machine knows them.
func (i *Instances) peers(all []member) []zones.Peer {
	peers := make([]zones.Peer, 0, len(all))
	for _, m := range all {
		if m.Number != i.self.Number && m.Zones && !i.followed {
			peers = append(peers, zones.Peer{Number: m.Number, Zone: slices.Index(i.o.Zones, m.Zone), Alive: m.gone.IsZero()})
		}
	}
	return peers
}

// tick looks at what was seen here, lets the machine decide, and tells the others.
func (i *Instances) tick() {
	if i.o.Machine == nil {
		return
	}
	capacity := i.p.Capacity()
	i.mu.Lock()
	all := i.others()
	peers := i.peers(all)
	i.p.Zones(func(now time.Duration) []logic.ZoneShare {
		sights, short := i.o.Meter.ZoneStats(now)
		i.o.Machine.SetPeers(peers)
		i.o.Machine.SetCapacity(capacity)
		var paused bool
		if i.leads, paused = i.o.Machine.Tick(now, sights, short); paused {
			i.o.Meter.Reset()
		}
		return i.newShares()
	})
	i.ticks++
	changes := i.o.Machine.Changes()
	// While nothing is amiss less is told, and all of it as soon as something is.
	every := calmReport
	if i.leads {
		every = calmLeader
	}
	if len(changes) > 0 || !i.o.Machine.Healthy() {
		every = 1
	}
	if i.ticks%every != 0 {
		i.mu.Unlock()
		return
	}
	own := i.o.Machine.OwnReport()
	for _, m := range all {
		if m.state() != "there" {
			own.Suspects = append(own.Suspects, m.Number)
		}
	}
	msg := zones.Message{From: i.self.Number, Report: &own, Overrides: i.o.Machine.Overrides()}
	if i.leads {
		v := i.o.Machine.Verdict()
		msg.Verdict, msg.FromLeader = &v, true
	}
	leaders := i.o.Machine.Leaders()
	leaders = leaders[:min(len(leaders), mostLeaders)]
	toAll := i.leads || i.ticks%allEvery == 0
	i.mu.Unlock()
	i.tell(changes)
	b := msg.Append(nil)
	for _, m := range all {
		if m.gone.IsZero() && (toAll || slices.Contains(leaders, m.Number)) {
			i.send(m.node, b)
		}
	}
}

// mostLeaders is how many of those that may lead hear every report: one of each zone, as a rule.
const mostLeaders = 4

// send sends a datagram; what is lost is told again soon.
func (i *Instances) send(to *memberlist.Node, b []byte) {
	if err := i.list.SendBestEffort(to, b); err != nil {
		i.log.Debug("instances: send", "to", to.Name, "err", err)
	}
}

// newShares are the parts for the module, nil if they are as before. Called with the lock and the host's lock held.
func (i *Instances) newShares() []logic.ZoneShare {
	shares := make([]logic.ZoneShare, len(i.o.Zones))
	for z := range shares {
		share, trial := i.o.Machine.Share(z)
		shares[z] = logic.ZoneShare{Share: float64(int(share*zones.FullShare+0.5)) / zones.FullShare, Trial: trial}
	}
	if slices.Equal(shares, i.shares) || i.shares == nil && !slices.ContainsFunc(shares, func(s logic.ZoneShare) bool { return s.Share < 1 || s.Trial }) {
		return nil
	}
	i.shares = shares
	return shares
}

// tell logs what has changed.
func (i *Instances) tell(changes []zones.Change) {
	for _, c := range changes {
		i.log.Info("zone", "zone", i.o.Zones[c.Zone], "state", c.To.State.String(), "share", c.To.Share, "was", c.From.State.String(),
			"epoch", c.Epoch, "by", c.DecidedBy)
	}
}

// take takes a message.
func (i *Instances) take(b []byte) {
	msg, err := zones.Decode(b)
	if err != nil {
		i.log.Debug("instances: a message can't be read", "err", err)
		return
	}
	i.mu.Lock()
	if m := i.byNumber(msg.From); m != nil {
		m.moment = time.Now()
		m.left = msg.ShuttingDown
	}
	news := i.hear(&msg)
	var changes []zones.Change
	if i.o.Machine != nil {
		changes = i.o.Machine.Changes()
	}
	var all []member
	if news {
		all = i.others()
	}
	i.mu.Unlock()
	i.tell(changes)
	if !news {
		return
	}
	// What is news here may be so to others whose link to the leader is cut.
	pass := zones.Message{From: i.self.Number, Verdict: msg.Verdict, Overrides: msg.Overrides}
	text := pass.Append(nil)
	rand.Shuffle(len(all), func(x, y int) { all[x], all[y] = all[y], all[x] })
	sent := 0
	for _, m := range all {
		if sent < forwards && m.gone.IsZero() && m.Number != msg.From {
			i.send(m.node, text)
			sent++
		}
	}
}

// hear hands a message to the machine, and what follows from it to the module. Called with the lock held.
func (i *Instances) hear(msg *zones.Message) (news bool) {
	if i.o.Machine == nil || msg.From == i.self.Number {
		return false
	}
	i.p.Zones(func(now time.Duration) []logic.ZoneShare {
		if msg.Report != nil && msg.Report.Number == msg.From {
			i.o.Machine.ReceiveReport(now, *msg.Report)
		}
		if msg.Verdict != nil {
			news = i.o.Machine.ReceiveVerdict(now, msg.From, *msg.Verdict, msg.FromLeader)
		}
		news = i.o.Machine.MergeOverrides(now, msg.Overrides) || news
		return i.newShares()
	})
	return news
}

func (i *Instances) byNumber(n int) *member {
	for _, m := range i.seen {
		if m.Number == n && m.gone.IsZero() {
			return m
		}
	}
	return nil
}

// state is all that an instance that joins has to know at once.
func (i *Instances) state() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.o.Machine == nil {
		return nil
	}
	v := i.o.Machine.Verdict()
	msg := zones.Message{From: i.self.Number, Verdict: &v, Overrides: i.o.Machine.Overrides()}
	return msg.Append(nil)
}

// merge takes over what an instance that was joined, or that joins, knows.
func (i *Instances) merge(b []byte, join bool) {
	msg, err := zones.Decode(b)
	if err != nil || i.o.Machine == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if !join || i.ticks > 0 {
		i.hear(&msg)
		return
	}
	i.p.Zones(func(now time.Duration) []logic.ZoneShare {
		if msg.Verdict != nil {
			i.o.Machine.Inherit(now, *msg.Verdict, msg.Overrides)
		}
		return i.newShares()
	})
}

func parseMeta(b []byte) (m meta, err error) {
	err = json.Unmarshal(b, &m)
	if err == nil && (m.Name == "" || m.Number < 0 || m.Since <= 0) {
		err = errors.New("instances: a member says nothing of itself")
	}
	return m, err
}
