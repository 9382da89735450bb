package server

import (
	"strconv"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"

	"linenloom/internal/extproc"
	"linenloom/internal/operator"
	"linenloom/internal/proxy"
	"linenloom/internal/reasons"
	"linenloom/logic"
)

func setHeader(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}
}

// sendImmediate sends the final answer to the caller's client, after which nothing is sent on the stream.
func (s *stream) sendImmediate(code int, text []byte, contentType string, headers ...*corev3.HeaderValueOption) error {
	if contentType == "" {
		contentType = "text/plain"
	}
	details := map[int]string{200: "served", 502: "failed", 503: "refused", 429: "refused"}[code]
	if details == "" {
		details = "turned_away"
	}
	if s.reason != logic.NoReason {
		details += "{" + reasons.Name(s.reason) + "}"
	}
	s.front.host.Do(func() {
		switch code {
		case 200:
			s.front.counts.Served++
		case 502:
			s.front.counts.Failed++
		default:
			s.front.counts.Refused++
		}
		if s.call != nil {
			s.call.settle()
		}
	})
	headers = append(headers, setHeader("content-type", contentType))
	err := s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ImmediateResponse{
		ImmediateResponse: &extprocv3.ImmediateResponse{
			Status:  &typev3.HttpStatus{Code: typev3.StatusCode(code)},
			Headers: &extprocv3.HeaderMutation{SetHeaders: headers},
			Body:    text, Details: "linenloom_" + details,
		}}})
	if err != nil {
		return err
	}
	return errStreamDone
}

// sendRefused answers that the request never ran and may be retried after a delay. HTTP gives the delay in
// whole seconds (RFC 9110 section 10.2.3); without a delay from the routing module it is the minimum.
// Requests shed for lack of capacity have a status of their own, as with the Gateway API's endpoint
// pickers; if no member is available the status is 503.
func (s *stream) sendRefused(after time.Duration) error {
	code := 503
	switch s.reason {
	case logic.NoRoom, logic.NoConnection, logic.ColdBudget, logic.Throttled, logic.RetryBudget, logic.OriginLine, reasons.HostFull:
		code = s.config.ShedStatus
	}
	seconds := max(1, int((after+time.Second-1)/time.Second))
	return s.sendImmediate(code, []byte("refused: the request never ran\n"), "", setHeader("retry-after", strconv.Itoa(seconds)))
}

// sendFailed answers that the request failed and may have run.
func (s *stream) sendFailed(text string) error {
	return s.sendImmediate(502, []byte("failed: "+text+"\n"), "")
}

func (s *stream) sendTooLong(limit int) error {
	return s.sendImmediate(413, []byte("the body is over "+strconv.Itoa(limit)+" bytes\n"), "")
}

// sendAnswer sends the host's final answer.
func (s *stream) sendAnswer(a *proxy.Answer) error {
	s.reason = a.Reason
	switch a.Kind {
	case proxy.Served:
		if s.target.Many {
			return s.sendImmediate(200, a.Value, "application/json")
		}
		return s.sendImmediate(200, a.Value, s.config.ContentType)
	case proxy.Refused:
		return s.sendRefused(a.RetryAfter)
	}
	if err := s.call.request.Denied(); err != nil {
		return s.sendDenied(err)
	}
	switch a.Reason {
	case reasons.OrderInHand:
		return s.sendImmediate(409, []byte("an order of this key is in hand\n"), "")
	case reasons.OtherOrder:
		return s.sendImmediate(422, []byte("the idempotency key stands for another order\n"), "")
	case reasons.OrderHasRun:
		return s.sendFailed("the order has run, and its receipt is not told again here")
	case reasons.OrderUnknown:
		return s.sendFailed("an earlier attempt may have run: look it up; it is not sent again")
	case reasons.RecordFault, reasons.RecordBehind:
		return s.sendFailed("the order may have run, and could not be recorded in time")
	}
	return s.sendFailed("the request may have run")
}

// sendMember sends the member's address to the caller.
func (s *stream) sendMember(result routingResult, body bool) error {
	kind := inHeaders
	switch {
	case body:
		kind = inBody
	case s.usesDuplex():
		kind = inDuplex
	}
	if s.config.Headers.TryTimeout != "" {
		return s.send(memberMessage(s.config, result.addrs, result.timeLeft, kind))
	}
	r, err := s.config.memberMessages.get(s.config, result.addrs, kind)
	if err != nil {
		return err
	}
	return s.send(r)
}

// memberMessage names the member in the header and the metadata that the Gateway API's endpoint pickers
// use, and requests only the phases that are needed.
func memberMessage(cfg *config, addr string, timeLeft time.Duration, kind int) *extprocv3.ProcessingResponse {
	headers := &cfg.Headers
	set := make([]*corev3.HeaderValueOption, 1, 2)
	set[0] = setHeader(headers.Destination, addr)
	if headers.TryTimeout != "" {
		set = append(set, setHeader(headers.TryTimeout, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10)))
	}
	common := &extprocv3.CommonResponse{HeaderMutation: &extprocv3.HeaderMutation{SetHeaders: set}}
	if cfg.authenticates { // the caller sends the request itself, and members must not see its token
		common.HeaderMutation.RemoveHeaders = []string{authorization}
	}
	r := &extprocv3.ProcessingResponse{DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{
		"envoy.lb": structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			headers.Destination: structpb.NewStringValue(addr),
		}}),
	}}}
	if kind == inBody {
		r.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{Response: common}}
		return r
	}
	r.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{Response: common}}
	if kind == inDuplex {
		return r // no mode override in full duplex
	}
	// Skipping the body and all of the response but its headers lets the caller send soon after the pick,
	// before the member's state changes.
	r.ModeOverride = &filterv3.ProcessingMode{
		ResponseHeaderMode: filterv3.ProcessingMode_SEND, RequestTrailerMode: filterv3.ProcessingMode_SKIP,
		ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
	}
	return r
}

// preEncode returns a message that holds the encoded bytes of another one as unknown fields, which are
// written as they are. Few distinct messages make up most of the traffic, and encoding the metadata's maps
// each time costs as much as the rest of a call.
func preEncode(r *extprocv3.ProcessingResponse) (*extprocv3.ProcessingResponse, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil, err
	}
	e := &extprocv3.ProcessingResponse{}
	e.ProtoReflect().SetUnknown(raw)
	return e, nil
}

// maxCachedMessages bounds the cache for each kind. When it is reached, all entries are dropped, including
// those of members that no longer exist.
const maxCachedMessages = 4096

// The kinds of messages that name a member: the answer to the request's headers, to its body, and to its
// headers in full duplex.
const (
	inHeaders = iota
	inBody
	inDuplex
	kindCount
)

// messageCache caches encoded messages that name members.
type messageCache struct {
	mu     sync.RWMutex
	byAddr [kindCount]map[string]*extprocv3.ProcessingResponse
}

func (n *messageCache) get(cfg *config, addr string, kind int) (*extprocv3.ProcessingResponse, error) {
	n.mu.RLock()
	r := n.byAddr[kind][addr]
	n.mu.RUnlock()
	if r != nil {
		return r, nil
	}
	r, err := preEncode(memberMessage(cfg, addr, 0, kind))
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byAddr[kind] == nil || len(n.byAddr[kind]) >= maxCachedMessages {
		n.byAddr[kind] = map[string]*extprocv3.ProcessingResponse{}
	}
	n.byAddr[kind][addr] = r
	return r, nil
}

// responseMessage lets a response through, either marked for another attempt or with such a mark removed: a
// member must not be able to make the caller retry.
func responseMessage(cfg *operator.ExtProc, retry bool) *extprocv3.ProcessingResponse {
	mutation := &extprocv3.HeaderMutation{}
	if retry {
		mutation.SetHeaders = []*corev3.HeaderValueOption{setHeader(cfg.Headers.Retry, "1")}
	} else {
		mutation.RemoveHeaders = []string{cfg.Headers.Retry}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{HeaderMutation: mutation}}}}
}

// attributesNamespace is the namespace under which callers send attributes.
const attributesNamespace = "envoy.filters.http.ext_proc"

// readResponse reads the attempt's result from the response's headers.
func (s *stream) readResponse(message *extprocv3.ProcessingRequest) (response extproc.Response, note int, err error) {
	response.MissStatus = s.config.MissStatus
	for _, header := range message.GetResponseHeaders().GetHeaders().GetHeaders() {
		switch header.GetKey() {
		case ":status":
			if response.Status, err = strconv.Atoi(headerValue(header)); err != nil || response.Status < 100 || response.Status > 599 {
				return response, 0, s.invalid(":status is no status")
			}
		case "x-not-processed":
			response.NotProcessed = headerValue(header) == "1"
		case "x-envoy-overloaded":
			response.Overloaded = true
		case "x-cache":
			note = map[string]int{"hit": logic.NoteHit, "miss": logic.NoteMiss, "pending": logic.NoteFetched}[headerValue(header)]
		}
	}
	if response.Status == 0 {
		return response, 0, s.invalid("response headers without :status")
	}
	response.Details = message.GetAttributes()[attributesNamespace].GetFields()["response.code_details"].GetStringValue()
	return response, note, nil
}

// responseHeaders reports the attempt's outcome in route mode. It then lets the response through, marks it
// for another attempt, or replaces it by the final answer.
func (s *stream) responseHeaders(message *extprocv3.ProcessingRequest) error {
	call := s.call
	switch {
	case s.passThrough || call != nil && call.settled:
		return s.sendResponseContinue()
	case call == nil || !s.routeMode():
		return s.invalid("response headers before the request was answered")
	}
	response, note, err := s.readResponse(message)
	if err != nil {
		return err
	}
	s.recordServedMember(message)
	outcome := response.Outcome()
	if outcome == logic.StatusOK {
		s.delivering, s.outcomeNote = true, note
		if s.responseMode == filterv3.ProcessingMode_NONE || message.GetResponseHeaders().GetEndOfStream() {
			s.markServed()
		}
		return s.sendResponseContinue()
	}
	var final *proxy.Answer
	var retry bool
	s.front.host.Do(func() {
		if a := call.attempt; a != nil && !a.Ended() && a.Announced() {
			response.Origin = a.Origin
			outcome = response.Outcome()
			a.End(outcome, note)
			s.front.host.DeliverOutcomes()
		}
		switch {
		case outcome == logic.StatusRejected:
			call.settle() // the member rejects the request itself, and its response explains why
		case call.finalAnswer != nil:
			final = call.finalAnswer
		case s.head.requestID == "": // without an id the caller's return could not be recognized
			call.abandon()
		default:
			retry = true
			call.stream = nil
			s.front.calls.AwaitCaller(call.entry, s.front.host.Now()+s.config.ReturnTimeout.D())
		}
	})
	switch {
	case final != nil:
		return s.sendAnswer(final)
	case retry:
		return s.send(s.config.retryMessage)
	}
	return s.sendResponseContinue()
}

// sendResponseContinue lets a response through.
func (s *stream) sendResponseContinue() error {
	if s.passThrough {
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{}}})
	}
	return s.send(s.config.continueMessage)
}

// markServed ends the attempt successfully: the caller has received the response.
func (s *stream) markServed() {
	s.delivering = false
	s.front.host.Do(func() {
		call := s.call
		if call.settled {
			return
		}
		if call.attempt != nil && call.attempt.Announced() {
			if s.servedElsewhere {
				call.attempt.MarkServedElsewhere()
			} else {
				call.attempt.MarkServed(s.outcomeNote)
			}
		}
		s.front.counts.Served++
		call.settle()
		s.delivered = true
		s.drainable = s.outbox == nil // otherwise the end of the body has still to be sent
		s.expiresAt = s.front.host.Now() + firstMessageTimeout
	})
}
