// Command second runs a case of the second review: it starts the project's programs with the commands of the deploy
// file, and stand-ins for clients, cache nodes, the origin and discovery, all on loopback addresses. It exits with 1 if
// the rule of the case was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started.
type rig struct {
	trouble bool
	seed    int64
	dir     string // temporary folder, removed at the end
	began   time.Time

	mu       sync.Mutex
	record   *os.File
	proxies  []*proxyProcess
	broken   []string
	endFuncs []func()
}

// cases holds the cases by name.
var cases = map[string]func(*rig) error{}

func main() {
	name := flag.String("case", "", "the `NAME` of the case")
	record := flag.String("record", "", "the `FILE` for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil || *record == "" {
		fmt.Fprintln(os.Stderr, "second: unknown case, or no record")
		os.Exit(2)
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	r.seed, _ = strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	var err error
	if r.record, err = os.Create(*record); err == nil {
		r.dir, err = os.MkdirTemp("", "second-")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "second:", err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	done := make(chan error, 1)
	r.logf("case %s, trouble %t", *name, r.trouble)
	go func() { done <- run(r) }()
	select {
	case err = <-done:
	case <-stop:
		err = errors.New("ended by a signal")
	case <-time.After(110 * time.Second):
		err = errors.New("the case took too long")
	}
	r.end()
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	status := 0
	switch {
	case err != nil:
		r.logf("the case could not run: %v", err)
		status = 2
	case len(broken) > 0:
		r.logf("the rule was broken: %d times", len(broken))
		status = 1
	default:
		r.logf("the rule held")
	}
	fmt.Printf("%s: status %d\n", *name, status)
	for i, b := range broken {
		if i < 5 {
			fmt.Println("  broken:", b)
		}
	}
	if err != nil {
		fmt.Println("  ", err)
	}
	os.Exit(status)
}

// ms returns the time since the start of the case, in milliseconds.
func (r *rig) ms(t time.Time) float64 { return float64(t.Sub(r.began).Microseconds()) / 1000 }

// logf writes a line to the record.
func (r *rig) logf(format string, args ...any) {
	line := fmt.Sprintf("%9.1f ", r.ms(time.Now())) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.WriteString(line)
}

// breaks notes that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
	r.logf("BROKEN: %s", text)
}

func (r *rig) atEnd(f func()) { r.endFuncs = append(r.endFuncs, f) }

// end ends everything that was started.
func (r *rig) end() {
	for _, p := range r.proxies {
		p.kill()
	}
	for _, f := range r.endFuncs {
		f()
	}
	for _, p := range r.proxies {
		if text, err := os.ReadFile(p.logPath); err == nil {
			r.logf("log of %s:", p.name)
			lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
			if len(lines) > 60 {
				lines = append(lines[:30:30], lines[len(lines)-30:]...)
			}
			r.mu.Lock()
			for _, l := range lines {
				r.record.Write(append(append([]byte("    "), l...), '\n'))
			}
			r.mu.Unlock()
		}
	}
	os.RemoveAll(r.dir)
}

// runLine returns the command of the deploy file that starts a proxy.
func runLine() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file has no line run")
	}
	return string(m[1]), nil
}

// proxyProcess is a started proxy.
type proxyProcess struct {
	name, listen, mgmt, logPath string
	configPath                  string
	cmd                         *exec.Cmd
	exited                      chan struct{}
}

// proxySpec says how a proxy is started.
type proxySpec struct {
	name, listen, mgmt, tmp string
	config                  map[string]any
	configPath              string // of a file that exists already
	operatorFile            string
}

// startProxy starts a proxy by the command of the deploy file, from the root.
func (r *rig) startProxy(s proxySpec) (*proxyProcess, error) {
	run, err := runLine()
	if err != nil {
		return nil, err
	}
	if s.operatorFile != "" {
		run += " -operator " + s.operatorFile
	}
	p := &proxyProcess{name: s.name, listen: s.listen, mgmt: s.mgmt, exited: make(chan struct{}), configPath: s.configPath,
		logPath: filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", s.name, len(r.proxies)))}
	if p.configPath == "" {
		p.configPath = filepath.Join(r.dir, s.name+".json")
		if err := writeConfig(p.configPath, s.config); err != nil {
			return nil, err
		}
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	if s.tmp == "" {
		s.tmp = filepath.Join(r.dir, "tmp-"+s.name)
	}
	if err := os.MkdirAll(s.tmp, 0o700); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath, "LB_NAME="+s.name, "LB_LISTEN="+s.listen, "TMPDIR="+s.tmp)
	if s.mgmt != "" {
		p.cmd.Env = append(p.cmd.Env, "LB_MGMT="+s.mgmt)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.proxies = append(r.proxies, p)
	r.mu.Unlock()
	go func() { p.cmd.Wait(); close(p.exited) }()
	r.logf("started %s: %s", s.name, run)
	return p, nil
}

func writeConfig(path string, config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

func (p *proxyProcess) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *proxyProcess) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *proxyProcess) kill() {
	if p.running() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// awaitReady waits until the proxy answers PING.
func (r *rig) awaitReady(p *proxyProcess) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !p.running() {
			text, _ := os.ReadFile(p.logPath)
			return fmt.Errorf("%s ended at its start: %s", p.name, text)
		}
		c, err := dial(p.listen)
		if err != nil {
			continue
		}
		c.conn.SetDeadline(time.Now().Add(time.Second))
		a, err := c.call("PING")
		c.close()
		if err == nil && a.text == "PONG" {
			r.logf("%s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// freeAddr returns a loopback address that is free.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// class is a class of the settings.
func class(name, repeat string, aim, deadline, window, worth float64) map[string]any {
	return map[string]any{"name": name, "aim_ms": aim, "deadline_ms": deadline, "dedup_scope": "all", "late_worth": 0.0,
		"repeat": repeat, "streamed": false, "window_ms": window, "worth": worth}
}

// siteClasses are the classes of the site.
func siteClasses() []any {
	return []any{class("tile-read", "repeatable", 800, 3000, 5000, 5), class("pass-order", "once", 1500, 6000, 5000, 15)}
}

// config returns the configuration of one proxy of a small deployment, with the settings of the site.
func config(name, listen, discovery string, known map[string]any, classes []any) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known,
		"settings": map[string]any{
			"areas": []any{"kochi-dc", "chennai-dc", "bengaluru-dc"}, "az": 0, "instances": 3, "self_index": 0, "classes": classes,
			"clients":    map[string]any{"marks_retry": false},
			"deductions": map[string]any{"cross_zone": 0.06}, "discovery": "automatic",
			"family":         "cache",
			"family_info":    map[string]any{"mode": "aside", "origin_kind": 3, "origin_fall_ms": 3000.0, "origin_fall_multiple": 0.0},
			"granularity_ms": 5.0, "kinds": []any{"large", "standard", "old", "origin"},
			"limits": map[string]any{"cancel": true, "conn_idle_ms": 5000.0, "connect_timeout_ms": 250.0, "max_retry_after_ms": 2000.0,
				"most_held": 20000, "multiplex": 32, "peer_messages": false, "probes": true, "retry_after": false, "second_copies": false, "try_limit": 4},
			"over_share_worth": 0.1,
			"report":           map[string]any{"columns": []any{}, "via": "off"},
			"rules": map[string]any{"cold_from": 0.3, "cold_ms": 8900.0, "drain_grace_ms": 250.0, "fall_multiple": 4.0,
				"grace_to_answer_ms": 20.0, "must_ask_in_ms": 10000.0, "tip_after_ms": 1500.0},
			"tenants": []any{}, "tier": 0, "tiers": []any{"tile-cache"}, "value_by": "work", "weights": "nominal"},
	}
}

func replaceAll(s string, pairs ...string) string { return strings.NewReplacer(pairs...).Replace(s) }
