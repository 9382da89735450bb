package proxy

import (
	"linenloom/internal/pool"
	"linenloom/internal/upstream"
)

// strayLog collects what is logged about stray bytes from members: one line for all since the last.
type strayLog struct {
	member *upstream.Member
	latest upstream.Stray
	count  int
}

// ReportStray records bytes of a member that no request asked for.
func (h host) ReportStray(m *upstream.Member, s upstream.Stray) {
	h.strayLog.member, h.strayLog.latest = m, s
	h.strayLog.count++
}

// newStrayAttrs returns log attributes about the stray bytes since the last call. The caller holds the lock.
func (p *Proxy) newStrayAttrs() []any {
	strays := p.strayLog
	if strays.count == 0 {
		return nil
	}
	p.strayLog = strayLog{}
	attrs := []any{"count", strays.count, "address", strays.member.Addr, "origin", strays.member.Origin, "connection", strays.latest.Connection,
		"requests", strays.latest.Requests, "late_ms", milliseconds(strays.latest.Late), "starts_with", strays.latest.StartsWith, "since_start", p.upstreams.Strays()}
	for _, m := range p.members {
		if &m.Member == strays.member {
			return append(attrs, "member", m.listed.ID)
		}
	}
	return attrs
}

// logStrays logs the result of newStrayAttrs, without the lock: a blocked log must not delay requests.
func (p *Proxy) logStrays(attrs []any) {
	if len(attrs) > 0 {
		p.log.Warn("members sent bytes that no request asked for; their answers can't be attributed by order alone", attrs...)
	}
}

// ConnectionCounts are counts of connections to members, for operators.
type ConnectionCounts struct {
	Open   int               `json:"open"`
	Opened uint64            `json:"opened"`
	Closed map[string]uint64 `json:"closed"` // by reason
	Strays uint64            `json:"strays"` // times that bytes arrived that no request asked for
}

// Connections returns the counts of connections to members.
func (p *Proxy) Connections() (counts ConnectionCounts) {
	var counters pool.Counters
	p.Do(func() {
		counters = p.upstreams.Counters()
		counts.Open, counts.Strays = p.upstreams.OpenConns(), p.upstreams.Strays()
	})
	counts.Opened, counts.Closed = counters.Opened, counters.ByReason()
	return counts
}
