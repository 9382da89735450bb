package server

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"

	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"
)

// maxChunkBytes is the maximum length of a body part in one message, as the protocol recommends.
const maxChunkBytes = 64 << 10

// outbox queues responses for a caller that may not read them. In full duplex, bodies pass through this
// stream in parts. While the caller does not read, the stream receives nothing more, so HTTP/2 flow control
// stops the caller's sending side, and an overdue stream can still be ended.
type outbox struct {
	queue   chan outboxMessage
	stopped chan struct{} // closed when run has returned
	err     error         // error of Send; read after stopped is closed
	pending atomic.Int32  // messages that are not written yet
	written chan struct{} // capacity 1: signals that a message has been written
}

// outboxMessage is a message and the number of body bytes in it, which count as held until it is written.
type outboxMessage struct {
	response  *extprocv3.ProcessingResponse
	heldBytes int
}

// prepareDuplex prepares a stream for relaying bodies: from now on the data that the caller may send ahead
// counts as held. end means that the request has no body.
func (s *stream) prepareDuplex(end bool) error {
	if !(s.bodyMode == fullDuplex && !end) && s.responseMode != fullDuplex {
		return nil
	}
	full := false
	s.front.host.Do(func() {
		full = s.front.host.AddBuffered(streamWindow)
		s.heldWindow = streamWindow
	})
	if full {
		return status.Error(codes.Unavailable, "no room for the stream; nothing ran")
	}
	queue := &outbox{queue: make(chan outboxMessage, 1), stopped: make(chan struct{}), written: make(chan struct{}, 1)}
	s.outbox = queue
	go queue.run(s)
	return nil
}

// run sends queued messages until the queue is closed, and releases their held bytes also where sending
// fails.
func (o *outbox) run(s *stream) {
	defer close(o.stopped)
	for m := range o.queue {
		if o.err == nil {
			o.err = s.rpc.Send(m.response)
		}
		if m.heldBytes > 0 {
			s.front.host.Do(func() { s.front.host.AddBuffered(-m.heldBytes) })
		}
		o.pending.Add(-1)
		select {
		case o.written <- struct{}{}:
		default:
		}
	}
}

// enqueue queues a message. heldBytes of its body count as held until it is written.
func (o *outbox) enqueue(s *stream, r *extprocv3.ProcessingResponse, heldBytes int) error {
	o.pending.Add(1)
	select {
	case o.queue <- outboxMessage{r, heldBytes}:
		return nil
	case <-s.forceEnd:
	case <-s.rpc.Context().Done():
	}
	o.pending.Add(-1)
	if heldBytes > 0 {
		s.front.host.Do(func() { s.front.host.AddBuffered(-heldBytes) })
	}
	return s.notReadStatus()
}

// flush waits until all messages are written.
func (o *outbox) flush(s *stream) error {
	for o.pending.Load() > 0 {
		select {
		case <-o.written:
		case <-s.forceEnd:
			return s.notReadStatus()
		case <-s.rpc.Context().Done():
			return s.notReadStatus()
		}
	}
	return nil
}

// notReadStatus returns the status of a stream that ends with unsent messages.
func (s *stream) notReadStatus() error {
	if err := s.rpc.Context().Err(); err != nil {
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.DeadlineExceeded, "the caller does not take what it is told")
}

// closeAndWait closes the queue and waits until all messages are written, at most until the stream is ended
// as overdue.
func (o *outbox) closeAndWait(s *stream, err error) error {
	close(o.queue)
	select {
	case <-o.stopped:
		if err == nil && o.err != nil {
			err = o.err
		}
	case <-s.forceEnd:
		if o.pending.Load() > 0 {
			s.front.addStuckStream(s)
		}
	case <-s.rpc.Context().Done():
	}
	return err
}

// Data for a caller that does not read stays in the transport, up to the stream's window, after the stream
// has ended here, and grpc-go offers no way to reset a stream from the server. The window therefore counts
// as held for as long as the caller may take to reset the stream, and a connection with too many such
// streams at once is closed.
const (
	stuckHoldTime   = 30 * time.Second
	maxStuckStreams = 64
)

type stuckStream struct {
	conn      *countedConn
	releaseAt time.Duration
}

func (f *Front) addStuckStream(s *stream) {
	conn := connOf(s.rpc.Context())
	if conn == nil {
		return
	}
	tooMany := false
	f.host.Do(func() {
		f.host.AddBuffered(streamWindow)
		f.stuckStreams = append(f.stuckStreams, stuckStream{conn, f.host.Now() + stuckHoldTime})
		conn.stuckStreams++
		tooMany = conn.stuckStreams > maxStuckStreams
	})
	if tooMany {
		f.log.Warn("closing a connection: its caller reads no responses on too many streams", "caller", conn.RemoteAddr().String())
		conn.Close()
	}
}

// releaseStuckStreams releases the memory counted for stuck streams whose hold time is over. The host's
// lock must be held.
func (f *Front) releaseStuckStreams(now time.Duration) {
	for len(f.stuckStreams) > 0 && (f.stuckStreams[0].releaseAt <= now || f.stuckStreams[0].conn.closed) {
		f.stuckStreams[0].conn.stuckStreams--
		f.stuckStreams = f.stuckStreams[1:]
		f.host.AddBuffered(-streamWindow)
	}
}

// relayBody sends a body part back unchanged. If the memory for bodies is used up, no further part is
// received until this one is written.
func (s *stream) relayBody(body *extprocv3.HttpBody, response bool) error {
	for rest, last := body.GetBody(), false; !last; {
		part := rest[:min(len(rest), maxChunkBytes)]
		rest = rest[len(part):]
		last = len(rest) == 0
		full := false
		s.front.host.Do(func() { full = s.front.host.AddBuffered(len(part)) })
		common := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{BodyMutation: &extprocv3.BodyMutation{
			Mutation: &extprocv3.BodyMutation_StreamedResponse{StreamedResponse: &extprocv3.StreamedBodyResponse{
				Body: part, EndOfStream: last && body.GetEndOfStream()}}}}}
		message := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: common}}
		if response {
			message.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: common}
		}
		if err := s.outbox.enqueue(s, message, len(part)); err != nil {
			return err
		}
		if full {
			if err := s.outbox.flush(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// Metadata that a gateway and an endpoint picker exchange in addition to headers (Gateway API Inference
// Extension, endpoint picker protocol).
const (
	subsetNamespace = "envoy.lb.subset_hint"
	subsetKey       = "x-gateway-destination-endpoint-subset"
	servedNamespace = "envoy.lb"
	servedKey       = "x-gateway-destination-endpoint-served"
	// maxSubset limits a subset hint; a longer one is truncated, which restricts it further.
	maxSubset = 1024
)

// allowedEndpoints returns the members that the caller allows: nil without a hint, empty if it allows none.
func allowedEndpoints(m *extprocv3.ProcessingRequest) []string {
	hint, ok := m.GetMetadataContext().GetFilterMetadata()[subsetNamespace].GetFields()[subsetKey]
	if !ok {
		return nil
	}
	members := parseEndpoints(hint)
	return members[:min(len(members), maxSubset)]
}

// parseEndpoints reads addresses from a list or from comma-separated text. The result is never nil.
func parseEndpoints(value *structpb.Value) []string {
	addrs := []string{}
	texts := []string{value.GetStringValue()}
	if l := value.GetListValue(); l != nil {
		texts = texts[:0]
		for _, e := range l.GetValues() {
			texts = append(texts, e.GetStringValue())
		}
	}
	for _, text := range texts {
		for e := range strings.SplitSeq(text, ",") {
			e = strings.TrimSpace(e)
			if strings.HasPrefix(e, "[") && strings.HasSuffix(e, "]") {
				e = e[1 : len(e)-1] // IPv6 without a port
			}
			if e != "" {
				addrs = append(addrs, e)
			}
		}
	}
	return addrs
}

// recordServedMember records the member that served the request, if the caller reports one: a fallback or
// one that was not named.
func (s *stream) recordServedMember(m *extprocv3.ProcessingRequest) {
	served, ok := m.GetMetadataContext().GetFilterMetadata()[servedNamespace].GetFields()[servedKey]
	if !ok {
		return
	}
	s.front.host.Do(func() {
		call := s.call
		if call.attempt == nil || call.attempt.Ended() || !call.attempt.Announced() {
			return
		}
		named := strings.Split(call.namedAddrs, ",")
		index := slices.Index(named, served.GetStringValue())
		if index < 0 {
			s.servedElsewhere = true
			s.front.counts.ServedElsewhere++
			return
		}
		for _, addr := range named[1 : index+1] {
			if !call.attempt.FallbackUsed(addr) {
				s.servedElsewhere = true
			}
		}
		s.front.counts.FellBack += index
	})
}
