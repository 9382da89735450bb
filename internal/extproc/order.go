package extproc

import "fmt"

// Message is the kind of a message that a caller sends on a stream. The values are in the order of an HTTP
// exchange.
type Message uint8

// The kinds of envoy.service.ext_proc.v3.ProcessingRequest.
const (
	RequestHeaders Message = iota + 1
	RequestBody
	RequestTrailers
	ResponseHeaders
	ResponseBody
	ResponseTrailers
)

func (m Message) String() string {
	return [...]string{"nothing", "request headers", "request body", "request trailers", "response headers",
		"response body", "response trailers"}[m]
}

// MessageOrder checks the order of a stream's messages. A stream is one HTTP exchange; the caller may skip
// phases, depending on its processing mode, but never goes back to an earlier one. The request's headers
// always come first, as a body or a response belongs to no request without them. The response may start
// before the rest of the request's body.
type MessageOrder struct {
	lastRequest, lastResponse Message // the latest kind of each direction
	requestComplete           bool
	responseComplete          bool
}

// Next checks the next message; end is whether it is marked as the last of its direction.
func (o *MessageOrder) Next(m Message, end bool) error {
	side, over := &o.lastRequest, &o.requestComplete
	if m >= ResponseHeaders {
		side, over = &o.lastResponse, &o.responseComplete
	}
	body := m == RequestBody || m == ResponseBody
	switch {
	case o.lastRequest == 0 && m != RequestHeaders:
		return fmt.Errorf("%v before request headers", m)
	case *over:
		return fmt.Errorf("%v after the end of that side", m)
	case m < *side || m == *side && !body:
		return fmt.Errorf("%v after %v", m, *side)
	case m < ResponseHeaders && o.lastResponse > 0 && m != RequestBody && m != RequestTrailers:
		return fmt.Errorf("%v after %v", m, o.lastResponse)
	}
	*side = m
	*over = end || m == RequestTrailers || m == ResponseTrailers
	return nil
}

// RequestComplete reports whether the whole request has been received.
func (o *MessageOrder) RequestComplete() bool { return o.requestComplete }

// ResponseComplete reports whether the whole response has been received.
func (o *MessageOrder) ResponseComplete() bool { return o.responseComplete }

// ResponseStarted reports whether the response has started.
func (o *MessageOrder) ResponseStarted() bool { return o.lastResponse > 0 }

// RequestStarted reports whether the request has started.
func (o *MessageOrder) RequestStarted() bool { return o.lastRequest > 0 }
