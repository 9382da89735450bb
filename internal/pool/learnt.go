package pool

import "time"

// Learnt is what is known of a member's connections, for the process that takes this one's place. Who is out of reach is not in it:
// one dial tells that anew.
type Learnt struct {
	Turn  time.Duration `json:"Turn"`  // for which a connection is taken for a request lately
	Clean int           `json:"Clean"` // clean answers since one was spoilt
	Need  int           `json:"Need"`  // clean answers that are asked for before requests travel together
}

// Learnt tells what is known of the connections.
func (m *Member[X]) Learnt() Learnt { return Learnt{m.turn, m.clean, m.cleanNeed} }

// Inherit takes over what another process knew, if nothing is known yet.
func (m *Member[X]) Inherit(l Learnt) {
	if m.turn == 0 && m.clean == 0 && l.Turn > 0 {
		m.turn, m.clean, m.cleanNeed = l.Turn, min(max(0, l.Clean), cleanMost), min(max(0, l.Need), cleanMost)
	}
}

// IdleLearnt is how connections have fared, by spans of the time for which they had stood idle: how many were used again, and how
// many of these broke.
type IdleLearnt struct {
	Used  []float64 `json:"Used"`
	Broke []float64 `json:"Broke"`
}

// IdleLearnt tells how connections have fared.
func (p *Pool[X]) IdleLearnt() IdleLearnt {
	used, broke := p.idle.used, p.idle.broke // copies
	return IdleLearnt{used[:], broke[:]}
}

// InheritIdle takes over how another process's connections have fared. What has other spans, or is no count, is left.
func (p *Pool[X]) InheritIdle(l IdleLearnt) {
	if len(l.Used) != idleClasses || len(l.Broke) != idleClasses {
		return
	}
	for i := range idleClasses {
		if u, b := l.Used[i], l.Broke[i]; !(u >= b && b >= 0 && u < 1e12) {
			return
		}
	}
	copy(p.idle.used[:], l.Used)
	copy(p.idle.broke[:], l.Broke)
}
