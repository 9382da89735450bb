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

// immediate is the final answer to the caller's client. Nothing more is said on the stream.
func (s *stream) immediate(code int, text []byte, contentType string, headers ...*corev3.HeaderValueOption) error {
	if contentType == "" {
		contentType = "text/plain"
	}
	details := map[int]string{200: "served", 502: "failed", 503: "refused", 429: "refused"}[code]
	if details == "" {
		details = "turned_away"
	}
	if s.why != logic.NoReason {
		details += "{" + reasons.Name(s.why) + "}"
	}
	s.f.p.Do(func() {
		switch code {
		case 200:
			s.f.counts.Served++
		case 502:
			s.f.counts.Failed++
		default:
			s.f.counts.Refused++
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
	return errOver
}

// refuse says that trying again is harmless, and when. HTTP has whole seconds for that (RFC 9110 section 10.2.3); where
// the module names no time, the shortest stands. What is shed for want of capacity has a status of its own, as the
// Gateway API's endpoint pickers have it; where there is nobody to go to it is 503.
func (s *stream) refuse(after time.Duration) error {
	code := 503
	switch s.why {
	case logic.NoRoom, logic.NoConnection, logic.ColdBudget, logic.Throttled, logic.RetryBudget, logic.OriginLine, reasons.HostFull:
		code = s.cfg.ShedStatus
	}
	seconds := max(1, int((after+time.Second-1)/time.Second))
	return s.immediate(code, []byte("refused: the request never ran\n"), "", setHeader("retry-after", strconv.Itoa(seconds)))
}

// fail promises nothing.
func (s *stream) fail(why string) error { return s.immediate(502, []byte("failed: "+why+"\n"), "") }

func (s *stream) tooLong(most int) error {
	return s.immediate(413, []byte("the body is over "+strconv.Itoa(most)+" bytes\n"), "")
}

// answer passes the host's final answer on.
func (s *stream) answer(a *proxy.Answer) error {
	s.why = a.Reason
	switch a.Kind {
	case proxy.Served:
		if s.target.Many {
			return s.immediate(200, a.Value, "application/json")
		}
		return s.immediate(200, a.Value, s.cfg.ContentType)
	case proxy.Refused:
		return s.refuse(a.RetryAfter)
	}
	if err := s.call.req.Denied(); err != nil {
		return s.denied(err)
	}
	switch a.Reason {
	case reasons.OrderInHand:
		return s.immediate(409, []byte("an order of this key is in hand\n"), "")
	case reasons.OtherOrder:
		return s.immediate(422, []byte("the idempotency key stands for another order\n"), "")
	case reasons.OrderHasRun:
		return s.fail("the order has run, and its receipt is not told again here")
	case reasons.OrderUnknown:
		return s.fail("an earlier attempt may have run: look it up; it is not sent again")
	case reasons.RecordFault, reasons.RecordBehind:
		return s.fail("the order may have run, and could not be recorded in time")
	}
	return s.fail("the request may have run")
}

// sendTo names the member to the caller.
func (s *stream) sendTo(d decided, body bool) error {
	kind := inHeaders
	switch {
	case body:
		kind = inBody
	case s.duplex():
		kind = inDuplex
	}
	if s.cfg.Headers.TryTimeout != "" {
		return s.send(name(s.cfg, d.addr, d.left, kind))
	}
	r, err := s.cfg.names.of(s.cfg, d.addr, kind)
	if err != nil {
		return err
	}
	return s.send(r)
}

// name names the member in the header and the metadata that the Gateway API's endpoint pickers use, and asks for no more
// phases than are needed.
func name(c *config, addr string, left time.Duration, kind int) *extprocv3.ProcessingResponse {
	h := &c.Headers
	set := make([]*corev3.HeaderValueOption, 1, 2)
	set[0] = setHeader(h.Destination, addr)
	if h.TryTimeout != "" {
		set = append(set, setHeader(h.TryTimeout, strconv.FormatInt(max(1, left.Milliseconds()), 10)))
	}
	common := &extprocv3.CommonResponse{HeaderMutation: &extprocv3.HeaderMutation{SetHeaders: set}}
	if c.proven { // the caller sends the request itself, and its token is nothing for a member
		common.HeaderMutation.RemoveHeaders = []string{authorization}
	}
	r := &extprocv3.ProcessingResponse{DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{
		"envoy.lb": structpb.NewStructValue(&structpb.Struct{Fields: map[string]*structpb.Value{
			h.Destination: structpb.NewStringValue(addr),
		}}),
	}}}
	if kind == inBody {
		r.Response = &extprocv3.ProcessingResponse_RequestBody{RequestBody: &extprocv3.BodyResponse{Response: common}}
		return r
	}
	r.Response = &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{Response: common}}
	if kind == inDuplex {
		return r // which takes no override
	}
	// The sooner the caller sends after the pick, the less can have changed: no body, and of the response its head.
	r.ModeOverride = &filterv3.ProcessingMode{
		ResponseHeaderMode: filterv3.ProcessingMode_SEND, RequestTrailerMode: filterv3.ProcessingMode_SKIP,
		ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
	}
	return r
}

// encoded makes a message of another's bytes, which are written as they are. A few messages make up most of what is
// said, and to write the metadata's maps anew for each costs as much as the rest of a call.
func encoded(r *extprocv3.ProcessingResponse) (*extprocv3.ProcessingResponse, error) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(r)
	if err != nil {
		return nil, err
	}
	e := &extprocv3.ProcessingResponse{}
	e.ProtoReflect().SetUnknown(raw)
	return e, nil
}

// mostNames bounds names; members come and go, and the addresses of those gone are forgotten with all others.
const mostNames = 4096

// The kinds of message that names a member: the answer to the request's headers, to its body, and to its headers where
// bodies go through here.
const (
	inHeaders = iota
	inBody
	inDuplex
	kinds
)

// names keeps the messages that name members.
type names struct {
	mu     sync.RWMutex
	byAddr [kinds]map[string]*extprocv3.ProcessingResponse
}

func (n *names) of(c *config, addr string, k int) (*extprocv3.ProcessingResponse, error) {
	n.mu.RLock()
	r := n.byAddr[k][addr]
	n.mu.RUnlock()
	if r != nil {
		return r, nil
	}
	r, err := encoded(name(c, addr, 0, k))
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.byAddr[k] == nil || len(n.byAddr[k]) >= mostNames {
		n.byAddr[k] = map[string]*extprocv3.ProcessingResponse{}
	}
	n.byAddr[k][addr] = r
	return r, nil
}

// responseGoesOn lets a response through, marked for another attempt or with such a mark taken off: a member must not be
// able to have the caller ask again.
func responseGoesOn(c *operator.ExtProc, again bool) *extprocv3.ProcessingResponse {
	mutation := &extprocv3.HeaderMutation{}
	if again {
		mutation.SetHeaders = []*corev3.HeaderValueOption{setHeader(c.Headers.Retry, "1")}
	} else {
		mutation.RemoveHeaders = []string{c.Headers.Retry}
	}
	return &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{HeaderMutation: mutation}}}}
}

// attributes is the name under which callers send attributes.
const attributes = "envoy.filters.http.ext_proc"

// response reads what the response's headers tell of the attempt.
func (s *stream) response(m *extprocv3.ProcessingRequest) (r extproc.Response, note int, err error) {
	r.MissStatus = s.cfg.MissStatus
	for _, v := range m.GetResponseHeaders().GetHeaders().GetHeaders() {
		switch v.GetKey() {
		case ":status":
			if r.Status, err = strconv.Atoi(valueOf(v)); err != nil || r.Status < 100 || r.Status > 599 {
				return r, 0, s.invalid(":status is no status")
			}
		case "x-not-processed":
			r.NotProcessed = valueOf(v) == "1"
		case "x-envoy-overloaded":
			r.Overloaded = true
		case "x-cache":
			note = map[string]int{"hit": logic.NoteHit, "miss": logic.NoteMiss, "pending": logic.NoteFetched}[valueOf(v)]
		}
	}
	if r.Status == 0 {
		return r, 0, s.invalid("response headers without :status")
	}
	r.Details = m.GetAttributes()[attributes].GetFields()["response.code_details"].GetStringValue()
	return r, note, nil
}

// responseHeaders makes an outcome of the response in mode route, and passes it on, marks it for another attempt, or
// puts the final answer in its place.
func (s *stream) responseHeaders(m *extprocv3.ProcessingRequest) error {
	c := s.call
	switch {
	case s.passed || c != nil && c.settled:
		return s.continueResponse()
	case c == nil || !s.route():
		return s.invalid("response headers before the request was answered")
	}
	r, note, err := s.response(m)
	if err != nil {
		return err
	}
	s.went(m)
	v := r.Verdict()
	if v == logic.StatusOK {
		s.delivering, s.note = true, note
		if s.answerMode == filterv3.ProcessingMode_NONE || m.GetResponseHeaders().GetEndOfStream() {
			s.deliver()
		}
		return s.continueResponse()
	}
	var final *proxy.Answer
	var again bool
	s.f.p.Do(func() {
		if a := c.attempt; a != nil && !a.Ended() && a.Announced() {
			r.Origin = a.Origin
			v = r.Verdict()
			a.End(v, note)
			s.f.p.Tell()
		}
		switch {
		case v == logic.StatusRejected:
			c.settle() // the member finds fault with the request itself, and says best with what
		case c.final != nil:
			final = c.final
		case s.head.id == "": // it could not be known when it comes back
			c.abandon()
		default:
			again = true
			c.stream = nil
			s.f.calls.Return(c.entry, s.f.p.Now()+s.cfg.ReturnWithin.D())
		}
	})
	switch {
	case final != nil:
		return s.answer(final)
	case again:
		return s.send(s.cfg.again)
	}
	return s.continueResponse()
}

// continueResponse lets a response go on.
func (s *stream) continueResponse() error {
	if s.passed {
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseHeaders{
			ResponseHeaders: &extprocv3.HeadersResponse{}}})
	}
	return s.send(s.cfg.going)
}

// deliver ends the attempt whose answer the caller has: the request is served.
func (s *stream) deliver() {
	s.delivering = false
	s.f.p.Do(func() {
		c := s.call
		if c.settled {
			return
		}
		if c.attempt != nil && c.attempt.Announced() {
			if s.elsewhere {
				c.attempt.MarkServedElsewhere()
			} else {
				c.attempt.MarkServed(s.note)
			}
		}
		s.f.counts.Served++
		c.settle()
		s.delivered = true
		s.idle = s.out == nil // else the end of the body has yet to go back
		s.due = s.f.p.Now() + firstMessage
	})
}
