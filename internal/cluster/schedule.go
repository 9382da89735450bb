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
// reset; zones taken out of use by an operator. At most half of the proxies are down at once.
func (c *Cluster) Schedule(clients *Clients, seed uint64, duration time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, 23))
	var names []string
	for _, p := range c.Proxies {
		names = append(names, p.Name)
	}
	downProxies := map[string]bool{} // proxies that are down at some time, at most half of them and each at most once
	var events []Event
	for at := time.Duration(0); at < duration; at += time.Duration(500+random.IntN(2000)) * time.Millisecond {
		zone := c.Zones[random.IntN(len(c.Zones))]
		cache := c.Fleet.Caches[random.IntN(len(c.Fleet.Caches))]
		proxy := c.Proxies[random.IntN(len(c.Proxies))]
		event := Event{At: at, Duration: time.Duration(500+random.IntN(4000)) * time.Millisecond}
		impairLinks := func(t Impairment) func() error {
			return func() error {
				for _, p := range c.Proxies {
					for _, cacheName := range c.CachesIn(zone) {
						c.Link(p.Name, cacheName).SetBoth(t)
					}
				}
				return nil
			}
		}
		impairGossip := func(firstGroup, secondGroup []string, t Impairment) func() error {
			return func() error {
				c.EachLink(firstGroup, secondGroup, func(l *Link) { l.SetBoth(t) })
				return nil
			}
		}
		setFault := func(caches []*standin.Cache, f standin.Fault) func() error {
			return func() error {
				for _, member := range caches {
					member.SetFault(f)
				}
				return nil
			}
		}
		setServiceTime := func(s time.Duration) func() error {
			return func() error {
				for _, member := range c.Fleet.CachesIn(zone) {
					member.SetService(s, 0)
				}
				return nil
			}
		}
		takeDown := func() bool {
			ok := !downProxies[proxy.Name] && len(downProxies) < len(names)/2
			if ok {
				downProxies[proxy.Name] = true
			}
			return ok
		}
		switch kind := random.IntN(11); {
		case kind == 0:
			event.Description, event.do, event.undo = zone+" silent", impairLinks(Impairment{Blocked: true}), impairLinks(Impairment{})
		case kind == 1:
			event.Description, event.do, event.undo = zone+" slow", setServiceTime(40*c.ServiceTime), setServiceTime(c.ServiceTime)
		case kind == 2:
			f := []standin.Fault{standin.Intermittent, standin.Busy, standin.Failing}[random.IntN(3)]
			event.Description, event.do, event.undo = fmt.Sprint(zone, " fault ", f), setFault(c.Fleet.CachesIn(zone), f), setFault(c.Fleet.CachesIn(zone), standin.Healthy)
		case kind == 3:
			single := []*standin.Cache{cache}
			f := []standin.Fault{standin.Stall, standin.Failing, standin.Reset}[random.IntN(3)]
			event.Description, event.do, event.undo = fmt.Sprint(cache.ID, " fault ", f), setFault(single, f), setFault(single, standin.Healthy)
		case kind == 4 && takeDown():
			event.Description = proxy.Name + " killed"
			event.do = func() error {
				clients.ExpectLoss(proxy.Name, time.Now(), time.Now().Add(time.Hour))
				proxy.Kill()
				return nil
			}
			event.undo = proxy.Start
		case kind == 5 && takeDown():
			event.Description = proxy.Name + " paused"
			event.do = func() error {
				clients.ExpectLoss(proxy.Name, time.Now(), time.Now().Add(time.Hour))
				proxy.Pause()
				return nil
			}
			event.undo = func() error { proxy.Continue(); return nil }
		case kind == 6:
			event.Description, event.do, event.undo = "gossip messages lost", impairGossip(names, names, Impairment{LossRate: 0.3}), impairGossip(names, names, Impairment{})
		case kind == 7:
			event.Description, event.do, event.undo = "gossip messages delayed", impairGossip(names, names, Impairment{Delay: time.Second}), impairGossip(names, names, Impairment{})
		case kind == 8:
			half := len(names) / 2
			event.Description, event.do, event.undo = "instances partitioned in halves", impairGossip(names[:half], names[half:], Impairment{Blocked: true}), impairGossip(names[:half], names[half:], Impairment{})
		case kind == 9:
			event.Description = zone + " reset"
			event.do = func() error {
				for _, p := range c.Proxies {
					for _, cacheName := range c.CachesIn(zone) {
						c.Link(p.Name, cacheName).Reset()
					}
				}
				return nil
			}
		case kind == 10 && c.JoinInstances && !downProxies[proxy.Name]:
			// A busy proxy, or one whose call conflicts with another, may reject the call. An accepted
			// call has to be reverted.
			event.Description, event.do = zone+" set out by hand", func() error { proxy.SetZoneMode("out", zone); return nil }
			event.undo = func() error {
				return Eventually("the zone is in automatic mode again", func() bool { _, err := proxy.SetZoneMode("auto", zone); return err == nil })
			}
		default:
			continue
		}
		events = append(events, event)
	}
	return events
}

// RunEvents starts each event at its time and ends it after its duration. It returns when all events have
// ended.
func RunEvents(events []Event, log func(format string, args ...any)) error {
	startedAt := time.Now()
	errs := make(chan error, len(events))
	for _, event := range events {
		go func() {
			time.Sleep(time.Until(startedAt.Add(event.At)))
			log("%v: %s for %v", event.At.Round(time.Millisecond), event.Description, event.Duration)
			err := event.do()
			if err == nil && event.undo != nil {
				time.Sleep(event.Duration)
				err = event.undo()
			}
			if err != nil {
				err = fmt.Errorf("%s: %w", event.Description, err)
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
