package extproc

import "fmt"

// Message is a kind of message that a caller sends on a stream, in the order of an HTTP exchange.
type Message uint8

// The messages of envoy.service.ext_proc.v3.ProcessingRequest.
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

// MessageOrder checks the order of a stream's messages. A stream is one HTTP exchange; the caller may leave phases out, as
// its processing mode says, but never goes back. The request's headers always come first: without them there is no
// request that a body or a response could belong to. The response may overtake the rest of the request's body.
type MessageOrder struct {
	lastRequest, lastResponse Message // the last of each side
	requestComplete           bool
	responseComplete          bool
}

// Next takes the next message, with whether it says to be the last of its side.
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

// RequestComplete tells whether the request has come whole.
func (o *MessageOrder) RequestComplete() bool { return o.requestComplete }

// ResponseComplete tells whether the response has come whole.
func (o *MessageOrder) ResponseComplete() bool { return o.responseComplete }

// ResponseStarted tells whether the response has begun.
func (o *MessageOrder) ResponseStarted() bool { return o.lastResponse > 0 }

// RequestStarted tells whether the request has begun.
func (o *MessageOrder) RequestStarted() bool { return o.lastRequest > 0 }
