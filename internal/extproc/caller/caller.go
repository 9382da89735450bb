// Package caller simulates a proxy that calls an external processor for every request. It follows the
// published protocol of Envoy's ext_proc filter from the caller's side: a stream for each exchange, a
// timeout for each message with one extension, failure_mode_allow, body modes and mode_override. It serves
// plain HTTP to clients, and in route mode sends requests to the member that the processor names. For tests
// and the test harness only.
package caller

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/structpb"
)

const (
	maxResponseBytes = 8 << 20  // limit of a received message
	maxChunkBytes    = 60 << 10 // limit of a body part in streamed mode
)

// Caller is the simulated proxy.
type Caller struct {
	MessageTimeout    time.Duration
	MaxMessageTimeout time.Duration // limit of an extension by the processor; 0: none
	FailureModeAllow  bool
	BodyMode          filterv3.ProcessingMode_BodySendMode
	// ResponseMode is NONE or FULL_DUPLEX_STREAMED.
	ResponseMode filterv3.ProcessingMode_BodySendMode
	Trailers     bool // full duplex: bodies end with trailers
	ChunkBytes   int  // full duplex: length of a body part; 0: defaultChunkBytes
	// Subset, if not nil, is the hint of the members that the processor may name.
	Subset []string
	// UseFallbacks makes the caller try the next member named if one is unreachable.
	UseFallbacks      bool
	AllowModeOverride bool
	Retries           int // maximum number of further attempts for responses that the processor marks
	// RetryFailedFor is how long the caller's own retry policy repeats requests that ended because the
	// processor failed, at intervals of 5 ms. It repeats orders too, as it cannot distinguish them.
	RetryFailedFor time.Duration
	// AttemptTimeout is how long the caller waits for a member in route mode before it abandons the
	// attempt; 0: as long as its client waits.
	AttemptTimeout time.Duration
	// BeforeSend is called in route mode after the pick, before the request is sent.
	BeforeSend func(addr string)

	conns  []*grpc.ClientConn
	client *http.Client
	// Overrides counts the extensions granted.
	Overrides atomic.Int64
}

// Dial creates a caller that prefers the first target and tries the next one if a target reports that a
// call never ran.
func Dial(targets ...string) (*Caller, error) { return dial(insecure.NewCredentials(), targets) }

// DialTLS is Dial over TLS.
func DialTLS(cfg *tls.Config, targets ...string) (*Caller, error) {
	return dial(credentials.NewTLS(cfg), targets)
}

func dial(creds credentials.TransportCredentials, targets []string) (*Caller, error) {
	c := &Caller{MessageTimeout: 200 * time.Millisecond, AllowModeOverride: true, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
	for _, t := range targets {
		conn, err := grpc.NewClient(t, grpc.WithTransportCredentials(creds),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)),
			grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: time.Second,
				Backoff: backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.5, MaxDelay: 100 * time.Millisecond}}))
		if err != nil {
			return nil, err
		}
		c.conns = append(c.conns, conn)
	}
	return c, nil
}

// Conn returns the connection to a target.
func (c *Caller) Conn(i int) *grpc.ClientConn { return c.conns[i] }

// Close closes the connections.
func (c *Caller) Close() {
	for _, conn := range c.conns {
		conn.Close()
	}
	c.client.CloseIdleConnections()
}

// Request is a client's request.
type Request struct {
	Method, Path string
	Headers      map[string]string
	Body         []byte
}

// Result is the client's response, with details for tests.
type Result struct {
	Status        int
	Headers       map[string]string
	Body          []byte
	Attempts      int      // calls of the processor
	Members       []string // route mode: where the request was sent
	PassedThrough bool     // the request was passed on without an answer of the processor
	Err           error    // why the processor did not take part, if so
}

// ServeHTTP serves a client's request.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	headers := map[string]string{}
	for name := range r.Header {
		headers[strings.ToLower(name)] = r.Header.Get(name)
	}
	res := c.Do(r.Context(), Request{Method: r.Method, Path: r.URL.RequestURI(), Headers: headers, Body: body})
	for name, value := range res.Headers {
		w.Header().Set(name, value)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	w.WriteHeader(res.Status)
	w.Write(res.Body)
}

// Do makes a client's request: an exchange, and further ones for responses that the processor marks.
func (c *Caller) Do(ctx context.Context, request Request) Result {
	var members []string
	start := time.Now()
	for attempt, marks := 1, 0; ; attempt++ {
		res := c.exchange(ctx, request, attempt)
		members = append(members, res.Members...)
		res.Attempts, res.Members = attempt, members
		_, marked := res.Headers[retryHeader]
		switch {
		case marked && marks < c.Retries:
			marks++
		case res.Err != nil && !res.PassedThrough && time.Since(start) < c.RetryFailedFor && ctx.Err() == nil:
			time.Sleep(5 * time.Millisecond)
		default:
			delete(res.Headers, retryHeader)
			return res
		}
	}
}

const (
	retryHeader       = "x-linenloom-retry"
	destinationHeader = "x-gateway-destination-endpoint"
)

// ErrTimeout means that the processor did not answer a message in time.
var ErrTimeout = errors.New("caller: the processor did not answer a message in time")

// failureResult is the client's result if the processor fails: the request is passed on, or answered with
// 500.
func (c *Caller) failureResult(err error) Result {
	if c.FailureModeAllow {
		return Result{Status: 204, PassedThrough: true, Err: err}
	}
	return Result{Status: 500, Err: err}
}

// exchange makes one call. It tries the next target only if the previous one reports that the call never
// ran.
func (c *Caller) exchange(ctx context.Context, request Request, attempt int) Result {
	var res Result
	for _, conn := range c.conns {
		x := &exchange{caller: c, request: request, attempt: attempt}
		res = x.run(ctx, conn)
		if status.Code(res.Err) != codes.Unavailable || x.accepted {
			break
		}
	}
	return res
}

type exchange struct {
	caller              *Caller
	request             Request
	attempt             int
	stream              extprocv3.ExternalProcessor_ProcessClient
	responses           chan received
	sending             sync.WaitGroup // tracks sending of bodies in full duplex
	bodyMode            filterv3.ProcessingMode_BodySendMode
	skipResponseHeaders bool   // mode_override skips the response headers
	accepted            bool   // the processor has accepted the call: its response headers have arrived
	servedAddr          string // the member that answered
	headers             map[string]string
	removed             map[string]bool
}

type received struct {
	response *extprocv3.ProcessingResponse
	err      error
}

// immediateResponse is an immediate response of the processor, which ends the exchange.
type immediateResponse struct{ response *extprocv3.ImmediateResponse }

func (immediateResponse) Error() string { return "immediate response" }

func (x *exchange) run(ctx context.Context, conn *grpc.ClientConn) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var err error
	if x.stream, err = extprocv3.NewExternalProcessorClient(conn).Process(ctx); err != nil {
		return x.caller.failureResult(err)
	}
	x.responses, x.bodyMode = make(chan received), x.caller.BodyMode
	x.headers, x.removed = map[string]string{}, map[string]bool{}
	go func() {
		for {
			m, err := x.stream.Recv()
			select {
			case x.responses <- received{m, err}:
			case <-ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	result, err := x.process(ctx)
	var now immediateResponse
	switch {
	case errors.As(err, &now):
		result = Result{Status: int(now.response.GetStatus().GetCode()), Body: now.response.GetBody(), Headers: map[string]string{}, Members: result.Members}
		for _, h := range now.response.GetHeaders().GetSetHeaders() {
			result.Headers[h.GetHeader().GetKey()] = string(h.GetHeader().GetRawValue())
		}
	case err != nil:
		members := result.Members
		result = x.caller.failureResult(err)
		result.Members = members
	}
	if err != nil && (x.bodyMode == fullDuplex || x.caller.ResponseMode == fullDuplex) {
		cancel() // sending the body may be blocked
	}
	x.sending.Wait()
	x.stream.CloseSend()
	if status.Code(err) == codes.Unavailable && !x.accepted {
		md, _ := x.stream.Header() // does not block, as the stream has ended
		x.accepted = md != nil
	}
	return result
}

func headerMap(pairs map[string]string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for name, value := range pairs {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: name, RawValue: []byte(value)})
	}
	return m
}

func (x *exchange) process(ctx context.Context) (result Result, err error) {
	pairs := map[string]string{":method": x.request.Method, ":path": x.request.Path, ":scheme": "http", ":authority": "tiles",
		"x-envoy-attempt-count": strconv.Itoa(x.attempt)}
	for name, value := range x.request.Headers {
		pairs[name] = value
	}
	noBody := len(x.request.Body) == 0
	config := &extprocv3.ProtocolConfiguration{RequestBodyMode: x.bodyMode, ResponseBodyMode: x.caller.ResponseMode}
	first := &extprocv3.ProcessingRequest{ProtocolConfig: config, Request: &extprocv3.ProcessingRequest_RequestHeaders{
		RequestHeaders: &extprocv3.HttpHeaders{Headers: headerMap(pairs), EndOfStream: noBody}}}
	if x.caller.Subset != nil {
		first.MetadataContext = metadata("envoy.lb.subset_hint", destinationHeader+"-subset", x.caller.Subset)
	}
	if x.bodyMode == fullDuplex || x.caller.ResponseMode == fullDuplex {
		return x.processDuplex(ctx, first)
	}
	response, err := x.roundTrip(ctx, first)
	if err != nil {
		return result, err
	}
	x.applyHeaders(response.GetRequestHeaders().GetResponse())
	if o := response.GetModeOverride(); o != nil && x.caller.AllowModeOverride {
		x.bodyMode, x.skipResponseHeaders = o.GetRequestBodyMode(), o.GetResponseHeaderMode() == filterv3.ProcessingMode_SKIP
	}
	if !noBody && x.bodyMode != filterv3.ProcessingMode_NONE {
		if err := x.sendBuffered(ctx); err != nil {
			return result, err
		}
	}
	addr := x.headers[destinationHeader]
	if addr == "" {
		return Result{Status: 204, PassedThrough: true}, nil // to the caller's own upstream, not simulated
	}
	if x.caller.BeforeSend != nil {
		x.caller.BeforeSend(addr)
	}
	result, attributes := x.sendToMembers(ctx, addr)
	result.Members = []string{addr}
	if x.skipResponseHeaders {
		return result, nil
	}
	pairs = map[string]string{":status": strconv.Itoa(result.Status)}
	for name, value := range result.Headers {
		pairs[name] = value
	}
	response, err = x.roundTrip(ctx, &extprocv3.ProcessingRequest{Attributes: attributes, MetadataContext: x.servedBy(), Request: &extprocv3.ProcessingRequest_ResponseHeaders{
		ResponseHeaders: &extprocv3.HttpHeaders{Headers: headerMap(pairs), EndOfStream: len(result.Body) == 0}}})
	if err != nil {
		return result, err
	}
	x.headers = result.Headers
	x.applyHeaders(response.GetResponseHeaders().GetResponse())
	return result, nil
}

// sendBuffered sends the body in one piece, or in parts in streamed mode.
func (x *exchange) sendBuffered(ctx context.Context) error {
	chunk := len(x.request.Body)
	if x.bodyMode == filterv3.ProcessingMode_STREAMED {
		chunk = min(max(1, (chunk+2)/3), maxChunkBytes)
	}
	for rest := x.request.Body; len(rest) > 0; {
		part := rest[:min(chunk, len(rest))]
		rest = rest[len(part):]
		m, err := x.roundTrip(ctx, &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{
			RequestBody: &extprocv3.HttpBody{Body: part, EndOfStream: len(rest) == 0}}})
		if err != nil {
			return err
		}
		x.applyHeaders(m.GetRequestBody().GetResponse())
	}
	return nil
}

func (x *exchange) applyHeaders(r *extprocv3.CommonResponse) {
	for _, name := range r.GetHeaderMutation().GetRemoveHeaders() {
		delete(x.headers, name)
		x.removed[name] = true
	}
	for _, h := range r.GetHeaderMutation().GetSetHeaders() {
		x.headers[h.GetHeader().GetKey()] = string(h.GetHeader().GetRawValue())
	}
}

// roundTrip sends a message and waits for its answer up to the message timeout.
func (x *exchange) roundTrip(ctx context.Context, message *extprocv3.ProcessingRequest) (*extprocv3.ProcessingResponse, error) {
	timer := time.NewTimer(x.caller.MessageTimeout)
	defer timer.Stop()
	extended := false
	if err := x.stream.Send(message); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	for {
		select {
		case r := <-x.responses:
			if r.err != nil {
				return nil, r.err
			}
			x.accepted = true
			if o := r.response.GetOverrideMessageTimeout(); o != nil {
				if d := o.AsDuration(); !extended && d >= time.Millisecond && d <= x.caller.MaxMessageTimeout {
					extended = true
					x.caller.Overrides.Add(1)
					timer.Reset(d)
				}
				continue
			}
			if now := r.response.GetImmediateResponse(); now != nil {
				return nil, immediateResponse{now}
			}
			if err := x.checkResponseType(message, r.response); err != nil {
				return nil, err
			}
			return r.response, nil
		case <-timer.C:
			return nil, ErrTimeout
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// checkResponseType returns an error if the response belongs to another kind of message, which ends the
// stream.
func (x *exchange) checkResponseType(message *extprocv3.ProcessingRequest, response *extprocv3.ProcessingResponse) error {
	ok := false
	switch message.GetRequest().(type) {
	case *extprocv3.ProcessingRequest_RequestHeaders:
		ok = response.GetRequestHeaders() != nil
	case *extprocv3.ProcessingRequest_RequestBody:
		ok = response.GetRequestBody() != nil
	case *extprocv3.ProcessingRequest_ResponseHeaders:
		ok = response.GetResponseHeaders() != nil
	}
	if !ok {
		return fmt.Errorf("caller: %T in response to %T", response.GetResponse(), message.GetRequest())
	}
	return nil
}

// sendToMembers makes the attempt at the first member named. With UseFallbacks it tries the next one if a
// member is unreachable.
func (x *exchange) sendToMembers(ctx context.Context, named string) (res Result, attributes map[string]*structpb.Struct) {
	for addr := range strings.SplitSeq(named, ",") {
		x.servedAddr = addr
		res, attributes = x.sendToMember(ctx, addr)
		if !x.caller.UseFallbacks || res.Status != 503 || len(res.Headers) > 0 {
			break
		}
	}
	return res, attributes
}

// servedBy returns the metadata by which a gateway reports the member that served.
func (x *exchange) servedBy() *corev3.Metadata {
	if !x.caller.UseFallbacks {
		return nil
	}
	return metadata("envoy.lb", destinationHeader+"-served", []string{x.servedAddr})
}

func metadata(namespace, key string, values []string) *corev3.Metadata {
	v := structpb.NewStringValue(strings.Join(values, ","))
	if len(values) != 1 {
		l := &structpb.ListValue{}
		for _, e := range values {
			l.Values = append(l.Values, structpb.NewStringValue(e))
		}
		v = structpb.NewListValue(l)
	}
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{
		namespace: {Fields: map[string]*structpb.Value{key: v}}}}
}

// sendToMember makes the attempt at one member. Without a response it reports the reason as Envoy does.
func (x *exchange) sendToMember(ctx context.Context, addr string) (Result, map[string]*structpb.Struct) {
	parent := ctx
	if x.caller.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, x.caller.AttemptTimeout)
		defer cancel()
	}
	request, err := http.NewRequestWithContext(ctx, x.request.Method, "http://"+addr+"/"+x.request.Path[strings.LastIndexByte(x.request.Path, '/')+1:], bytes.NewReader(x.request.Body))
	if err != nil {
		return Result{Status: 500, Err: err}, nil
	}
	for name, value := range x.request.Headers {
		request.Header.Set(name, value)
	}
	request.GetBody = nil // prevents net/http from repeating the request
	response, err := x.caller.client.Do(request)
	if err != nil {
		details := "upstream_reset_before_response_started{connection_termination}"
		switch {
		case strings.Contains(err.Error(), "connect:"):
			details = "upstream_reset_before_response_started{remote_connection_failure}"
		case ctx.Err() != nil && parent.Err() == nil:
			return Result{Status: 504, Headers: map[string]string{}}, codeDetails("upstream_per_try_timeout")
		}
		return Result{Status: 503, Headers: map[string]string{}}, codeDetails(details)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Result{Status: 502, Headers: map[string]string{}}, codeDetails("upstream_reset_after_response_started{connection_termination}")
	}
	result := Result{Status: response.StatusCode, Body: body, Headers: map[string]string{}}
	for name := range response.Header {
		result.Headers[strings.ToLower(name)] = response.Header.Get(name)
	}
	return result, codeDetails("via_upstream")
}

// codeDetails returns the attribute response.code_details as a caller sends it.
func codeDetails(text string) map[string]*structpb.Struct {
	return map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
		"response.code_details": structpb.NewStringValue(text)}}}
}
