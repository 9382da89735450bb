// Package discovery watches the list of members that a discovery service keeps.
//
// It uses the client of net/http: unlike on connections to members, the exact time at which bytes are
// written does not matter here, and a call that is sent again does no harm.
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
	// silenceTimeout is how long a watch may be silent before it counts as broken. Discovery sends a
	// heartbeat every 2 s. A change counts as announced 6 s after the watch fell silent. If lists are
	// pushed, a third watch must be open by then even if the second one was silent from its first line
	// on: two silence timeouts, one agentCallTimeout and two reconnect delays take less than 6 s. For a
	// service that is polled, see maxReconnectSpread. A heartbeat that is late by more than 0.4 s ends a
	// healthy watch, which costs one more call.
	silenceTimeout = 2400 * time.Millisecond
	// callTimeout is how long a discovery service that is polled may take to begin its response. Whatever
	// its load, it rejects a call that has waited too long within 2 s; a service that sends nothing by
	// then has not received the call. A discovery agent that serves only this proxy (see Backoff) responds
	// at once: agentCallTimeout leaves time for a machine that is short of CPU.
	callTimeout      = 2200 * time.Millisecond
	agentCallTimeout = 750 * time.Millisecond
	dialTimeout      = time.Second
	// lineStallTimeout is how long a line may pause once it has begun. The line may say that a member
	// drains, so the rest of it is not waited for: a line that pauses is truncated as a rule. A discovery
	// service that pauses in each line would never be heard, so from the second line in a row that has paused
	// for longer the time doubles, up to maxLineStallTimeout. All of them together are well below the 6 s after
	// which a change counts as announced.
	lineStallTimeout    = 150 * time.Millisecond
	maxLineStallTimeout = 1200 * time.Millisecond
	maxListBytes        = 1 << 20 // holds some thousands of members
	// catchUpTimeout is how long the list of another discovery service may be older than the known one.
	catchUpTimeout = 1500 * time.Millisecond
)

// Phases of a member.
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

// List is the whole list of members, or the entries that have changed.
type List struct {
	Revision int64    `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
	// RevisionsReset is set on a whole list that is valid although its revision is lower than the known
	// one: discovery has restarted its revision numbers.
	RevisionsReset bool `json:"-"`
}

// Watcher follows the list of members.
//
// It calls OnList with each list, one at a time. OnList returns the newest known revision and whether it
// accepted the list: another watch may have delivered a newer one since this watch began. OnOpen is
// called each time discovery has accepted a watch. The watch then delivers all changes after Revision,
// those that have already happened first. OnBreak is called each time a watch ends.
type Watcher struct {
	Addr     string
	Revision int64 // the newest known revision
	// FetchFirst requests the whole list before the watch, for a discovery service whose revision numbers
	// may differ from those of the previous one.
	FetchFirst   bool
	Backoff      *Backoff      // delays between calls
	InitialDelay time.Duration // delay before the first call
	HasMembers   bool          // members are known; an empty list would remove them
	OnList       func(List) (newest int64, accepted bool)
	OnOpen       func() // may be nil
	OnBreak      func()
	Log          *slog.Logger

	stallTimer     atomic.Pointer[stallTimer] // of the open watch
	silenceTimeout time.Duration              // the constant; tests set a shorter one
	callTimeout    time.Duration              // callTimeout or agentCallTimeout; tests set a shorter one
	stalledLines   int                        // lines in a row that have paused for too long
	behindSince    time.Time                  // when a whole list was first older than the known one; zero: not older
	loggedEmpty    bool                       // the empty whole list has been logged
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       w.dial,
		DisableKeepAlives: true, // a watch lasts as long as its connection, so no connection is reused
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
		// None of these errors is a sign of load, so a short delay is enough.
		if errors.Is(err, errSilent) || errors.Is(err, errStaleList) || errors.Is(err, errLineStalled) {
			wait = w.Backoff.ReconnectDelay
		}
		if errors.Is(err, errLineStalled) {
			w.stalledLines++
		}
		if n > 0 {
			wait, down = w.Backoff.ReconnectDelay, false
		}
		if !down { // logged once per outage, not for each retry
			w.Log.Warn("discovery watch broken; the list may be stale", "revision", w.Revision, "err", err)
		}
		down = true
		w.OnBreak()
		sleep(ctx, wait())
	}
}

// setDefaults sets the time limits that have no value.
func (w *Watcher) setDefaults() {
	w.silenceTimeout = cmp.Or(w.silenceTimeout, silenceTimeout)
	if w.callTimeout == 0 {
		if w.callTimeout = callTimeout; w.Backoff != nil && w.Backoff.agent {
			w.callTimeout = agentCallTimeout
		}
	}
}

// sleep waits for d or until the context ends.
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

// errSilent: no data has arrived for too long.
var errSilent = errors.New("no data for too long")

// errLineStalled: a line has paused for too long.
var errLineStalled = errors.New("a line stalled")

// lineStallLimit returns how long a line of the next watch may pause.
func (w *Watcher) lineStallLimit() time.Duration {
	limit := lineStallTimeout
	for i := 1; i < w.stalledLines && limit < maxLineStallTimeout; i++ {
		limit *= 2
	}
	return limit
}

// errEmptyList: the whole list has no members.
var errEmptyList = errors.New("discovery list has no members")

// errStaleList: the list of this discovery service is older than one that it, or another, has sent
// before.
var errStaleList = errors.New("discovery list is older than the known list")

// noteOlderList records that discovery has sent a whole list that is older than the known one. It
// returns true if discovery has restarted its revision numbers, which makes the list valid. Otherwise the
// list is stale and would put members back in use that drain by now. A discovery service that is behind
// catches up within catchUpTimeout; one that stays behind for longer has restarted its revision numbers.
func (w *Watcher) noteOlderList() bool {
	if w.behindSince.IsZero() {
		w.behindSince = time.Now()
	}
	return time.Since(w.behindSince) > catchUpTimeout
}

// fetch requests the whole list once.
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
	if list.RevisionsReset = list.Revision < w.Revision; list.RevisionsReset && !w.noteOlderList() {
		return errStaleList
	}
	list.Complete = true
	if !w.apply(list) {
		return errStaleList
	}
	w.FetchFirst = false
	return nil
}

// apply passes a valid list to OnList. It returns false if a newer list has arrived by another watch
// meanwhile.
func (w *Watcher) apply(list List) bool {
	if newest, accepted := w.OnList(list); !accepted {
		w.Revision = newest
		w.noteOlderList()
		return false
	}
	w.Revision, w.behindSince, w.loggedEmpty, w.stalledLines = list.Revision, time.Time{}, false, 0
	w.HasMembers = w.HasMembers || len(list.Members) > 0
	return true
}

// watch follows one watch until it breaks and returns the number of lines that it delivered.
func (w *Watcher) watch(ctx context.Context, client *http.Client) (lines int, err error) {
	w.setDefaults()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silenceTimer := time.AfterFunc(w.callTimeout, func() { cancel(errSilent) })
	defer silenceTimer.Stop()
	limit := w.lineStallLimit()
	lineTimer := &stallTimer{limit: limit, timer: time.AfterFunc(time.Hour, func() {
		cancel(fmt.Errorf("%w for %v", errLineStalled, limit))
	})}
	defer lineTimer.timer.Stop()
	w.stallTimer.Store(lineTimer)
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
	silenceTimer.Reset(w.silenceTimeout)
	if w.OnOpen != nil {
		w.OnOpen()
	}
	objects := newObjectReader(resp.Body)
	for {
		object, err := objects.next()
		lineTimer.update(0, objects.started)
		objects.started = 0
		if err == nil {
			silenceTimer.Reset(w.silenceTimeout)
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
			// A truncated line may have announced that members drain; these entries are applied all the same.
			if drained := salvageDrains(object, w.Revision); len(drained) > 0 {
				w.OnList(List{Revision: w.Revision, Members: drained})
			}
			return lines, fmt.Errorf("discovery line: %w", cmp.Or(context.Cause(ctx), err))
		}
		switch {
		case !list.Complete && list.Revision <= w.Revision:
			continue // changes that are not newer could put a draining member back in use
		case list.Complete && len(list.Members) == 0 && w.HasMembers:
			// Discovery has far more likely lost its records than the whole fleet is gone: members that leave are
			// reported one by one. An empty list in force would refuse every request.
			if !w.loggedEmpty {
				w.Log.Warn("discovery sent a whole list without members; the known list stays in force", "revision", w.Revision,
					"told", list.Revision)
			}
			w.loggedEmpty = true
			continue
		case list.Complete && list.Revision < w.Revision:
			if list.RevisionsReset = w.noteOlderList(); !list.RevisionsReset {
				return lines, errStaleList
			}
		}
		if !w.apply(list) {
			return lines, errStaleList
		}
	}
}

// endError returns the reason for the end of a watch.
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

// stallTimer fires when a line, or an object on several lines, pauses after it has begun. It compares the
// number of objects, nested ones included, whose first byte the connection has received with the number
// whose first byte the parser has read. The two differ while a line is incomplete, because net/http holds
// back the received part of a chunk until the chunk is whole or the connection ends.
type stallTimer struct {
	mu               sync.Mutex
	timer            *time.Timer
	limit            time.Duration // how long a line may pause
	received, parsed int           // number of objects that have begun on the connection and in the parser
}

// update adds objects that have begun, and starts, restarts or stops the timer.
func (t *stallTimer) update(received, parsed int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.received, t.parsed = t.received+received, t.parsed+parsed
	switch {
	case t.received == t.parsed:
		t.timer.Stop()
	case received > 0:
		t.timer.Reset(t.limit)
	}
}

// watchConn reports received objects to the stall timer.
type watchConn struct {
	net.Conn
	watcher    *Watcher
	header     []byte // of the response, until it is complete
	headerDone bool
}

func (c *watchConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	got := b[:n]
	if !c.headerDone {
		c.header = append(c.header, got...)
		_, rest, whole := bytes.Cut(c.header, []byte("\r\n\r\n"))
		if !whole {
			return n, err // net/http limits the size of a header
		}
		c.headerDone, c.header, got = true, nil, rest
	}
	if lineTimer := c.watcher.stallTimer.Load(); lineTimer != nil && len(got) > 0 {
		lineTimer.update(bytes.Count(got, []byte{'{'}), 0)
	}
	return n, err
}
