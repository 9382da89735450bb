package instances

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"
)

// delegate is what memberlist sees of Instances. Its methods are called from memberlist's goroutines and wait for nothing but the lock.
type delegate Instances

var (
	_ memberlist.Delegate      = (*delegate)(nil)
	_ memberlist.EventDelegate = (*delegate)(nil)
	_ memberlist.AliveDelegate = (*delegate)(nil)
)

// NodeMeta is what this instance says of itself.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := json.Marshal(d.self)
	if err != nil || len(b) > limit {
		return nil // the others turn it away, and say so
	}
	return b
}

// NotifyMsg takes a message. The bytes are memberlist's.
func (d *delegate) NotifyMsg(b []byte) {
	select {
	case d.received <- slices.Clone(b):
	default:
	}
}

// GetBroadcasts has nothing to add: what instances tell goes straight to whom it concerns.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState is for an instance that joins.
func (d *delegate) LocalState(bool) []byte { return (*Instances)(d).localState() }

// MergeRemoteState takes such a state.
func (d *delegate) MergeRemoteState(b []byte, join bool) { (*Instances)(d).mergeState(b, join) }

var errMemberRejected = errors.New("instances: turned away")

// NotifyAlive turns away who says nothing of itself, and whom there is no room for.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	m, err := parseMeta(n.Meta)
	if err != nil {
		return errors.Join(errMemberRejected, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known[m.Name] == nil && len(d.known) >= maxMembers {
		return errMemberRejected
	}
	return nil
}

// NotifyJoin notes an instance that lives. One that takes the place of an earlier process of the same name does so at once: there is
// neither a moment without it nor one with both.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	m, err := parseMeta(n.Meta)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Name == d.self.Name { // this process, the one before it, or the one after it
		d.superseded = d.superseded || m.StartedAtMS > d.self.StartedAtMS
		return
	}
	node := *n
	if old := d.known[m.Name]; old == nil || old.StartedAtMS <= m.StartedAtMS {
		d.known[m.Name] = &member{meta: m, node: &node, lastHeard: time.Now()}
	}
	d.logStatus(m, "there")
}

// logStatus logs how an instance stands.
func (d *delegate) logStatus(m meta, is string) {
	d.log.Info("instance", "name", m.Name, "number", m.Number, "zone", m.Zone, "since", m.StartedAtMS, "is", is)
}

// NotifyUpdate notes what an instance says anew of itself.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

// NotifyLeave notes an instance that has left, or that nobody hears any more. The end of a process that has a successor changes nothing.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	m, err := parseMeta(n.Meta)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	is := d.known[m.Name]
	if is == nil || is.StartedAtMS != m.StartedAtMS {
		return
	}
	what := "lost"
	if is.announcedLeave {
		what = "gone"
	}
	is.lostAt = time.Now()
	d.logStatus(m, what)
}

// debugHandler logs what memberlist says for its own developers at the level of those.
type debugHandler struct{ slog.Handler }

func (q debugHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Level = slog.LevelDebug
	if !q.Enabled(ctx, r.Level) {
		return nil
	}
	return q.Handler.Handle(ctx, r)
}
