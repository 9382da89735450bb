package proxy

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linenloom/internal/discovery"
)

// Guards against kept connections of clients that are closed to make room for connections to members: before a
// healthy fleet no connection ends, and a client within the clients' share is always accepted, while members
// want far more descriptors than there are.
func TestClientsKeepTheirShareOfTheDescriptors(t *testing.T) {
	const caches, roundTime = 24, 3 * time.Millisecond
	cfg := testConfig()
	cfg.Descriptors, cfg.Settings.Instances = 96, 1 // 72 without the reserve, 32 of them are the clients'
	var members []discovery.Member
	for i := range caches {
		node := startCache(t, func(a memberCommand) string {
			time.Sleep(roundTime)
			return hitReply("value of " + a.key)
		})
		members = append(members, listEntry(fmt.Sprintf("s-%d", i), node, "large"))
	}
	p := startProxy(t, cfg, members...)
	var closed, answered atomic.Int64
	var clients sync.WaitGroup
	for n := range p.descriptorBudget().ClientShare() {
		clients.Go(func() {
			c := p.dial()
			for i := range 150 {
				key := fmt.Sprintf("a%d", (n*7+i)%500)
				c.send(getCommand(key, fmt.Sprintf("id%d-%d", n, i)))
				if got := c.answer(); got == "" {
					closed.Add(1)
					c = p.dial()
				} else if got == "value of "+key {
					answered.Add(1)
				}
			}
		})
	}
	clients.Wait()
	t.Logf("%d served, %d connections closed", answered.Load(), closed.Load())
	if closed.Load() > 0 {
		t.Errorf("%d connections ended under a request", closed.Load())
	}
	if answered.Load() == 0 {
		t.Error("nothing was served")
	}
}

// Guards against a client within the clients' share that is shut out while members, all of their connections
// busy, use what the clients have left. Run with the race detector, it also guards against a reader that looks
// at its connection's input while an idle client is searched for under the lock.
func TestClientWithinTheirShareWaitsForDescriptor(t *testing.T) {
	const commands = 3
	cfg := testConfig()
	cfg.Descriptors, cfg.Settings.Instances = 64, 1
	release := make(chan struct{})
	var members []discovery.Member
	for i := range 8 {
		node := startCache(t, func(a memberCommand) string {
			<-release
			return hitReply("value of " + a.key)
		})
		members = append(members, listEntry(fmt.Sprintf("s-%d", i), node, "large"))
	}
	p := startProxy(t, cfg, members...)
	for n := range p.descriptorBudget().ClientShare() - 1 {
		c := p.dial()
		for i := range commands {
			c.send(getCommand(fmt.Sprintf("a%d-%d", n, i), fmt.Sprintf("id%d-%d", n, i)))
		}
	}
	p.eventually("no descriptor is free", func() bool { return !p.descriptorBudget().HasSpare(p.descriptorUse()) })
	late := p.dial()
	late.send(getCommand("late", "late"))
	time.AfterFunc(descriptorWait/5, func() { close(release) })
	if got, want := late.answer(), "value of late"; got != want {
		t.Errorf("answered %q, want %q", got, want)
	}
}
