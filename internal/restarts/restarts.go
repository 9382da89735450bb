// Package restarts runs planned restarts of the real program from seeds: under load, with hanging members,
// repeated signals and clients that use their open connections until the kill. It reports the rules that
// were broken. It is never part of serving.
package restarts

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"linenloom/internal/cluster"
	"linenloom/internal/discovery"
	"linenloom/internal/standin"
)

const (
	// The process is killed min(deadline, maxKillDelay) + killMargin after the first terminating signal.
	maxKillDelay = 3 * time.Second
	killMargin   = 700 * time.Millisecond
	// answerGrace is how long after its timeout an answer still counts as late. After that it is lost.
	answerGrace = 500 * time.Millisecond
	// An attempt may begin up to departureGrace after its client has disconnected, and up to drainGrace after
	// its member was reported as draining. The protocol adds ruleSlack to each of its limits.
	departureGrace = 100 * time.Millisecond
	drainGrace     = 250 * time.Millisecond
	ruleSlack      = 50 * time.Millisecond
	// maxSchedulingDelay is the scheduling delay of the test's own goroutines beyond which a run is
	// disturbed. It equals the slack of the rules that are checked.
	maxSchedulingDelay = ruleSlack

	descriptors = 256
	memoryMB    = 64
)

// Options configure a run.
type Options struct {
	Program string   // the proxy program
	Env     []string // added to the program's environment
	Dir     string   // scratch directory of this run alone
	Seed    uint64
}

// Result is the result of a run.
type Result struct {
	Seed                          uint64
	Scenario                      string // derived from the seed
	Sent, Served, Refused, Failed int
	NotAccepted                   int // requests sent while the proxy closed the connection, or refused a connection
	Attempts, FurtherAttempts     int
	Faults                        []string
	SchedulingDelay               time.Duration // maximum scheduling delay of the test's own goroutines
}

// Disturbed reports whether the machine was too busy for a verdict. A disturbed run never counts as
// passed.
func (r *Result) Disturbed() bool { return r.SchedulingDelay > maxSchedulingDelay }

// signalAt is a signal and its time relative to the first terminating signal.
type signalAt struct {
	signal syscall.Signal
	after  time.Duration
}

// scenario is derived from the seed.
type scenario struct {
	deadline         time.Duration // of all classes
	signals          []signalAt
	idleConns        int // connections that never send a complete request
	hangingCaches    int
	hangingOrigin    bool
	stalledDirection int // of the link of one cache; -1 if no link stalls
	delays           []time.Duration
	handshakeDelay   time.Duration
	drainCache       bool // a cache begins to drain just before the restart
	moveDiscovery    bool // the reload changes the address of discovery
	clientCount      int
	pipelines        bool
}

const cacheCount = 4

// newScenario generates a scenario.
func newScenario(random *rand.Rand) scenario {
	s := scenario{stalledDirection: -1, clientCount: 24 + random.IntN(24), pipelines: random.IntN(2) == 0}
	s.deadline = []time.Duration{800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}[random.IntN(4)]
	if random.IntN(3) == 0 {
		s.idleConns = descriptors/2 + random.IntN(descriptors/2)
	}
	s.hangingCaches = random.IntN(cacheCount/2 + 1)
	s.hangingOrigin = random.IntN(4) == 0
	// the kill comes before the requests' deadlines, so hanging requests must be answered earlier
	if s.deadline > maxKillDelay {
		s.hangingCaches, s.hangingOrigin = max(1, s.hangingCaches), true
	}
	if random.IntN(4) == 0 {
		s.stalledDirection = random.IntN(2)
	}
	for range cacheCount + 1 {
		s.delays = append(s.delays, time.Duration(random.IntN(20))*time.Millisecond)
	}
	s.handshakeDelay = time.Duration(random.IntN(100)) * time.Millisecond
	s.drainCache = random.IntN(3) == 0
	terminating := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT}[random.IntN(2)]
	s.signals = []signalAt{{terminating, 0}}
	for range random.IntN(5) {
		extra := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT}[random.IntN(3)]
		after := time.Duration(random.IntN(5)) * time.Millisecond
		if random.IntN(2) == 0 { // at any time during the drain
			after = time.Duration(random.Int64N(int64(s.killDelay())))
		}
		s.signals = append(s.signals, signalAt{extra, after})
	}
	if random.IntN(3) == 0 { // a reload just before the restart
		s.signals = append(s.signals, signalAt{syscall.SIGHUP, -time.Duration(1+random.IntN(30)) * time.Millisecond})
		s.moveDiscovery = random.IntN(2) == 0
	}
	return s
}

// killDelay returns when the process is killed, relative to the first terminating signal.
func (s *scenario) killDelay() time.Duration { return min(s.deadline, maxKillDelay) + killMargin }

func (s *scenario) String() string {
	var signals []string
	for _, at := range s.signals {
		signals = append(signals, fmt.Sprintf("%v at %v", at.signal, at.after.Round(time.Millisecond)))
	}
	return fmt.Sprintf("deadline %v; %s; %d clients, pipelines %v, %d idle connections; hanging: %d caches, origin %v, one direction of a link %v; handshake delay %v, drain %v, discovery moves %v",
		s.deadline, strings.Join(signals, ", "), s.clientCount, s.pipelines, s.idleConns, s.hangingCaches, s.hangingOrigin, s.stalledDirection >= 0, s.handshakeDelay, s.drainCache, s.moveDiscovery)
}

// restartRun is one planned restart.
type restartRun struct {
	scenario
	random      *rand.Rand
	fleet       *standin.Fleet
	relays      []*standin.Relay // of the caches, then the origin
	duplicates  *standin.DuplicateChecker
	process     *cluster.Process
	listen      string
	configPath  string
	configs     [2][]byte // before and after the reload
	configMutex sync.Mutex
	clients     *clients
	faults      []string
}

// Run runs the planned restart of a seed.
func Run(o Options) (*Result, error) {
	random := rand.New(rand.NewPCG(o.Seed, 60))
	run := &restartRun{scenario: newScenario(random), random: random, duplicates: standin.NewDuplicateChecker()}
	delay := standin.MeasureSchedulingDelay()
	err := run.run(o)
	result := &Result{Seed: o.Seed, Scenario: run.scenario.String(), SchedulingDelay: delay.Stop()}
	if err != nil {
		return result, fmt.Errorf("seed %d: %w", o.Seed, err)
	}
	result.Attempts, result.FurtherAttempts = run.duplicates.Attempts()
	run.clients.countOutcomes(result)
	result.Faults = run.faults
	return result, nil
}

func (p *restartRun) run(o Options) error {
	if err := p.setUp(o); err != nil {
		return err
	}
	defer p.fleet.Close()
	defer func() {
		for _, r := range p.relays {
			r.Close()
		}
	}()
	process, err := cluster.Start("msg=ready", append(append([]string{}, o.Env...), "LB_CONFIG="+p.configPath, "TMPDIR="+o.Dir), o.Program)
	if err != nil {
		return err
	}
	p.process = process
	defer process.Kill()
	p.clients = newClients(p, o.Seed)
	for range p.idleConns {
		p.clients.openIdle()
	}
	p.clients.start(p.scenario.clientCount)
	// Sleeps on purpose: the load runs for a random time before the first signal.
	time.Sleep(300*time.Millisecond + time.Duration(p.random.IntN(400))*time.Millisecond)
	p.injectFaults()
	time.Sleep(time.Duration(p.random.IntN(150)) * time.Millisecond)
	p.restart()
	p.check()
	return nil
}

// setUp creates the fleet, its links and the configurations.
func (p *restartRun) setUp(o Options) (err error) {
	if p.fleet, err = standin.NewFleet(cacheCount, 200); err != nil {
		return err
	}
	for key := range keyCount {
		if key%3 > 0 {
			p.fleet.Fill(keyName(key))
		}
	}
	relayAddrs := map[string]string{}
	relay := func(id, to string, isOrigin bool, delay time.Duration) error {
		r, err := standin.NewRelay(id, to, isOrigin, delay, delay, p.duplicates)
		if err != nil {
			return err
		}
		if !isOrigin {
			r.SetHandshake(func() time.Duration { return p.handshakeDelay })
		}
		relayAddrs[id] = r.Addr()
		p.relays = append(p.relays, r)
		return nil
	}
	for i, cache := range p.fleet.Caches {
		cache.SetService(time.Duration(1+p.random.IntN(15))*time.Millisecond, 0)
		if err := relay(cache.ID, cache.Addr(), false, p.delays[i]); err != nil {
			return err
		}
	}
	p.fleet.Origin.SetService(20*time.Millisecond, 0)
	if err := relay(p.fleet.Origin.ID, p.fleet.Origin.Addr(), true, p.delays[cacheCount]); err != nil {
		return err
	}
	withRelayAddr := func(m discovery.Member) discovery.Member {
		m.HostPort = relayAddrs[m.ID]
		return m
	}
	if p.listen, err = standin.FreeAddr(); err != nil {
		return err
	}
	for i := range p.configs {
		if p.configs[i], err = p.makeConfig(withRelayAddr); err != nil {
			return err
		}
	}
	p.configPath = filepath.Join(o.Dir, "config.json")
	return p.writeConfig(0)
}

// makeConfig returns a configuration with a discovery address of its own. withRelayAddr replaces a member's
// address by that of its relay.
func (p *restartRun) makeConfig(withRelayAddr func(discovery.Member) discovery.Member) ([]byte, error) {
	settings := standin.Settings()
	for _, c := range settings["classes"].([]any) {
		class := c.(map[string]any)
		class["deadline_ms"] = float64(p.deadline.Milliseconds())
		class["aim_ms"] = min(class["aim_ms"].(float64), 0.7*float64(p.deadline.Milliseconds()))
	}
	p.fleet.Overrides = map[string]any{"classes": settings["classes"]}
	text, err := p.fleet.Config("n0", p.listen, "7", memoryMB, descriptors)
	if err != nil {
		return nil, err
	}
	var file map[string]any
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if file["discovery"], err = p.fleet.Registry.ListenView(withRelayAddr); err != nil {
		return nil, err
	}
	known := p.fleet.Registry.List()
	for i, m := range known.Members {
		known.Members[i] = withRelayAddr(m)
	}
	file["known"] = known
	return json.Marshal(file)
}

// writeConfig replaces the configuration atomically.
func (p *restartRun) writeConfig(i int) error {
	p.configMutex.Lock()
	defer p.configMutex.Unlock()
	if err := os.WriteFile(p.configPath+".new", p.configs[i], 0o600); err != nil {
		return err
	}
	return os.Rename(p.configPath+".new", p.configPath)
}

// injectFaults makes members and links hang.
func (p *restartRun) injectFaults() {
	for _, cache := range p.fleet.Caches[:p.hangingCaches] {
		cache.SetFault(standin.Stall)
	}
	if p.hangingOrigin {
		p.fleet.Origin.SetFault(standin.Stall)
	}
	if p.stalledDirection >= 0 {
		p.relays[cacheCount-1].Stall(p.stalledDirection, true)
	}
}

// restart sends the signals and kills the process at the earliest time allowed.
func (p *restartRun) restart() {
	if p.drainCache {
		p.fleet.Drain(p.fleet.Caches[cacheCount-2])
		p.clients.noteDrain(p.fleet.Caches[cacheCount-2].ID)
	}
	firstSignalAt := time.Now().Add(40 * time.Millisecond)
	done := make(chan struct{})
	for _, s := range p.signals {
		go func() {
			select {
			case <-done:
				return
			case <-time.After(time.Until(firstSignalAt.Add(s.after))):
			}
			if s.signal == syscall.SIGHUP && p.moveDiscovery {
				if err := p.writeConfig(1); err != nil {
					p.addFault("the configuration can't be replaced: %v", err)
				}
			}
			p.process.Signal(s.signal)
		}()
	}
	time.Sleep(time.Until(firstSignalAt.Add(p.killDelay())))
	close(done)
	ended, state := p.process.Exited()
	p.process.Kill()
	p.clients.stopAfterKill()
	// A signal may end the process by its default action once the drain is over. A process that ends by
	// SIGTERM has not crashed, and the clients report requests that are lost in this way. The exit status is
	// checked by TestRepeatedSignalsExitCleanly.
	if ended && !state.Success() && !endedBy(state, syscall.SIGTERM, syscall.SIGINT) {
		p.addFault("the process ended with %v: %v", state, p.process.LogLines("panic"))
	}
}

// endedBy reports whether a process was ended by one of the signals.
func endedBy(state *os.ProcessState, signals ...syscall.Signal) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && slices.Contains(signals, status.Signal())
}

func (p *restartRun) addFault(format string, args ...any) {
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// check adds the faults that the duplicate checker, the clients and the origin have found.
func (p *restartRun) check() {
	p.faults = append(p.faults, p.duplicates.Violations()...)
	p.faults = append(p.faults, p.clients.violations()...)
	for key, n := range p.fleet.Origin.Executions() {
		if n > 1 {
			p.addFault("order %s ran %d times", key, n)
		}
	}
}

// String summarizes a run in one line.
func (r *Result) String() string {
	verdict := "kept"
	switch {
	case len(r.Faults) > 0:
		verdict = fmt.Sprintf("%d faults", len(r.Faults))
	case r.Disturbed():
		verdict = "disturbed"
	}
	return fmt.Sprintf("seed %d: %s; %d sent, %d served, %d refused, %d failed, %d not accepted; %d attempts, %d further; scheduling delay %v; %s",
		r.Seed, verdict, r.Sent, r.Served, r.Refused, r.Failed, r.NotAccepted, r.Attempts, r.FurtherAttempts, r.SchedulingDelay.Round(time.Millisecond), r.Scenario)
}

// maxDisturbedRuns bounds the runs that are made for a verdict on a busy machine.
const maxDisturbedRuns = 4

// RunUntilConclusive repeats the planned restart of a seed until a run was not disturbed or found a fault.
// log is called with each result.
func RunUntilConclusive(o Options, log func(*Result)) (result *Result, err error) {
	for attempt := range maxDisturbedRuns {
		dir := filepath.Join(o.Dir, fmt.Sprintf("play-%d-%d", o.Seed, attempt))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return nil, err
		}
		runOptions := o
		runOptions.Dir = dir
		if result, err = Run(runOptions); err != nil {
			return result, err
		}
		log(result)
		if len(result.Faults) > 0 || !result.Disturbed() {
			break
		}
	}
	return result, nil
}
