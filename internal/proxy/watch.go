package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"linenloom/internal/discovery"
	"linenloom/logic"
)

// watch is a watch on discovery at one address. It counts until the next one has told its first list, so that
// an address that is not up yet leaves the proxy no worse off; from then on nothing that it tells is taken.
type watch struct {
	addr         string
	gotList      chan struct{} // closed with its first list
	opened       chan struct{} // closed once discovery has taken it up
	cancel       context.CancelFunc
	backoff      *discovery.Backoff
	initialDelay time.Duration // before its first call
}

// SetDiscoveryAddr moves the watch to another address. It returns at once.
func (p *Proxy) SetDiscoveryAddr(addr string) {
	p.beginEvent()
	defer p.endEvent()
	if p.startWatch == nil {
		p.cfg.Discovery = addr
		return
	}
	if newest := p.watches[len(p.watches)-1]; newest.addr != addr {
		p.log.Info("discovery moves", "from", newest.addr, "to", addr)
		p.addWatch(addr, true)
	}
}

// addWatch starts a watch. Of those before it, the one that counts goes on for the time being.
func (p *Proxy) addWatch(addr string, whole bool) *watch {
	for len(p.watches) > 1 {
		p.watches[1].cancel()
		p.watches = slices.Delete(p.watches, 1, 2)
	}
	s := &p.cfg.Settings
	w := &watch{addr: addr, gotList: make(chan struct{}), opened: make(chan struct{}), cancel: func() {},
		backoff: discovery.NewBackoff(s.Subscribe, s.SelfIndex, s.Instances, s.MaxPollInterval, p.cfg.Seed)}
	if !whole && len(p.cfg.InitialList.Members) > 0 { // there is a list to begin with
		w.initialDelay = w.backoff.StartDelay()
	}
	p.watches = append(p.watches, w)
	p.startWatch(w, whole)
	return w
}

// runWatch runs a watch until it is superseded or the context ends.
func (p *Proxy) runWatch(ctx context.Context, w *watch, whole bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.beginEvent()
	w.cancel = cancel
	current := slices.Contains(p.watches, w)
	revision, held := p.revision, len(p.members) > 0
	p.endEvent()
	if !current {
		return
	}
	watcher := discovery.Watcher{
		Addr: w.addr, Revision: revision, FetchFirst: whole, Backoff: w.backoff, InitialDelay: w.initialDelay, HasMembers: held, Log: p.log,
		OnList:  func(l discovery.List) (int64, bool) { return p.receiveList(w, l) },
		OnOpen:  sync.OnceFunc(func() { close(w.opened) }),
		OnBreak: func() { p.watchBroken(w) },
	}
	watcher.Run(ctx)
}

// receiveList applies a list, if the watch that it came by still counts or begins to. One that begins to may have lagged behind: while it asked
// for its first list, the one before has told more. That list would call members back that drain, and is not taken.
func (p *Proxy) receiveList(w *watch, l discovery.List) (newest int64, taken bool) {
	kind := logic.ListDelta
	if l.Complete {
		kind = logic.ListFull
	}
	p.beginEvent()
	defer p.endEvent()
	at := slices.Index(p.watches, w)
	switch {
	case at < 0:
		return l.Revision, true // it is being ended
	case at > 0 && l.Revision < p.revision && !l.RevisionsReset:
		return p.revision, false
	}
	for _, old := range p.watches[:at] {
		old.cancel()
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

// awaitFirstList waits for a watch's first list, for so long at the most. A watch that discovery has taken up and that tells nothing for
// listUpdateTimeout has nothing to tell: the list of the configuration holds, and is not waited for any longer.
func (w *watch) awaitFirstList(ctx context.Context, within time.Duration) {
	most := time.NewTimer(within)
	defer most.Stop()
	opened := w.opened
	for {
		select {
		case <-opened:
			opened = nil
			most.Reset(listUpdateTimeout)
			continue
		case <-w.gotList:
		case <-most.C:
		case <-ctx.Done():
		}
		return
	}
}

func (p *Proxy) watchBroken(w *watch) {
	p.beginEvent()
	defer p.endEvent()
	if p.watches[0] == w {
		p.balancer.SetMembers(p.now, logic.ListFailed, nil)
	}
}
