package proxy

import (
	"time"

	"linenloom/internal/identity"
	"linenloom/internal/reasons"
	"linenloom/internal/resp"
)

const (
	clientBufferBytes = 4 << 10
	maxTextBytes      = 2 << 10  // key, id and attribute list together
	maxKeyTextBytes   = 64 << 10 // all keys of one OBJ.MGET together
	// maxManyElements is the maximum number of elements of a command where OBJ.MGET is enabled: a command
	// with too many keys is still read, discarded and answered with an error.
	maxManyElements = 1 << 16
	// maxPipeline is the upper limit of the commands of a connection that are read ahead of their answers.
	maxPipeline = 32
	// maxUnsentBytes is how much of its answers a client may leave unread before the proxy stops reading
	// from it.
	maxUnsentBytes = 2 * resp.MaxValue
	// commandTimeout is how long a command may take to arrive, and a new connection's first command,
	// counted from the accept. A client that stops short for any reason (half a command, silence, a
	// vanished peer) would otherwise hold a descriptor and memory forever. The cost: a client that pauses
	// for longer inside a command, or connects long before its first command, has to reconnect.
	commandTimeout = 2500 * time.Millisecond
	// clientIdleTimeout is how long a connection may stay idle. The limit falls to crowdedIdleTimeout once
	// connections with at least one command take half of the client capacity for requests, and from there
	// on further, down to minIdleTimeout when they take all of it. Without it, clients that send one
	// command and stay connected would hold the whole capacity idle while others find none. It guards
	// against any such number of clients, and against pools far larger than their use. A client whose next
	// command crosses the close sends it again on a new connection, and a client that rarely sends has to
	// reconnect, in the worst case for each request.
	clientIdleTimeout   = 10 * time.Second
	crowdedIdleTimeout  = 2200 * time.Millisecond
	minIdleTimeout      = 100 * time.Millisecond
	activeClientPercent = 30 // of the descriptors: slightly less than clients hold for requests at most
	// Where hardly any connection is used a second time, a connection is closed right after its answer once
	// connections with at least one command take a third of the capacity. Otherwise each would hold a
	// descriptor until it counts as idle, and clients that open a connection for every request would find
	// none. minReuseShare is the share of reused connections, among about the last reuseWindow, below which
	// that is done. Every keepOpenEvery-th connection is kept open regardless, to measure the share.
	// Clients that reuse their connections only after a long pause may have to reconnect.
	minReuseShare = 0.2
	reuseWindow   = 32
	keepOpenEvery = 8
	// maxCommandsPerTurn is how many commands of a connection are processed before other connections with
	// input get their turn: a client that pipelines would otherwise occupy the core until its buffer is
	// empty.
	maxCommandsPerTurn = 8
	// drainQuietTime is how long a connection must have been quiet to be ended by itself when the proxy
	// stops. A connection with more recent commands ends right after its next answer: its client sees the
	// end together with the answer, and not only after it has sent another command. The time should exceed
	// the pause of clients that send one request after another.
	drainQuietTime = 30 * time.Millisecond
	// newConnGrace is how long a connection without any command yet is spared when descriptors are needed:
	// the client's first command may be on its way.
	newConnGrace = 100 * time.Millisecond
	// stalledCommandTime is how long a client may pause inside a command before its connection may be
	// closed for another client when all descriptors are taken. The command was not accepted yet, so
	// nothing is lost. Many clients that send half a command each would otherwise hold all descriptors for
	// as long as a command may take; a client that is slow but makes progress keeps its connection.
	stalledCommandTime = 700 * time.Millisecond
	// maxFaultyCommands is how many commands that can't be executed a client may send before its connection
	// is ended. Each gets its error line; without a limit, a faulty client could keep the proxy busy
	// forever.
	maxFaultyCommands = 16
	// lingerBytes and lingerTimeout limit what is read after the last answer to a faulty client, so that
	// closing does not reset the connection before the client has read that answer. The client may have
	// megabytes more to send.
	lingerBytes   = 256 << 10
	lingerTimeout = 500 * time.Millisecond
	// The end of a client's input can be seen behind what the kernel holds, but not behind what it has no room
	// for. readAheadFrom is the unread input from which that may be so; the kernel holds 64 KiB at first. Up to
	// maxReadAhead bytes are then read ahead from a client that waits for answers, readAheadPiece at a time, and
	// from all of them up to readAheadPercent of the memory for bodies.
	readAheadFrom    = 24 << 10
	maxReadAhead     = 1 << 20
	readAheadPiece   = 32 << 10
	readAheadPercent = 25
	// discardChunk is how much input is discarded every discardInterval while earlier answers are still
	// outstanding. It limits the cost of a client that sends garbage forever, and the delay until the end
	// of a client that has sent megabytes is seen.
	discardChunk        = 64 << 10
	discardInterval     = 20 * time.Millisecond
	discardPollInterval = 100 * time.Millisecond // without input, how often the outstanding answers are checked
)

// parsedCommand is a command as read from the client.
type parsedCommand struct {
	Command
	name      string // of commands other than requests
	refused   bool   // there was no memory for its value
	longBytes int    // bytes reserved for its value in the memory for long values

	multiKey     bool     // it is an OBJ.MGET
	keys         []string // the keys of an OBJ.MGET
	rejectedKeys int      // number of keys where there were too many; they were not kept

	token  []byte          // of AUTH
	proof  *identity.Proof // of the caller
	denied error           // why the caller could not be authenticated
}

// pendingAnswer is the answer to a command of a connection. Answers are sent in the order of the commands. A reply that
// involves no member (to PING, or an error) is one too, so that answers keep their order.
type pendingAnswer struct {
	Request
	client       *client
	reply        []byte        // the final answer, until it is written
	body         *Body         // the final answer, where other requests share it
	many         *manyReply    // state of an OBJ.MGET, until its answer is complete
	turnReached  chan struct{} // closed when it is this answer's turn and a value may be streamed
	refusalBatch bool          // it holds the refusals of several consecutive commands
}

// Answer encodes the final answer in RESP2.
func (o *pendingAnswer) Answer(a Answer) {
	p := o.client.proxy
	b := p.scratch[:0]
	switch a.Kind {
	case Served:
		if a.Body != nil {
			o.client.sendSharedAnswer(o, a.Body)
			return
		}
		p.answerBudget.RecordSize(len(a.Value))
		if !o.client.isTurnOf(o) && !p.MayHold(&o.Request, len(a.Value)) {
			b = appendBusy(b, p.RefuseForMemory(&o.Request).RetryAfter)
			break
		}
		b = resp.AppendBulk(b, a.Value)
	case Refused:
		b = appendBusy(b, a.RetryAfter)
	default:
		switch {
		case o.denied != nil: // for this it was never sent; otherwise it may have run, whatever became of its proof
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
