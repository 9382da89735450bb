package proxy

import (
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
)

const (
	clientBuffer = 4 << 10
	maxText      = 2 << 10  // key, id and list together
	mostKeyText  = 64 << 10 // of the keys of OBJ.MGET together
	// manyElements is the most elements of a command where there is OBJ.MGET: one with too many keys is read over, and told so.
	manyElements = 1 << 16
	// maxPipeline is how many commands of a connection are read ahead of their answers at the most.
	maxPipeline = 32
	// maxUnsent is how much a client may leave unread before nothing more is read from it.
	maxUnsent = 2 * resp.MaxValue
	// commandTime is how long a command may take to arrive, and a new connection's first from when it was
	// accepted. Whatever the reason for which a client stops short (half a command, silence, a peer that
	// vanished), it would hold a descriptor and memory for good. It harms a client that pauses for longer
	// inside a command, and one that connects long before it asks: that one has to connect again.
	commandTime = 2500 * time.Millisecond
	// clientIdle is how long a connection may stand idle; crowdedIdle, once connections that have asked take half
	// of the room that clients have for requests, and from there on less, down to leastIdle when they take it
	// all. Clients that come once and stay would else hold all of it, idle, while others find none. It guards
	// against any crowd, and pools far larger than their use. A client whose next command crosses the close sends
	// it again on a new connection, and one that asks seldom has to connect anew: at worst for each request.
	clientIdle  = 10 * time.Second
	crowdedIdle = 2200 * time.Millisecond
	leastIdle   = 100 * time.Millisecond
	askedShare  = 30 // percent of the descriptors: a little less than clients hold for requests at most
	// Where hardly any connection is used a second time, one that has been answered is closed at once, from when
	// connections that have asked take a third of the room on. Else each would hold a place until it counts as idle, and
	// clients that come anew for every request find none. reuseLeast is the share of connections asked on again, of the
	// last reuseOf or so, under which that is done, and every keepEvery-th connection is kept all the same: from those it
	// is told. It could do harm where clients use their connections again only after long: they have to connect anew.
	reuseLeast = 0.2
	reuseOf    = 32
	keepEvery  = 8
	// turnMost is how many commands of a connection are worked on before others that have something have their turn: one
	// that pipelines would else hold the core for as long as its buffer lasts.
	turnMost = 8
	// endGap is for how long a connection has been quiet that is ended by itself when the proxy stops. One that was asked on later ends
	// right behind its next answer: its client hears of the end with the answer, and not when it has asked again. It should exceed
	// the time in which clients that ask one request after another come again.
	endGap = 30 * time.Millisecond
	// youngFor is how long a connection that has not asked yet is spared when room is needed: a client's
	// first command may be on its way.
	youngFor = 100 * time.Millisecond
	// stalledFor is how long a client may pause inside a command before its place may go to another, when all are taken.
	// What it asks was not taken yet, so nothing is lost. A crowd that sends half a command each would else hold all
	// places for as long as a command may take; a client that is slow but goes on keeps its place.
	stalledFor = 700 * time.Millisecond
	// maxFaults is how many commands that can't be carried out a client may send before its connection is
	// ended. Each has its error line; without an end, a faulty client could keep the proxy busy for ever.
	maxFaults = 16
	// lingerBytes and lingerFor bound what is read after the last answer of a faulty client, so that closing
	// does not reset the connection before that answer is read. It may have megabytes more to send.
	lingerBytes = 256 << 10
	lingerFor   = 500 * time.Millisecond
	// lingerPiece is how much of what comes is dropped every lingerPace while answers from before are still out. It bounds what a client
	// that sends garbage for ever costs, and how late the end of one that has sent megabytes is seen.
	lingerPiece = 64 << 10
	lingerPace  = 20 * time.Millisecond
	lingerLook  = 100 * time.Millisecond // where nothing comes, whether the answers are out is looked at this often
)

// input is a command as it was read.
type input struct {
	Command
	name    string // of commands other than the two that are passed on
	refused bool   // there was no room for its value
	long    int    // bytes of the room for long values that it has

	many    bool     // it asks for many keys
	keys    []string // these
	tooMany int      // or so many, which were not read

	token  []byte          // of AUTH
	proof  *identity.Proof // of who sent it
	denied error           // why that could not be proven
}

// owed is an answer that a connection owes, in the order of its commands. A reply that no member has a part in
// (to PING, or an error) is one too, so that answers keep their order.
type owed struct {
	Request
	client *client
	reply  []byte        // the final answer, until it is written
	body   *Body         // the same, shared with others
	many   *manyReply    // it is for many keys, and not over
	turn   chan struct{} // closed when a value that is passed on may go on
	run    bool          // refusals of several commands in a row
}

// Answer puts the final answer into RESP2.
func (o *owed) Answer(a Answer) {
	p := o.client.p
	b := p.scratch[:0]
	switch a.Kind {
	case Served:
		if a.Body != nil {
			o.client.answerShared(o, a.Body)
			return
		}
		b = resp.AppendBulk(b, a.Value)
	case Refused:
		b = appendBusy(b, a.RetryAfter)
	default:
		switch {
		case o.denied != nil: // it was never sent for that; else it may have run, whatever has become of its proof
			b = appendDenied(b, o.denied)
		case a.Why == reasons.OtherOrder:
			b = resp.AppendError(b, "ERR the idempotency key stands for another order")
		default:
			b = resp.AppendError(b, "ERR failed")
		}
	}
	o.client.answer(o, b)
	p.scratch = b[:0]
}
