package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"linenloom/internal/discovery"
	"linenloom/logic"
)

// watch is a watch on discovery at one address. It stays active until the next watch has received its first list, so
// that an address that is not reachable yet does no harm; after that its lists are ignored.
type watch struct {
	addr         string
	gotList      chan struct{} // closed when its first list is applied
	opened       chan struct{} // closed when discovery has accepted the watch
	cancel       context.CancelFunc
	backoff      *discovery.Backoff
	initialDelay time.Duration // delay of its first call
}

// SetDiscoveryAddr moves the watch on discovery to another address. It does not block.
func (p *Proxy) SetDiscoveryAddr(addr string) {
	p.beginEvent()
	defer p.endEvent()
	if p.startWatch == nil {
		p.cfg.Discovery = addr
		return
	}
	if newest := p.watches[len(p.watches)-1]; newest.addr != addr {
		p.log.Info("discovery address changed", "from", newest.addr, "to", addr)
		p.addWatch(addr, true)
	}
}

// addWatch starts a watch. Earlier watches are cancelled, except for the active one.
func (p *Proxy) addWatch(addr string, fetchFirst bool) *watch {
	for len(p.watches) > 1 {
		p.watches[1].cancel()
		p.watches = slices.Delete(p.watches, 1, 2)
	}
	s := &p.cfg.Settings
	w := &watch{addr: addr, gotList: make(chan struct{}), opened: make(chan struct{}), cancel: func() {},
		backoff: discovery.NewBackoff(s.Subscribe, s.SelfIndex, s.Instances, s.MaxPollInterval, p.cfg.Seed)}
	if !fetchFirst && len(p.cfg.InitialList.Members) > 0 { // the configuration has a list
		w.initialDelay = w.backoff.StartDelay()
	}
	p.watches = append(p.watches, w)
	p.startWatch(w, fetchFirst)
	return w
}

// runWatch runs a watch until it is replaced or the context ends.
func (p *Proxy) runWatch(ctx context.Context, w *watch, fetchFirst bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.beginEvent()
	w.cancel = cancel
	current := slices.Contains(p.watches, w)
	revision, hasMembers := p.revision, len(p.members) > 0
	p.endEvent()
	if !current {
		return
	}
	watcher := discovery.Watcher{
		Addr: w.addr, Revision: revision, FetchFirst: fetchFirst, Backoff: w.backoff, InitialDelay: w.initialDelay, HasMembers: hasMembers, Log: p.log,
		OnList:  func(l discovery.List) (int64, bool) { return p.receiveList(w, l) },
		OnOpen:  sync.OnceFunc(func() { close(w.opened) }),
		OnBreak: func() { p.watchBroken(w) },
	}
	watcher.Run(ctx)
}

// receiveList applies a list, unless its watch has been replaced. The first list of a new watch may be older than what
// the active watch has received meanwhile. Such a list is rejected, as it would reactivate members that drain.
func (p *Proxy) receiveList(w *watch, l discovery.List) (newest int64, accepted bool) {
	kind := logic.ListDelta
	if l.Complete {
		kind = logic.ListFull
	}
	p.beginEvent()
	defer p.endEvent()
	at := slices.Index(p.watches, w)
	switch {
	case at < 0:
		return l.Revision, true // the watch has been replaced and is ending
	case at > 0 && l.Revision < p.revision && !l.RevisionsReset:
		return p.revision, false
	}
	for _, replaced := range p.watches[:at] {
		replaced.cancel()
	}
	p.watches = slices.Delete(p.watches, 0, at)
	p.revision = l.Revision
	p.applyList(kind, l)
	select {
	case <-w.gotList:
	default:
		close(w.gotList)
	}
	return l.Revision, true
}

// awaitFirstList waits for a watch's first list, up to a timeout. If nothing arrives for listUpdateTimeout after
// discovery has accepted the watch, there is no newer list: the configuration's list is current, and the wait ends.
func (w *watch) awaitFirstList(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	opened := w.opened
	for {
		select {
		case <-opened:
			opened = nil
			timer.Reset(listUpdateTimeout)
			continue
		case <-w.gotList:
		case <-timer.C:
		case <-ctx.Done():
		}
		return
	}
}

// watchBroken reports to the Balancer that the active watch has failed.
func (p *Proxy) watchBroken(w *watch) {
	p.beginEvent()
	defer p.endEvent()
	if p.watches[0] == w {
		p.balancer.SetMembers(p.now, logic.ListFailed, nil)
	}
}
