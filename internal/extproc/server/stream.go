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

// stream is one HTTP exchange of a caller. Its fields belong to the goroutine of Process, except those
// listed under the host's lock.
type stream struct {
	front        *Front
	rpc          extprocv3.ExternalProcessor_ProcessServer
	config       *config
	conn         *countedConn // the connection that carries the stream; nil where callers are not authenticated
	messages     chan received
	readNext     chan struct{} // capacity 1: signals read to receive the next message
	done         chan struct{} // closed when Process returns
	messageOrder extproc.MessageOrder

	bodyMode         filterv3.ProcessingMode_BodySendMode // of the request, if the caller reports it
	responseMode     filterv3.ProcessingMode_BodySendMode // of the response
	modesKnown       bool                                 // the caller has reported its body modes
	observing        bool                                 // observability mode: the caller accepts no responses
	passThrough      bool                                 // the request matches no map entry and is passed on
	head             requestHead
	target           extproc.Target
	deadline         time.Time // the client's deadline less the margin
	collecting       bool      // the body of a write is still being received
	bodyLen          int
	delivering       bool // a successful response has started and is not complete
	outcomeNote      int  // what the cache says about the value, for the attempt's outcome (logic.Outcome.Note)
	proof            *identity.Proof
	servedElsewhere  bool // the response came from a member that was not named
	responseBodySeen bool
	overrideSent     bool         // override_message_timeout was sent for the current message
	messageAt        time.Time    // when the current message was received
	reason           logic.Reason // reason of the final answer
	outbox           *outbox      // responses to send, if bodies pass through this stream
	delivered        bool         // the response is complete

	// Guarded by the host's lock.
	call        *call
	body        []byte
	reservation upstream.Reservation // capacity for a body over maxBodyBytes; nil: the body counts as held
	heldWindow  int                  // bytes held for what the caller may send ahead
	expiresAt   time.Duration        // when the stream is ended as overdue
	drainable   bool                 // a drain need not wait: no message that needs an answer is expected
	forceEnded  bool
	forceEnd    chan struct{}
}

type received struct {
	message *extprocv3.ProcessingRequest
	err     error
}

// endByForce ends the stream. The host's lock must be held.
func (s *stream) endByForce() {
	if !s.forceEnded {
		s.forceEnded = true
		close(s.forceEnd)
	}
}

// read passes on one message at a time, each when run asks for it; later messages wait in the stream's
// flow-control window. Blocking in Recv for a message that is not needed would cost an extra wake-up for
// each call that ends after its first message.
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

// errStreamDone ends a stream on which everything has been sent.
var errStreamDone = errors.New("stream done")

func (s *stream) run(ctx context.Context) error {
	for first := true; ; first = false {
		if !first {
			s.readNext <- struct{}{}
		}
		var r received
		select {
		case r = <-s.messages: // also delivers the end of the call
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
			s.front.host.Do(func() { s.drainable = true })
		}
	}
}

// fullyRelayed reports whether a stream that relays bodies has relayed the last of them, so that a drain
// need not wait for it. Further messages may arrive and need no answer.
func (s *stream) fullyRelayed() bool {
	if s.passThrough {
		return s.messageOrder.RequestComplete() && (s.responseMode != fullDuplex || s.messageOrder.ResponseComplete())
	}
	return s.delivered
}

// forceEndStatus returns the status of a stream that the front end ends.
func (s *stream) forceEndStatus() error {
	drainable := false
	s.front.host.Do(func() { drainable = s.drainable })
	switch {
	case drainable:
		return nil // nothing that the caller waits for is left to send
	case !s.messageOrder.RequestStarted():
		return status.Error(codes.Unavailable, "no message came; nothing ran")
	}
	return status.Error(codes.DeadlineExceeded, "the stream has stood for too long")
}

// closedByCaller handles a clean end of the stream by the caller. If a successful response was still
// incomplete and no part of its body arrived, the caller followed mode_override and sends no more.
func (s *stream) closedByCaller() {
	if s.delivering && !s.responseBodySeen {
		s.markServed()
	}
}

func (s *stream) invalid(format string, args ...any) error {
	return status.Errorf(codes.InvalidArgument, format, args...)
}

// handle answers one message.
func (s *stream) handle(ctx context.Context, message *extprocv3.ProcessingRequest) error {
	s.messageAt, s.overrideSent = time.Now(), false
	if c := message.GetProtocolConfig(); c != nil && !s.modesKnown {
		s.modesKnown, s.bodyMode, s.responseMode = true, c.GetRequestBodyMode(), c.GetResponseBodyMode()
		if !supportedBodyMode(s.bodyMode) || !supportedBodyMode(s.responseMode) {
			return status.Errorf(codes.Unimplemented, "body modes %v and %v: GRPC is not spoken; all others are", s.bodyMode, s.responseMode)
		}
	}
	kind, end := messageKind(message)
	if kind == 0 {
		return s.invalid("a message without a request or response")
	}
	if err := s.messageOrder.Next(kind, end); err != nil {
		return s.invalid("%v", err)
	}
	if s.observing = s.observing || message.GetObservabilityMode(); s.observing {
		s.front.host.Do(func() { s.drainable, s.expiresAt = true, s.front.host.Now()+passThroughTimeout })
		return nil // the caller proceeds without an answer; choosing a member here would count load that is never sent
	}
	switch kind {
	case extproc.RequestHeaders:
		s.head.allowedMembers = allowedEndpoints(message)
		return s.requestHeaders(ctx, message.GetRequestHeaders())
	case extproc.RequestBody:
		return s.requestBody(ctx, message.GetRequestBody())
	case extproc.RequestTrailers:
		if s.collecting {
			return s.bodyComplete(ctx)
		}
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{
			RequestTrailers: &extprocv3.TrailersResponse{}}})
	case extproc.ResponseHeaders:
		return s.responseHeaders(message)
	case extproc.ResponseBody:
		if s.responseBodySeen = true; end && s.delivering {
			s.markServed()
		}
		if s.responseMode == fullDuplex {
			return s.relayBody(message.GetResponseBody(), true)
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

// supportedBodyMode reports whether a body mode is supported. GRPC is not: it would require counting the
// caller's messages instead of bytes.
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

// send sends a response to the caller after all earlier ones.
func (s *stream) send(r *extprocv3.ProcessingResponse) error {
	if s.outbox != nil {
		return s.outbox.enqueue(s, r, 0)
	}
	return s.rpc.Send(r)
}

func (s *stream) routeMode() bool { return s.config.Mode == "route" }

// requestHead holds the values read from the request's headers.
type requestHead struct {
	method, path, requestID, tenant, idempotencyKey string
	attempt                                         int
	timeLeft                                        time.Duration
	hasTimeLeft                                     bool
	contentLength                                   int
	hasDestination                                  bool
	allowedMembers                                  []string // members that the caller allows; nil: all
	authorization                                   string   // cleared once it has been checked
}

func headerValue(h *corev3.HeaderValue) string {
	if raw := h.GetRawValue(); len(raw) > 0 {
		return string(raw)
	}
	return h.GetValue()
}

// readHead reads the request's headers. An error without a gRPC status is the client's fault and is
// answered with an immediate response.
func (s *stream) readHead(headers []*corev3.HeaderValue) error {
	head, names := &s.head, &s.config.Headers
	for i, header := range headers {
		name := header.GetKey()
		switch name {
		case names.RequestID, names.Tenant, names.IdempotencyKey, names.Attempt, authorization:
			// With two different values, a client or proxy that adds a header could choose which one counts
			// (RFC 9110 section 5.3: the field is no list, so only one is allowed).
			for _, earlier := range headers[:i] {
				if earlier.GetKey() == name && headerValue(earlier) != headerValue(header) {
					return fmt.Errorf("%s is there more than once", name)
				}
			}
		}
		switch name {
		case ":method":
			head.method = headerValue(header)
		case ":path":
			head.path = headerValue(header)
		case "content-length":
			n, err := strconv.Atoi(headerValue(header))
			if err != nil || n < 0 {
				return errors.New("content-length is no number")
			}
			head.contentLength = n
		case names.RequestID:
			head.requestID = headerValue(header)
		case names.Tenant:
			head.tenant = headerValue(header)
		case names.IdempotencyKey:
			head.idempotencyKey = headerValue(header)
		case names.Attempt:
			n, err := strconv.Atoi(headerValue(header))
			if err != nil || n < 0 {
				return fmt.Errorf("%s is no number", name)
			}
			head.attempt = n
		case authorization:
			head.authorization = headerValue(header)
		case names.Destination:
			head.hasDestination = true
		default:
			if !slices.Contains(names.TimeLeft, name) {
				continue
			}
			timeLeft, err := extproc.TimeLeft(name, headerValue(header))
			if err != nil && !errors.Is(err, extproc.ErrExpired) {
				return err
			}
			if !head.hasTimeLeft || timeLeft < head.timeLeft {
				head.timeLeft, head.hasTimeLeft = timeLeft, true
			}
		}
	}
	if head.method == "" || head.path == "" {
		return s.invalid("request headers without :method or :path")
	}
	return nil
}

func (s *stream) requestHeaders(ctx context.Context, headers *extprocv3.HttpHeaders) error {
	if err := s.readHead(headers.GetHeaders().GetHeaders()); err != nil {
		if status.Code(err) == codes.InvalidArgument {
			return err
		}
		return s.sendImmediate(400, []byte(err.Error()), "")
	}
	head := &s.head
	target, ok := s.config.mapping.Match(head.method, head.path)
	if !ok {
		if s.config.Unmapped != "pass" {
			return s.sendImmediate(404, []byte("nothing is served under this method and path"), "")
		}
		s.passThrough = true
		if err := s.prepareDuplex(headers.GetEndOfStream()); err != nil {
			return err
		}
		// A drain waits for bodies that are relayed on this stream.
		s.front.host.Do(func() { s.drainable, s.expiresAt = s.outbox == nil, s.front.host.Now()+passThroughTimeout })
		return s.sendPassThrough()
	}
	s.target = target
	if err := s.authenticate(); err != nil {
		return s.sendDenied(err)
	}
	class := s.config.classes[target.Class]
	timeLeft := class.Deadline
	if head.hasTimeLeft {
		timeLeft = min(timeLeft, head.timeLeft)
	}
	timeLeft -= s.config.ReturnMargin.D()
	if timeLeft <= 0 {
		return s.sendExpired(class)
	}
	s.deadline = s.messageAt.Add(timeLeft)
	if limit := s.maxBodyLen(); head.contentLength > limit {
		return s.sendTooLong(limit)
	}
	if err := s.prepareDuplex(headers.GetEndOfStream()); err != nil {
		return err
	}
	if target.Write && !s.routeMode() && !headers.GetEndOfStream() {
		return s.startCollecting()
	}
	return s.startRequest(ctx, false)
}

// sendExpired answers a request whose deadline has passed. The request has not run unless an earlier
// attempt may have.
func (s *stream) sendExpired(class *logic.Class) error {
	mayHaveRun := false
	if s.runOnce(class) {
		s.front.host.Do(func() { mayHaveRun = s.front.calls.MayHaveRun(s.head.requestID, s.head.attempt, s.front.host.Now()) })
	}
	if mayHaveRun {
		return s.sendFailed("an earlier attempt may have run, and the time for the request is over")
	}
	return s.sendImmediate(503, []byte(extproc.ErrExpired.Error()+"; it never ran"), "")
}

// runOnce reports whether the request must not run twice.
func (s *stream) runOnce(class *logic.Class) bool {
	return class.Effect == logic.AtMostOnce || class.Effect == logic.DeduplicatedByKey && s.head.idempotencyKey == ""
}

// sendPassThrough lets a request through that matches no map entry and skips its further phases. In route
// mode it removes the header that names a member, which clients must not set.
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

// usesDuplex reports whether a body passes through this stream in full duplex, where no mode can be
// overridden.
func (s *stream) usesDuplex() bool { return s.bodyMode == fullDuplex || s.responseMode == fullDuplex }

// startCollecting requests the body of a write, in one piece if the caller supports that.
func (s *stream) startCollecting() error {
	s.collecting = true
	s.front.host.Do(func() { s.expiresAt = s.front.host.Now() + time.Until(s.deadline) + overdueGrace })
	if s.bodyMode == fullDuplex {
		// In full duplex the caller sends the body without a request for it. The headers stay unanswered,
		// so that the caller forwards nothing: this process makes the exchange. The call is accepted here,
		// as no response accepts it.
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

// maxBodyLen returns the limit of the request's body. A body in a single message is in memory before it can
// be refused, so it has the lower limit.
func (s *stream) maxBodyLen() int {
	if s.routeMode() || !s.target.Write || !s.modesKnown || s.bodyMode != fullDuplex && s.bodyMode != filterv3.ProcessingMode_STREAMED {
		return maxBodyBytes
	}
	return maxLongBodyBytes
}

// acceptCall sends the call's response headers, which tell the caller that the call is accepted. Envoy
// offers a call that fails with UNAVAILABLE to another processor only before these headers
// (grpc_service.retry_policy); an order that a killed processor had accepted must not be offered again.
// A caller that sends a body after any response on the stream has received the headers with that response, so
// that acceptCall is not needed then.
func (s *stream) acceptCall() error { return s.rpc.SendHeader(nil) }

func (s *stream) requestBody(ctx context.Context, part *extprocv3.HttpBody) error {
	s.bodyLen += len(part.GetBody())
	if s.passThrough {
		return s.sendBodyContinue(part)
	}
	if limit := s.maxBodyLen(); s.bodyLen > limit {
		return s.sendTooLong(limit)
	}
	if s.collecting {
		full := false
		if s.bodyLen > maxBodyBytes {
			full = !s.appendLongBody(part.GetBody())
		} else {
			s.front.host.Do(func() {
				oldCap := cap(s.body)
				s.body = append(s.body, part.GetBody()...)
				full = s.front.host.AddBuffered(cap(s.body) - oldCap)
			})
		}
		switch {
		case full:
			s.reason = reasons.HostFull
			return s.sendRefused(0)
		case part.GetEndOfStream():
			return s.bodyComplete(ctx)
		case s.bodyMode == fullDuplex:
			return nil
		}
		// In streamed mode the caller has already sent the headers on. The body must not follow them, as
		// this process makes the exchange.
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
			RequestBody: &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{
				BodyMutation: &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_ClearBody{ClearBody: true}}}}}})
	}
	if s.call != nil && s.modesKnown && s.bodyMode == filterv3.ProcessingMode_BUFFERED && !s.messageOrder.ResponseStarted() {
		// The caller sends the request only now. The member may have started to drain while the body
		// arrived.
		return s.confirmMember(ctx, part)
	}
	return s.sendBodyContinue(part)
}

// sendBodyContinue lets a part of the request's body through unchanged.
func (s *stream) sendBodyContinue(part *extprocv3.HttpBody) error {
	if s.bodyMode == fullDuplex {
		return s.relayBody(part, false)
	}
	return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
		RequestBody: &extprocv3.BodyResponse{}}})
}

// confirmMember checks that the member named in the answer to the request's headers is still usable, and
// names another one if not.
func (s *stream) confirmMember(ctx context.Context, part *extprocv3.HttpBody) error {
	usable := true
	s.front.host.Do(func() {
		if c := s.call; c.attempt != nil && !c.settled {
			usable = c.attempt.Announce()
		}
	})
	if usable {
		return s.sendBodyContinue(part)
	}
	return s.awaitRouting(ctx, routingResult{}, true)
}

// bodyComplete submits a write whose body has been received completely.
func (s *stream) bodyComplete(ctx context.Context) error {
	s.collecting = false
	if s.reservation != nil {
		s.reservation.Shrink(len(s.body))
	}
	return s.startRequest(ctx, true)
}

// startRequest relates the call to earlier calls with its request id, submits a new request or continues a
// known one, and sends the result of the routing, or the reason why there is none.
func (s *stream) startRequest(ctx context.Context, body bool) error {
	front, head := s.front, &s.head
	class := s.config.classes[s.target.Class]
	if s.runOnce(class) && !s.routeMode() && !body {
		if err := s.acceptCall(); err != nil {
			return err
		}
	}
	var relation extproc.CallRelation
	var submitErr error
	var result routingResult
	front.host.Do(func() {
		id := head.requestID
		if id == "" {
			id = front.newID()
		}
		now := front.host.Now()
		entry, replaced, found := front.calls.Begin(id, head.attempt, s.runOnce(class), class.Effect == logic.AtMostOnce && front.host.RecordsOrders(), now)
		if relation = found; replaced != nil {
			replaced.ServerCall.(*call).abandon()
		}
		s.expiresAt = now + max(0, time.Until(s.deadline)) + overdueGrace
		switch relation {
		case extproc.RelationNew, extproc.RelationReplace:
			c := &call{front: front, entry: entry, stream: s, resultReady: make(chan struct{}, 1)}
			entry.ServerCall, s.call = c, c
			submitErr = s.submit(c, id)
		case extproc.RelationContinue:
			front.counts.Continued++
			s.call = entry.ServerCall.(*call)
			s.call.stream = s
			s.call.restrictMembers(head.allowedMembers)
		}
		if s.call != nil && submitErr == nil {
			result = s.checkRouting()
		}
	})
	switch {
	case errors.Is(submitErr, extproc.ErrExpired):
		s.reason = logic.OutOfTime
		return s.sendRefused(0)
	case errors.Is(submitErr, proxy.ErrStopping):
		s.reason = reasons.Stopping
		return s.sendRefused(0)
	case errors.Is(submitErr, proxy.ErrBusy):
		s.reason = reasons.HostFull
		return s.sendRefused(0)
	case errors.Is(submitErr, proxy.ErrIDInUse):
		return s.sendImmediate(409, []byte("the request id is in use"), "")
	case identity.ReasonOf(submitErr) != 0:
		return s.sendDenied(submitErr)
	case submitErr != nil:
		return s.sendImmediate(400, []byte(submitErr.Error()), "")
	case relation == extproc.RelationInUse:
		return s.sendImmediate(409, []byte("the request id belongs to another request in hand"), "")
	case relation == extproc.RelationMayHaveRun:
		return s.sendFailed("an earlier attempt may have run, and the request must not run twice")
	case relation == extproc.RelationTableFull:
		s.reason = reasons.HostFull
		return s.sendRefused(0)
	}
	return s.awaitRouting(ctx, result, body)
}

// newID returns an id that no other process generates, for a request whose caller sent none.
func (f *Front) newID() string {
	f.generatedIDs++
	return fmt.Sprintf("x%x-%x", f.host.Now(), f.generatedIDs)
}

// submit submits a new request to the host. The host's lock must be held.
func (s *stream) submit(newCall *call, id string) error {
	head := &s.head
	newCall.request.ArrivedAt = s.front.host.Clock()
	timeLeft := time.Until(s.deadline)
	if !s.routeMode() {
		timeLeft = min(timeLeft, s.maxWait())
	}
	for _, v := range [...]struct{ name, text string }{
		{s.config.Headers.Tenant, head.tenant}, {s.config.Headers.IdempotencyKey, head.idempotencyKey},
	} {
		if slices.ContainsFunc([]byte(v.text), func(b byte) bool { return b <= ' ' || b == ',' || b == '=' || b == 0x7f }) {
			s.discardCall(newCall)
			return fmt.Errorf("%s must be plain text without commas", v.name)
		}
	}
	limit, keyLen := maxTextBytes, len(s.target.Key)
	if s.target.Many {
		limit = maxTextBytes + maxKeyBytes
	}
	if keyLen+len(id)+len(head.tenant)+len(head.idempotencyKey) > limit {
		s.discardCall(newCall)
		return fmt.Errorf("key, id, tenant and idempotency key together are over %d bytes", limit)
	}
	if timeLeft <= 0 {
		s.discardCall(newCall)
		return extproc.ErrExpired
	}
	attrs := make([]byte, 0, 64)
	attrs = append(append(attrs, "c="...), s.target.Class...)
	if head.tenant != "" {
		attrs = append(append(attrs, ",t="...), head.tenant...)
	}
	attrs = strconv.AppendFloat(append(attrs, ",d="...), float64(timeLeft)/float64(time.Millisecond), 'f', 3, 64)
	if head.idempotencyKey != "" {
		attrs = append(append(attrs, ",k="...), head.idempotencyKey...)
	}
	if head.attempt > 1 {
		attrs = append(attrs, ",r=1"...)
	}
	newCall.request.Command = proxy.Command{AllowedAddrs: head.allowedMembers, Retry: head.attempt > 1, ArrivedAt: newCall.request.ArrivedAt, Message: upstream.Message{
		Write: s.target.Write, Key: []byte(s.target.Key), ReqID: []byte(id), Attrs: attrs, Value: s.body}}
	newCall.request.Responder = bufferedValue{newCall}
	if s.routeMode() {
		newCall.request.Responder = routedCall{newCall}
	}
	if s.reservation != nil {
		newCall.request.SetReservedBytes(len(s.body))
	}
	newCall.request.Proof, newCall.request.Front = s.proof, "extproc"
	if s.target.Many {
		return s.submitMany(newCall)
	}
	err := s.front.host.Submit(&newCall.request)
	if errors.Is(err, proxy.ErrIDInUse) && (!newCall.entry.RunOnce || newCall.entry.Reused) {
		// A caller may repeat a harmless request under the same id; members need a distinct id for each.
		s.front.generatedIDs++
		newCall.request.ReqID = fmt.Appendf(nil, "%s.%x", id, s.front.generatedIDs)
		err = s.front.host.Submit(&newCall.request)
	}
	if err != nil {
		s.discardCall(newCall)
		return err
	}
	s.body, s.reservation = nil, nil // counted by the host from now on
	return nil
}

// discardCall removes a call that was not accepted.
func (s *stream) discardCall(c *call) {
	c.settled = true
	s.front.calls.End(c.entry, false, s.front.host.Now())
	s.call = nil
}

// maxWait returns how long the caller waits for the answer to the current message, including the extension
// that it grants.
func (s *stream) maxWait() time.Duration {
	if s.bodyMode == fullDuplex {
		return time.Until(s.deadline) // the caller sets no message_timeout then (ext_proc.proto)
	}
	wait := s.config.MessageTimeout.D()
	if extension := s.config.MaxMessageTimeout.D(); extension > 0 {
		wait = wait/2 + extension
	}
	return wait - s.config.ReturnMargin.D() - time.Since(s.messageAt)
}

// routingResult is the result of waiting for the host.
type routingResult struct {
	addrs    string // the member's address, followed by comma-separated fallbacks
	timeLeft time.Duration
	final    *proxy.Answer
}

// awaitRouting waits until the host has named a member or given the final answer, and sends the member or the
// answer to the caller. It extends the caller's message timeout before that expires, and ends the request in
// time if no extension is possible. result is set if it is known already.
func (s *stream) awaitRouting(ctx context.Context, result routingResult, body bool) error {
	var timer *time.Timer
	for {
		if result == (routingResult{}) {
			s.front.host.Do(func() { result = s.checkRouting() })
		}
		switch {
		case result.final != nil:
			return s.sendAnswer(result.final)
		case result.addrs != "":
			return s.sendMember(result, body)
		}
		if timer == nil {
			timer = time.NewTimer(s.nextWait())
			defer timer.Stop()
		}
		select {
		case <-s.call.resultReady:
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

// checkRouting returns the result of the routing so far, or the zero value if there is none yet. The host's
// lock must be held.
func (s *stream) checkRouting() (result routingResult) {
	c := s.call
	if c.finalAnswer != nil {
		return routingResult{final: c.finalAnswer}
	}
	if a := c.attempt; a != nil && !a.Ended() && a.Announce() {
		s.front.counts.Routed++
		addrs := a.Addr
		if n := s.config.Fallbacks; n > 0 && !c.request.Write {
			for _, fallback := range a.Fallbacks(n) {
				addrs += "," + fallback
			}
		}
		c.namedAddrs = addrs
		return routingResult{addrs: addrs, timeLeft: a.TimeLeft()}
	}
	return result
}

// canExtend reports whether the message timeout can be extended; a caller accepts one extension for each
// message.
func (s *stream) canExtend() bool {
	return !s.overrideSent && s.config.MaxMessageTimeout > 0 && s.bodyMode != fullDuplex
}

// nextWait returns how long to wait before the caller's message timeout needs attention.
func (s *stream) nextWait() time.Duration {
	if s.canExtend() {
		return s.config.MessageTimeout.D()/2 - time.Since(s.messageAt)
	}
	wait := s.maxWait()
	if !s.overrideSent && s.bodyMode != fullDuplex {
		wait = s.config.MessageTimeout.D() - s.config.ReturnMargin.D() - time.Since(s.messageAt)
	}
	// The host ends a request at its deadline, at most one tick late; this bound applies to a request
	// that it has not ended by then.
	return min(wait, time.Until(s.deadline)+s.config.ReturnMargin.D()/2)
}

// extendTimeout sends override_message_timeout. The caller ignores a value over its maximum, so the extension
// that is sent never exceeds it.
func (s *stream) extendTimeout() error {
	s.overrideSent = true
	extension := min(s.config.MaxMessageTimeout.D(), time.Until(s.deadline)+s.config.ReturnMargin.D())
	return s.send(&extprocv3.ProcessingResponse{OverrideMessageTimeout: durationpb.New(max(extension, time.Millisecond))})
}

// endTimedOut ends a request because the caller's message timeout is about to expire.
func (s *stream) endTimedOut() error {
	mayHaveRun := false
	s.front.host.Do(func() {
		mayHaveRun = s.call.request.MayHaveRun()
		s.call.abandon()
	})
	s.reason = logic.OutOfTime
	if mayHaveRun && s.call.entry.RunOnce {
		return s.sendFailed("the time for the request is over")
	}
	return s.sendRefused(0)
}
