// Package rig holds what the cases of the review share: a record of what happened, the proxy as a separate process,
// and small stand-ins for clients, caches, the origin and discovery, written from the protocol page.
package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record writes one line for each thing that happened, with the milliseconds since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriterSize(file, 1<<20), start: time.Now()}, nil
}

// Printf adds a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Close writes what is left and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Class returns a class of the settings.
func Class(name, repeat string, aim, deadline, window, worth float64) map[string]any {
	return map[string]any{"name": name, "aim_ms": aim, "deadline_ms": deadline, "dedup_scope": "all", "late_worth": 0.0,
		"repeat": repeat, "streamed": false, "window_ms": window, "worth": worth}
}

// Settings returns the settings of a small deployment: those of the wire page's example, with the given classes.
func Settings(instances, self int, discovery string, classes ...any) map[string]any {
	return map[string]any{
		"areas": []string{"a"}, "az": 0, "classes": classes, "clients": map[string]any{"marks_retry": false},
		"deductions": map[string]any{"cross_zone": 0.06, "late_fail": 0.03, "probe": 0.01, "waste": 0.02},
		"discovery":  discovery, "family": "cache",
		"family_info":    map[string]any{"mode": "aside", "origin_fall_ms": 3000.0, "origin_fall_multiple": 0.0, "origin_kind": 1},
		"goal":           map[string]any{"whole": 0.55, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.15},
		"granularity_ms": 5.0, "instances": instances, "kinds": []string{"standard", "origin"},
		"limits": map[string]any{"cancel": true, "conn_idle_ms": 5000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 500000, "max_retry_after_ms": 2000.0, "most_held": 20000, "multiplex": 32, "peer_messages": false,
			"probes": true, "retry_after": false, "second_copies": false, "try_limit": 4},
		"over_share_worth": 0.1, "report": map[string]any{"columns": []string{}, "via": "off"},
		"rules": map[string]any{"cold_from": 0.3, "cold_ms": 8900.0, "drain_grace_ms": 250.0, "fall_multiple": 4.0,
			"grace_to_answer_ms": 20.0, "must_ask_in_ms": 10000.0, "tip_after_ms": 1500.0},
		"self_index": self, "tenants": []any{}, "tier": 0, "tiers": []string{"tile-cache"}, "value_by": "work", "weights": "nominal",
	}
}

// Config is the file that LB_CONFIG names.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     List           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// Write writes the file.
func (c *Config) Write(path string) error {
	text, err := json.MarshalIndent(c, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Proxy is a running proxy.
type Proxy struct {
	Name   string
	Listen string
	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	err    error
}

// runCommand returns the command `run` of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strconv.Unquote(value)
		}
	}
	return "", errors.New("the deploy file has no run")
}

// StartProxy starts a proxy as the platform does, with a temporary folder of its own, and returns once it answers PING.
func StartProxy(c *Config, folder string) (*Proxy, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	private := filepath.Join(folder, c.Name)
	if err := os.MkdirAll(filepath.Join(private, "tmp"), 0o700); err != nil {
		return nil, err
	}
	path := filepath.Join(private, "config.json")
	if err := c.Write(path); err != nil {
		return nil, err
	}
	p := &Proxy{Name: c.Name, Listen: c.Listen, exited: make(chan struct{})}
	if p.log, err = os.Create(filepath.Join(private, "log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.Env = append(os.Environ(), "LB_NAME="+c.Name, "LB_LISTEN="+c.Listen, "LB_DISCOVERY="+c.Discovery, "LB_CONFIG="+path,
		"TMPDIR="+filepath.Join(private, "tmp"))
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.err = p.cmd.Wait(); close(p.exited) }()
	for range 300 {
		select {
		case <-p.exited:
			return nil, fmt.Errorf("the proxy ended at its start: %v", p.err)
		case <-time.After(100 * time.Millisecond):
		}
		if client, err := Dial(c.Listen); err == nil {
			reply, err := client.Do(2*time.Second, "PING")
			client.Close()
			if err == nil && reply.Text == "+PONG" {
				return p, nil
			}
		}
	}
	p.Kill()
	return nil, errors.New("the proxy was not ready within 30 s")
}

// Signal sends a signal.
func (p *Proxy) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Pid returns the id of the process.
func (p *Proxy) Pid() int { return p.cmd.Process.Pid }

// Exited is closed when the process has ended.
func (p *Proxy) Exited() <-chan struct{} { return p.exited }

// Kill ends the process, if it still runs.
func (p *Proxy) Kill() {
	p.cmd.Process.Kill()
	<-p.exited
	p.log.Close()
}

// Reply is an answer to a client.
type Reply struct {
	Text string // a line as it came, or the value of a bulk string behind "$"
}

// Served reports whether the answer is a value.
func (r Reply) Served() bool { return strings.HasPrefix(r.Text, "$") }

// Refused reports whether the answer is a refusal.
func (r Reply) Refused() bool { return r.Text == "-BUSY" || strings.HasPrefix(r.Text, "-BUSY ") }

// Client is a client's connection.
type Client struct {
	Conn net.Conn
	in   *bufio.Reader
}

// Dial connects.
func Dial(addr string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn, bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.Conn.Close() }

// Command encodes a command.
func Command(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

// Do sends a command and reads its answer.
func (c *Client) Do(within time.Duration, words ...string) (Reply, error) {
	if _, err := c.Conn.Write(Command(words...)); err != nil {
		return Reply{}, err
	}
	return c.Read(within)
}

// Read reads an answer.
func (c *Client) Read(within time.Duration) (Reply, error) {
	c.Conn.SetReadDeadline(time.Now().Add(within))
	line, err := c.in.ReadString('\n')
	if err != nil {
		return Reply{}, err
	}
	line = strings.TrimRight(line, "\r\n")
	if !strings.HasPrefix(line, "$") || line == "$-1" {
		return Reply{line}, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		return Reply{}, err
	}
	value := make([]byte, n+2)
	if _, err := io.ReadFull(c.in, value); err != nil {
		return Reply{}, err
	}
	return Reply{"$" + string(value[:n])}, nil
}

// ReadCommand reads an array of bulk strings. began is called once its first byte has come.
func ReadCommand(in *bufio.Reader, began func()) ([]string, error) {
	if _, err := in.Peek(1); err != nil {
		return nil, err
	}
	began()
	n, err := readLength(in, '*')
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readLength(in, '$')
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(in, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

func readLength(in *bufio.Reader, kind byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("%q where %q was due", line, kind)
	}
	return strconv.Atoi(strings.TrimRight(line[1:], "\r\n"))
}

// Attribute returns a value of a list of names and values.
func Attribute(list, name string) string {
	for item := range strings.SplitSeq(list, ",") {
		if n, value, ok := strings.Cut(item, "="); ok && n == name {
			return value
		}
	}
	return ""
}
