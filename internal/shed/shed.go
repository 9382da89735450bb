// Package shed decides which reads a front end refuses by itself, before the Balancer (package logic)
// processes them, when requests arrive faster than the proxy's own core can process them. No other measure
// helps then: the data unread in the kernel grows with every second, and if it were served in order, every
// response would be late.
//
// The package uses no I/O, clock or goroutines and is guarded by the host's lock. It never refuses a
// write or a request that must not run twice, and refuses nothing while the core has spare time: a queue
// that is long for another reason is handled by the Balancer.
package shed

import (
	"time"

	"linenloom/logic"
)

const (
	// softDeadlineDivisor divides the shortest soft deadline of all classes. Reads that have waited unread
	// for longer than the result may be refused, and all are refused past twice that. The limit leaves time
	// for the rest of the exchange. A limit shorter than a burst that the core completes in time would
	// refuse requests for no reason.
	softDeadlineDivisor = 4
	// busyThreshold is the utilization at which the core counts as fully used. A part is always lost to
	// the kernel and to other processes.
	busyThreshold = 0.85
	// halvingInterval is how often the request counts of tenants, from which their shares are computed,
	// are halved.
	halvingInterval = time.Second
	// minPipeline is how many requests of a connection may be in progress at any load.
	minPipeline = 4
	// shareTolerance is the fraction of its share by which a tenant may exceed the share before it counts
	// as over.
	shareTolerance = 0.1
)

// Controller decides for all connections of a front end.
type Controller struct {
	waitLimit   time.Duration
	lowValue    []bool // by class: its reads have a lower value than those of another class
	shares      []float64
	recent      []float64 // recent requests, by tenant
	recentTotal float64
	halveAt     time.Duration
	busy        bool
	usageAt     time.Duration
	answerRate  float64 // responses per second
}

// New returns a Controller for these classes and tenants.
func New(classes []logic.Class, tenants []logic.Tenant) *Controller {
	ctl := &Controller{recent: make([]float64, len(tenants))}
	for _, t := range tenants {
		ctl.shares = append(ctl.shares, t.Share)
	}
	ctl.SetClasses(classes)
	return ctl
}

// SetClasses replaces the classes.
func (ctl *Controller) SetClasses(classes []logic.Class) {
	ctl.waitLimit, ctl.lowValue = 0, make([]bool, len(classes))
	highestValue := 0.0
	for _, c := range classes {
		if ctl.waitLimit == 0 || c.SoftDeadline/softDeadlineDivisor < ctl.waitLimit {
			ctl.waitLimit = c.SoftDeadline / softDeadlineDivisor
		}
		if c.Effect == logic.Repeatable {
			highestValue = max(highestValue, c.Value)
		}
	}
	for i, c := range classes {
		ctl.lowValue[i] = c.Effect == logic.Repeatable && c.Value < highestValue
	}
}

// UpdateUsage records the recent utilization of the core, from 0 to 1, and the number of requests
// answered since the last call. It is called at short intervals.
func (ctl *Controller) UpdateUsage(now time.Duration, utilization float64, answered int) {
	ctl.busy = utilization >= busyThreshold
	if elapsed := now - ctl.usageAt; elapsed > 0 && ctl.usageAt > 0 {
		ctl.answerRate += (float64(answered)/elapsed.Seconds() - ctl.answerRate) / 2
	}
	ctl.usageAt = now
	if now < ctl.halveAt {
		return
	}
	ctl.halveAt = now + halvingInterval
	ctl.recentTotal /= 2
	for i := range ctl.recent {
		ctl.recent[i] /= 2
	}
}

// CountRequest counts a request of a tenant.
func (ctl *Controller) CountRequest(tenant int) {
	if ctl.recentTotal++; tenant >= 0 && tenant < len(ctl.recent) {
		ctl.recent[tenant]++
	}
}

// Admit reports whether a request that has waited unread for this long is passed on.
func (ctl *Controller) Admit(request *logic.Request, class *logic.Class, waited time.Duration) bool {
	switch {
	case !ctl.busy || waited <= ctl.waitLimit || request.Write || class.Effect != logic.Repeatable:
		return true
	case waited > 2*ctl.waitLimit || request.Class < len(ctl.lowValue) && ctl.lowValue[request.Class]:
		return false
	}
	return !ctl.overShare(request.Tenant)
}

// overShare reports whether a tenant requests more than its share. Without tenants, it is always true.
func (ctl *Controller) overShare(tenant int) bool {
	return tenant < 0 || tenant >= len(ctl.shares) || ctl.recent[tenant] > (1+shareTolerance)*ctl.shares[tenant]*ctl.recentTotal
}

// MaxPipeline returns how many requests of a connection may be in progress, given the number of
// connections and the upper limit. While the core is fully used, all connections together may have as
// many as it answers in half of the permitted wait. Any more would only queue here.
func (ctl *Controller) MaxPipeline(conns, limit int) int {
	if !ctl.busy || ctl.answerRate == 0 {
		return limit
	}
	inProgress := ctl.answerRate * ctl.waitLimit.Seconds() / 2
	return min(limit, max(minPipeline, int(inProgress)/max(1, conns)))
}

// Busy reports whether the core is fully used.
func (ctl *Controller) Busy() bool { return ctl.busy }

// MinBatchBytes is the size from which on the data of one read system call contains more than a request
// or two.
const MinBatchBytes = 512

// ReadQueue measures how long the data received on one connection has waited unprocessed. Once the bytes
// that are unread at some time have all been read, the time since then is the wait of the last of them.
// Requests that were read together also wait in the buffer for those before them.
type ReadQueue struct {
	unread       int // bytes that were unread at unreadSince
	unreadSince  time.Duration
	lastWait     time.Duration // the wait measured last
	delayedBytes int           // number of bytes that have waited for about lastWait before they are read
	readAt       time.Duration // when the current batch was read; 0: it was a single request
}

// RecordRead records that n bytes were read; full is set if more may be unread. It reports whether the
// caller should determine the number of unread bytes and call SetUnread. The caller may omit the call if n
// is below MinBatchBytes and Active reports false.
func (q *ReadQueue) RecordRead(now time.Duration, n int, full bool) (wantUnread bool) {
	if q.readAt = 0; n >= MinBatchBytes {
		q.readAt = now
	}
	q.delayedBytes = max(0, q.delayedBytes-n)
	if q.unread == 0 {
		q.lastWait = 0
		return full
	}
	if q.unread -= n; q.unread > 0 {
		return false
	}
	q.unread, q.lastWait = 0, now-q.unreadSince
	return true
}

// SetUnread records the number of unread bytes.
func (q *ReadQueue) SetUnread(now time.Duration, n int) {
	q.unread, q.unreadSince, q.delayedBytes = n, now, n
}

// Active reports whether data is known to wait.
func (q *ReadQueue) Active() bool { return q.unread > 0 || q.delayedBytes > 0 || q.readAt > 0 }

// Waited returns the minimum time that the current request has waited; 0: it has only just arrived, as
// far as is known.
func (q *ReadQueue) Waited(now time.Duration) (waited time.Duration) {
	if q.readAt > 0 {
		waited = now - q.readAt
	}
	if q.delayedBytes > 0 {
		waited += q.lastWait
	}
	if q.unread > 0 { // the request was unread at that time
		waited = max(waited, now-q.unreadSince)
	}
	return waited
}

// Exclude takes time out of the waits in which the connection was not read for another reason than the core.
func (q *ReadQueue) Exclude(d time.Duration) {
	if q.readAt > 0 {
		q.readAt += d
	}
	if q.unread > 0 {
		q.unreadSince += d
	}
}
