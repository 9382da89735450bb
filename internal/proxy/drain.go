package proxy

import "time"

const (
	// backlogTime lets accept take what the kernel holds for it before the listener is closed; closing
	// resets the rest.
	backlogTime = 50 * time.Millisecond
	owedEvery   = 10 * time.Millisecond
	lastTakes   = 100 * time.Millisecond
	// lingerTime is how long clients have to hear that their connections end. Closed at once, with
	// something unread, a connection is reset, and the client can lose its last answer.
	lingerTime = 100 * time.Millisecond
)

// drain brings a planned stop to its end: connections go on coming for a while, then those that are idle
// are ended one by one until nothing is owed.
func (p *Proxy) drain() {
	for _, f := range p.fronts {
		f.Drain()
	}
	time.Sleep(p.cfg.AcceptMore)
	for _, f := range p.fronts {
		f.StopTaking()
	}
	// Connections end where nothing is on its way on them. For a moment what still comes on busy ones is taken: a client
	// that asks again as soon as it is answered is free only in between.
	for end := time.Now().Add(lastTakes); time.Now().Before(end) && p.owes(); {
		time.Sleep(owedEvery / 2)
	}
	// What comes later is turned away: answered in full, it could take longer than there is time for.
	p.enter()
	p.stopping = true
	p.closeRecord()
	p.leave()
	longest := commandTime
	for _, c := range p.Classes() {
		longest = max(longest, c.Deadline)
	}
	for end := time.Now().Add(longest); time.Now().Before(end) && p.owes(); {
		time.Sleep(owedEvery)
	}
	time.Sleep(lingerTime)
}

// owes tells whether a front still owes an answer.
func (p *Proxy) owes() (owed bool) {
	p.enter()
	defer p.leave()
	for _, f := range p.fronts {
		if f.Owes() {
			owed = true
		}
	}
	return owed
}
