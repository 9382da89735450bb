// Command simhost runs Balancers for the simulator, on standard input and output. Each simulated
// instance has its own, and they share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"linenloom/internal/wire"
	"linenloom/logic"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// host holds the balancers of this process, by instance.
type host struct {
	reply     wire.Reply
	instances map[uint32]*logic.Balancer
}

// serve answers each batch with one reply, and flushes it, until the input ends.
func serve(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint32]*logic.Balancer{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	var buf []byte
	for {
		var err error
		buf, err = wire.ReadBatch(r, buf)
		if errors.Is(err, io.EOF) && !errors.Is(err, wire.ErrFrame) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
		h.reply.Reset()
		if err := wire.Decode(buf, h.handle); err != nil {
			return fmt.Errorf("decode batch: %w", err)
		}
		if _, err := w.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("write reply: %w", err)
		}
		if err := w.Flush(); err != nil {
			return fmt.Errorf("flush reply: %w", err)
		}
	}
}

// handle passes an event to its instance. A panic in the balancer is reported as a Bug with its stack
// trace.
func (h *host) handle(now time.Duration, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			delete(h.instances, e.Instance)
			h.reply.Bug(e.Instance, fmt.Sprintf("panic: %v\n%s", p, debug.Stack()))
		}
	}()
	switch e.Code {
	case wire.EvDetach:
		delete(h.instances, e.Instance)
	case wire.EvInit:
		h.start(now, e)
	default:
		if b := h.instances[e.Instance]; b != nil {
			deliver(b, now, e)
		}
	}
}

func (h *host) start(now time.Duration, e *wire.Event) {
	delete(h.instances, e.Instance)
	s, err := wire.ParseSettings(e.Params)
	if err == nil {
		var b *logic.Balancer
		b, err = logic.New(s, e.Seed, wire.Actions{Reply: &h.reply, Instance: e.Instance})
		if err == nil {
			h.instances[e.Instance] = b
			b.Start(now)
			return
		}
	}
	h.reply.Bug(e.Instance, err.Error())
}

func deliver(b *logic.Balancer, now time.Duration, e *wire.Event) {
	switch e.Code {
	case wire.EvDiscovery:
		b.SetMembers(now, e.List, e.Members)
	case wire.EvRequest:
		b.Request(now, e.Request)
	case wire.EvStreamStarted:
		b.StreamStarted(now, e.Outcome.Request, e.Outcome.Attempt)
	case wire.EvPeerMessage:
		b.PeerMessage(now, e.Peer, e.Data)
	case wire.EvExpired:
		b.RequestCancelled(now, e.Request.ID)
	case wire.EvTimer:
		b.Timer(now, e.Token)
	case wire.EvProbeDone:
		b.ProbeResult(now, e.Outcome.Member, e.Outcome.Status, e.Outcome.Elapsed, e.Outcome.Load)
	case wire.EvAttemptEnded:
		b.Outcome(now, e.Outcome)
	}
}
