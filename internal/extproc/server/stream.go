package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"linenloom/internal/extproc"
	"linenloom/internal/identity"
	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
	"linenloom/internal/upstream"
	"linenloom/logic"
)

// stream is one exchange. Its fields belong to the goroutine of Process, but for those named under the host's lock.
type stream struct {
	front        *Front
	rpc          extprocv3.ExternalProcessor_ProcessServer
	config       *config
	conn         *countedConn // it came by; nil, where callers are not proven
	messages     chan received
	readNext     chan struct{} // of one token: the next message is wanted
	done         chan struct{} // closed when Process returns
	messageOrder extproc.MessageOrder

	bodyMode         filterv3.ProcessingMode_BodySendMode // of the request, where the caller tells
	responseMode     filterv3.ProcessingMode_BodySendMode // of the response
	modesKnown       bool                                 // the caller has told its modes
	observing        bool                                 // the caller takes no responses
	passThrough      bool                                 // the request is none of ours
	head             requestHead
	target           extproc.Target
	deadline         time.Time // the client's, less the margin
	collecting       bool      // a write's body is still to come
	bodyLen          int
	delivering       bool // the response has begun well, and its end is still to come
	outcomeNote      int  // on its outcome
	proof            *identity.Proof
	servedElsewhere  bool // who answered is none of those that were named
	responseBodySeen bool
	overrideSent     bool // for the message in hand
	messageAt        time.Time
	reason           logic.Reason // of the final answer
	outbox           *outbox      // what is to be said, where bodies go through here
	delivered        bool         // the response has come whole

	// Under the host's lock.
	call        *call
	body        []byte
	reservation upstream.Reservation // in the room for long values, of a body over maxBodyBytes; nil: it is counted as held
	heldWindow  int                  // held for what the caller may have sent ahead
	expiresAt   time.Duration        // when it has stood for too long
	idle        bool                 // all has been said; more may come, and needs nothing
	forceEnded  bool
	forceEnd    chan struct{}
}

type received struct {
	message *extprocv3.ProcessingRequest
	err     error
}

// endByForce ends the stream; under the host's lock.
func (s *stream) endByForce() {
	if !s.forceEnded {
		s.forceEnded = true
		close(s.forceEnd)
	}
}

// read hands messages over one at a time, each when it is wanted; what comes ahead waits in the connection's window. To wait
// for one that nobody wants, on a call that is over with its first, would cost a wake-up for each.
func (s *stream) read() {
	for {
		m, err := s.rpc.Recv()
		select {
		case s.messages <- received{m, err}:
		case <-s.done:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-s.readNext:
		case <-s.done:
			return
		}
	}
}

// errStreamDone ends a stream on which everything has been said.
var errStreamDone = errors.New("over")

func (s *stream) run(ctx context.Context) error {
	for first := true; ; first = false {
		if !first {
			s.readNext <- struct{}{}
		}
		var r received
		select {
		case r = <-s.messages: // the call's end comes this way too
		case <-s.forceEnd:
			return s.forceEndStatus()
		}
		if errors.Is(r.err, io.EOF) {
			s.closedByCaller()
			return nil
		}
		if r.err != nil {
			return r.err
		}
		if err := s.handle(ctx, r.message); err != nil {
			if errors.Is(err, errStreamDone) {
				return nil
			}
			return err
		}
		if s.outbox != nil && s.fullyRelayed() {
			s.front.host.Do(func() { s.idle = true })
		}
	}
}

// fullyRelayed tells whether a stream that bodies go through has passed on the last of them, so that a drain need not wait for
// it; more may come, and needs nothing.
func (s *stream) fullyRelayed() bool {
	if s.passThrough {
		return s.messageOrder.RequestComplete() && (s.responseMode != fullDuplex || s.messageOrder.ResponseComplete())
	}
	return s.delivered
}

// forceEndStatus is the status of a stream that the front ends.
func (s *stream) forceEndStatus() error {
	idle := false
	s.front.host.Do(func() { idle = s.idle })
	switch {
	case idle:
		return nil // all has been said
	case !s.messageOrder.RequestStarted():
		return status.Error(codes.Unavailable, "no message came; nothing ran")
	}
	return status.Error(codes.DeadlineExceeded, "the stream has stood for too long")
}

// closedByCaller takes a clean end by the caller. Where the rest of a good response was to come but none of it did, the caller
// has gone by mode_override and sends no more.
func (s *stream) closedByCaller() {
	if s.delivering && !s.responseBodySeen {
		s.markServed()
	}
}

func (s *stream) invalid(format string, args ...any) error {
	return status.Errorf(codes.InvalidArgument, format, args...)
}

// handle answers one message.
func (s *stream) handle(ctx context.Context, m *extprocv3.ProcessingRequest) error {
	s.messageAt, s.overrideSent = time.Now(), false
	if c := m.GetProtocolConfig(); c != nil && !s.modesKnown {
		s.modesKnown, s.bodyMode, s.responseMode = true, c.GetRequestBodyMode(), c.GetResponseBodyMode()
		if !supportedBodyMode(s.bodyMode) || !supportedBodyMode(s.responseMode) {
			return status.Errorf(codes.Unimplemented, "body modes %v and %v: GRPC is not spoken; all others are", s.bodyMode, s.responseMode)
		}
	}
	kind, end := messageKind(m)
	if kind == 0 {
		return s.invalid("a message without a request or response")
	}
	if err := s.messageOrder.Next(kind, end); err != nil {
		return s.invalid("%v", err)
	}
	if s.observing = s.observing || m.GetObservabilityMode(); s.observing {
		s.front.host.Do(func() { s.idle, s.expiresAt = true, s.front.host.Now()+passThroughTimeout })
		return nil // the caller goes on by itself; a choice made here would book load that nobody sends
	}
	switch kind {
	case extproc.RequestHeaders:
		s.head.allowedMembers = allowedEndpoints(m)
		return s.requestHeaders(ctx, m.GetRequestHeaders())
	case extproc.RequestBody:
		return s.requestBody(ctx, m.GetRequestBody())
	case extproc.RequestTrailers:
		if s.collecting {
			return s.bodyComplete(ctx)
		}
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{
			RequestTrailers: &extprocv3.TrailersResponse{}}})
	case extproc.ResponseHeaders:
		return s.responseHeaders(m)
	case extproc.ResponseBody:
		if s.responseBodySeen = true; end && s.delivering {
			s.markServed()
		}
		if s.responseMode == fullDuplex {
			return s.relayBody(m.GetResponseBody(), true)
		}
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{
			ResponseBody: &extprocv3.BodyResponse{}}})
	}
	if s.delivering {
		s.markServed()
	}
	return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{
		ResponseTrailers: &extprocv3.TrailersResponse{}}})
}

const fullDuplex = filterv3.ProcessingMode_FULL_DUPLEX_STREAMED

// supportedBodyMode tells whether a body mode is spoken here. GRPC would have us count a caller's messages, not bytes.
func supportedBodyMode(m filterv3.ProcessingMode_BodySendMode) bool {
	return m >= filterv3.ProcessingMode_NONE && m <= fullDuplex
}

func messageKind(m *extprocv3.ProcessingRequest) (kind extproc.Message, end bool) {
	switch r := m.GetRequest().(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		return extproc.RequestHeaders, r.RequestHeaders.GetEndOfStream()
	case *extprocv3.ProcessingRequest_RequestBody:
		return extproc.RequestBody, r.RequestBody.GetEndOfStream()
	case *extprocv3.ProcessingRequest_RequestTrailers:
		return extproc.RequestTrailers, true
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		return extproc.ResponseHeaders, r.ResponseHeaders.GetEndOfStream()
	case *extprocv3.ProcessingRequest_ResponseBody:
		return extproc.ResponseBody, r.ResponseBody.GetEndOfStream()
	case *extprocv3.ProcessingRequest_ResponseTrailers:
		return extproc.ResponseTrailers, true
	}
	return 0, false
}

// send says something to the caller, after all that has been said before.
func (s *stream) send(r *extprocv3.ProcessingResponse) error {
	if s.outbox != nil {
		return s.outbox.enqueue(s, r, 0)
	}
	return s.rpc.Send(r)
}

func (s *stream) routeMode() bool { return s.config.Mode == "route" }

// requestHead is what the request's headers tell.
type requestHead struct {
	method, path, requestID, tenant, idempotencyKey string
	attempt                                         int
	timeLeft                                        time.Duration
	hasTimeLeft                                     bool
	contentLength                                   int
	hasDestination                                  bool
	allowedMembers                                  []string // the members that the caller allows; nil: all
	authorization                                   string   // until it has been looked at
}

func headerValue(h *corev3.HeaderValue) string {
	if raw := h.GetRawValue(); len(raw) > 0 {
		return string(raw)
	}
	return h.GetValue()
}

// readHead reads the headers. An error that is no status is the client's, and gets an answer of its own.
func (s *stream) readHead(headers []*corev3.HeaderValue) error {
	h, c := &s.head, &s.config.Headers
	for i, v := range headers {
		name := v.GetKey()
		switch name {
		case c.RequestID, c.Tenant, c.Key, c.Attempt, authorization:
			// Which of two would count could be chosen by whoever adds one (RFC 9110 section 5.3: not a list, so only one).
			for _, w := range headers[:i] {
				if w.GetKey() == name && headerValue(w) != headerValue(v) {
					return fmt.Errorf("%s is there more than once", name)
				}
			}
		}
		switch name {
		case ":method":
			h.method = headerValue(v)
		case ":path":
			h.path = headerValue(v)
		case "content-length":
			n, err := strconv.Atoi(headerValue(v))
			if err != nil || n < 0 {
				return errors.New("content-length is no number")
			}
			h.contentLength = n
		case c.RequestID:
			h.requestID = headerValue(v)
		case c.Tenant:
			h.tenant = headerValue(v)
		case c.Key:
			h.idempotencyKey = headerValue(v)
		case c.Attempt:
			n, err := strconv.Atoi(headerValue(v))
			if err != nil || n < 0 {
				return fmt.Errorf("%s is no number", name)
			}
			h.attempt = n
		case authorization:
			h.authorization = headerValue(v)
		case c.Destination:
			h.hasDestination = true
		default:
			if !slices.Contains(c.TimeLeft, name) {
				continue
			}
			left, err := extproc.TimeLeft(name, headerValue(v))
			if err != nil && !errors.Is(err, extproc.ErrExpired) {
				return err
			}
			if !h.hasTimeLeft || left < h.timeLeft {
				h.timeLeft, h.hasTimeLeft = left, true
			}
		}
	}
	if h.method == "" || h.path == "" {
		return s.invalid("request headers without :method or :path")
	}
	return nil
}

func (s *stream) requestHeaders(ctx context.Context, m *extprocv3.HttpHeaders) error {
	if err := s.readHead(m.GetHeaders().GetHeaders()); err != nil {
		if status.Code(err) == codes.InvalidArgument {
			return err
		}
		return s.sendImmediate(400, []byte(err.Error()), "")
	}
	h := &s.head
	target, ok := s.config.mapping.Match(h.method, h.path)
	if !ok {
		if s.config.Unmapped != "pass" {
			return s.sendImmediate(404, []byte("nothing is served under this method and path"), "")
		}
		s.passThrough = true
		if err := s.prepareDuplex(m.GetEndOfStream()); err != nil {
			return err
		}
		// Bodies that go through here are waited for at a drain.
		s.front.host.Do(func() { s.idle, s.expiresAt = s.outbox == nil, s.front.host.Now()+passThroughTimeout })
		return s.sendPassThrough()
	}
	s.target = target
	if err := s.authenticate(); err != nil {
		return s.sendDenied(err)
	}
	class := s.config.classes[target.Class]
	left := class.Deadline
	if h.hasTimeLeft {
		left = min(left, h.timeLeft)
	}
	left -= s.config.Margin.D()
	if left <= 0 {
		return s.sendExpired(class)
	}
	s.deadline = s.messageAt.Add(left)
	if most := s.maxBodyLen(); h.contentLength > most {
		return s.sendTooLong(most)
	}
	if err := s.prepareDuplex(m.GetEndOfStream()); err != nil {
		return err
	}
	if target.Write && !s.routeMode() && !m.GetEndOfStream() {
		return s.startCollecting()
	}
	return s.startRequest(ctx, false)
}

// sendExpired answers a request whose time is over. It has never run, unless an attempt that came before has.
func (s *stream) sendExpired(class *logic.Class) error {
	ran := false
	if s.runOnce(class) {
		s.front.host.Do(func() { ran = s.front.calls.MayHaveRun(s.head.requestID, s.head.attempt, s.front.host.Now()) })
	}
	if ran {
		return s.sendFailed("an earlier attempt may have run, and the time for the request is over")
	}
	return s.sendImmediate(503, []byte(extproc.ErrExpired.Error()+"; it never ran"), "")
}

// runOnce tells whether the request must not run twice.
func (s *stream) runOnce(class *logic.Class) bool {
	return class.Effect == logic.AtMostOnce || class.Effect == logic.DeduplicatedByKey && s.head.idempotencyKey == ""
}

// sendPassThrough lets a request go on that is none of ours, and spares its further phases. In mode route the header that names
// a member is not the client's to set.
func (s *stream) sendPassThrough() error {
	common := &extprocv3.CommonResponse{}
	if s.routeMode() && s.head.hasDestination {
		common.HeaderMutation = &extprocv3.HeaderMutation{RemoveHeaders: []string{s.config.Headers.Destination}}
	}
	r := &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{Response: common}}}
	if !s.usesDuplex() {
		r.ModeOverride = &filterv3.ProcessingMode{
			ResponseHeaderMode: filterv3.ProcessingMode_SKIP, RequestTrailerMode: filterv3.ProcessingMode_SKIP,
			ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
		}
	}
	return s.send(r)
}

// usesDuplex tells whether a body goes through here in full duplex; no mode can be overridden then.
func (s *stream) usesDuplex() bool { return s.bodyMode == fullDuplex || s.responseMode == fullDuplex }

// startCollecting asks for a write's body, in one piece where the caller can.
func (s *stream) startCollecting() error {
	s.collecting = true
	s.front.host.Do(func() { s.expiresAt = s.front.host.Now() + time.Until(s.deadline) + overdueGrace })
	if s.bodyMode == fullDuplex {
		// It sends the body anyway, and nothing goes on before the headers are answered: which never happens, as the
		// exchange is made here.
		return s.acceptCall()
	}
	r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
		RequestHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}}}
	if !s.modesKnown || s.bodyMode != filterv3.ProcessingMode_BUFFERED && s.head.contentLength <= maxBodyBytes {
		r.ModeOverride = &filterv3.ProcessingMode{
			RequestBodyMode: filterv3.ProcessingMode_BUFFERED, ResponseHeaderMode: filterv3.ProcessingMode_SKIP,
			RequestTrailerMode: filterv3.ProcessingMode_SKIP, ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
		}
	}
	return s.send(r)
}

// maxBodyLen is how long the request's body may be. What comes in one message is in memory before anybody can say that there is no room.
func (s *stream) maxBodyLen() int {
	if s.routeMode() || !s.target.Write || !s.modesKnown || s.bodyMode != fullDuplex && s.bodyMode != filterv3.ProcessingMode_STREAMED {
		return maxBodyBytes
	}
	return maxLongBodyBytes
}

// acceptCall tells the caller, by the call's response headers, that its call is taken: a caller that offers a call to another
// processor where one is UNAVAILABLE does so only until then (Envoy, grpc_service.retry_policy), and an order that was in
// the hands of one that is killed must not be. A caller that has sent a body after our answer knows already.
func (s *stream) acceptCall() error { return s.rpc.SendHeader(nil) }

func (s *stream) requestBody(ctx context.Context, m *extprocv3.HttpBody) error {
	s.bodyLen += len(m.GetBody())
	if s.passThrough {
		return s.sendBodyContinue(m)
	}
	if most := s.maxBodyLen(); s.bodyLen > most {
		return s.sendTooLong(most)
	}
	if s.collecting {
		over := false
		if s.bodyLen > maxBodyBytes {
			over = !s.appendLongBody(m.GetBody())
		} else {
			s.front.host.Do(func() {
				was := cap(s.body)
				s.body = append(s.body, m.GetBody()...)
				over = s.front.host.Hold(cap(s.body) - was)
			})
		}
		switch {
		case over:
			s.reason = reasons.HostFull
			return s.sendRefused(0)
		case m.GetEndOfStream():
			return s.bodyComplete(ctx)
		case s.bodyMode == fullDuplex:
			return nil
		}
		// Streamed: the caller has sent the headers on already. What the order says must not follow them, as the
		// exchange is made here.
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
			RequestBody: &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{
				BodyMutation: &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_ClearBody{ClearBody: true}}}}}})
	}
	if s.call != nil && s.modesKnown && s.bodyMode == filterv3.ProcessingMode_BUFFERED && !s.messageOrder.ResponseStarted() {
		// Only now does the caller send. The member may have begun to drain while the body came.
		return s.confirmMember(ctx, m)
	}
	return s.sendBodyContinue(m)
}

// sendBodyContinue lets a part of the request's body go on as it came.
func (s *stream) sendBodyContinue(m *extprocv3.HttpBody) error {
	if s.bodyMode == fullDuplex {
		return s.relayBody(m, false)
	}
	return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
		RequestBody: &extprocv3.BodyResponse{}}})
}

// confirmMember makes sure of the member that the request's headers were answered with, and names another if it has gone.
func (s *stream) confirmMember(ctx context.Context, m *extprocv3.HttpBody) error {
	stands := true
	s.front.host.Do(func() {
		if c := s.call; c.attempt != nil && !c.settled {
			stands = c.attempt.Give()
		}
	})
	if stands {
		return s.sendBodyContinue(m)
	}
	return s.awaitDecision(ctx, decision{}, true)
}

// bodyComplete hands over a write whose body has come whole.
func (s *stream) bodyComplete(ctx context.Context) error {
	s.collecting = false
	if s.reservation != nil {
		s.reservation.Shrink(len(s.body))
	}
	return s.startRequest(ctx, true)
}

// startRequest finds out what the call is to those before it, hands over a new request or takes up one in hand, and answers
// with what is decided.
func (s *stream) startRequest(ctx context.Context, body bool) error {
	f, h := s.front, &s.head
	class := s.config.classes[s.target.Class]
	if s.runOnce(class) && !s.routeMode() && !body {
		if err := s.acceptCall(); err != nil {
			return err
		}
	}
	var d extproc.Decision
	var fault error
	var first decision
	f.host.Do(func() {
		id := h.requestID
		if id == "" {
			id = f.newID()
		}
		now := f.host.Now()
		entry, replaced, decision := f.calls.Begin(id, h.attempt, s.runOnce(class), class.Effect == logic.AtMostOnce && f.host.Records(), now)
		if d = decision; replaced != nil {
			replaced.Owner.(*call).abandon()
		}
		s.expiresAt = now + max(0, time.Until(s.deadline)) + overdueGrace
		switch d {
		case extproc.DecisionNew, extproc.DecisionReplace:
			c := &call{front: f, entry: entry, stream: s, decided: make(chan struct{}, 1)}
			entry.Owner, s.call = c, c
			fault = s.submit(c, id)
		case extproc.DecisionContinue:
			f.counts.Continued++
			s.call = entry.Owner.(*call)
			s.call.stream = s
			s.call.restrictMembers(h.allowedMembers)
		}
		if s.call != nil && fault == nil {
			first = s.checkDecision()
		}
	})
	switch {
	case errors.Is(fault, extproc.ErrExpired):
		s.reason = logic.OutOfTime
		return s.sendRefused(0)
	case errors.Is(fault, proxy.ErrStopping):
		s.reason = reasons.Stopping
		return s.sendRefused(0)
	case errors.Is(fault, proxy.ErrBusy):
		s.reason = reasons.HostFull
		return s.sendRefused(0)
	case errors.Is(fault, proxy.ErrInUse):
		return s.sendImmediate(409, []byte("the request id is in use"), "")
	case identity.WhyOf(fault) != 0:
		return s.sendDenied(fault)
	case fault != nil:
		return s.sendImmediate(400, []byte(fault.Error()), "")
	case d == extproc.DecisionInUse:
		return s.sendImmediate(409, []byte("the request id belongs to another request in hand"), "")
	case d == extproc.DecisionMayHaveRun:
		return s.sendFailed("an earlier attempt may have run, and the request must not run twice")
	case d == extproc.DecisionTableFull:
		s.reason = reasons.HostFull
		return s.sendRefused(0)
	}
	return s.awaitDecision(ctx, first, body)
}

// newID makes an id that no other process makes, for a request whose caller has none.
func (f *Front) newID() string {
	f.generatedIDs++
	return fmt.Sprintf("x%x-%x", f.host.Now(), f.generatedIDs)
}

// submit hands a new request to the host, under its lock.
func (s *stream) submit(c *call, id string) error {
	h := &s.head
	c.request.Arrived = s.front.host.Clock()
	left := time.Until(s.deadline)
	if !s.routeMode() {
		left = min(left, s.maxWait())
	}
	for _, v := range [...]struct{ name, text string }{
		{s.config.Headers.Tenant, h.tenant}, {s.config.Headers.Key, h.idempotencyKey},
	} {
		if slices.ContainsFunc([]byte(v.text), func(b byte) bool { return b <= ' ' || b == ',' || b == '=' || b == 0x7f }) {
			s.discardCall(c)
			return fmt.Errorf("%s must be plain text without commas", v.name)
		}
	}
	most, key := maxTextBytes, len(s.target.Key)
	if s.target.Many {
		most = maxTextBytes + maxKeyBytes
	}
	if key+len(id)+len(h.tenant)+len(h.idempotencyKey) > most {
		s.discardCall(c)
		return fmt.Errorf("key, id, tenant and idempotency key together are over %d bytes", most)
	}
	if left <= 0 {
		s.discardCall(c)
		return extproc.ErrExpired
	}
	attrs := make([]byte, 0, 64)
	attrs = append(append(attrs, "c="...), s.target.Class...)
	if h.tenant != "" {
		attrs = append(append(attrs, ",t="...), h.tenant...)
	}
	attrs = strconv.AppendFloat(append(attrs, ",d="...), float64(left)/float64(time.Millisecond), 'f', 3, 64)
	if h.idempotencyKey != "" {
		attrs = append(append(attrs, ",k="...), h.idempotencyKey...)
	}
	if h.attempt > 1 {
		attrs = append(attrs, ",r=1"...)
	}
	c.request.Command = proxy.Command{Only: h.allowedMembers, Again: h.attempt > 1, Arrived: c.request.Arrived, Message: upstream.Message{
		Write: s.target.Write, Key: []byte(s.target.Key), ReqID: []byte(id), Attrs: attrs, Value: s.body}}
	c.request.Taker = bufferedValue{c}
	if s.routeMode() {
		c.request.Taker = routedCall{c}
	}
	if s.reservation != nil {
		c.request.InRoom(len(s.body))
	}
	c.request.By, c.request.Front = s.proof, "extproc"
	if s.target.Many {
		return s.submitMany(c)
	}
	err := s.front.host.Submit(&c.request)
	if errors.Is(err, proxy.ErrInUse) && (!c.entry.RunOnce || c.entry.Reused) {
		// A caller may ask again under the same id where that is harmless; members want one of its own for each.
		s.front.generatedIDs++
		c.request.ReqID = fmt.Appendf(nil, "%s.%x", id, s.front.generatedIDs)
		err = s.front.host.Submit(&c.request)
	}
	if err != nil {
		s.discardCall(c)
		return err
	}
	s.body, s.reservation = nil, nil // the host counts it now
	return nil
}

// discardCall forgets a call that was never taken.
func (s *stream) discardCall(c *call) {
	c.settled = true
	s.front.calls.End(c.entry, false, s.front.host.Now())
	s.call = nil
}

// maxWait is how long the caller waits for the answer to the message in hand, with what it lets us ask for.
func (s *stream) maxWait() time.Duration {
	if s.bodyMode == fullDuplex {
		return time.Until(s.deadline) // the caller sets no time for a message then (ext_proc.proto, message_timeout)
	}
	most := s.config.MessageTimeout.D()
	if ask := s.config.MaxMessageTimeout.D(); ask > 0 {
		most = most/2 + ask
	}
	return most - s.config.Margin.D() - time.Since(s.messageAt)
}

// decision is what has come of a wait.
type decision struct {
	addrs    string // of the member, and those of spares behind commas
	timeLeft time.Duration
	final    *proxy.Answer
}

// awaitDecision waits until the host has named a member or given the final answer, and passes that on. It asks the caller for
// more time before its patience ends, and gives the request up in time where the caller has none to give.
// d is what is decided already.
func (s *stream) awaitDecision(ctx context.Context, d decision, body bool) error {
	var timer *time.Timer
	for {
		if d == (decision{}) {
			s.front.host.Do(func() { d = s.checkDecision() })
		}
		switch {
		case d.final != nil:
			return s.sendAnswer(d.final)
		case d.addrs != "":
			return s.sendMember(d, body)
		}
		if timer == nil {
			timer = time.NewTimer(s.nextWait())
			defer timer.Stop()
		}
		select {
		case <-s.call.decided:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-s.forceEnd:
			return status.Error(codes.DeadlineExceeded, "the stream has stood for too long")
		case <-timer.C:
			if s.canExtend() {
				if err := s.extendTimeout(); err != nil {
					return err
				}
				timer.Reset(s.nextWait())
				continue
			}
			return s.endTimedOut()
		}
	}
}

// checkDecision tells what is decided, under the host's lock.
func (s *stream) checkDecision() (d decision) {
	c := s.call
	if c.finalAnswer != nil {
		return decision{final: c.finalAnswer}
	}
	if a := c.attempt; a != nil && !a.Ended() && a.Give() {
		s.front.counts.Routed++
		addr := a.Addr
		if n := s.config.Fallbacks; n > 0 && !c.request.Write {
			for _, spare := range a.Spares(n) {
				addr += "," + spare
			}
		}
		c.namedAddrs = addr
		return decision{addrs: addr, timeLeft: a.Left()}
	}
	return d
}

// canExtend tells whether more time can be asked for; a caller takes that once for a message.
func (s *stream) canExtend() bool {
	return !s.overrideSent && s.config.MaxMessageTimeout > 0 && s.bodyMode != fullDuplex
}

// nextWait is how long until the caller's patience has to be seen to.
func (s *stream) nextWait() time.Duration {
	if s.canExtend() {
		return s.config.MessageTimeout.D()/2 - time.Since(s.messageAt)
	}
	wait := s.maxWait()
	if !s.overrideSent && s.bodyMode != fullDuplex {
		wait = s.config.MessageTimeout.D() - s.config.Margin.D() - time.Since(s.messageAt)
	}
	// The host ends a request at its deadline by itself, a tick later at most; this is for one that it can't.
	return min(wait, time.Until(s.deadline)+s.config.Margin.D()/2)
}

// extendTimeout sends override_message_timeout. The caller ignores what is over its bound, so never more is asked for.
func (s *stream) extendTimeout() error {
	s.overrideSent = true
	ask := min(s.config.MaxMessageTimeout.D(), time.Until(s.deadline)+s.config.Margin.D())
	return s.send(&extprocv3.ProcessingResponse{OverrideMessageTimeout: durationpb.New(max(ask, time.Millisecond))})
}

// endTimedOut ends a request because the caller waits no longer.
func (s *stream) endTimedOut() error {
	ran := false
	s.front.host.Do(func() {
		ran = s.call.request.MayHaveRun()
		s.call.abandon()
	})
	s.reason = logic.OutOfTime
	if ran && s.call.entry.RunOnce {
		return s.sendFailed("the time for the request is over")
	}
	return s.sendRefused(0)
}
