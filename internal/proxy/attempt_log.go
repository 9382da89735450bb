package proxy

import (
	"time"

	"linenloom/logic"
)

// logAttempt logs the end of an attempt at debug level. One line covers the whole attempt, so that concurrent attempts
// of a request can be compared by their lines alone: when it was started, how long it waited for a connection, when it
// was written and how much time it had left then, and when it ended. Points in time are milliseconds since the start
// of the process.
func (p *Proxy) logAttempt(a *attempt, s logic.Status) {
	if !p.debugEnabled {
		return
	}
	r := a.request
	line := []any{
		"request", string(r.ReqID), "attempt", a.index, "status", s.String(), "ended_ms", p.sinceStart(p.now),
		"begun_ms", p.sinceStart(a.startedAt), "client_left_ms", milliseconds(r.currentDeadline() - p.now),
	}
	if m := p.members[a.memberID]; m != nil {
		line = append(line, "member", m.listed.ID, "zone", m.listed.Locality, "origin", m.Origin)
	}
	if a.BeganAt > 0 {
		line = append(line, "waited_ms", milliseconds(a.BeganAt-a.startedAt), "out_ms", milliseconds(p.now-a.BeganAt),
			"left_at_write_ms", milliseconds(a.ExpiresAt-a.BeganAt), "first_on_connection", a.Fresh())
	}
	if trace, ok := a.Trace(); ok {
		line = append(line, "connection", trace.Connection, "requests_on_connection", trace.Requests, "rested_ms", milliseconds(trace.RestedFor))
		if trace.FirstByteAt > a.BeganAt {
			line = append(line, "first_byte_ms", milliseconds(trace.FirstByteAt-a.BeganAt))
		}
	}
	p.log.Debug("attempt", line...)
}

func (p *Proxy) sinceStart(at time.Duration) float64 { return milliseconds(at - p.clockOffset) }

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
