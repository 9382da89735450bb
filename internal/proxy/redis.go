package proxy

import (
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
)

const (
	clientBufferBytes = 4 << 10
	maxTextBytes      = 2 << 10  // key, id and list together
	maxKeyTextBytes   = 64 << 10 // of the keys of OBJ.MGET together
	// maxManyElements is the most elements of a command where there is OBJ.MGET: one with too many keys is read over, and told so.
	maxManyElements = 1 << 16
	// maxPipeline is how many commands of a connection are read ahead of their answers at the most.
	maxPipeline = 32
	// maxUnsentBytes is how much a client may leave unread before nothing more is read from it.
	maxUnsentBytes = 2 * resp.MaxValue
	// commandTimeout is how long a command may take to arrive, and a new connection's first from when it was
	// accepted. Whatever the reason for which a client stops short (half a command, silence, a peer that
	// vanished), it would hold a descriptor and memory for good. It harms a client that pauses for longer
	// inside a command, and one that connects long before it asks: that one has to connect again.
	commandTimeout = 2500 * time.Millisecond
	// clientIdleTimeout is how long a connection may stand idle; crowdedIdleTimeout, once connections that have asked take half
	// of the room that clients have for requests, and from there on less, down to minIdleTimeout when they take it
	// all. Clients that come once and stay would else hold all of it, idle, while others find none. It guards
	// against any crowd, and pools far larger than their use. A client whose next command crosses the close sends
	// it again on a new connection, and one that asks seldom has to connect anew: at worst for each request.
	clientIdleTimeout   = 10 * time.Second
	crowdedIdleTimeout  = 2200 * time.Millisecond
	minIdleTimeout      = 100 * time.Millisecond
	activeClientPercent = 30 // percent of the descriptors: a little less than clients hold for requests at most
	// Where hardly any connection is used a second time, one that has been answered is closed at once, from when
	// connections that have asked take a third of the room on. Else each would hold a place until it counts as idle, and
	// clients that come anew for every request find none. minReuseShare is the share of connections asked on again, of the
	// last reuseWindow or so, under which that is done, and every keepOpenEvery-th connection is kept all the same: from those it
	// is told. It could do harm where clients use their connections again only after long: they have to connect anew.
	minReuseShare = 0.2
	reuseWindow   = 32
	keepOpenEvery = 8
	// maxCommandsPerTurn is how many commands of a connection are worked on before others that have something have their turn: one
	// that pipelines would else hold the core for as long as its buffer lasts.
	maxCommandsPerTurn = 8
	// drainQuietTime is for how long a connection has been quiet that is ended by itself when the proxy stops. One that was asked on later ends
	// right behind its next answer: its client hears of the end with the answer, and not when it has asked again. It should exceed
	// the time in which clients that ask one request after another come again.
	drainQuietTime = 30 * time.Millisecond
	// newConnGrace is how long a connection that has not asked yet is spared when room is needed: a client's
	// first command may be on its way.
	newConnGrace = 100 * time.Millisecond
	// stalledCommandTime is how long a client may pause inside a command before its place may go to another, when all are taken.
	// What it asks was not taken yet, so nothing is lost. A crowd that sends half a command each would else hold all
	// places for as long as a command may take; a client that is slow but goes on keeps its place.
	stalledCommandTime = 700 * time.Millisecond
	// maxFaultyCommands is how many commands that can't be carried out a client may send before its connection is
	// ended. Each has its error line; without an end, a faulty client could keep the proxy busy for ever.
	maxFaultyCommands = 16
	// lingerBytes and lingerTimeout bound what is read after the last answer of a faulty client, so that closing
	// does not reset the connection before that answer is read. It may have megabytes more to send.
	lingerBytes   = 256 << 10
	lingerTimeout = 500 * time.Millisecond
	// discardChunk is how much of what comes is dropped every discardInterval while answers from before are still out. It bounds what a client
	// that sends garbage for ever costs, and how late the end of one that has sent megabytes is seen.
	discardChunk        = 64 << 10
	discardInterval     = 20 * time.Millisecond
	discardPollInterval = 100 * time.Millisecond // where nothing comes, whether the answers are out is looked at this often
)

// parsedCommand is a command as it was read.
type parsedCommand struct {
	Command
	name      string // of commands other than the two that are passed on
	refused   bool   // there was no room for its value
	longBytes int    // bytes of the room for long values that it has

	multiKey     bool     // it asks for many keys
	keys         []string // these
	rejectedKeys int      // or so many, which were not read

	token  []byte          // of AUTH
	proof  *identity.Proof // of who sent it
	denied error           // why that could not be proven
}

// pendingAnswer is an answer that a connection owes, in the order of its commands. A reply that no member has a part in
// (to PING, or an error) is one too, so that answers keep their order.
type pendingAnswer struct {
	Request
	client       *client
	reply        []byte        // the final answer, until it is written
	body         *Body         // the same, shared with others
	many         *manyReply    // it is for many keys, and not over
	turnReached  chan struct{} // closed when a value that is passed on may go on
	refusalBatch bool          // refusals of several commands in a row
}

// Answer puts the final answer into RESP2.
func (o *pendingAnswer) Answer(a Answer) {
	p := o.client.proxy
	b := p.scratch[:0]
	switch a.Kind {
	case Served:
		if a.Body != nil {
			o.client.sendSharedAnswer(o, a.Body)
			return
		}
		b = resp.AppendBulk(b, a.Value)
	case Refused:
		b = appendBusy(b, a.RetryAfter)
	default:
		switch {
		case o.denied != nil: // it was never sent for that; else it may have run, whatever has become of its proof
			b = appendDenied(b, o.denied)
		case a.Reason == reasons.OtherOrder:
			b = resp.AppendError(b, "ERR the idempotency key stands for another order")
		default:
			b = resp.AppendError(b, "ERR failed")
		}
	}
	o.client.sendAnswer(o, b)
	p.scratch = b[:0]
}
