package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	filterv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

const fullDuplex = filterv3.ProcessingMode_FULL_DUPLEX_STREAMED

// SetFullDuplex sets full duplex as the body mode of requests and responses.
func (c *Caller) SetFullDuplex() { c.BodyMode, c.ResponseMode = fullDuplex, fullDuplex }

// defaultChunkBytes is the length of a body part if Caller.ChunkBytes is 0. It is odd, so that parts do not
// align with messages.
const defaultChunkBytes = 4093

// processDuplex makes an exchange as a gateway does in full duplex: it sends body and trailers without
// waiting for answers, receives what is sent back in order, and passes on only that. It has no timeout for
// messages.
func (x *exchange) processDuplex(ctx context.Context, first *extprocv3.ProcessingRequest) (result Result, err error) {
	if err := x.stream.Send(first); err != nil && !errors.Is(err, io.EOF) {
		return result, err
	}
	body := x.request.Body
	if x.bodyMode != fullDuplex {
		body = nil
	}
	x.sending.Go(func() { x.sendDuplexBody(body, false) })
	response, err := x.receive(ctx)
	if err != nil {
		return result, err
	}
	if response.GetRequestHeaders() == nil {
		return result, fmt.Errorf("caller: %T in response to request headers", response.GetResponse())
	}
	if response.GetModeOverride() != nil {
		return result, errors.New("caller: mode override in full duplex")
	}
	x.applyHeaders(response.GetRequestHeaders().GetResponse())
	if len(body) > 0 {
		if x.request.Body, err = x.receiveBody(ctx, false); err != nil {
			return result, err
		}
	}
	x.sending.Wait()
	named := x.headers[destinationHeader]
	if named == "" {
		return Result{Status: 204, PassedThrough: true, Body: x.request.Body}, nil
	}
	if x.caller.BeforeSend != nil {
		x.caller.BeforeSend(named)
	}
	result, attributes := x.sendToMembers(ctx, named)
	result.Members = []string{x.servedAddr}
	pairs := map[string]string{":status": strconv.Itoa(result.Status)}
	for name, value := range result.Headers {
		pairs[name] = value
	}
	streamed := x.caller.ResponseMode == fullDuplex && len(result.Body) > 0
	err = x.stream.Send(&extprocv3.ProcessingRequest{Attributes: attributes, MetadataContext: x.servedBy(),
		Request: &extprocv3.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extprocv3.HttpHeaders{Headers: headerMap(pairs), EndOfStream: !streamed}}})
	if err != nil && !errors.Is(err, io.EOF) {
		return result, err
	}
	if streamed {
		body := result.Body
		x.sending.Go(func() { x.sendDuplexBody(body, true) })
	}
	if response, err = x.receive(ctx); err != nil {
		return result, err
	}
	if response.GetResponseHeaders() == nil {
		return result, fmt.Errorf("caller: %T in response to response headers", response.GetResponse())
	}
	x.headers = result.Headers
	x.applyHeaders(response.GetResponseHeaders().GetResponse())
	if streamed {
		result.Body, err = x.receiveBody(ctx, true)
	}
	return result, err
}

// sendDuplexBody sends a body in parts, followed by trailers if configured.
func (x *exchange) sendDuplexBody(body []byte, response bool) {
	if len(body) == 0 {
		return
	}
	chunk := defaultChunkBytes
	if x.caller.ChunkBytes > 0 {
		chunk = x.caller.ChunkBytes
	}
	for len(body) > 0 {
		part := body[:min(len(body), chunk)]
		body = body[len(part):]
		b := &extprocv3.HttpBody{Body: part, EndOfStream: len(body) == 0 && !x.caller.Trailers}
		m := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestBody{RequestBody: b}}
		if response {
			m.Request = &extprocv3.ProcessingRequest_ResponseBody{ResponseBody: b}
		}
		if x.stream.Send(m) != nil {
			return
		}
	}
	if x.caller.Trailers {
		t := &extprocv3.HttpTrailers{Trailers: headerMap(map[string]string{"x-sum": "1"})}
		m := &extprocv3.ProcessingRequest{Request: &extprocv3.ProcessingRequest_RequestTrailers{RequestTrailers: t}}
		if response {
			m.Request = &extprocv3.ProcessingRequest_ResponseTrailers{ResponseTrailers: t}
		}
		x.stream.Send(m)
	}
}

// receiveBody receives a body that is sent back, to its end.
func (x *exchange) receiveBody(ctx context.Context, response bool) (body []byte, err error) {
	for {
		m, err := x.receive(ctx)
		if err != nil {
			return body, err
		}
		b, trailers := m.GetRequestBody(), m.GetRequestTrailers()
		if response {
			b, trailers = m.GetResponseBody(), m.GetResponseTrailers()
		}
		if trailers != nil && x.caller.Trailers {
			return body, nil
		}
		part := b.GetResponse().GetBodyMutation().GetStreamedResponse()
		if part == nil {
			return body, fmt.Errorf("caller: %T instead of a streamed body", m.GetResponse())
		}
		body = append(body, part.GetBody()...)
		if part.GetEndOfStream() {
			if x.caller.Trailers {
				return body, errors.New("caller: end of body before its trailers")
			}
			return body, nil
		}
	}
}

// receive waits for the processor's next response.
func (x *exchange) receive(ctx context.Context) (*extprocv3.ProcessingResponse, error) {
	select {
	case r := <-x.responses:
		if r.err != nil {
			return nil, r.err
		}
		x.accepted = true
		if now := r.response.GetImmediateResponse(); now != nil {
			return nil, immediateResponse{now}
		}
		return r.response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
