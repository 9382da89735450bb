package cluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"linenloom/internal/standin"
)

// Event is one fault of a schedule, with its start, duration and end.
type Event struct {
	At          time.Duration
	Description string
	do          func() error
	undo        func() error
	Duration    time.Duration
}

// Schedule generates faults of all kinds from a seed: a zone or a cache that is silent, slow, failing or
// refusing; proxies killed or paused; messages between instances lost, delayed or blocked; connections
// reset; zones set out by hand. At most half of the proxies are down at once.
func (c *Cluster) Schedule(cl *Clients, seed uint64, d time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 23))
	var names []string
	for _, p := range c.Proxies {
		names = append(names, p.Name)
	}
	busy := map[string]bool{} // proxies that are down at some time, at most half of them and each at most once
	var all []Event
	for at := time.Duration(0); at < d; at += time.Duration(500+rng.IntN(2000)) * time.Millisecond {
		zone := c.Zones[rng.IntN(len(c.Zones))]
		box := c.Fleet.Caches[rng.IntN(len(c.Fleet.Caches))]
		proxy := c.Proxies[rng.IntN(len(c.Proxies))]
		e := Event{At: at, Duration: time.Duration(500+rng.IntN(4000)) * time.Millisecond}
		links := func(t Impairment) func() error {
			return func() error {
				for _, p := range c.Proxies {
					for _, b := range c.CachesIn(zone) {
						c.Link(p.Name, b).SetBoth(t)
					}
				}
				return nil
			}
		}
		gossip := func(a, b []string, t Impairment) func() error {
			return func() error {
				c.EachLink(a, b, func(l *Link) { l.SetBoth(t) })
				return nil
			}
		}
		fault := func(boxes []*standin.Cache, f standin.Fault) func() error {
			return func() error {
				for _, b := range boxes {
					b.SetFault(f)
				}
				return nil
			}
		}
		service := func(s time.Duration) func() error {
			return func() error {
				for _, b := range c.Fleet.CachesIn(zone) {
					b.SetService(s, 0)
				}
				return nil
			}
		}
		down := func() bool {
			ok := !busy[proxy.Name] && len(busy) < len(names)/2
			if ok {
				busy[proxy.Name] = true
			}
			return ok
		}
		switch kind := rng.IntN(11); {
		case kind == 0:
			e.Description, e.do, e.undo = zone+" silent", links(Impairment{Blocked: true}), links(Impairment{})
		case kind == 1:
			e.Description, e.do, e.undo = zone+" slow", service(40*c.ServiceTime), service(c.ServiceTime)
		case kind == 2:
			f := []standin.Fault{standin.Intermittent, standin.Busy, standin.Failing}[rng.IntN(3)]
			e.Description, e.do, e.undo = fmt.Sprint(zone, " fault ", f), fault(c.Fleet.CachesIn(zone), f), fault(c.Fleet.CachesIn(zone), standin.Healthy)
		case kind == 3:
			one := []*standin.Cache{box}
			f := []standin.Fault{standin.Stall, standin.Failing, standin.Reset}[rng.IntN(3)]
			e.Description, e.do, e.undo = fmt.Sprint(box.ID, " fault ", f), fault(one, f), fault(one, standin.Healthy)
		case kind == 4 && down():
			e.Description = proxy.Name + " killed"
			e.do = func() error {
				cl.ExpectLoss(proxy.Name, time.Now(), time.Now().Add(time.Hour))
				proxy.Kill()
				return nil
			}
			e.undo = proxy.Start
		case kind == 5 && down():
			e.Description = proxy.Name + " paused"
			e.do = func() error {
				cl.ExpectLoss(proxy.Name, time.Now(), time.Now().Add(time.Hour))
				proxy.Pause()
				return nil
			}
			e.undo = func() error { proxy.Continue(); return nil }
		case kind == 6:
			e.Description, e.do, e.undo = "messages lost", gossip(names, names, Impairment{LossRate: 0.3}), gossip(names, names, Impairment{})
		case kind == 7:
			e.Description, e.do, e.undo = "messages late", gossip(names, names, Impairment{Delay: time.Second}), gossip(names, names, Impairment{})
		case kind == 8:
			half := len(names) / 2
			e.Description, e.do, e.undo = "instances in halves", gossip(names[:half], names[half:], Impairment{Blocked: true}), gossip(names[:half], names[half:], Impairment{})
		case kind == 9:
			e.Description = zone + " reset"
			e.do = func() error {
				for _, p := range c.Proxies {
					for _, b := range c.CachesIn(zone) {
						c.Link(p.Name, b).Reset()
					}
				}
				return nil
			}
		case kind == 10 && c.JoinInstances && !busy[proxy.Name]:
			// A busy proxy, or one whose call conflicts with another, may reject the call. An accepted
			// call has to be reverted.
			e.Description, e.do = zone+" out by hand", func() error { proxy.SetZoneMode("out", zone); return nil }
			e.undo = func() error {
				return Eventually("a zone is given back", func() bool { _, err := proxy.SetZoneMode("auto", zone); return err == nil })
			}
		default:
			continue
		}
		all = append(all, e)
	}
	return all
}

// RunEvents starts each event at its time and ends it after its duration. It returns when all events have
// ended.
func RunEvents(events []Event, log func(format string, args ...any)) error {
	began := time.Now()
	errs := make(chan error, len(events))
	for _, e := range events {
		go func() {
			time.Sleep(time.Until(began.Add(e.At)))
			log("%v: %s for %v", e.At.Round(time.Millisecond), e.Description, e.Duration)
			err := e.do()
			if err == nil && e.undo != nil {
				time.Sleep(e.Duration)
				err = e.undo()
			}
			if err != nil {
				err = fmt.Errorf("%s: %w", e.Description, err)
			}
			errs <- err
		}()
	}
	var first error
	for range events {
		if err := <-errs; first == nil {
			first = err
		}
	}
	return first
}
