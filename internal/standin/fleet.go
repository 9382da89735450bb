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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	registry := &Registry{listener: listener, revision: 1, watches: map[chan discovery.List]struct{}{}, quit: make(chan struct{})}
	registry.server = &http.Server{Handler: registry.handler(func(m discovery.Member) discovery.Member { return m })}
	go registry.server.Serve(listener)
	return registry, nil
}

// ListenView starts a listener for one proxy, which sees each member as view returns it. The address of a
// member may thus differ between proxies.
func (r *Registry) ListenView(view func(discovery.Member) discovery.Member) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: r.handler(view)}
	r.mu.Lock()
	r.views = append(r.views, server)
	r.mu.Unlock()
	go server.Serve(listener)
	return listener.Addr().String(), nil
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
	i := slices.IndexFunc(r.members, func(other discovery.Member) bool { return other.ID == m.ID })
	switch {
	case m.Phase == discovery.PhaseTerminated && i >= 0:
		r.members = slices.Delete(r.members, i, i+1)
	case i >= 0:
		r.members[i] = m
	case m.Phase != discovery.PhaseTerminated:
		r.members = append(r.members, m)
	}
	for updates := range r.watches {
		select {
		case updates <- discovery.List{Revision: r.revision, Members: []discovery.Member{m}}:
		default: // the watch does not read: it ends, and its client has to reconnect
			close(updates)
			delete(r.watches, updates)
		}
	}
}

func (r *Registry) handler(view func(discovery.Member) discovery.Member) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		r.serve(w, request, func(l discovery.List) {
			visible := discovery.List{Revision: l.Revision, Complete: l.Complete}
			for _, m := range l.Members {
				visible.Members = append(visible.Members, view(m))
			}
			json.NewEncoder(w).Encode(visible)
		})
	})
}

func (r *Registry) serve(w http.ResponseWriter, request *http.Request, send func(discovery.List)) {
	if request.URL.Query().Get("watch") == "" {
		send(r.List())
		return
	}
	updates := make(chan discovery.List, 1024)
	r.mu.Lock()
	r.watches[updates] = struct{}{}
	first := discovery.List{Revision: r.revision, Complete: true, Members: slices.Clone(r.members)}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.watches, updates)
		r.mu.Unlock()
	}()
	send(first)
	for {
		w.(http.Flusher).Flush()
		select {
		case l, ok := <-updates:
			if !ok {
				return
			}
			send(l)
		case <-time.After(heartbeatInterval):
			io.WriteString(w, "\n")
		case <-r.quit:
			return
		case <-request.Context().Done():
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
func NewFleet(caches, size int) (*Fleet, error) {
	fleet := &Fleet{missedAt: map[string][]*Cache{}, makeValue: func(key string) []byte { return Value(key, size) }}
	var err error
	if fleet.Registry, err = newRegistry(); err != nil {
		return nil, err
	}
	if fleet.Origin, err = newOrigin("o-1", fleet.makeValue, fleet.storeFetched); err != nil {
		return nil, err
	}
	fleet.Registry.Update(fleet.discoveryEntry("o-1", fleet.Origin.Addr(), "origin", Zone, time.Time{}))
	for i := range caches {
		if _, err := fleet.AddCache(fmt.Sprintf("s-%d", i+1), time.Time{}); err != nil {
			return nil, err
		}
	}
	return fleet, nil
}

// NewZonedFleet starts a fleet with the given number of caches in each of several zones. The origin is in
// the first zone.
func NewZonedFleet(zones []string, caches, size int) (*Fleet, error) {
	fleet, err := NewFleet(0, size)
	if err != nil {
		return nil, err
	}
	fleet.Zones = zones
	fleet.Registry.Update(fleet.discoveryEntry("o-1", fleet.Origin.Addr(), "origin", zones[0], time.Time{}))
	for _, zone := range zones {
		for i := range caches {
			if _, err := fleet.AddCacheIn(zone, fmt.Sprintf("%s-%d", zone, i+1), time.Time{}); err != nil {
				return nil, err
			}
		}
	}
	return fleet, nil
}

// CachesIn returns the caches of a zone.
func (f *Fleet) CachesIn(zone string) (caches []*Cache) {
	for _, cache := range f.Caches {
		if cache.Zone == zone {
			caches = append(caches, cache)
		}
	}
	return caches
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
	cache, err := newCache(id, zone, f.recordMiss)
	if err != nil {
		return nil, err
	}
	cache.startedAt = since
	f.Caches = append(f.Caches, cache)
	f.Registry.Update(f.discoveryEntry(id, cache.Addr(), "box", zone, since))
	return cache, nil
}

// Drain marks a cache as draining in discovery.
func (f *Fleet) Drain(cache *Cache) {
	m := f.discoveryEntry(cache.ID, cache.Addr(), "box", cache.Zone, cache.startedAt)
	m.Phase = discovery.PhaseTerminating
	f.Registry.Update(m)
}

// Remove removes a cache from discovery and closes it.
func (f *Fleet) Remove(cache *Cache) {
	m := f.discoveryEntry(cache.ID, cache.Addr(), "box", cache.Zone, cache.startedAt)
	m.Phase = discovery.PhaseTerminated
	f.Registry.Update(m)
	cache.Close()
}

// Fill stores the values of keys in every cache.
func (f *Fleet) Fill(keys ...string) {
	for _, k := range keys {
		v := f.makeValue(k)
		for _, cache := range f.Caches {
			cache.Put(k, v)
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
	for _, cache := range f.Caches {
		cache.SetDeadlines(d)
	}
}

// LastEnded returns when a member last ended a request, whatever its outcome.
func (f *Fleet) LastEnded() time.Time {
	last := f.Origin.LastEnded()
	for _, cache := range f.Caches {
		if at := cache.LastEnded(); at.After(last) {
			last = at
		}
	}
	return last
}

// Close closes discovery and all members.
func (f *Fleet) Close() {
	f.Registry.Close()
	f.Origin.Close()
	for _, cache := range f.Caches {
		cache.Close()
	}
}

func (f *Fleet) recordMiss(id string, cache *Cache) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missedAt[id] == nil {
		f.missOrder = append(f.missOrder, id)
	}
	f.missedAt[id] = append(f.missedAt[id], cache)
	for len(f.missOrder) > maxTrackedMisses {
		delete(f.missedAt, f.missOrder[0])
		f.missOrder = f.missOrder[1:]
	}
}

func (f *Fleet) storeFetched(id, key string, value []byte) {
	f.mu.Lock()
	caches := f.missedAt[id]
	delete(f.missedAt, id)
	f.mu.Unlock()
	for _, cache := range caches {
		cache.Put(key, value)
	}
}

// ReadSoftDeadline is the soft deadline of reads in the settings of a fleet.
const ReadSoftDeadline = 800 * time.Millisecond

// Settings returns the platform's settings for a fleet, as they appear in its configuration.
func Settings() map[string]any {
	class := func(name string, softDeadline, deadline float64, repeat string, worth float64) map[string]any {
		return map[string]any{"name": name, "aim_ms": softDeadline, "deadline_ms": deadline, "dedup_scope": "all",
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
