package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"linenloom/internal/discovery"
)

// Registry simulates discovery: it serves the member list and watches on it.
type Registry struct {
	server   *http.Server
	listener net.Listener
	mu       sync.Mutex
	revision int64
	members  []discovery.Member
	watches  map[chan discovery.List]struct{}
	quit     chan struct{}
	views    []*http.Server
}

func newRegistry() (*Registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Registry{listener: l, revision: 1, watches: map[chan discovery.List]struct{}{}, quit: make(chan struct{})}
	r.server = &http.Server{Handler: r.handler(func(m discovery.Member) discovery.Member { return m })}
	go r.server.Serve(l)
	return r, nil
}

// ListenView starts a listener for one proxy, which sees each member as see returns it. The address of a
// member may thus differ between proxies.
func (r *Registry) ListenView(see func(discovery.Member) discovery.Member) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: r.handler(see)}
	r.mu.Lock()
	r.views = append(r.views, s)
	r.mu.Unlock()
	go s.Serve(l)
	return l.Addr().String(), nil
}

// Addr returns the address that discovery listens at.
func (r *Registry) Addr() string { return r.listener.Addr().String() }

// Close stops discovery and all watches.
func (r *Registry) Close() {
	close(r.quit)
	r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.views {
		s.Close()
	}
}

// List returns the complete member list.
func (r *Registry) List() discovery.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	return discovery.List{Revision: r.revision, Complete: true, Members: slices.Clone(r.members)}
}

// Update adds, changes or removes a member and notifies all watches.
func (r *Registry) Update(m discovery.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	i := slices.IndexFunc(r.members, func(o discovery.Member) bool { return o.ID == m.ID })
	switch {
	case m.Phase == discovery.PhaseTerminated && i >= 0:
		r.members = slices.Delete(r.members, i, i+1)
	case i >= 0:
		r.members[i] = m
	case m.Phase != discovery.PhaseTerminated:
		r.members = append(r.members, m)
	}
	for c := range r.watches {
		select {
		case c <- discovery.List{Revision: r.revision, Members: []discovery.Member{m}}:
		default: // the watch does not read: it ends, and its client has to reconnect
			close(c)
			delete(r.watches, c)
		}
	}
}

func (r *Registry) handler(see func(discovery.Member) discovery.Member) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.serve(w, q, func(l discovery.List) {
			seen := discovery.List{Revision: l.Revision, Complete: l.Complete}
			for _, m := range l.Members {
				seen.Members = append(seen.Members, see(m))
			}
			json.NewEncoder(w).Encode(seen)
		})
	})
}

func (r *Registry) serve(w http.ResponseWriter, q *http.Request, tell func(discovery.List)) {
	if q.URL.Query().Get("watch") == "" {
		tell(r.List())
		return
	}
	c := make(chan discovery.List, 1024)
	r.mu.Lock()
	r.watches[c] = struct{}{}
	first := discovery.List{Revision: r.revision, Complete: true, Members: slices.Clone(r.members)}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.watches, c)
		r.mu.Unlock()
	}()
	tell(first)
	for {
		w.(http.Flusher).Flush()
		select {
		case l, ok := <-c:
			if !ok {
				return
			}
			tell(l)
		case <-time.After(heartbeatInterval):
			io.WriteString(w, "\n")
		case <-r.quit:
			return
		case <-q.Context().Done():
			return
		}
	}
}

// Zone is the zone of a single-zone Fleet.
const Zone = "lab"

// Kinds are the kinds of machine of a Fleet, in the order of its settings.
var Kinds = []string{"box", "origin"}

// Fleet is a set of caches with their origin and discovery.
type Fleet struct {
	Caches    []*Cache
	Origin    *Origin
	Registry  *Registry
	Tenants   []any          // of its settings; empty unless set before Config
	Zones     []string       // of its settings; nil for the single zone
	Overrides map[string]any // replaces fields of the default settings
	makeValue func(key string) []byte
	mu        sync.Mutex
	missedAt  map[string][]*Cache // caches that missed, by request id, until the origin has answered
	missOrder []string            // keys of missedAt, oldest first
}

// maxTrackedMisses bounds the requests whose misses are remembered.
const maxTrackedMisses = 4096

// NewFleet starts a fleet with the given number of caches, all empty and warm. Values have size bytes.
func NewFleet(boxes, size int) (*Fleet, error) {
	f := &Fleet{missedAt: map[string][]*Cache{}, makeValue: func(key string) []byte { return Value(key, size) }}
	var err error
	if f.Registry, err = newRegistry(); err != nil {
		return nil, err
	}
	if f.Origin, err = newOrigin("o-1", f.makeValue, f.storeFetched); err != nil {
		return nil, err
	}
	f.Registry.Update(f.discoveryEntry("o-1", f.Origin.Addr(), "origin", Zone, time.Time{}))
	for i := range boxes {
		if _, err := f.AddCache(fmt.Sprintf("s-%d", i+1), time.Time{}); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// NewZonedFleet starts a fleet with the given number of caches in each of several zones. The origin is in
// the first zone.
func NewZonedFleet(zones []string, boxes, size int) (*Fleet, error) {
	f, err := NewFleet(0, size)
	if err != nil {
		return nil, err
	}
	f.Zones = zones
	f.Registry.Update(f.discoveryEntry("o-1", f.Origin.Addr(), "origin", zones[0], time.Time{}))
	for _, zone := range zones {
		for i := range boxes {
			if _, err := f.AddCacheIn(zone, fmt.Sprintf("%s-%d", zone, i+1), time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

// CachesIn returns the caches of a zone.
func (f *Fleet) CachesIn(zone string) (boxes []*Cache) {
	for _, b := range f.Caches {
		if b.Zone == zone {
			boxes = append(boxes, b)
		}
	}
	return boxes
}

// Value returns the value of a key: its name, padded to the size.
func Value(key string, size int) []byte {
	v := append(make([]byte, 0, size), "value of "+key+" "...)
	for len(v) < size {
		v = append(v, '.')
	}
	return v
}

func (f *Fleet) discoveryEntry(id, addr, kind, zone string, since time.Time) discovery.Member {
	m := discovery.Member{ID: id, HostPort: addr, Locality: zone, Flavor: kind, Phase: discovery.PhaseInService, Size: 1}
	if !since.IsZero() {
		m.UpSinceMS = float64(since.UnixMilli())
	}
	return m
}

// AddCache starts a cache and registers it with discovery. since is when it started, zero for long ago.
func (f *Fleet) AddCache(id string, since time.Time) (*Cache, error) {
	return f.AddCacheIn(Zone, id, since)
}

// AddCacheIn is AddCache for a cache in a given zone.
func (f *Fleet) AddCacheIn(zone, id string, since time.Time) (*Cache, error) {
	b, err := newCache(id, zone, f.recordMiss)
	if err != nil {
		return nil, err
	}
	b.startedAt = since
	f.Caches = append(f.Caches, b)
	f.Registry.Update(f.discoveryEntry(id, b.Addr(), "box", zone, since))
	return b, nil
}

// Drain marks a cache as draining in discovery.
func (f *Fleet) Drain(b *Cache) {
	m := f.discoveryEntry(b.ID, b.Addr(), "box", b.Zone, b.startedAt)
	m.Phase = discovery.PhaseTerminating
	f.Registry.Update(m)
}

// Remove removes a cache from discovery and closes it.
func (f *Fleet) Remove(b *Cache) {
	m := f.discoveryEntry(b.ID, b.Addr(), "box", b.Zone, b.startedAt)
	m.Phase = discovery.PhaseTerminated
	f.Registry.Update(m)
	b.Close()
}

// Fill stores the values of keys in every cache.
func (f *Fleet) Fill(keys ...string) {
	for _, k := range keys {
		v := f.makeValue(k)
		for _, b := range f.Caches {
			b.Put(k, v)
		}
	}
}

// RemoveOrigin removes the origin from discovery. The origin goes on answering the requests that it has.
func (f *Fleet) RemoveOrigin() {
	m := f.discoveryEntry(f.Origin.ID, f.Origin.Addr(), "origin", f.originZone(), time.Time{})
	m.Phase = discovery.PhaseTerminated
	f.Registry.Update(m)
}

func (f *Fleet) originZone() string {
	if len(f.Zones) > 0 {
		return f.Zones[0]
	}
	return Zone
}

// SetDeadlines sets the checker for the deadlines that the members receive from now on.
func (f *Fleet) SetDeadlines(d *DeadlineChecker) {
	f.Origin.SetDeadlines(d)
	for _, b := range f.Caches {
		b.SetDeadlines(d)
	}
}

// LastEnded returns when a member last ended a request, whatever its outcome.
func (f *Fleet) LastEnded() time.Time {
	last := f.Origin.LastEnded()
	for _, b := range f.Caches {
		if at := b.LastEnded(); at.After(last) {
			last = at
		}
	}
	return last
}

// Close closes discovery and all members.
func (f *Fleet) Close() {
	f.Registry.Close()
	f.Origin.Close()
	for _, b := range f.Caches {
		b.Close()
	}
}

func (f *Fleet) recordMiss(id string, b *Cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missedAt[id] == nil {
		f.missOrder = append(f.missOrder, id)
	}
	f.missedAt[id] = append(f.missedAt[id], b)
	for len(f.missOrder) > maxTrackedMisses {
		delete(f.missedAt, f.missOrder[0])
		f.missOrder = f.missOrder[1:]
	}
}

func (f *Fleet) storeFetched(id, key string, value []byte) {
	f.mu.Lock()
	boxes := f.missedAt[id]
	delete(f.missedAt, id)
	f.mu.Unlock()
	for _, b := range boxes {
		b.Put(key, value)
	}
}

// ReadSoftDeadline is the soft deadline of reads in the settings of a fleet.
const ReadSoftDeadline = 800 * time.Millisecond

// Settings returns the platform's settings for a fleet, as they appear in its configuration.
func Settings() map[string]any {
	class := func(name string, aim, deadline float64, repeat string, worth float64) map[string]any {
		return map[string]any{"name": name, "aim_ms": aim, "deadline_ms": deadline, "dedup_scope": "all",
			"late_worth": 0.0, "repeat": repeat, "streamed": false, "window_ms": 5000.0, "worth": worth}
	}
	return map[string]any{
		"areas": []string{Zone}, "az": 0, "instances": 1, "self_index": 0,
		"classes":    []any{class("tile-read", float64(ReadSoftDeadline.Milliseconds()), 3000, "repeatable", 5), class("pass-order", 1500, 3000, "once", 15)},
		"deductions": map[string]any{"cross_zone": 0.06}, "discovery": "automatic",
		"family_info":    map[string]any{"mode": "aside", "origin_kind": 1, "origin_fall_ms": 3000.0, "origin_fall_multiple": 0.0},
		"granularity_ms": 2.0, "kinds": Kinds,
		"limits": map[string]any{"cancel": true, "conn_idle_ms": 5000.0, "connect_timeout_ms": 250.0, "most_held": 20000,
			"multiplex": 32, "probes": true, "second_copies": false, "try_limit": 4, "retry_after": true, "max_retry_after_ms": 2000.0},
		"report": map[string]any{"columns": []string{}, "via": "off"},
		"rules": map[string]any{"cold_from": 0.3, "cold_ms": 8900.0, "drain_grace_ms": 250.0, "fall_multiple": 4.0,
			"grace_to_answer_ms": 20.0, "must_ask_in_ms": 10000.0, "tip_after_ms": 1500.0},
		"tenants": []any{}, "weights": "nominal",
	}
}

// Config returns the configuration of a proxy for the fleet, in the format of LB_CONFIG.
func (f *Fleet) Config(name, listen, seed string, memoryMB, sockets int) ([]byte, error) {
	settings := Settings()
	if f.Zones != nil {
		settings["areas"] = f.Zones
	}
	for name, value := range f.Overrides {
		settings[name] = value
	}
	if f.Tenants != nil {
		settings["tenants"] = f.Tenants
	}
	return json.MarshalIndent(map[string]any{
		"name": name, "listen": listen, "discovery": f.Registry.Addr(), "seed": seed,
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":  f.Registry.List(), "settings": settings,
	}, "", " ")
}
