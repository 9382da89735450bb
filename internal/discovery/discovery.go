// Package discovery keeps a watch on the list of members.
//
// It uses net/http's client: here, unlike on the way to members, nothing rests on when bytes are written,
// and a resent call is harmless.
package discovery

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// silenceTimeout is how long a watch may say nothing before it counts as broken. A heartbeat comes every 2 s, and what discovery had to
	// tell counts as told 6 s after the watch fell silent: by then one that was opened in its place and is silent too, from its first
	// line on, must have been replaced as well. A heartbeat that is late by more than 0.4 s ends a watch for nothing, which
	// costs the call for another.
	silenceTimeout = 2400 * time.Millisecond
	// callTimeout is how long discovery may take to begin its answer where it is asked. Whatever its load, it tells a caller within 2 s that
	// it has waited too long; one that says nothing by then does not hear the call. An agent answers at once: agentCallTimeout is for a machine
	// that is short of its core.
	callTimeout      = 2200 * time.Millisecond
	agentCallTimeout = 750 * time.Millisecond
	dialTimeout      = time.Second
	// lineStallTimeout is how long a line may pause once it has begun. What it says may be that a member drains, so half of one must not be
	// waited for; a line is written in one go, and pauses only if it has stopped short.
	lineStallTimeout = 150 * time.Millisecond
	maxListBytes     = 1 << 20 // of the list: room for some thousands of members
	// catchUpTimeout is how long a discovery that is asked for the first time may lag behind the one before it.
	catchUpTimeout = 1500 * time.Millisecond
)

// The phases of a member.
const (
	PhaseInService   = "in_service"
	PhaseTerminating = "terminating"
	PhaseTerminated  = "terminated"
)

// Member is an entry of the list.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS float64 `json:"up_since_ms"`
}

// List is the whole list, or the entries that changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	// RevisionsReset tells, of a whole list that is older than what is known, that it holds all the same: discovery has begun to count anew.
	RevisionsReset bool `json:"-"`
}

// Watcher follows the list. Take is called with each list, one at a time, and tells the newest revision known, and whether the list is
// taken: another watch may have brought a newer one since this one began; Opened, each time discovery has taken up a watch: what it
// has to tell beyond Revision is then on its way, and where that is nothing the first line is only the next change; Broken, each
// time a watch ends.
type Watcher struct {
	Addr     string
	Revision int64 // the last one known
	// FetchFirst asks for the whole list first, for a discovery that need not have counted its revisions like the
	// one before it.
	FetchFirst   bool
	Backoff      *Backoff      // when to ask again
	InitialDelay time.Duration // before the first call
	HasMembers   bool          // members are known, which an empty list would take away
	OnList       func(List) (newest int64, taken bool)
	OnOpen       func() // may be nil
	OnBreak      func()
	Log          *slog.Logger

	stallTimer     atomic.Pointer[stallTimer] // of the watch that is open
	silenceTimeout time.Duration              // as the constant; tests have it shorter
	callTimeout    time.Duration              // likewise, callTimeout or agentCallTimeout
	behindSince    time.Time                  // since when its whole list has been older than what is known; zero: it is not
	loggedEmpty    bool                       // logged that its whole list is empty
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       w.dial,
		DisableKeepAlives: true, // a watch lasts as long as its connection; none is left over to use again
	}}
	w.setDefaults()
	down := false
	sleep(ctx, w.InitialDelay)
	for ctx.Err() == nil {
		var n int
		var err error
		if w.FetchFirst {
			err = w.fetch(ctx, client)
		}
		if !w.FetchFirst {
			n, err = w.watch(ctx, client)
		}
		if ctx.Err() != nil {
			return
		}
		wait := w.Backoff.RetryDelay
		if errors.Is(err, errSilent) || errors.Is(err, errStaleList) { // that tells of no load: to be put off for long would help nobody
			wait = w.Backoff.ReconnectDelay
		}
		if n > 0 {
			wait, down = w.Backoff.ReconnectDelay, false
		}
		if !down { // once for each time it goes down, however often it is tried
			w.Log.Warn("discovery watch broken, list may be stale", "revision", w.Revision, "err", err)
		}
		down = true
		w.OnBreak()
		sleep(ctx, wait())
	}
}

// setDefaults sets what is not set.
func (w *Watcher) setDefaults() {
	w.silenceTimeout = cmp.Or(w.silenceTimeout, silenceTimeout)
	if w.callTimeout == 0 {
		if w.callTimeout = callTimeout; w.Backoff != nil && w.Backoff.agent {
			w.callTimeout = agentCallTimeout
		}
	}
}

// sleep waits, until the context ends at the most.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// errSilent tells that nothing has come for too long.
var errSilent = errors.New("silent for too long")

// errEmptyList tells that discovery's whole list names no member.
var errEmptyList = errors.New("discovery list names no member")

// errStaleList tells that discovery does not know yet what it, or another, has told before.
var errStaleList = errors.New("discovery list is older than the one known")

// revisionsReset tells whether a whole list that is older than what is known holds all the same. It would call members back that
// drain by now; discovery catches up soon, or else has begun to count anew.
func (w *Watcher) revisionsReset() bool {
	if w.behindSince.IsZero() {
		w.behindSince = time.Now()
	}
	return time.Since(w.behindSince) > catchUpTimeout
}

// fetch takes the whole list once.
func (w *Watcher) fetch(ctx context.Context, client *http.Client) error {
	w.setDefaults()
	ctx, cancel := context.WithTimeoutCause(ctx, w.callTimeout, errSilent)
	defer cancel()
	u := url.URL{Scheme: "http", Host: w.Addr, Path: "/registry/instances"}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return fmt.Errorf("discovery request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("discovery list: %w", cmp.Or(context.Cause(ctx), err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery list: status %s", resp.Status)
	}
	var list List
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&list); err != nil {
		return fmt.Errorf("discovery list: %w", cmp.Or(context.Cause(ctx), err))
	}
	if len(list.Members) == 0 && w.HasMembers {
		return errEmptyList
	}
	if list.RevisionsReset = list.Revision < w.Revision; list.RevisionsReset && !w.revisionsReset() {
		return errStaleList
	}
	list.Complete = true
	if !w.apply(list) {
		return errStaleList
	}
	w.FetchFirst = false
	return nil
}

// apply hands a list on that holds, unless a newer one has come another way meanwhile.
func (w *Watcher) apply(list List) bool {
	if newest, taken := w.OnList(list); !taken {
		w.Revision = newest
		w.revisionsReset()
		return false
	}
	w.Revision, w.behindSince, w.loggedEmpty = list.Revision, time.Time{}, false
	w.HasMembers = w.HasMembers || len(list.Members) > 0
	return true
}

// watch follows one watch until it breaks and returns how many lines it brought.
func (w *Watcher) watch(ctx context.Context, client *http.Client) (lines int, err error) {
	w.setDefaults()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(w.callTimeout, func() { cancel(errSilent) })
	defer alarm.Stop()
	short := &stallTimer{timer: time.AfterFunc(time.Hour, func() { cancel(fmt.Errorf("a line stopped short for %v", lineStallTimeout)) })}
	defer short.timer.Stop()
	w.stallTimer.Store(short)
	defer w.stallTimer.Store(nil)
	u := url.URL{Scheme: "http", Host: w.Addr, Path: "/registry/instances", RawQuery: url.Values{
		"watch": {"1"}, "from": {strconv.FormatInt(w.Revision, 10)}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return 0, fmt.Errorf("discovery request: %w", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("discovery watch: %w", cmp.Or(context.Cause(ctx), err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("discovery watch: status %s", resp.Status)
	}
	alarm.Reset(w.silenceTimeout)
	if w.OnOpen != nil {
		w.OnOpen()
	}
	in := newObjectReader(resp.Body)
	for {
		object, err := in.next()
		short.update(0, in.started)
		in.started = 0
		if err == nil {
			alarm.Reset(w.silenceTimeout)
			lines++
		}
		if len(object) == 0 {
			if err != nil {
				return lines, w.endError(ctx, err)
			}
			continue
		}
		var list List
		if err == nil || err == io.EOF {
			err = json.Unmarshal(object, &list)
		}
		if err != nil {
			if gone := salvageDrains(object, w.Revision); len(gone) > 0 {
				w.OnList(List{Revision: w.Revision, Members: gone})
			}
			return lines, fmt.Errorf("discovery line: %w", cmp.Or(context.Cause(ctx), err))
		}
		switch {
		case !list.Complete && list.Revision <= w.Revision:
			continue // changes that are not newer could call a member back that drains by now
		case list.Complete && len(list.Members) == 0 && w.HasMembers:
			// It is far more likely that discovery has lost its records than that the whole fleet is gone; members that go
			// are told one by one. Taken at its word, it would have every request refused.
			if !w.loggedEmpty {
				w.Log.Warn("discovery's whole list names no member; the known one stays", "revision", w.Revision, "told", list.Revision)
			}
			w.loggedEmpty = true
			continue
		case list.Complete && list.Revision < w.Revision:
			if list.RevisionsReset = w.revisionsReset(); !list.RevisionsReset {
				return lines, errStaleList
			}
		}
		if !w.apply(list) {
			return lines, errStaleList
		}
	}
}

// endError tells why a watch has.
func (w *Watcher) endError(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("discovery watch: %w", cause)
	}
	if err != io.EOF {
		return fmt.Errorf("discovery watch: %w", err)
	}
	return errors.New("discovery watch ended")
}

// dial connects to discovery.
func (w *Watcher) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &watchConn{Conn: c, watcher: w}, nil
}

// stallTimer rings when a line, or an object on several, that has begun pauses. It is begun when it, or an object in it, has come and was
// not read yet: net/http holds back what has come of a chunk until the chunk is whole or the connection ends.
type stallTimer struct {
	mu               sync.Mutex
	timer            *time.Timer
	received, parsed int // objects that have begun
}

func (a *stallTimer) update(came, read int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received, a.parsed = a.received+came, a.parsed+read
	switch {
	case a.received == a.parsed:
		a.timer.Stop()
	case came > 0:
		a.timer.Reset(lineStallTimeout)
	}
}

// watchConn tells the alarm what has come.
type watchConn struct {
	net.Conn
	watcher    *Watcher
	header     []byte // of the answer, until it is whole
	headerDone bool
}

func (c *watchConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	got := b[:n]
	if !c.headerDone {
		c.header = append(c.header, got...)
		_, rest, whole := bytes.Cut(c.header, []byte("\r\n\r\n"))
		if !whole {
			return n, err // net/http bounds a head
		}
		c.headerDone, c.header, got = true, nil, rest
	}
	if a := c.watcher.stallTimer.Load(); a != nil && len(got) > 0 {
		a.update(bytes.Count(got, []byte{'{'}), 0)
	}
	return n, err
}
