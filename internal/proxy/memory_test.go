package proxy

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"linenloom/internal/answerbudget"
	"linenloom/internal/discovery"
	"linenloom/internal/manykeys"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
)

// Values for the tests of memory: of the largest size, and small.
var (
	largeValue = strings.Repeat(".", resp.MaxValue)
	smallValue = strings.Repeat(".", 100)
)

// startWithLittleMemory starts a proxy that may hold some 42 large answers. Its caches answer a read with what
// valueOf returns for its key.
func startWithLittleMemory(t *testing.T, valueOf func(key string) string) *testProxy {
	t.Helper()
	var caches []discovery.Member
	for i := range 24 {
		node := startCache(t, func(a memberCommand) string { return hitReply(valueOf(a.key)) })
		caches = append(caches, listEntry(fmt.Sprint("s-", i), node, "large"))
	}
	cfg := testConfig()
	cfg.MemoryMB, cfg.Multiplex = 8, 1
	cfg.ManyKeys = &manykeys.Limits{Keys: 64, Bytes: 64 * resp.MaxValue, Outstanding: 64, PartSize: 64}
	cfg.Settings.Instances = 1
	return startProxy(t, cfg, caches...)
}

// holdFirstKeys returns what caches answer that hold the answer for a first key back until the release, and have a large
// value for every key.
func holdFirstKeys(release <-chan struct{}) (valueOf func(key string) string) {
	return func(key string) string {
		if strings.HasPrefix(key, "first") {
			<-release
		}
		return largeValue
	}
}

// reads returns n reads; the first has a key of its own, which the caches hold back.
func reads(client, n int) string {
	var all strings.Builder
	all.WriteString(getCommand(fmt.Sprint("first", client), fmt.Sprint("first", client)))
	for i := 1; i < n; i++ {
		all.WriteString(getCommand(fmt.Sprint("k", client, "-", i), fmt.Sprint("id", client, "-", i)))
	}
	return all.String()
}

// Guards against a proxy that is killed for its memory: clients send many reads of large values at once, and the
// answers that arrive before their turn are held. They stay within the memory for them, and no read is refused for it.
func TestPipelinedReadsStayWithinTheMemory(t *testing.T) {
	const clients = 6
	release := make(chan struct{})
	p := startWithLittleMemory(t, holdFirstKeys(release))
	var connections []*testClient
	for i := range clients {
		c := p.dial()
		connections = append(connections, c)
		go c.send(reads(i, maxPipeline))
	}
	p.eventually("only the first reads have no answer, or too much is held", func() bool {
		suspended := 0
		for c := range p.redis.clients {
			if c.resume != nil {
				suspended++
			}
		}
		return suspended == clients && len(p.requests) == clients || p.bufferedBytes > p.maxHeldBytes
	})
	if held := p.Load().Held; held > p.maxHeldBytes {
		t.Errorf("%d bytes are held, and the limit is %d", held, p.maxHeldBytes)
	}
	close(release)
	var group sync.WaitGroup
	for i, c := range connections {
		group.Go(func() {
			for j := range maxPipeline {
				if got := c.answer(); got != largeValue && got != "-BUSY" { // on a busy machine the caches lack time
					t.Errorf("client %d: read %d was answered %.20q", i, j, got)
				}
				if held := p.Load().Held; held > p.maxHeldBytes {
					t.Errorf("%d bytes are held, and the limit is %d", held, p.maxHeldBytes)
				}
			}
		})
	}
	group.Wait()
	if n := p.Reasons().Total(reasons.Refused, reasons.HostFull); n > 0 {
		t.Errorf("%v reads were refused for want of memory", n)
	}
	p.eventually("nothing is held or expected", func() bool { return p.bufferedBytes == 0 && p.answerBudget.Expected() == 0 })
}

// Guards against a proxy that is killed for its memory when values are larger than expected: reads for which there
// is no memory are refused, and those of a class that must not run twice are served all the same.
func TestAnswersLargerThanExpectedAreNotHeld(t *testing.T) {
	release, answerOthers := make(chan struct{}), make(chan struct{})
	p := startWithLittleMemory(t, func(key string) string {
		if strings.HasPrefix(key, "first") {
			<-release
		} else {
			<-answerOthers
		}
		return largeValue
	})
	p.Do(func() { p.answerBudget = answerbudget.New(len(smallValue)) })
	const clients = 4 // whose answers do not fit together
	var connections []*testClient
	for i := range clients {
		c := p.dial()
		connections = append(connections, c)
		c.send(getCommand(fmt.Sprint("first", i), fmt.Sprint("first", i)))
	}
	p.eventually("the first reads are in progress", func() bool { return len(p.requests) == clients })
	onceRead := respCommand("OBJ.GET", "once", "once", "c=pass-order,d=8000")
	connections[0].send(onceRead)
	for i, c := range connections {
		var all strings.Builder
		for j := 1; j < maxPipeline-1; j++ {
			all.WriteString(getCommand(fmt.Sprint("k", i, "-", j), fmt.Sprint("id", i, "-", j)))
		}
		c.send(all.String())
	}
	p.eventually("all reads are accepted", func() bool {
		pending := 0
		for c := range p.redis.clients {
			pending += len(c.pending)
		}
		return pending == clients*(maxPipeline-1)+1
	})
	close(answerOthers)
	most := p.maxHeldBytes + 2*resp.MaxValue // one answer is kept in any case
	p.eventually("only the first reads have no answer, or too much is held", func() bool {
		return len(p.requests) == clients && p.answerBudget.Expected() == 0 || p.bufferedBytes > most
	})
	if held := p.Load().Held; held > most {
		t.Errorf("%d bytes are held, and the limit is %d", held, most)
	}
	close(release)
	refused := 0
	for i, c := range connections {
		if got := c.answer(); got != largeValue {
			t.Errorf("client %d: the first read was answered %.20q", i, got)
		}
		if i == 0 {
			if got := c.answer(); got != largeValue {
				t.Errorf("the read that must not run twice was answered %.20q", got)
			}
		}
		for j := 1; j < maxPipeline-1; j++ {
			switch got := c.answer(); {
			case got == "-BUSY":
				refused++
			case got != largeValue:
				t.Errorf("client %d: read %d was answered %.20q", i, j, got)
			}
		}
	}
	if counted := int(p.Reasons().Total(reasons.Refused, reasons.HostFull)); counted == 0 || counted > refused {
		t.Errorf("%d reads were refused, %d counted", refused, counted)
	}
}

// Guards against a proxy that is killed for its memory: the values of an OBJ.MGET are held until all of them have
// arrived. Keys for which there is no memory are refused, and a further OBJ.MGET of the client is not read.
func TestKeysOfManyStayWithinTheMemory(t *testing.T) {
	const clients, keys = 4, 32 // whose values do not fit together
	release := make(chan struct{})
	p := startWithLittleMemory(t, holdFirstKeys(release))
	var connections []*testClient
	for i := range clients {
		all := []string{fmt.Sprint("first", i)}
		for j := 1; j < keys; j++ {
			all = append(all, fmt.Sprint("k", i, "-", j))
		}
		c := p.dial()
		connections = append(connections, c)
		c.send(mget(fmt.Sprint("m", i), "c=tile-read,d=8000", all...) + mget(fmt.Sprint("n", i), "c=tile-read,d=8000", fmt.Sprint("last", i)))
	}
	p.eventually("only the first keys have no outcome, or too much is held", func() bool {
		pendingKeys, suspended := 0, 0
		for c := range p.redis.clients {
			for _, o := range c.pending {
				if o.many != nil {
					pendingKeys += o.many.pendingKeys()
				}
			}
			if c.resume != nil {
				suspended++
			}
		}
		return pendingKeys == clients && suspended == clients || p.bufferedBytes > p.maxHeldBytes
	})
	if held := p.Load().Held; held > p.maxHeldBytes {
		t.Errorf("%d bytes are held, and the limit is %d", held, p.maxHeldBytes)
	}
	close(release)
	refused := 0
	for i, c := range connections {
		for range 2 {
			values, line := c.readArray()
			if values == nil {
				t.Errorf("client %d was answered %.20q", i, line)
			}
			for _, value := range values {
				switch value {
				case "-BUSY":
					refused++
				case largeValue:
				default:
					t.Errorf("client %d: a key was answered %.20q", i, value)
				}
			}
		}
	}
	if counted := int(p.Reasons().Total(reasons.Refused, reasons.HostFull)); counted == 0 || counted > refused {
		t.Errorf("%d keys were refused, %d counted", refused, counted)
	}
	p.eventually("nothing is held or expected", func() bool { return p.bufferedBytes == 0 && p.answerBudget.Expected() == 0 })
}

// Guards against a proxy that is killed for its memory: a value that several reads share is held for those whose turn
// has not come. Where it does not fit, they are refused, and the read that was sent is served.
func TestSharedAnswersStayWithinTheMemory(t *testing.T) {
	gated := newGatedCache()
	p := startJoining(t, joinLimits, gated.answer)
	lead, follower := p.dial(), p.dial()
	lead.send(getCommand("a", "lead"))
	<-gated.requests
	follower.send(getCommand("a", "follower"))
	p.awaitFollowers(1)
	full := 0
	p.Do(func() {
		full = p.maxHeldBytes - len(largeValue)
		p.AddBuffered(full)
	})
	gated.answers <- hitReply(largeValue)
	if got := lead.answer(); got != largeValue {
		t.Errorf("the read that was sent was answered %.20q", got)
	}
	if got := follower.answer(); got != "-BUSY" {
		t.Errorf("the read that shares its answer was answered %.20q", got)
	}
	if n := p.Reasons().Total(reasons.Refused, reasons.HostFull); n != 1 {
		t.Errorf("%v reads were refused for want of memory", n)
	}
	p.Do(func() { p.AddBuffered(-full) })
	p.eventually("nothing is held", func() bool { return p.bufferedBytes == 0 && len(p.requests) == 0 })
}
