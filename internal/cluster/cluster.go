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
	Zones             []string
	CachesPerZone     int // in each zone
	Proxies           int // dealt out over the zones in turn
	ServiceTime       time.Duration
	CacheConcurrency  int // requests that a box works on at once; 0: any number
	Seed              uint64
	CrossZoneCost     float64 // what a request that crosses zones costs, in worth; 0: one table for all
	OriginServiceTime time.Duration
	OriginConcurrency int
	// OperatorConfig is further text of each proxy's operator's file, where DIR stands for a folder of its own; Together says whether they know
	// of one another and decide on zones together.
	OperatorConfig string
	JoinInstances  bool
	Program        string // the program, and what makes it one
	Env            []string
	Dir            string         // scratch
	Settings       map[string]any // further settings
	Regions        map[string][]string
	// Deadlines checks what members are told of deadlines; nil: nobody does. A client's time counts from when its link has passed its request on, and
	// what a member is told by when it has been written to the member's link, so that the links and the stand-ins take no time of either.
	Deadlines *standin.DeadlineChecker
	// Duplicates checks that members have one attempt of a request at a time; nil: nobody does. A link that is cut, and healed while another attempt is
	// out, makes it find fault: it holds what was sent for longer than a proxy can wait.
	Duplicates *standin.DuplicateChecker
}

// Cluster is all of it.
type Cluster struct {
	Options
	Fleet        *standin.Fleet
	Proxies      []*Proxy
	start        time.Time
	subnet       string // its own addresses: 127.A.B.
	listeners    []net.Listener
	gossipRelays []*gossipRelay
	mu           sync.Mutex
	links        map[[2]string]*Link
}

// Proxy is one proxy, whatever process serves as it.
type Proxy struct {
	*Process
	Number         int
	Name           string
	Zone           string
	Addr           string // for clients, over a link
	ManagementAddr string
	Dir            string // what lasts
	cluster        *Cluster
	host           string
	starts         int
	env            []string
	args           []string
}

// subnetCounter counts the clusters of this process, so that each has addresses of its own.
var subnetCounter atomic.Int32

const (
	servePort  = 16379
	gossipPort = 17946 // and the next, for a process that takes over; so with mgmtPort
	mgmtPort   = 18080

	callTimeout = 5 * time.Second
)

// gossipKeyHex is a key that is no secret: the same for all clusters.
const gossipKeyHex = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// New starts the stand-ins and the links, and no proxy yet.
func New(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, start: time.Now(), links: map[[2]string]*Link{}}
	err := c.claimSubnet()
	if err != nil {
		return nil, err
	}
	if c.Fleet, err = standin.NewZonedFleet(o.Zones, o.CachesPerZone, 200); err != nil {
		return nil, err
	}
	for _, b := range c.Fleet.Caches {
		b.SetService(o.ServiceTime, o.CacheConcurrency)
	}
	c.Fleet.Origin.SetService(o.OriginServiceTime, o.OriginConcurrency)
	c.Fleet.Overrides = o.Settings
	if o.Deadlines != nil {
		o.Deadlines.IDPrefix = c.idPrefix()
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "key"), []byte(gossipKeyHex+"\n"), 0o600); err != nil {
		return nil, err
	}
	for i := range o.Proxies {
		if err := c.prepareProxy(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// claimSubnet finds a part of the loopback network that no other cluster has, of this process or another.
func (c *Cluster) claimSubnet() (err error) {
	for range 20 {
		c.subnet = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 1+int(subnetCounter.Add(1))%250)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.subnet, 101, gossipPort)); err == nil {
			return l.Close()
		}
	}
	return fmt.Errorf("cluster: no addresses are free: %w", err)
}

// idPrefix begins the ids of this cluster's requests. Ports are used again, and a proxy of another cluster on this machine may ask for a moment
// where one of this one's boxes listens now.
func (c *Cluster) idPrefix() string { return strings.ReplaceAll(c.subnet, ".", "-") }

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

// addLink makes a link.
func (c *Cluster) addLink(from, to string) *Link {
	l := newLink(c.start, []byte(c.idPrefix()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[[2]string{from, to}] = l
	return l
}

// addRelay makes a link that stands before an address, and returns where.
func (c *Cluster) addRelay(from, to, at, addr string) (string, error) {
	l, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	link := c.addLink(from, to)
	c.listeners = append(c.listeners, l)
	go link.serve(l, addr)
	return l.Addr().String(), nil
}

// prepareProxy makes a proxy's links and files.
func (c *Cluster) prepareProxy(i int) error {
	name, zone := proxyName(i), c.Zones[i%len(c.Zones)]
	p := &Proxy{Number: i, Name: name, Zone: zone, cluster: c}
	own, front := fmt.Sprintf("%s%d", c.subnet, 1+i), fmt.Sprintf("%s%d", c.subnet, 101+i)
	addrs := map[string]string{}
	members := c.Fleet.Registry.List().Members
	for _, m := range members {
		at, err := c.addRelay(name, m.ID, "127.0.0.1:0", m.HostPort)
		if err != nil {
			return err
		}
		addrs[m.ID] = at
		c.Link(name, m.ID).observeConns(func(from net.Conn) *standin.Observer {
			watch := c.Duplicates.Observe(m.ID, m.ID == c.Fleet.Origin.ID, from)
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
	disco, err := c.addRelay(name, "discovery", "127.0.0.1:0", view)
	if err != nil {
		return err
	}
	listen := fmt.Sprintf("%s:%d", own, servePort)
	if p.Addr, err = c.addRelay("clients", name, "127.0.0.1:0", listen); err != nil {
		return err
	}
	if c.Deadlines != nil {
		c.Link("clients", name).notifyRequests(c.Deadlines.RequestSent)
	}
	p.host = own
	p.ManagementAddr = p.managementAddr(mgmtPort)
	for j := range c.Options.Proxies {
		if j != i {
			c.addLink(proxyName(j), name)
		}
	}
	var at, told []string
	for port := gossipPort; port < gossipPort+2; port++ {
		at, told = append(at, fmt.Sprintf("%s:%d", own, port)), append(told, fmt.Sprintf("%s:%d", front, port))
		g, err := newGossipRelay(told[len(told)-1], at[len(at)-1], func(from net.IP) *Link {
			n := int(from.To4()[3]) - 1
			return c.link(proxyName(n), name)
		})
		if err != nil {
			return err
		}
		c.gossipRelays = append(c.gossipRelays, g)
	}
	text, err := c.Fleet.Config(name, listen, fmt.Sprintf("%x", c.Seed+uint64(i)*7919+1), 128, 1024)
	if err != nil {
		return err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	config["discovery"], config["mgmt"] = disco, p.ManagementAddr
	settings := config["settings"].(map[string]any)
	settings["instances"], settings["self_index"], settings["az"] = c.Options.Proxies, i, i%len(c.Zones)
	settings["deductions"] = map[string]any{"cross_zone": c.CrossZoneCost}
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
	operator := strings.ReplaceAll(c.OperatorConfig, "DIR", p.Dir)
	if c.JoinInstances {
		var join []string
		for j := range min(3, c.Options.Proxies) {
			join = append(join, fmt.Sprintf("%s%d:%d", c.subnet, 101+j, gossipPort))
		}
		operator += fmt.Sprintf("[instances]\nlisten = %s\nadvertise = %s\njoin = %s\nkey_file = %q\n[zones]\n", tomlList(at), tomlList(told), tomlList(join),
			filepath.Join(c.Dir, "key"))
		for name, zones := range c.Regions {
			operator += fmt.Sprintf("[[zones.region]]\nname = %q\nzones = %s\n", name, tomlList(zones))
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

// tomlList is a list of texts as TOML has it.
func tomlList(texts []string) string {
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
	if !c.JoinInstances {
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

// managementAddr is where it takes operators' calls at a port.
func (p *Proxy) managementAddr(port int) string { return fmt.Sprintf("%s:%d", p.host, port) }

// Start starts a process for the proxy.
func (p *Proxy) Start() (err error) {
	p.starts, p.ManagementAddr = 1, p.managementAddr(mgmtPort)
	p.Process, err = Start("msg=ready", p.env, p.cluster.Program, p.args...)
	if err != nil {
		err = fmt.Errorf("%s: %w", p.Name, err)
	}
	return err
}

// Upgrade starts a process beside the one that serves, which it takes over from, and ends that one.
func (p *Proxy) Upgrade() error {
	old := p.Process
	p.starts++
	mgmt := p.managementAddr(mgmtPort + (p.starts+1)%2)
	next, err := Start("msg=ready", append(p.env[:len(p.env):len(p.env)], "LB_MGMT="+mgmt), p.cluster.Program, p.args...)
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.Process, p.ManagementAddr = next, mgmt
	return old.Stop()
}

// Pause has it stand still, and Continue go on.
func (p *Proxy) Pause()    { p.Signal(syscall.SIGSTOP) }
func (p *Proxy) Continue() { p.Signal(syscall.SIGCONT) }

// View is what it tells operators.
func (p *Proxy) View() (v mgmt.View, err error) {
	text, err := mgmt.CallOK("GET", p.ManagementAddr, "/members", "", callTimeout)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(text, &v)
}

// Status is what it tells operators of itself and its members.
func (p *Proxy) Status() (string, error) {
	text, err := mgmt.CallOK("GET", p.ManagementAddr, "/status", "", callTimeout)
	return string(text), err
}

// SetZoneMode makes an operator's call at it.
func (p *Proxy) SetZoneMode(mode, zone string) (t mgmt.CallReport, err error) {
	text, err := mgmt.CallOK("PUT", p.ManagementAddr, "/zones/"+mode, zone+" the rig", callTimeout)
	if err != nil {
		return t, err
	}
	return t, json.Unmarshal(text, &t)
}

// EachLink does something with each link between two groups, in both directions of who connects.
func (c *Cluster) EachLink(a, b []string, do func(*Link)) {
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

// ProxiesIn and CachesIn are the names of a zone's.
func (c *Cluster) ProxiesIn(zones ...string) (names []string) {
	for _, p := range c.Proxies {
		if slices.Contains(zones, p.Zone) {
			names = append(names, p.Name)
		}
	}
	return names
}

func (c *Cluster) CachesIn(zones ...string) (names []string) {
	for _, b := range c.Fleet.Caches {
		if slices.Contains(zones, b.Zone) {
			names = append(names, b.ID)
		}
	}
	return names
}

// RequestsSent is how many requests a proxy has sent to a zone's boxes within a time.
func (c *Cluster) RequestsSent(proxy, zone string, from, to time.Time) (n int) {
	for _, b := range c.CachesIn(zone) {
		n += c.Link(proxy, b).RequestsSent(from, to)
	}
	return n
}

// GossipBytes is how many bytes of datagrams the instances have sent one another.
func (c *Cluster) GossipBytes() (n int64) {
	for _, g := range c.gossipRelays {
		n += g.datagramBytes.Load()
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
	for _, l := range c.listeners {
		l.Close()
	}
	for _, g := range c.gossipRelays {
		g.close()
	}
	for _, l := range c.links {
		l.Reset()
	}
	c.Fleet.Close()
}

// Eventually waits until something has come about that it takes a call to each process to see.
func Eventually(what string, ok func() bool) error { return WaitFor(20*time.Millisecond, what, ok) }

// WaitFor looks again and again until something has come about.
func WaitFor(every time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(WaitTimeout); time.Now().Before(end); time.Sleep(every) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("never came about: %s", what)
}
