// Package cluster is a test harness of many processes: real proxies with simulated caches in several
// zones, an origin and discovery, all on loopback. Each link between two of them has its own relay, and
// the four rules are checked at both ends. Tests and the lab use it; nothing that serves traffic depends
// on it.
// A connection opened over a blocked link is established and stays silent, since connections on loopback
// are always established.
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

// Options configure a Cluster.
type Options struct {
	Zones             []string
	CachesPerZone     int // in each zone
	Proxies           int // assigned to the zones round-robin
	ServiceTime       time.Duration
	CacheConcurrency  int // concurrent requests of a cache; 0 means unlimited
	Seed              uint64
	CrossZoneCost     float64 // cost of a request that crosses zones, in worth; 0 means one table for all zones
	OriginServiceTime time.Duration
	OriginConcurrency int
	// OperatorConfig is added to each proxy's operator file, with DIR replaced by the proxy's own
	// directory. JoinInstances makes the proxies join one another and decide on zones together.
	OperatorConfig string
	JoinInstances  bool
	Program        string // the proxy program, and the environment that makes it run as a proxy
	Env            []string
	Dir            string         // scratch directory
	Settings       map[string]any // replaces fields of the default settings
	Regions        map[string][]string
	// Deadlines checks the deadlines that members receive; it may be nil. A client's time counts from when
	// its link has forwarded the request, and a member's deadline from when the attempt has been written
	// to the member's link, so that delays in links and simulated servers don't count.
	Deadlines *standin.DeadlineChecker
	// Duplicates checks that members have at most one attempt of a request at a time; it may be nil. A
	// link that is blocked, and restored while another attempt is outstanding, makes it report a
	// violation: such a link holds requests for longer than a proxy can wait.
	Duplicates *standin.DuplicateChecker
}

// Cluster is a running test cluster.
type Cluster struct {
	Options
	Fleet        *standin.Fleet
	Proxies      []*Proxy
	start        time.Time
	subnet       string // prefix of its own addresses: 127.A.B.
	listeners    []net.Listener
	gossipRelays []*gossipRelay
	mu           sync.Mutex
	links        map[[2]string]*Link
}

// Proxy is one proxy instance. Its process is replaced by a restart or an upgrade.
type Proxy struct {
	*Process
	Number         int
	Name           string
	Zone           string
	Addr           string // for clients, through a link
	ManagementAddr string
	Dir            string // persistent state
	cluster        *Cluster
	host           string
	starts         int
	env            []string
	args           []string
}

// subnetCounter counts the clusters of this process, so that each has its own addresses.
var subnetCounter atomic.Int32

const (
	servePort  = 16379
	gossipPort = 17946 // and the next port, for a successor process; likewise mgmtPort
	mgmtPort   = 18080

	callTimeout = 5 * time.Second
)

// gossipKeyHex is the gossip key of all clusters. It is not secret.
const gossipKeyHex = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

// New starts the simulated servers and the links, but no proxies.
func New(options Options) (*Cluster, error) {
	cluster := &Cluster{Options: options, start: time.Now(), links: map[[2]string]*Link{}}
	err := cluster.claimSubnet()
	if err != nil {
		return nil, err
	}
	if cluster.Fleet, err = standin.NewZonedFleet(options.Zones, options.CachesPerZone, 200); err != nil {
		return nil, err
	}
	for _, cache := range cluster.Fleet.Caches {
		cache.SetService(options.ServiceTime, options.CacheConcurrency)
	}
	cluster.Fleet.Origin.SetService(options.OriginServiceTime, options.OriginConcurrency)
	cluster.Fleet.Overrides = options.Settings
	if options.Deadlines != nil {
		options.Deadlines.IDPrefix = cluster.idPrefix()
	}
	if err := os.WriteFile(filepath.Join(options.Dir, "key"), []byte(gossipKeyHex+"\n"), 0o600); err != nil {
		return nil, err
	}
	for i := range options.Proxies {
		if err := cluster.prepareProxy(i); err != nil {
			cluster.Close()
			return nil, err
		}
	}
	return cluster, nil
}

// claimSubnet finds a part of the loopback network that is not used by another cluster, in this process or
// another.
func (c *Cluster) claimSubnet() (err error) {
	for range 20 {
		c.subnet = fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, 1+int(subnetCounter.Add(1))%250)
		var listener net.Listener
		if listener, err = net.Listen("tcp", fmt.Sprintf("%s%d:%d", c.subnet, 101, gossipPort)); err == nil {
			return listener.Close()
		}
	}
	return fmt.Errorf("cluster: no addresses are free: %w", err)
}

// idPrefix returns the prefix of the ids of this cluster's requests. As ports are reused, a proxy of
// another cluster on this machine may for a moment send requests to the address of one of this cluster's
// caches.
func (c *Cluster) idPrefix() string { return strings.ReplaceAll(c.subnet, ".", "-") }

// proxyName returns the name of a proxy at both ends of its links.
func proxyName(i int) string { return fmt.Sprintf("n%d", i) }

// Link returns the link between two parties by name: that of a proxy or a cache, "o-1", "discovery" or
// "clients".
func (c *Cluster) Link(from, to string) *Link {
	l := c.link(from, to)
	if l == nil {
		panic(fmt.Sprintf("cluster: no link from %s to %s", from, to))
	}
	return l
}

// link returns a link, or nil if there is none.
func (c *Cluster) link(from, to string) *Link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[[2]string{from, to}]
}

// addLink adds a link.
func (c *Cluster) addLink(from, to string) *Link {
	l := newLink(c.start, []byte(c.idPrefix()))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.links[[2]string{from, to}] = l
	return l
}

// addRelay adds a link with a listener that relays to an address, and returns the address of the listener.
func (c *Cluster) addRelay(from, to, listenAddr, target string) (string, error) {
	listener, err := net.Listen("tcp", listenAddr)
	if err != nil {
		return "", err
	}
	link := c.addLink(from, to)
	c.listeners = append(c.listeners, listener)
	go link.serve(listener, target)
	return listener.Addr().String(), nil
}

// prepareProxy creates a proxy's links and files.
func (c *Cluster) prepareProxy(i int) error {
	name := proxyName(i)
	listenHost := fmt.Sprintf("%s%d", c.subnet, 1+i)
	proxy := &Proxy{Number: i, Name: name, Zone: c.Zones[i%len(c.Zones)], cluster: c, host: listenHost}
	proxy.ManagementAddr = proxy.managementAddr(mgmtPort)
	memberAddrs, err := c.linkMembers(name)
	if err != nil {
		return err
	}
	viewMember := func(m discovery.Member) discovery.Member {
		if relayAddr := memberAddrs[m.ID]; relayAddr != "" {
			m.HostPort = relayAddr
		}
		return m
	}
	view, err := c.Fleet.Registry.ListenView(viewMember)
	if err != nil {
		return err
	}
	discoveryAddr, err := c.addRelay(name, "discovery", "127.0.0.1:0", view)
	if err != nil {
		return err
	}
	listen := fmt.Sprintf("%s:%d", listenHost, servePort)
	if proxy.Addr, err = c.addRelay("clients", name, "127.0.0.1:0", listen); err != nil {
		return err
	}
	if c.Deadlines != nil {
		c.Link("clients", name).notifyRequests(c.Deadlines.RequestSent)
	}
	gossip, err := c.linkInstances(i, listenHost)
	if err != nil {
		return err
	}
	configPath, err := c.writeConfig(proxy, listen, discoveryAddr, viewMember)
	if err != nil {
		return err
	}
	operatorPath, err := c.writeOperatorFile(proxy, gossip)
	if err != nil {
		return err
	}
	tmp := filepath.Join(c.Dir, name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	proxy.env, proxy.args = append([]string{"LB_CONFIG=" + configPath, "TMPDIR=" + tmp}, c.Env...), []string{"-operator", operatorPath}
	c.Proxies = append(c.Proxies, proxy)
	return nil
}

// linkMembers adds the links of a proxy to all members. It returns the addresses of their relays by member.
func (c *Cluster) linkMembers(name string) (relayAddrs map[string]string, err error) {
	relayAddrs = map[string]string{}
	for _, m := range c.Fleet.Registry.List().Members {
		if relayAddrs[m.ID], err = c.addRelay(name, m.ID, "127.0.0.1:0", m.HostPort); err != nil {
			return nil, err
		}
		c.Link(name, m.ID).observeConns(func(source net.Conn) *standin.Observer {
			observer := c.Duplicates.Observe(m.ID, m.ID == c.Fleet.Origin.ID, source)
			if c.Deadlines == nil {
				return observer
			}
			return observer.NotifyRequests(func(id, attrs string) { c.Deadlines.AttemptReceived(m.ID, id, attrs) })
		})
	}
	return relayAddrs, nil
}

// gossipAddrs are the addresses at which a proxy listens for the other proxies, and those that it tells them.
type gossipAddrs struct{ listen, advertise []string }

// linkInstances adds the links of the other proxies to a proxy.
func (c *Cluster) linkInstances(i int, listenHost string) (addrs gossipAddrs, err error) {
	name, advertiseHost := proxyName(i), fmt.Sprintf("%s%d", c.subnet, 101+i)
	for j := range c.Options.Proxies {
		if j != i {
			c.addLink(proxyName(j), name)
		}
	}
	linkOfSource := func(source net.IP) *Link {
		n := int(source.To4()[3]) - 1
		return c.link(proxyName(n), name)
	}
	for port := gossipPort; port < gossipPort+2; port++ {
		listen, advertise := fmt.Sprintf("%s:%d", listenHost, port), fmt.Sprintf("%s:%d", advertiseHost, port)
		gossip, err := newGossipRelay(advertise, listen, linkOfSource)
		if err != nil {
			return gossipAddrs{}, err
		}
		c.gossipRelays = append(c.gossipRelays, gossip)
		addrs.listen, addrs.advertise = append(addrs.listen, listen), append(addrs.advertise, advertise)
	}
	return addrs, nil
}

// writeConfig writes a proxy's configuration and returns its path.
func (c *Cluster) writeConfig(proxy *Proxy, listen, discoveryAddr string, viewMember func(discovery.Member) discovery.Member) (path string, err error) {
	i := proxy.Number
	text, err := c.Fleet.Config(proxy.Name, listen, fmt.Sprintf("%x", c.Seed+uint64(i)*7919+1), 128, 1024)
	if err != nil {
		return "", err
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		return "", err
	}
	config["discovery"], config["mgmt"] = discoveryAddr, proxy.ManagementAddr
	settings := config["settings"].(map[string]any)
	settings["instances"], settings["self_index"], settings["az"] = c.Options.Proxies, i, i%len(c.Zones)
	settings["deductions"] = map[string]any{"cross_zone": c.CrossZoneCost}
	known := c.Fleet.Registry.List()
	for k, m := range known.Members {
		known.Members[k] = viewMember(m)
	}
	config["known"] = known
	if text, err = json.MarshalIndent(config, "", " "); err != nil {
		return "", err
	}
	path = filepath.Join(c.Dir, proxy.Name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// writeOperatorFile writes a proxy's operator file, creates its directory, and returns the path of the file.
func (c *Cluster) writeOperatorFile(proxy *Proxy, gossip gossipAddrs) (path string, err error) {
	proxy.Dir = filepath.Join(c.Dir, proxy.Name+".d")
	if err := os.MkdirAll(proxy.Dir, 0o700); err != nil {
		return "", err
	}
	operator := strings.ReplaceAll(c.OperatorConfig, "DIR", proxy.Dir)
	if c.JoinInstances {
		var join []string
		for j := range min(3, c.Options.Proxies) {
			join = append(join, fmt.Sprintf("%s%d:%d", c.subnet, 101+j, gossipPort))
		}
		operator += fmt.Sprintf("[instances]\nlisten = %s\nadvertise = %s\njoin = %s\nkey_file = %q\n[zones]\n", tomlList(gossip.listen), tomlList(gossip.advertise),
			tomlList(join), filepath.Join(c.Dir, "key"))
		for name, zones := range c.Regions {
			operator += fmt.Sprintf("[[zones.region]]\nname = %q\nzones = %s\n", name, tomlList(zones))
		}
	}
	path = filepath.Join(c.Dir, proxy.Name+".toml")
	return path, os.WriteFile(path, []byte(operator), 0o600)
}

// tomlList formats strings as a TOML list.
func tomlList(texts []string) string {
	b, _ := json.Marshal(texts) // cannot fail for strings; JSON and TOML share the format
	return string(b)
}

// StartAll starts all proxies, and waits until they have joined one another.
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
	return Eventually("all instances have joined and one is the leader", func() bool {
		leaders := 0
		for _, p := range c.Proxies {
			view, err := p.View()
			if err != nil || len(view.Members) != len(c.Proxies) {
				return false
			}
			if view.Leads {
				leaders++
			}
		}
		return leaders == 1
	})
}

// managementAddr returns the proxy's management address for a port.
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

// Upgrade starts a successor process, which takes over from the current process, and stops the latter.
func (p *Proxy) Upgrade() error {
	predecessor := p.Process
	p.starts++
	managementAddr := p.managementAddr(mgmtPort + (p.starts+1)%2)
	successor, err := Start("msg=ready", append(p.env[:len(p.env):len(p.env)], "LB_MGMT="+managementAddr), p.cluster.Program, p.args...)
	if err != nil {
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.Process, p.ManagementAddr = successor, managementAddr
	return predecessor.Stop()
}

// Pause suspends the process, and Continue resumes it.
func (p *Proxy) Pause()    { p.Signal(syscall.SIGSTOP) }
func (p *Proxy) Continue() { p.Signal(syscall.SIGCONT) }

// View returns the proxy's view of the members and zones.
func (p *Proxy) View() (v mgmt.View, err error) {
	text, err := mgmt.CallOK("GET", p.ManagementAddr, "/members", "", callTimeout)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(text, &v)
}

// Status returns the proxy's status page.
func (p *Proxy) Status() (string, error) {
	text, err := mgmt.CallOK("GET", p.ManagementAddr, "/status", "", callTimeout)
	return string(text), err
}

// SetZoneMode sets a zone's mode by an operator's call to the proxy.
func (p *Proxy) SetZoneMode(mode, zone string) (report mgmt.CallReport, err error) {
	text, err := mgmt.CallOK("PUT", p.ManagementAddr, "/zones/"+mode, zone+" the rig", callTimeout)
	if err != nil {
		return report, err
	}
	return report, json.Unmarshal(text, &report)
}

// EachLink calls do for each link between two groups, in either direction.
func (c *Cluster) EachLink(a, b []string, do func(*Link)) {
	for _, from := range a {
		for _, to := range b {
			for _, names := range [][2]string{{from, to}, {to, from}} {
				if link := c.link(names[0], names[1]); link != nil {
					do(link)
				}
			}
		}
	}
}

// ProxiesIn returns the names of the proxies in the zones, and CachesIn those of the caches.
func (c *Cluster) ProxiesIn(zones ...string) (names []string) {
	for _, p := range c.Proxies {
		if slices.Contains(zones, p.Zone) {
			names = append(names, p.Name)
		}
	}
	return names
}

func (c *Cluster) CachesIn(zones ...string) (names []string) {
	for _, cache := range c.Fleet.Caches {
		if slices.Contains(zones, cache.Zone) {
			names = append(names, cache.ID)
		}
	}
	return names
}

// RequestsSent returns how many requests a proxy has sent to a zone's caches in a period.
func (c *Cluster) RequestsSent(proxy, zone string, from, to time.Time) (n int) {
	for _, cache := range c.CachesIn(zone) {
		n += c.Link(proxy, cache).RequestsSent(from, to)
	}
	return n
}

// GossipBytes returns how many bytes of datagrams the instances have sent to one another.
func (c *Cluster) GossipBytes() (n int64) {
	for _, g := range c.gossipRelays {
		n += g.datagramBytes.Load()
	}
	return n
}

// Close stops all processes, links and simulated servers.
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

// Eventually waits until a condition holds whose check takes a call to each process.
func Eventually(condition string, holds func() bool) error {
	return WaitFor(20*time.Millisecond, condition, holds)
}

// WaitFor polls a condition until it holds, or returns an error after WaitTimeout.
func WaitFor(interval time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(WaitTimeout); time.Now().Before(end); time.Sleep(interval) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("condition not met in time: %s", condition)
}
