// Package cluster is the rig of many processes: real proxies before boxes in several zones, an origin and discovery, on loopback, with a relay
// of its own on every link between any two of them, and the four rules watched at both ends. It is a helper of tests and of the lab; nothing
// that serves depends on it.
//
// Who connects over a link that is cut finds that the connection comes up and stays silent: loopback knows no connection that never comes up.
package cluster

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"linenloom/internal/discovery"
	"linenloom/internal/mgmt"
	"linenloom/internal/standin"
)

// Options are a cluster's.
type Options struct {
	Zones        []string
	Boxes        int // in each zone
	Proxies      int // dealt out over the zones in turn
	Service      time.Duration
	Places       int // requests that a box works on at once; 0: any number
	Seed         uint64
	Crossing     float64 // what a request that crosses zones costs, in worth; 0: one table for all
	Origin       time.Duration
	OriginPlaces int
	// Operator is further text of each proxy's operator's file, where DIR stands for a folder of its own; Together says whether they know
	// of one another and decide on zones together.
	Operator string
	Together bool
	Program  string // the program, and what makes it one
	Env      []string
	Dir      string         // scratch
	Set      map[string]any // further settings
	Regions  map[string][]string
	// Deadlines checks what members are told of deadlines; nil: nobody does. A client's time counts from when its link has passed its request on, and
	// what a member is told by when it has been written to the member's link, so that the links and the stand-ins take no time of either.
	Deadlines *standin.DeadlineChecker
	// Copies checks that members have one attempt of a request at a time; nil: nobody does. A link that is cut, and healed while another attempt is
	// out, makes it find fault: it holds what was sent for longer than a proxy can wait.
	Copies *standin.DuplicateChecker
}

// Cluster is all of it.
type Cluster struct {
	Options
	Fleet   *standin.Fleet
	Proxies []*Proxy
	start   time.Time
	net     string // its own addresses: 127.A.B.
	fronts  []net.Listener
	gossips []*gossip
	mu      sync.Mutex
	links   map[[2]string]*Link
}

// Proxy is one proxy, whatever process serves as it.
type Proxy struct {
	*Process
	Number int
	Name   string
	Zone   string
	Addr   string // for clients, over a link
	Mgmt   string
	Dir    string // what lasts
	c      *Cluster
	host   string
	starts int
	env    []string
	args   []string
}

// nets counts the clusters of this process, so that each has addresses of its own.
var nets atomic.Int32

const (
	servePort  = 16379
	gossipPort = 17946 // and the next, for a process that takes over; so with mgmtPort
	mgmtPort   = 18080

	callTime = 5 * time.Second
)

// keyText is a key that is no secret: the same for all clusters.
const keyText = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// New starts the stand-ins and the links, and no proxy yet.
func New(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, start: time.Now(), links: map[[2]string]*Link{}}
	err := c.addresses()
	if err != nil {
		return nil, err
	}
	if c.Fleet, err = standin.NewZonedFleet(o.Zones, o.Boxes, 200); err != nil {
		return nil, err
	}
	for _, b := range c.Fleet.Caches {
		b.SetService(o.Service, o.Places)
	}
	c.Fleet.Origin.SetService(o.Origin, o.OriginPlaces)
	c.Fleet.Overrides = o.Set
	if o.Deadlines != nil {
		o.Deadlines.IDPrefix = c.idPrefix()
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "key"), []byte(keyText+"\n"), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Proxies {
		if err := c.prepare(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// addresses finds a part of the loopback network that no other cluster has, of this process or another.
func (c *Cluster) addresses() (err error) {
	for range 20 {
		c.net = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 1+int(nets.Add(1))%250)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.net, 101, gossipPort)); err == nil {
			return l.Close()
		}
	}
	return fmt.Errorf("cluster: no addresses are free: %w", err)
}

// idPrefix begins the ids of this cluster's requests. Ports are used again, and a proxy of another cluster on this machine may ask for a moment
// where one of this one's boxes listens now.
func (c *Cluster) idPrefix() string { return strings.ReplaceAll(c.net, ".", "-") }

// proxyName is a proxy's name, as it stands at both ends of its links.
func proxyName(i int) string { return fmt.Sprintf("n%d", i) }

// Link is the link between two, by their names: a proxy's, a box's, "o-1", "discovery" or "clients".
func (c *Cluster) Link(from, to string) *Link {
	l := c.link(from, to)
	if l == nil {
		panic(fmt.Sprintf("cluster: no link from %s to %s", from, to))
	}
	return l
}

// link is a link, nil if there is none.
func (c *Cluster) link(from, to string) *Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[[2]string{from, to}]
}

// add makes a link.
func (c *Cluster) add(from, to string) *Link {
	l := newLink(c.start, []byte(c.idPrefix()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[[2]string{from, to}] = l
	return l
}

// relay makes a link that stands before an address, and returns where.
func (c *Cluster) relay(from, to, at, addr string) (string, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	link := c.add(from, to)
	c.fronts = append(c.fronts, l)
	go link.tcp(l, addr)
	return l.Addr().String(), nil
}

// prepare makes a proxy's links and files.
func (c *Cluster) prepare(i int) error {
	name, zone := proxyName(i), c.Zones[i%len(c.Zones)]
	p := &Proxy{Number: i, Name: name, Zone: zone, c: c}
	own, front := fmt.Sprintf("%s%d", c.net, 1+i), fmt.Sprintf("%s%d", c.net, 101+i)
	addrs := map[string]string{}
	members := c.Fleet.Registry.List().Members
	for _, m := range members {
		at, err := c.relay(name, m.ID, "127.0.0.1:0", m.HostPort)
		if err != nil {
			return err
		}
		addrs[m.ID] = at
		c.Link(name, m.ID).watched(func(from net.Conn) *standin.Observer {
			watch := c.Copies.Observe(m.ID, m.ID == c.Fleet.Origin.ID, from)
			if c.Deadlines == nil {
				return watch
			}
			return watch.NotifyRequests(func(id, attrs string) { c.Deadlines.AttemptReceived(m.ID, id, attrs) })
		})
	}
	see := func(m discovery.Member) discovery.Member {
		if at := addrs[m.ID]; at != "" {
			m.HostPort = at
		}
		return m
	}
	view, err := c.Fleet.Registry.ListenView(see)
	if err != nil {
		return err
	}
	disco, err := c.relay(name, "discovery", "127.0.0.1:0", view)
	if err != nil {
		return err
	}
	listen := fmt.Sprintf("%s:%d", own, servePort)
	if p.Addr, err = c.relay("clients", name, "127.0.0.1:0", listen); err != nil {
		return err
	}
	if c.Deadlines != nil {
		c.Link("clients", name).passing(c.Deadlines.RequestSent)
	}
	p.host = own
	p.Mgmt = p.calls(mgmtPort)
	for j := range c.Options.Proxies {
		if j != i {
			c.add(proxyName(j), name)
		}
	}
	var at, told []string
	for port := gossipPort; port < gossipPort+2; port++ {
		at, told = append(at, fmt.Sprintf("%s:%d", own, port)), append(told, fmt.Sprintf("%s:%d", front, port))
		g, err := newGossip(told[len(told)-1], at[len(at)-1], func(from net.IP) *Link {
			n := int(from.To4()[3]) - 1
			return c.link(proxyName(n), name)
		})
		if err != nil {
			return err
		}
		c.gossips = append(c.gossips, g)
	}
	text, err := c.Fleet.Config(name, listen, fmt.Sprintf("%x", c.Seed+uint64(i)*7919+1), 128, 1024)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config["discovery"], config["mgmt"] = disco, p.Mgmt
	settings := config["settings"].(map[string]any)
	settings["instances"], settings["self_index"], settings["az"] = c.Options.Proxies, i, i%len(c.Zones)
	settings["deductions"] = map[string]any{"cross_zone": c.Crossing}
	known := c.Fleet.Registry.List()
	for k, m := range known.Members {
		known.Members[k] = see(m)
	}
	config["known"] = known
	if text, err = json.MarshalIndent(config, "", " "); err != nil {
		return err
	}
	path, op := filepath.Join(c.Dir, name+".json"), filepath.Join(c.Dir, name+".toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	p.Dir = filepath.Join(c.Dir, name+".d")
	if err := os.MkdirAll(p.Dir, 0o700); err != nil {
		return err
	}
	operator := strings.ReplaceAll(c.Operator, "DIR", p.Dir)
	if c.Together {
		var join []string
		for j := range min(3, c.Options.Proxies) {
			join = append(join, fmt.Sprintf("%s%d:%d", c.net, 101+j, gossipPort))
		}
		operator += fmt.Sprintf("[instances]\nlisten = %s\nadvertise = %s\njoin = %s\nkey_file = %q\n[zones]\n", list(at), list(told), list(join),
			filepath.Join(c.Dir, "key"))
		for name, zones := range c.Regions {
			operator += fmt.Sprintf("[[zones.region]]\nname = %q\nzones = %s\n", name, list(zones))
		}
	}
	if err := os.WriteFile(op, []byte(operator), 0o600); err != nil {
		return err
	}
	tmp := filepath.Join(c.Dir, name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	p.env, p.args = append([]string{"LB_CONFIG=" + path, "TMPDIR=" + tmp}, c.Env...), []string{"-operator", op}
	c.Proxies = append(c.Proxies, p)
	return nil
}

// list is a list of texts as TOML has it.
func list(texts []string) string {
	b, _ := json.Marshal(texts) // it knows no error here, and the two write it alike
	return string(b)
}

// StartAll starts all proxies, and waits until they know of one another.
func (c *Cluster) StartAll() error {
	errs := make(chan error, len(c.Proxies))
	for _, p := range c.Proxies {
		go func() { errs <- p.Start() }()
	}
	for range c.Proxies {
		if err := <-errs; err != nil {
			return err
		}
	}
	if !c.Together {
		return nil
	}
	return Eventually("all know of one another, and one leads", func() bool {
		leads := 0
		for _, p := range c.Proxies {
			v, err := p.View()
			if err != nil || len(v.Members) != len(c.Proxies) {
				return false
			}
			if v.Leads {
				leads++
			}
		}
		return leads == 1
	})
}

// calls is where it takes operators' calls at a port.
func (p *Proxy) calls(port int) string { return fmt.Sprintf("%s:%d", p.host, port) }

// Start starts a process for the proxy.
func (p *Proxy) Start() (err error) {
	p.starts, p.Mgmt = 1, p.calls(mgmtPort)
	p.Process, err = Start("msg=ready", p.env, p.c.Program, p.args...)
	if err != nil {
		err = fmt.Errorf("%s: %w", p.Name, err)
	}
	return err
}

// Upgrade starts a process beside the one that serves, which it takes over from, and ends that one.
func (p *Proxy) Upgrade() error {
	old := p.Process
	p.starts++
	mgmt := p.calls(mgmtPort + (p.starts+1)%2)
	next, err := Start("msg=ready", append(p.env[:len(p.env):len(p.env)], "LB_MGMT="+mgmt), p.c.Program, p.args...)
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.Process, p.Mgmt = next, mgmt
	return old.Stop()
}

// Pause has it stand still, and Continue go on.
func (p *Proxy) Pause()    { p.Signal(syscall.SIGSTOP) }
func (p *Proxy) Continue() { p.Signal(syscall.SIGCONT) }

// View is what it tells operators.
func (p *Proxy) View() (v mgmt.View, err error) {
	text, err := mgmt.CallOK("GET", p.Mgmt, "/members", "", callTime)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(text, &v)
}

// Status is what it tells operators of itself and its members.
func (p *Proxy) Status() (string, error) {
	text, err := mgmt.CallOK("GET", p.Mgmt, "/status", "", callTime)
	return string(text), err
}

// CallZone makes an operator's call at it.
func (p *Proxy) CallZone(mode, zone string) (t mgmt.CallReport, err error) {
	text, err := mgmt.CallOK("PUT", p.Mgmt, "/zones/"+mode, zone+" the rig", callTime)
	if err != nil {
		return t, err
	}
	return t, json.Unmarshal(text, &t)
}

// Each does something with each link between two groups, in both directions of who connects.
func (c *Cluster) Each(a, b []string, do func(*Link)) {
	for _, x := range a {
		for _, y := range b {
			for _, k := range [][2]string{{x, y}, {y, x}} {
				if l := c.link(k[0], k[1]); l != nil {
					do(l)
				}
			}
		}
	}
}

// ProxiesIn and BoxesIn are the names of a zone's.
func (c *Cluster) ProxiesIn(zones ...string) (names []string) {
	for _, p := range c.Proxies {
		if slices.Contains(zones, p.Zone) {
			names = append(names, p.Name)
		}
	}
	return names
}

func (c *Cluster) BoxesIn(zones ...string) (names []string) {
	for _, b := range c.Fleet.Caches {
		if slices.Contains(zones, b.Zone) {
			names = append(names, b.ID)
		}
	}
	return names
}

// Sent is how many requests a proxy has sent to a zone's boxes within a time.
func (c *Cluster) Sent(proxy, zone string, from, to time.Time) (n int) {
	for _, b := range c.BoxesIn(zone) {
		n += c.Link(proxy, b).Sent(from, to)
	}
	return n
}

// Gossiped is how many bytes of datagrams the instances have sent one another.
func (c *Cluster) Gossiped() (n int64) {
	for _, g := range c.gossips {
		n += g.sent.Load()
	}
	return n
}

// Close ends all of it.
func (c *Cluster) Close() {
	for _, p := range c.Proxies {
		if p.Process != nil {
			p.Kill()
		}
	}
	for _, l := range c.fronts {
		l.Close()
	}
	for _, g := range c.gossips {
		g.close()
	}
	for _, l := range c.links {
		l.Reset()
	}
	c.Fleet.Close()
}

// Eventually waits until something has come about that it takes a call to each process to see.
func Eventually(what string, ok func() bool) error { return Await(20*time.Millisecond, what, ok) }

// Await looks again and again until something has come about.
func Await(every time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(Patience); time.Now().Before(end); time.Sleep(every) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("never came about: %s", what)
}
