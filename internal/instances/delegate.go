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

// delegate implements memberlist's callbacks for Instances. Its methods run on memberlist's goroutines
// and block on nothing but the lock.
type delegate Instances

var (
	_ memberlist.Delegate      = (*delegate)(nil)
	_ memberlist.EventDelegate = (*delegate)(nil)
	_ memberlist.AliveDelegate = (*delegate)(nil)
)

// NodeMeta returns this instance's metadata.
func (d *delegate) NodeMeta(limit int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, err := json.Marshal(d.self)
	if err != nil || len(b) > limit {
		return nil // the other instances refuse a member without metadata, and log it
	}
	return b
}

// NotifyMsg queues a received message. The byte slice belongs to memberlist, so it is copied.
func (d *delegate) NotifyMsg(b []byte) {
	select {
	case d.received <- slices.Clone(b):
	default:
	}
}

// GetBroadcasts returns nothing: instances send their messages directly to the recipients.
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }

// LocalState returns the state for an instance that joins.
func (d *delegate) LocalState(bool) []byte { return (*Instances)(d).localState() }

// MergeRemoteState applies the state of another instance.
func (d *delegate) MergeRemoteState(b []byte, join bool) { (*Instances)(d).mergeState(b, join) }

var errMemberRejected = errors.New("instances: member refused")

// NotifyAlive refuses a member without valid metadata, and a new one above maxMembers.
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

// NotifyJoin records an instance that is alive. A successor process replaces its predecessor of the same
// name in one step: the instance is never missing and never listed twice.
func (d *delegate) NotifyJoin(n *memberlist.Node) {
	m, err := parseMeta(n.Meta)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Name == d.self.Name { // this process, its predecessor or its successor
		d.superseded = d.superseded || m.StartedAtMS > d.self.StartedAtMS
		return
	}
	node := *n
	if old := d.known[m.Name]; old == nil || old.StartedAtMS <= m.StartedAtMS {
		d.known[m.Name] = &member{meta: m, node: &node, lastHeard: time.Now()}
	}
	d.logStatus(m, "there")
}

// logStatus logs the status of an instance.
func (d *delegate) logStatus(m meta, status string) {
	d.log.Info("instance", "name", m.Name, "number", m.Number, "zone", m.Zone, "since", m.StartedAtMS, "is", status)
}

// NotifyUpdate records changed metadata of an instance.
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.NotifyJoin(n) }

// NotifyLeave records an instance that left or that memberlist has declared dead. The end of a
// predecessor process changes nothing.
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	m, err := parseMeta(n.Meta)
	if err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	leaver := d.known[m.Name]
	if leaver == nil || leaver.StartedAtMS != m.StartedAtMS {
		return
	}
	status := "lost"
	if leaver.announcedLeave {
		status = "gone"
	}
	leaver.lostAt = time.Now()
	d.logStatus(m, status)
}

// debugHandler logs memberlist's own messages, which are meant for its developers, at debug level.
type debugHandler struct{ slog.Handler }

func (h debugHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Level = slog.LevelDebug
	if !h.Enabled(ctx, r.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}
