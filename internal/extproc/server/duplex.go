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

// maxChunkBytes is the longest part of a body that is passed on in one message: what the protocol recommends.
const maxChunkBytes = 64 << 10

// outbox says things to a caller that may not take them. In full duplex a body goes through here part by part; while
// the caller does not take what is said, the stream reads nothing more, so that the caller's own end stands still by
// HTTP/2's flow control, and a stream that stands for too long can still be ended.
type outbox struct {
	queue   chan outboxMessage
	stopped chan struct{} // closed when the sender has ended
	err     error         // why, before that
	pending atomic.Int32  // messages that are not said yet
	written chan struct{} // of one token: one has been said
}

// outboxMessage is a message and the bytes of a body in it, which count as held until it is written.
type outboxMessage struct {
	response  *extprocv3.ProcessingResponse
	heldBytes int
}

// prepareDuplex makes a stream ready to have bodies go through it: what the caller may send ahead counts as held from now on.
// end tells that the request has no body.
func (s *stream) prepareDuplex(end bool) error {
	if !(s.bodyMode == fullDuplex && !end) && s.responseMode != fullDuplex {
		return nil
	}
	over := false
	s.front.host.Do(func() {
		over = s.front.host.Hold(streamWindow)
		s.heldWindow = streamWindow
	})
	if over {
		return status.Error(codes.Unavailable, "no room for the stream; nothing ran")
	}
	o := &outbox{queue: make(chan outboxMessage, 1), stopped: make(chan struct{}), written: make(chan struct{}, 1)}
	s.outbox = o
	go o.run(s)
	return nil
}

// run says what is in the outbox until that is closed, and gives back what it could not say.
func (o *outbox) run(s *stream) {
	defer close(o.stopped)
	for m := range o.queue {
		if o.err == nil {
			o.err = s.rpc.Send(m.response)
		}
		if m.heldBytes > 0 {
			s.front.host.Do(func() { s.front.host.Hold(-m.heldBytes) })
		}
		o.pending.Add(-1)
		select {
		case o.written <- struct{}{}:
		default:
		}
	}
}

// enqueue hands a message over, with n held bytes in it.
func (o *outbox) enqueue(s *stream, r *extprocv3.ProcessingResponse, n int) error {
	o.pending.Add(1)
	select {
	case o.queue <- outboxMessage{r, n}:
		return nil
	case <-s.forceEnd:
	case <-s.rpc.Context().Done():
	}
	o.pending.Add(-1)
	if n > 0 {
		s.front.host.Do(func() { s.front.host.Hold(-n) })
	}
	return s.notReadStatus()
}

// flush waits until all is said.
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

// notReadStatus is the status of a stream that ends with something to be said.
func (s *stream) notReadStatus() error {
	if err := s.rpc.Context().Err(); err != nil {
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.DeadlineExceeded, "the caller does not take what it is told")
}

// closeAndWait waits until all is said, but no longer than the stream may stand.
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

// What is on its way to a caller that takes nothing stays in the transport, behind the stream's window, after the stream has
// ended here, and grpc-go has no way to reset a stream from this side. So it counts as held for as long as a caller may
// take to reset it, and a caller whose connection has too many such streams at once loses the connection.
const (
	stuckHoldTime   = 30 * time.Second
	maxStuckStreams = 64
)

type stuckStream struct {
	conn      *countedConn
	releaseAt time.Duration
}

func (f *Front) addStuckStream(s *stream) {
	c := connOf(s.rpc.Context())
	if c == nil {
		return
	}
	over := false
	f.host.Do(func() {
		f.host.Hold(streamWindow)
		f.stuckStreams = append(f.stuckStreams, stuckStream{c, f.host.Now() + stuckHoldTime})
		c.stuckStreams++
		over = c.stuckStreams > maxStuckStreams
	})
	if over {
		f.log.Warn("a caller takes nothing it is told, on too many streams: its connection is closed", "caller", c.RemoteAddr().String())
		c.Close()
	}
}

// releaseStuckStreams lets go of streams that have been stuck for long, under the lock.
func (f *Front) releaseStuckStreams(now time.Duration) {
	for len(f.stuckStreams) > 0 && (f.stuckStreams[0].releaseAt <= now || f.stuckStreams[0].conn.closed) {
		f.stuckStreams[0].conn.stuckStreams--
		f.stuckStreams = f.stuckStreams[1:]
		f.host.Hold(-streamWindow)
	}
}

// relayBody passes a part of a body on as it came. Where the memory for bodies is used up, no further part is taken in until
// this one is written.
func (s *stream) relayBody(m *extprocv3.HttpBody, response bool) error {
	for rest, last := m.GetBody(), false; !last; {
		part := rest[:min(len(rest), maxChunkBytes)]
		rest = rest[len(part):]
		last = len(rest) == 0
		over := false
		s.front.host.Do(func() { over = s.front.host.Hold(len(part)) })
		common := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{BodyMutation: &extprocv3.BodyMutation{
			Mutation: &extprocv3.BodyMutation_StreamedResponse{StreamedResponse: &extprocv3.StreamedBodyResponse{
				Body: part, EndOfStream: last && m.GetEndOfStream()}}}}}
		r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: common}}
		if response {
			r.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: common}
		}
		if err := s.outbox.enqueue(s, r, len(part)); err != nil {
			return err
		}
		if over {
			if err := s.outbox.flush(s); err != nil {
				return err
			}
		}
	}
	return nil
}

// The metadata by which a gateway and an endpoint picker speak beside the headers (Gateway API Inference Extension,
// endpoint picker protocol).
const (
	subsetNamespace = "envoy.lb.subset_hint"
	subsetKey       = "x-gateway-destination-endpoint-subset"
	servedNamespace = "envoy.lb"
	servedKey       = "x-gateway-destination-endpoint-served"
	// maxSubset bounds a hint; a longer one is cut, which narrows it further.
	maxSubset = 1024
)

// allowedEndpoints reads the members that the caller allows: nil where it says nothing, empty where it allows none.
func allowedEndpoints(m *extprocv3.ProcessingRequest) []string {
	v, ok := m.GetMetadataContext().GetFilterMetadata()[subsetNamespace].GetFields()[subsetKey]
	if !ok {
		return nil
	}
	only := parseEndpoints(v)
	return only[:min(len(only), maxSubset)]
}

// parseEndpoints reads addresses from a list, or from a text with commas. Never nil.
func parseEndpoints(v *structpb.Value) []string {
	only := []string{}
	texts := []string{v.GetStringValue()}
	if l := v.GetListValue(); l != nil {
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
				only = append(only, e)
			}
		}
	}
	return only
}

// recordServedMember takes who the caller says has really served, if it says so: one of the spares, or somebody else.
func (s *stream) recordServedMember(m *extprocv3.ProcessingRequest) {
	v, ok := m.GetMetadataContext().GetFilterMetadata()[servedNamespace].GetFields()[servedKey]
	if !ok {
		return
	}
	s.front.host.Do(func() {
		c := s.call
		if c.attempt == nil || c.attempt.Ended() || !c.attempt.Given() {
			return
		}
		named := strings.Split(c.namedAddrs, ",")
		at := slices.Index(named, v.GetStringValue())
		if at < 0 {
			s.servedElsewhere = true
			s.front.counts.ServedElsewhere++
			return
		}
		for _, addr := range named[1 : at+1] {
			if !c.attempt.Moved(addr) {
				s.servedElsewhere = true
			}
		}
		s.front.counts.FellBack += at
	})
}
