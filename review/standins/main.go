// Command standins plays one case of the review: it starts the proxy as a separate process, stands in for clients,
// cache nodes, the origin and discovery, and checks one rule. It exits with 1 if the rule was broken, 0 if it held and 2
// if the case could not run. It is started by the case's run.sh, from the project's root.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"linenloom/review/rig"
)

// play is what a case has at hand.
type play struct {
	*rig.Record
	trouble bool
	seed    uint64
	folder  string // temporary
	mu      sync.Mutex
	broken  []string
	proxies []*rig.Proxy
	starts  sync.Mutex // held while a proxy starts, and for good once the case has ended
}

// breaks records that the rule was broken.
func (p *play) breaks(format string, args ...any) {
	p.mu.Lock()
	p.broken = append(p.broken, fmt.Sprintf(format, args...))
	p.mu.Unlock()
	p.Printf("BROKEN "+format, args...)
}

// start starts a proxy, which ends with the case.
func (p *play) start(c *rig.Config) (*rig.Proxy, error) {
	p.starts.Lock()
	defer p.starts.Unlock()
	proxy, err := rig.StartProxy(c, p.folder)
	if err == nil {
		p.mu.Lock()
		p.proxies = append(p.proxies, proxy)
		p.mu.Unlock()
		p.Printf("proxy %s is ready at %s", c.Name, c.Listen)
	}
	return proxy, err
}

// end ends the proxies.
func (p *play) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, proxy := range p.proxies {
		proxy.Kill()
	}
}

var cases = map[string]func(*play) error{"keyed": keyed, "burst": burst, "copies": copies}

// longest is how long a case may take.
const longest = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the `NAME` of the case")
	record := flag.String("record", "", "the `FILE` to write the record to")
	seed := flag.Uint64("seed", 1, "the seed of what is drawn")
	flag.Parse()
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "standins:", err)
		return 2
	}
	f := cases[*name]
	if f == nil || *record == "" {
		return fail(fmt.Errorf("no case %q", *name))
	}
	r, err := rig.NewRecord(*record)
	if err != nil {
		return fail(err)
	}
	defer r.Close()
	p := &play{Record: r, trouble: os.Getenv("TROUBLE") != "0", seed: *seed}
	if p.folder, err = os.MkdirTemp("", "review"); err != nil {
		return fail(err)
	}
	defer os.RemoveAll(p.folder)
	p.Printf("case %s, seed %d, trouble %t", *name, *seed, p.trouble)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- f(p) }()
	select {
	case err = <-ended:
	case <-time.After(longest):
		err = fmt.Errorf("not over after %v", longest)
	case s := <-signals:
		err = fmt.Errorf("ended by %v", s)
	}
	p.starts.Lock()
	p.end()
	p.keepLogs()
	switch {
	case err != nil:
		p.Printf("could not run: %v", err)
		return fail(err)
	case len(p.broken) > 0:
		fmt.Printf("broken, %d times; first: %s\n", len(p.broken), p.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// keepLogs adds the proxies' logs to the record.
func (p *play) keepLogs() {
	for _, proxy := range p.proxies {
		text, err := os.ReadFile(filepath.Join(p.folder, proxy.Name, "log"))
		if err != nil || len(text) > 64<<10 {
			p.Printf("log of %s: %d bytes, %v", proxy.Name, len(text), err)
			continue
		}
		p.Printf("log of %s:\n%s", proxy.Name, text)
	}
}

// member returns an entry of the list for a member that started long ago.
func member(id, addr, flavor string) rig.Member {
	return rig.Member{ID: id, HostPort: addr, Locality: "a", Flavor: flavor, Phase: "in_service", Size: 1}
}

// config returns a proxy's configuration for a fleet.
func config(name string, seed uint64, registry *rig.Registry, settings map[string]any) (*rig.Config, error) {
	listen, err := rig.FreeAddr()
	return &rig.Config{Name: name, Listen: listen, Discovery: registry.Addr, Seed: fmt.Sprintf("%016x", seed),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256}, Known: registry.List(), Settings: settings}, err
}
