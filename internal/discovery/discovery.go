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
	// silence is how long a watch may say nothing before it counts as broken. A heartbeat comes every 2 s, and what discovery had to
	// tell counts as told 6 s after the watch fell silent: by then one that was opened in its place and is silent too, from its first
	// line on, must have been replaced as well. A heartbeat that is late by more than 0.4 s ends a watch for nothing, which
	// costs the call for another.
	silence = 2400 * time.Millisecond
	// answerTime is how long discovery may take to begin its answer where it is asked. Whatever its load, it tells a caller within 2 s that
	// it has waited too long; one that says nothing by then does not hear the call. An agent answers at once: agentAnswer is for a machine
	// that is short of its core.
	answerTime  = 2200 * time.Millisecond
	agentAnswer = 750 * time.Millisecond
	dialTimeout = time.Second
	// stall is how long a line may pause once it has begun. What it says may be that a member drains, so half of one must not be
	// waited for; a line is written in one go, and pauses only if it has stopped short.
	stall   = 150 * time.Millisecond
	maxLine = 1 << 20 // of the list: room for some thousands of members
	// catchUp is how long a discovery that is asked for the first time may lag behind the one before it.
	catchUp = 1500 * time.Millisecond
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
	// Anew tells, of a whole list that is older than what is known, that it holds all the same: discovery has begun to count anew.
	Anew bool `json:"-"`
}

// Watcher follows the list. Take is called with each list, one at a time, and tells the newest revision known, and whether the list is
// taken: another watch may have brought a newer one since this one began; Opened, each time discovery has taken up a watch: what it
// has to tell beyond Revision is then on its way, and where that is nothing the first line is only the next change; Broken, each
// time a watch ends.
type Watcher struct {
	Addr     string
	Revision int64 // the last one known
	// Whole asks for the whole list first, for a discovery that need not have counted its revisions like the
	// one before it.
	Whole  bool
	Pace   *Pace         // when to ask again
	Wait   time.Duration // before the first call
	Held   bool          // members are known, which an empty list would take away
	Take   func(List) (newest int64, taken bool)
	Opened func() // may be nil
	Broken func()
	Log    *slog.Logger

	line      atomic.Pointer[lineAlarm] // of the watch that is open
	silence   time.Duration             // as the constant; tests have it shorter
	answer    time.Duration             // likewise, answerTime or agentAnswer
	behind    time.Time                 // since when its whole list has been older than what is known; zero: it is not
	toldEmpty bool                      // logged that its whole list is empty
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       w.dial,
		DisableKeepAlives: true, // a watch lasts as long as its connection; none is left over to use again
	}}
	w.limits()
	down := false
	rest(ctx, w.Wait)
	for ctx.Err() == nil {
		var n int
		var err error
		if w.Whole {
			err = w.fetch(ctx, client)
		}
		if !w.Whole {
			n, err = w.watch(ctx, client)
		}
		if ctx.Err() != nil {
			return
		}
		wait := w.Pace.Failed
		if errors.Is(err, errSilent) || errors.Is(err, errBehind) { // that tells of no load: to be put off for long would help nobody
			wait = w.Pace.Broken
		}
		if n > 0 {
			wait, down = w.Pace.Broken, false
		}
		if !down { // once for each time it goes down, however often it is tried
			w.Log.Warn("discovery watch broken, list may be stale", "revision", w.Revision, "err", err)
		}
		down = true
		w.Broken()
		rest(ctx, wait())
	}
}

// limits sets what is not set.
func (w *Watcher) limits() {
	w.silence = cmp.Or(w.silence, silence)
	if w.answer == 0 {
		if w.answer = answerTime; w.Pace != nil && w.Pace.agent {
			w.answer = agentAnswer
		}
	}
}

// rest waits, until the context ends at the most.
func rest(ctx context.Context, d time.Duration) {
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

// errEmpty tells that discovery's whole list names no member.
var errEmpty = errors.New("discovery list names no member")

// errBehind tells that discovery does not know yet what it, or another, has told before.
var errBehind = errors.New("discovery list is older than the one known")

// countsAnew tells whether a whole list that is older than what is known holds all the same. It would call members back that
// drain by now; discovery catches up soon, or else has begun to count anew.
func (w *Watcher) countsAnew() bool {
	if w.behind.IsZero() {
		w.behind = time.Now()
	}
	return time.Since(w.behind) > catchUp
}

// fetch takes the whole list once.
func (w *Watcher) fetch(ctx context.Context, client *http.Client) error {
	w.limits()
	ctx, cancel := context.WithTimeoutCause(ctx, w.answer, errSilent)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLine)).Decode(&list); err != nil {
		return fmt.Errorf("discovery list: %w", cmp.Or(context.Cause(ctx), err))
	}
	if len(list.Members) == 0 && w.Held {
		return errEmpty
	}
	if list.Anew = list.Revision < w.Revision; list.Anew && !w.countsAnew() {
		return errBehind
	}
	list.Complete = true
	if !w.take(list) {
		return errBehind
	}
	w.Whole = false
	return nil
}

// take hands a list on that holds, unless a newer one has come another way meanwhile.
func (w *Watcher) take(list List) bool {
	if newest, taken := w.Take(list); !taken {
		w.Revision = newest
		w.countsAnew()
		return false
	}
	w.Revision, w.behind, w.toldEmpty = list.Revision, time.Time{}, false
	w.Held = w.Held || len(list.Members) > 0
	return true
}

// watch follows one watch until it breaks and returns how many lines it brought.
func (w *Watcher) watch(ctx context.Context, client *http.Client) (lines int, err error) {
	w.limits()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	alarm := time.AfterFunc(w.answer, func() { cancel(errSilent) })
	defer alarm.Stop()
	short := &lineAlarm{timer: time.AfterFunc(time.Hour, func() { cancel(fmt.Errorf("a line stopped short for %v", stall)) })}
	defer short.timer.Stop()
	w.line.Store(short)
	defer w.line.Store(nil)
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
	alarm.Reset(w.silence)
	if w.Opened != nil {
		w.Opened()
	}
	in := newFrames(resp.Body)
	for {
		object, err := in.next()
		short.note(0, in.begun)
		in.begun = 0
		if err == nil {
			alarm.Reset(w.silence)
			lines++
		}
		if len(object) == 0 {
			if err != nil {
				return lines, w.ended(ctx, err)
			}
			continue
		}
		var list List
		if err == nil || err == io.EOF {
			err = json.Unmarshal(object, &list)
		}
		if err != nil {
			if gone := drains(object, w.Revision); len(gone) > 0 {
				w.Take(List{Revision: w.Revision, Members: gone})
			}
			return lines, fmt.Errorf("discovery line: %w", cmp.Or(context.Cause(ctx), err))
		}
		switch {
		case !list.Complete && list.Revision <= w.Revision:
			continue // changes that are not newer could call a member back that drains by now
		case list.Complete && len(list.Members) == 0 && w.Held:
			// It is far more likely that discovery has lost its records than that the whole fleet is gone; members that go
			// are told one by one. Taken at its word, it would have every request refused.
			if !w.toldEmpty {
				w.Log.Warn("discovery's whole list names no member; the known one stays", "revision", w.Revision, "told", list.Revision)
			}
			w.toldEmpty = true
			continue
		case list.Complete && list.Revision < w.Revision:
			if list.Anew = w.countsAnew(); !list.Anew {
				return lines, errBehind
			}
		}
		if !w.take(list) {
			return lines, errBehind
		}
	}
}

// ended tells why a watch has.
func (w *Watcher) ended(ctx context.Context, err error) error {
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
	return &lineConn{Conn: c, w: w}, nil
}

// lineAlarm rings when a line, or an object on several, that has begun pauses. It is begun when it, or an object in it, has come and was
// not read yet: net/http holds back what has come of a chunk until the chunk is whole or the connection ends.
type lineAlarm struct {
	mu         sync.Mutex
	timer      *time.Timer
	came, read int // objects that have begun
}

func (a *lineAlarm) note(came, read int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.came, a.read = a.came+came, a.read+read
	switch {
	case a.came == a.read:
		a.timer.Stop()
	case came > 0:
		a.timer.Reset(stall)
	}
}

// lineConn tells the alarm what has come.
type lineConn struct {
	net.Conn
	w    *Watcher
	head []byte // of the answer, until it is whole
	body bool
}

func (c *lineConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	got := b[:n]
	if !c.body {
		c.head = append(c.head, got...)
		_, rest, whole := bytes.Cut(c.head, []byte("\r\n\r\n"))
		if !whole {
			return n, err // net/http bounds a head
		}
		c.body, c.head, got = true, nil, rest
	}
	if a := c.w.line.Load(); a != nil && len(got) > 0 {
		a.note(bytes.Count(got, []byte{'{'}), 0)
	}
	return n, err
}
