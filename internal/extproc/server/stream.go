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
	f     *Front
	rpc   extprocv3.ExternalProcessor_ProcessServer
	cfg   *config
	conn  *counted // it came by; nil, where callers are not proven
	in    chan received
	want  chan struct{} // of one token: the next message is wanted
	over  chan struct{} // closed when Process returns
	order extproc.Order

	bodyMode     filterv3.ProcessingMode_BodySendMode // of the request, where the caller tells
	answerMode   filterv3.ProcessingMode_BodySendMode // of the response
	told         bool                                 // the caller has told its modes
	observed     bool                                 // the caller takes no responses
	passed       bool                                 // the request is none of ours
	head         head
	target       extproc.Target
	deadline     time.Time // the client's, less the margin
	collecting   bool      // a write's body is still to come
	bodyLen      int
	delivering   bool // the response has begun well, and its end is still to come
	note         int  // on its outcome
	proof        *identity.Proof
	elsewhere    bool // who answered is none of those that were named
	seenBody     bool
	overrideSent bool // for the message in hand
	asOf         time.Time
	why          logic.Reason // of the final answer
	out          *outbox      // what is to be said, where bodies go through here
	delivered    bool         // the response has come whole

	// Under the host's lock.
	call   *call
	body   []byte
	place  upstream.Reservation // in the room for long values, of a body over maxBody; nil: it is counted as held
	window int                  // held for what the caller may have sent ahead
	due    time.Duration        // when it has stood for too long
	idle   bool                 // all has been said; more may come, and needs nothing
	kicks  bool
	kicked chan struct{}
}

type received struct {
	m   *extprocv3.ProcessingRequest
	err error
}

// kick ends the stream; under the host's lock.
func (s *stream) kick() {
	if !s.kicks {
		s.kicks = true
		close(s.kicked)
	}
}

// read hands messages over one at a time, each when it is wanted; what comes ahead waits in the connection's window. To wait
// for one that nobody wants, on a call that is over with its first, would cost a wake-up for each.
func (s *stream) read() {
	for {
		m, err := s.rpc.Recv()
		select {
		case s.in <- received{m, err}:
		case <-s.over:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-s.want:
		case <-s.over:
			return
		}
	}
}

// errOver ends a stream on which everything has been said.
var errOver = errors.New("over")

func (s *stream) run(ctx context.Context) error {
	for first := true; ; first = false {
		if !first {
			s.want <- struct{}{}
		}
		var r received
		select {
		case r = <-s.in: // the call's end comes this way too
		case <-s.kicked:
			return s.kickedOff()
		}
		if errors.Is(r.err, io.EOF) {
			s.ended()
			return nil
		}
		if r.err != nil {
			return r.err
		}
		if err := s.handle(ctx, r.m); err != nil {
			if errors.Is(err, errOver) {
				return nil
			}
			return err
		}
		if s.out != nil && s.allSaid() {
			s.f.p.Do(func() { s.idle = true })
		}
	}
}

// allSaid tells whether a stream that bodies go through has passed on the last of them, so that a drain need not wait for
// it; more may come, and needs nothing.
func (s *stream) allSaid() bool {
	if s.passed {
		return s.order.RequestOver() && (s.answerMode != fullDuplex || s.order.ResponseOver())
	}
	return s.delivered
}

// kickedOff is the status of a stream that the front ends.
func (s *stream) kickedOff() error {
	idle := false
	s.f.p.Do(func() { idle = s.idle })
	switch {
	case idle:
		return nil // all has been said
	case !s.order.Begun():
		return status.Error(codes.Unavailable, "no message came; nothing ran")
	}
	return status.Error(codes.DeadlineExceeded, "the stream has stood for too long")
}

// ended takes a clean end by the caller. Where the rest of a good response was to come but none of it did, the caller
// has gone by mode_override and sends no more.
func (s *stream) ended() {
	if s.delivering && !s.seenBody {
		s.deliver()
	}
}

func (s *stream) invalid(format string, args ...any) error {
	return status.Errorf(codes.InvalidArgument, format, args...)
}

// handle answers one message.
func (s *stream) handle(ctx context.Context, m *extprocv3.ProcessingRequest) error {
	s.asOf, s.overrideSent = time.Now(), false
	if c := m.GetProtocolConfig(); c != nil && !s.told {
		s.told, s.bodyMode, s.answerMode = true, c.GetRequestBodyMode(), c.GetResponseBodyMode()
		if !spoken(s.bodyMode) || !spoken(s.answerMode) {
			return status.Errorf(codes.Unimplemented, "body modes %v and %v: GRPC is not spoken; all others are", s.bodyMode, s.answerMode)
		}
	}
	kind, end := kindOf(m)
	if kind == 0 {
		return s.invalid("a message without a request or response")
	}
	if err := s.order.Next(kind, end); err != nil {
		return s.invalid("%v", err)
	}
	if s.observed = s.observed || m.GetObservabilityMode(); s.observed {
		s.f.p.Do(func() { s.idle, s.due = true, s.f.p.Now()+passedFor })
		return nil // the caller goes on by itself; a choice made here would book load that nobody sends
	}
	switch kind {
	case extproc.RequestHeaders:
		s.head.only = subset(m)
		return s.requestHeaders(ctx, m.GetRequestHeaders())
	case extproc.RequestBody:
		return s.requestBody(ctx, m.GetRequestBody())
	case extproc.RequestTrailers:
		if s.collecting {
			return s.collected(ctx)
		}
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestTrailers{
			RequestTrailers: &extprocv3.TrailersResponse{}}})
	case extproc.ResponseHeaders:
		return s.responseHeaders(m)
	case extproc.ResponseBody:
		if s.seenBody = true; end && s.delivering {
			s.deliver()
		}
		if s.answerMode == fullDuplex {
			return s.echo(m.GetResponseBody(), true)
		}
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseBody{
			ResponseBody: &extprocv3.BodyResponse{}}})
	}
	if s.delivering {
		s.deliver()
	}
	return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_ResponseTrailers{
		ResponseTrailers: &extprocv3.TrailersResponse{}}})
}

const fullDuplex = filterv3.ProcessingMode_FULL_DUPLEX_STREAMED

// spoken tells whether a body mode is spoken here. GRPC would have us count a caller's messages, not bytes.
func spoken(m filterv3.ProcessingMode_BodySendMode) bool {
	return m >= filterv3.ProcessingMode_NONE && m <= fullDuplex
}

func kindOf(m *extprocv3.ProcessingRequest) (kind extproc.Message, end bool) {
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
	if s.out != nil {
		return s.out.put(s, r, 0)
	}
	return s.rpc.Send(r)
}

func (s *stream) route() bool { return s.cfg.Mode == "route" }

// head is what the request's headers tell.
type head struct {
	method, path, id, tenant, key string
	attempt                       int
	left                          time.Duration
	hasLeft                       bool
	length                        int
	destination                   bool
	only                          []string // the members that the caller allows; nil: all
	authorization                 string   // until it has been looked at
}

func valueOf(h *corev3.HeaderValue) string {
	if raw := h.GetRawValue(); len(raw) > 0 {
		return string(raw)
	}
	return h.GetValue()
}

// readHead reads the headers. An error that is no status is the client's, and gets an answer of its own.
func (s *stream) readHead(headers []*corev3.HeaderValue) error {
	h, c := &s.head, &s.cfg.Headers
	for i, v := range headers {
		name := v.GetKey()
		switch name {
		case c.RequestID, c.Tenant, c.Key, c.Attempt, authorization:
			// Which of two would count could be chosen by whoever adds one (RFC 9110 section 5.3: not a list, so only one).
			for _, w := range headers[:i] {
				if w.GetKey() == name && valueOf(w) != valueOf(v) {
					return fmt.Errorf("%s is there more than once", name)
				}
			}
		}
		switch name {
		case ":method":
			h.method = valueOf(v)
		case ":path":
			h.path = valueOf(v)
		case "content-length":
			n, err := strconv.Atoi(valueOf(v))
			if err != nil || n < 0 {
				return errors.New("content-length is no number")
			}
			h.length = n
		case c.RequestID:
			h.id = valueOf(v)
		case c.Tenant:
			h.tenant = valueOf(v)
		case c.Key:
			h.key = valueOf(v)
		case c.Attempt:
			n, err := strconv.Atoi(valueOf(v))
			if err != nil || n < 0 {
				return fmt.Errorf("%s is no number", name)
			}
			h.attempt = n
		case authorization:
			h.authorization = valueOf(v)
		case c.Destination:
			h.destination = true
		default:
			if !slices.Contains(c.TimeLeft, name) {
				continue
			}
			left, err := extproc.TimeLeft(name, valueOf(v))
			if err != nil && !errors.Is(err, extproc.ErrSpent) {
				return err
			}
			if !h.hasLeft || left < h.left {
				h.left, h.hasLeft = left, true
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
		return s.immediate(400, []byte(err.Error()), "")
	}
	h := &s.head
	target, ok := s.cfg.mapping.Match(h.method, h.path)
	if !ok {
		if s.cfg.Unmapped != "pass" {
			return s.immediate(404, []byte("nothing is served under this method and path"), "")
		}
		s.passed = true
		if err := s.stretch(m.GetEndOfStream()); err != nil {
			return err
		}
		// Bodies that go through here are waited for at a drain.
		s.f.p.Do(func() { s.idle, s.due = s.out == nil, s.f.p.Now()+passedFor })
		return s.pass()
	}
	s.target = target
	if err := s.identify(); err != nil {
		return s.denied(err)
	}
	class := s.cfg.classes[target.Class]
	left := class.Deadline
	if h.hasLeft {
		left = min(left, h.left)
	}
	left -= s.cfg.Margin.D()
	if left <= 0 {
		return s.spent(class)
	}
	s.deadline = s.asOf.Add(left)
	if most := s.mostBody(); h.length > most {
		return s.tooLong(most)
	}
	if err := s.stretch(m.GetEndOfStream()); err != nil {
		return err
	}
	if target.Write && !s.route() && !m.GetEndOfStream() {
		return s.collect()
	}
	return s.begin(ctx, false)
}

// spent answers a request whose time is over. It has never run, unless an attempt that came before has.
func (s *stream) spent(class *logic.Class) error {
	ran := false
	if s.unsafe(class) {
		s.f.p.Do(func() { ran = s.f.calls.MayHaveRun(s.head.id, s.head.attempt, s.f.p.Now()) })
	}
	if ran {
		return s.fail("an earlier attempt may have run, and the time for the request is over")
	}
	return s.immediate(503, []byte(extproc.ErrSpent.Error()+"; it never ran"), "")
}

// unsafe tells whether the request must not run twice.
func (s *stream) unsafe(class *logic.Class) bool {
	return class.Effect == logic.AtMostOnce || class.Effect == logic.DeduplicatedByKey && s.head.key == ""
}

// pass lets a request go on that is none of ours, and spares its further phases. In mode route the header that names
// a member is not the client's to set.
func (s *stream) pass() error {
	common := &extprocv3.CommonResponse{}
	if s.route() && s.head.destination {
		common.HeaderMutation = &extprocv3.HeaderMutation{RemoveHeaders: []string{s.cfg.Headers.Destination}}
	}
	r := &extprocv3.ProcessingResponse{
		Response: &extprocv3.ProcessingResponse_RequestHeaders{RequestHeaders: &extprocv3.HeadersResponse{Response: common}}}
	if !s.duplex() {
		r.ModeOverride = &filterv3.ProcessingMode{
			ResponseHeaderMode: filterv3.ProcessingMode_SKIP, RequestTrailerMode: filterv3.ProcessingMode_SKIP,
			ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
		}
	}
	return s.send(r)
}

// duplex tells whether a body goes through here in full duplex; no mode can be overridden then.
func (s *stream) duplex() bool { return s.bodyMode == fullDuplex || s.answerMode == fullDuplex }

// collect asks for a write's body, in one piece where the caller can.
func (s *stream) collect() error {
	s.collecting = true
	s.f.p.Do(func() { s.due = s.f.p.Now() + time.Until(s.deadline) + overdue })
	if s.bodyMode == fullDuplex {
		// It sends the body anyway, and nothing goes on before the headers are answered: which never happens, as the
		// exchange is made here.
		return s.taken()
	}
	r := &extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestHeaders{
		RequestHeaders: &extprocv3.HeadersResponse{Response: &extprocv3.CommonResponse{}}}}
	if !s.told || s.bodyMode != filterv3.ProcessingMode_BUFFERED && s.head.length <= maxBody {
		r.ModeOverride = &filterv3.ProcessingMode{
			RequestBodyMode: filterv3.ProcessingMode_BUFFERED, ResponseHeaderMode: filterv3.ProcessingMode_SKIP,
			RequestTrailerMode: filterv3.ProcessingMode_SKIP, ResponseTrailerMode: filterv3.ProcessingMode_SKIP,
		}
	}
	return s.send(r)
}

// mostBody is how long the request's body may be. What comes in one message is in memory before anybody can say that there is no room.
func (s *stream) mostBody() int {
	if s.route() || !s.target.Write || !s.told || s.bodyMode != fullDuplex && s.bodyMode != filterv3.ProcessingMode_STREAMED {
		return maxBody
	}
	return maxLong
}

// taken tells the caller, by the call's response headers, that its call is taken: a caller that offers a call to another
// processor where one is UNAVAILABLE does so only until then (Envoy, grpc_service.retry_policy), and an order that was in
// the hands of one that is killed must not be. A caller that has sent a body after our answer knows already.
func (s *stream) taken() error { return s.rpc.SendHeader(nil) }

func (s *stream) requestBody(ctx context.Context, m *extprocv3.HttpBody) error {
	s.bodyLen += len(m.GetBody())
	if s.passed {
		return s.continueBody(m)
	}
	if most := s.mostBody(); s.bodyLen > most {
		return s.tooLong(most)
	}
	if s.collecting {
		over := false
		if s.bodyLen > maxBody {
			over = !s.longBody(m.GetBody())
		} else {
			s.f.p.Do(func() {
				was := cap(s.body)
				s.body = append(s.body, m.GetBody()...)
				over = s.f.p.Hold(cap(s.body) - was)
			})
		}
		switch {
		case over:
			s.why = reasons.HostFull
			return s.refuse(0)
		case m.GetEndOfStream():
			return s.collected(ctx)
		case s.bodyMode == fullDuplex:
			return nil
		}
		// Streamed: the caller has sent the headers on already. What the order says must not follow them, as the
		// exchange is made here.
		return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
			RequestBody: &extprocv3.BodyResponse{Response: &extprocv3.CommonResponse{
				BodyMutation: &extprocv3.BodyMutation{Mutation: &extprocv3.BodyMutation_ClearBody{ClearBody: true}}}}}})
	}
	if s.call != nil && s.told && s.bodyMode == filterv3.ProcessingMode_BUFFERED && !s.order.Answered() {
		// Only now does the caller send. The member may have begun to drain while the body came.
		return s.again(ctx, m)
	}
	return s.continueBody(m)
}

// continueBody lets a part of the request's body go on as it came.
func (s *stream) continueBody(m *extprocv3.HttpBody) error {
	if s.bodyMode == fullDuplex {
		return s.echo(m, false)
	}
	return s.send(&extprocv3.ProcessingResponse{Response: &extprocv3.ProcessingResponse_RequestBody{
		RequestBody: &extprocv3.BodyResponse{}}})
}

// again makes sure of the member that the request's headers were answered with, and names another if it has gone.
func (s *stream) again(ctx context.Context, m *extprocv3.HttpBody) error {
	stands := true
	s.f.p.Do(func() {
		if c := s.call; c.attempt != nil && !c.settled {
			stands = c.attempt.Announce()
		}
	})
	if stands {
		return s.continueBody(m)
	}
	return s.await(ctx, decided{}, true)
}

// collected hands over a write whose body has come whole.
func (s *stream) collected(ctx context.Context) error {
	s.collecting = false
	if s.place != nil {
		s.place.Shrink(len(s.body))
	}
	return s.begin(ctx, true)
}

// begin finds out what the call is to those before it, hands over a new request or takes up one in hand, and answers
// with what is decided.
func (s *stream) begin(ctx context.Context, body bool) error {
	f, h := s.f, &s.head
	class := s.cfg.classes[s.target.Class]
	if s.unsafe(class) && !s.route() && !body {
		if err := s.taken(); err != nil {
			return err
		}
	}
	var d extproc.Decision
	var fault error
	var first decided
	f.p.Do(func() {
		id := h.id
		if id == "" {
			id = f.newID()
		}
		now := f.p.Now()
		entry, replaced, decision := f.calls.Begin(id, h.attempt, s.unsafe(class), class.Effect == logic.AtMostOnce && f.p.Records(), now)
		if d = decision; replaced != nil {
			replaced.Owner.(*call).abandon()
		}
		s.due = now + max(0, time.Until(s.deadline)) + overdue
		switch d {
		case extproc.Fresh, extproc.Replace:
			c := &call{f: f, entry: entry, stream: s, ended: make(chan struct{}, 1)}
			entry.Owner, s.call = c, c
			fault = s.submit(c, id)
		case extproc.Continue:
			f.counts.Returned++
			s.call = entry.Owner.(*call)
			s.call.stream = s
			s.call.narrow(h.only)
		}
		if s.call != nil && fault == nil {
			first = s.look()
		}
	})
	switch {
	case errors.Is(fault, extproc.ErrSpent):
		s.why = logic.OutOfTime
		return s.refuse(0)
	case errors.Is(fault, proxy.ErrStopping):
		s.why = reasons.Stopping
		return s.refuse(0)
	case errors.Is(fault, proxy.ErrBusy):
		s.why = reasons.HostFull
		return s.refuse(0)
	case errors.Is(fault, proxy.ErrIDInUse):
		return s.immediate(409, []byte("the request id is in use"), "")
	case identity.WhyOf(fault) != 0:
		return s.denied(fault)
	case fault != nil:
		return s.immediate(400, []byte(fault.Error()), "")
	case d == extproc.InUse:
		return s.immediate(409, []byte("the request id belongs to another request in hand"), "")
	case d == extproc.MayRun:
		return s.fail("an earlier attempt may have run, and the request must not run twice")
	case d == extproc.Crowded:
		s.why = reasons.HostFull
		return s.refuse(0)
	}
	return s.await(ctx, first, body)
}

// newID makes an id that no other process makes, for a request whose caller has none.
func (f *Front) newID() string {
	f.made++
	return fmt.Sprintf("x%x-%x", f.p.Now(), f.made)
}

// submit hands a new request to the host, under its lock.
func (s *stream) submit(c *call, id string) error {
	h := &s.head
	c.req.ArrivedAt = s.f.p.Clock()
	left := time.Until(s.deadline)
	if !s.route() {
		left = min(left, s.mostWait())
	}
	for _, v := range [...]struct{ name, text string }{
		{s.cfg.Headers.Tenant, h.tenant}, {s.cfg.Headers.Key, h.key},
	} {
		if slices.ContainsFunc([]byte(v.text), func(b byte) bool { return b <= ' ' || b == ',' || b == '=' || b == 0x7f }) {
			s.drop(c)
			return fmt.Errorf("%s must be plain text without commas", v.name)
		}
	}
	most, key := maxText, len(s.target.Key)
	if s.target.Many {
		most = maxText + mostKeyText
	}
	if key+len(id)+len(h.tenant)+len(h.key) > most {
		s.drop(c)
		return fmt.Errorf("key, id, tenant and idempotency key together are over %d bytes", most)
	}
	if left <= 0 {
		s.drop(c)
		return extproc.ErrSpent
	}
	attrs := make([]byte, 0, 64)
	attrs = append(append(attrs, "c="...), s.target.Class...)
	if h.tenant != "" {
		attrs = append(append(attrs, ",t="...), h.tenant...)
	}
	attrs = strconv.AppendFloat(append(attrs, ",d="...), float64(left)/float64(time.Millisecond), 'f', 3, 64)
	if h.key != "" {
		attrs = append(append(attrs, ",k="...), h.key...)
	}
	if h.attempt > 1 {
		attrs = append(attrs, ",r=1"...)
	}
	c.req.Command = proxy.Command{AllowedAddrs: h.only, Retry: h.attempt > 1, ArrivedAt: c.req.ArrivedAt, Message: upstream.Message{
		Write: s.target.Write, Key: []byte(s.target.Key), ReqID: []byte(id), Attrs: attrs, Value: s.body}}
	c.req.Responder = whole{c}
	if s.route() {
		c.req.Responder = routed{c}
	}
	if s.place != nil {
		c.req.InRoom(len(s.body))
	}
	c.req.Proof, c.req.Front = s.proof, "extproc"
	if s.target.Many {
		return s.submitMany(c)
	}
	err := s.f.p.Submit(&c.req)
	if errors.Is(err, proxy.ErrIDInUse) && (!c.entry.Unsafe || c.entry.Again) {
		// A caller may ask again under the same id where that is harmless; members want one of its own for each.
		s.f.made++
		c.req.ReqID = fmt.Appendf(nil, "%s.%x", id, s.f.made)
		err = s.f.p.Submit(&c.req)
	}
	if err != nil {
		s.drop(c)
		return err
	}
	s.body, s.place = nil, nil // the host counts it now
	return nil
}

// drop forgets a call that was never taken.
func (s *stream) drop(c *call) {
	c.settled = true
	s.f.calls.End(c.entry, false, s.f.p.Now())
	s.call = nil
}

// mostWait is how long the caller waits for the answer to the message in hand, with what it lets us ask for.
func (s *stream) mostWait() time.Duration {
	if s.bodyMode == fullDuplex {
		return time.Until(s.deadline) // the caller sets no time for a message then (ext_proc.proto, message_timeout)
	}
	most := s.cfg.MessageTimeout.D()
	if ask := s.cfg.MaxMessageTimeout.D(); ask > 0 {
		most = most/2 + ask
	}
	return most - s.cfg.Margin.D() - time.Since(s.asOf)
}

// decided is what has come of a wait.
type decided struct {
	addr  string // of the member, and those of spares behind commas
	left  time.Duration
	final *proxy.Answer
}

// await waits until the host has named a member or given the final answer, and passes that on. It asks the caller for
// more time before its patience ends, and gives the request up in time where the caller has none to give.
// d is what is decided already.
func (s *stream) await(ctx context.Context, d decided, body bool) error {
	var timer *time.Timer
	for {
		if d == (decided{}) {
			s.f.p.Do(func() { d = s.look() })
		}
		switch {
		case d.final != nil:
			return s.answer(d.final)
		case d.addr != "":
			return s.sendTo(d, body)
		}
		if timer == nil {
			timer = time.NewTimer(s.nextWait())
			defer timer.Stop()
		}
		select {
		case <-s.call.ended:
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-s.kicked:
			return status.Error(codes.DeadlineExceeded, "the stream has stood for too long")
		case <-timer.C:
			if s.canAsk() {
				if err := s.askForMore(); err != nil {
					return err
				}
				timer.Reset(s.nextWait())
				continue
			}
			return s.giveUp()
		}
	}
}

// look tells what is decided, under the host's lock.
func (s *stream) look() (d decided) {
	c := s.call
	if c.final != nil {
		return decided{final: c.final}
	}
	if a := c.attempt; a != nil && !a.Ended() && a.Announce() {
		s.f.counts.Routed++
		addr := a.Addr
		if n := s.cfg.Fallbacks; n > 0 && !c.req.Write {
			for _, spare := range a.Fallbacks(n) {
				addr += "," + spare
			}
		}
		c.named = addr
		return decided{addr: addr, left: a.TimeLeft()}
	}
	return d
}

// canAsk tells whether more time can be asked for; a caller takes that once for a message.
func (s *stream) canAsk() bool {
	return !s.overrideSent && s.cfg.MaxMessageTimeout > 0 && s.bodyMode != fullDuplex
}

// nextWait is how long until the caller's patience has to be seen to.
func (s *stream) nextWait() time.Duration {
	if s.canAsk() {
		return s.cfg.MessageTimeout.D()/2 - time.Since(s.asOf)
	}
	wait := s.mostWait()
	if !s.overrideSent && s.bodyMode != fullDuplex {
		wait = s.cfg.MessageTimeout.D() - s.cfg.Margin.D() - time.Since(s.asOf)
	}
	// The host ends a request at its deadline by itself, a tick later at most; this is for one that it can't.
	return min(wait, time.Until(s.deadline)+s.cfg.Margin.D()/2)
}

// askForMore sends override_message_timeout. The caller ignores what is over its bound, so never more is asked for.
func (s *stream) askForMore() error {
	s.overrideSent = true
	ask := min(s.cfg.MaxMessageTimeout.D(), time.Until(s.deadline)+s.cfg.Margin.D())
	return s.send(&extprocv3.ProcessingResponse{OverrideMessageTimeout: durationpb.New(max(ask, time.Millisecond))})
}

// giveUp ends a request because the caller waits no longer.
func (s *stream) giveUp() error {
	ran := false
	s.f.p.Do(func() {
		ran = s.call.req.MayHaveRun()
		s.call.abandon()
	})
	s.why = logic.OutOfTime
	if ran && s.call.entry.Unsafe {
		return s.fail("the time for the request is over")
	}
	return s.refuse(0)
}
