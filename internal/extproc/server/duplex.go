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

// mostChunk is the longest part of a body that is passed on in one message: what the protocol recommends.
const mostChunk = 64 << 10

// outbox says things to a caller that may not take them. In full duplex a body goes through here part by part; while
// the caller does not take what is said, the stream reads nothing more, so that the caller's own end stands still by
// HTTP/2's flow control, and a stream that stands for too long can still be ended.
type outbox struct {
	queue chan said
	ended chan struct{} // closed when the sender has ended
	err   error         // why, before that
	in    atomic.Int32  // messages that are not said yet
	idle  chan struct{} // of one token: one has been said
}

// said is a message and the bytes of a body in it, which count as held until it is written.
type said struct {
	r *extprocv3.ProcessingResponse
	n int
}

// stretch makes a stream ready to have bodies go through it: what the caller may send ahead counts as held from now on.
// end tells that the request has no body.
func (s *stream) stretch(end bool) error {
	if !(s.bodyMode == fullDuplex && !end) && s.answerMode != fullDuplex {
		return nil
	}
	over := false
	s.f.p.Do(func() {
		over = s.f.p.Hold(streamWindow)
		s.window = streamWindow
	})
	if over {
		return status.Error(codes.Unavailable, "no room for the stream; nothing ran")
	}
	o := &outbox{queue: make(chan said, 1), ended: make(chan struct{}), idle: make(chan struct{}, 1)}
	s.out = o
	go o.run(s)
	return nil
}

// run says what is in the outbox until that is closed, and gives back what it could not say.
func (o *outbox) run(s *stream) {
	defer close(o.ended)
	for m := range o.queue {
		if o.err == nil {
			o.err = s.rpc.Send(m.r)
		}
		if m.n > 0 {
			s.f.p.Do(func() { s.f.p.Hold(-m.n) })
		}
		o.in.Add(-1)
		select {
		case o.idle <- struct{}{}:
		default:
		}
	}
}

// put hands a message over, with n held bytes in it.
func (o *outbox) put(s *stream, r *extprocv3.ProcessingResponse, n int) error {
	o.in.Add(1)
	select {
	case o.queue <- said{r, n}:
		return nil
	case <-s.kicked:
	case <-s.rpc.Context().Done():
	}
	o.in.Add(-1)
	if n > 0 {
		s.f.p.Do(func() { s.f.p.Hold(-n) })
	}
	return s.notTaken()
}

// flush waits until all is said.
func (o *outbox) flush(s *stream) error {
	for o.in.Load() > 0 {
		select {
		case <-o.idle:
		case <-s.kicked:
			return s.notTaken()
		case <-s.rpc.Context().Done():
			return s.notTaken()
		}
	}
	return nil
}

// notTaken is the status of a stream that ends with something to be said.
func (s *stream) notTaken() error {
	if err := s.rpc.Context().Err(); err != nil {
		return status.FromContextError(err).Err()
	}
	return status.Error(codes.DeadlineExceeded, "the caller does not take what it is told")
}

// end waits until all is said, but no longer than the stream may stand.
func (o *outbox) end(s *stream, err error) error {
	close(o.queue)
	select {
	case <-o.ended:
		if err == nil && o.err != nil {
			err = o.err
		}
	case <-s.kicked:
		if o.in.Load() > 0 {
			s.f.stuck(s)
		}
	case <-s.rpc.Context().Done():
	}
	return err
}

// What is on its way to a caller that takes nothing stays in the transport, behind the stream's window, after the stream has
// ended here, and grpc-go has no way to reset a stream from this side. So it counts as held for as long as a caller may
// take to reset it, and a caller whose connection has too many such streams at once loses the connection.
const (
	stuckFor  = 30 * time.Second
	mostStuck = 64
)

type stuckStream struct {
	conn  *counted
	until time.Duration
}

func (f *Front) stuck(s *stream) {
	c := connOf(s.rpc.Context())
	if c == nil {
		return
	}
	over := false
	f.p.Do(func() {
		f.p.Hold(streamWindow)
		f.stuckStreams = append(f.stuckStreams, stuckStream{c, f.p.Now() + stuckFor})
		c.stuck++
		over = c.stuck > mostStuck
	})
	if over {
		f.log.Warn("a caller takes nothing it is told, on too many streams: its connection is closed", "caller", c.RemoteAddr().String())
		c.Close()
	}
}

// sweepStuck lets go of streams that have been stuck for long, under the lock.
func (f *Front) sweepStuck(now time.Duration) {
	for len(f.stuckStreams) > 0 && (f.stuckStreams[0].until <= now || f.stuckStreams[0].conn.closed) {
		f.stuckStreams[0].conn.stuck--
		f.stuckStreams = f.stuckStreams[1:]
		f.p.Hold(-streamWindow)
	}
}

// echo passes a part of a body on as it came. Where the memory for bodies is used up, no further part is taken in until
// this one is written.
func (s *stream) echo(m *extprocv3.HttpBody, response bool) error {
	for rest, last := m.GetBody(), false; !last; {
		part := rest[:min(len(rest), mostChunk)]
		rest = rest[len(part):]
		last = len(rest) == 0
		over := false
		s.f.p.Do(func() { over = s.f.p.Hold(len(part)) })
		common := &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{BodyMutation: &extprocv3.BodyMutation{
			Mutation: &extprocv3.BodyMutation_StreamedResponse{StreamedResponse: &extprocv3.StreamedBodyResponse{
				Body: part, EndOfStream: last && m.GetEndOfStream()}}}}}
		r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{RequestBody: common}}
		if response {
			r.Response = &extprocv3.ProcessingResponse_ResponseBody{ResponseBody: common}
		}
		if err := s.out.put(s, r, len(part)); err != nil {
			return err
		}
		if over {
			if err := s.out.flush(s); err != nil {
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
	// mostSubset bounds a hint; a longer one is cut, which narrows it further.
	mostSubset = 1024
)

// subset reads the members that the caller allows: nil where it says nothing, empty where it allows none.
func subset(m *extprocv3.ProcessingRequest) []string {
	v, ok := m.GetMetadataContext().GetFilterMetadata()[subsetNamespace].GetFields()[subsetKey]
	if !ok {
		return nil
	}
	only := endpoints(v)
	return only[:min(len(only), mostSubset)]
}

// endpoints reads addresses from a list, or from a text with commas. Never nil.
func endpoints(v *structpb.Value) []string {
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

// went takes who the caller says has really served, if it says so: one of the spares, or somebody else.
func (s *stream) went(m *extprocv3.ProcessingRequest) {
	v, ok := m.GetMetadataContext().GetFilterMetadata()[servedNamespace].GetFields()[servedKey]
	if !ok {
		return
	}
	s.f.p.Do(func() {
		c := s.call
		if c.attempt == nil || c.attempt.Ended() || !c.attempt.Announced() {
			return
		}
		named := strings.Split(c.named, ",")
		at := slices.Index(named, v.GetStringValue())
		if at < 0 {
			s.elsewhere = true
			s.f.counts.Elsewhere++
			return
		}
		for _, addr := range named[1 : at+1] {
			if !c.attempt.FallbackUsed(addr) {
				s.elsewhere = true
			}
		}
		s.f.counts.FellBack += at
	})
}
