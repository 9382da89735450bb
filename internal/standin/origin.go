package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Origin simulates the origin: an HTTP/1.1 server, slow and with little capacity. It counts how often each
// write has been executed.
type Origin struct {
	member
	onFetched     func(id, key string, value []byte)
	makeValue     func(key string) []byte
	executions    map[string]int // executions of writes by key
	fetches       int
	resetAfterRun bool
	rejectEarly   bool
}

func newOrigin(id string, makeValue func(string) []byte, onFetched func(id, key string, value []byte)) (*Origin, error) {
	o := &Origin{makeValue: makeValue, onFetched: onFetched, executions: map[string]int{}}
	o.ID = id
	return o, o.listen(o.serve)
}

// Executions returns how often the write of each key has been executed.
func (o *Origin) Executions() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	executions := make(map[string]int, len(o.executions))
	for k, n := range o.executions {
		executions[k] = n
	}
	return executions
}

// Fetches returns how many reads have been answered.
func (o *Origin) Fetches() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fetches
}

// SetResetAfterRun makes the origin execute writes and then drop the connection without an answer.
func (o *Origin) SetResetAfterRun(on bool) {
	o.mu.Lock()
	o.resetAfterRun = on
	o.mu.Unlock()
}

// SetRejectEarly makes the origin refuse writes on their header, before it has read their body.
func (o *Origin) SetRejectEarly(on bool) {
	o.mu.Lock()
	o.rejectEarly = on
	o.mu.Unlock()
}

// rejectsEarly refuses a write on its header, if that is set, and then reads its body, which has to be the
// one that was written for it.
func (o *Origin) rejectsEarly(conn net.Conn, request *http.Request) bool {
	o.mu.Lock()
	early := o.rejectEarly && request.Method != http.MethodGet
	o.mu.Unlock()
	if !early {
		return false
	}
	if writeHTTP(conn, 503, "X-Not-Processed: 1\r\n", nil) != nil {
		return true
	}
	body, err := io.ReadAll(request.Body)
	if err == nil && string(body) != "written for "+request.Header.Get("X-Request-ID") {
		o.recordGarbled()
	}
	return true
}

func (o *Origin) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		r, err := http.ReadRequest(in)
		if err != nil {
			o.recordGarbled()
			return
		}
		if o.rejectsEarly(conn, r) {
			continue
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if err := o.handle(conn, in, r); err != nil {
			return
		}
	}
}

func (o *Origin) handle(conn net.Conn, in *bufio.Reader, request *http.Request) error {
	if strings.HasPrefix(request.URL.Path, "/health/") {
		return writeHTTP(conn, 200, "", nil)
	}
	key := strings.TrimPrefix(request.URL.Path, "/")
	id := request.Header.Get("X-Request-ID")
	o.reportDeadline(id, request.Header.Get("X-Attrs"))
	o.beginAttempt(conn, id)
	fault, serviceTime := o.beginRequest()
	defer o.endRequest()
	if fault != Busy {
		o.recordRun(id)
	}
	switch fault {
	case Stall:
		o.awaitDisconnect(in)
		return errClosed
	case Reset:
		return errClosed
	case Malformed:
		_, err := io.WriteString(conn, "\x8fb2\xf4\r\n")
		return err
	case Busy:
		return writeHTTP(conn, 503, "X-Not-Processed: 1\r\n", nil)
	}
	if request.Method != http.MethodGet {
		o.mu.Lock()
		o.executions[key]++ // counts from the last byte of the request, whatever the answer
		resetAfterRun := o.resetAfterRun
		o.mu.Unlock()
		if !o.sleep(serviceTime) || resetAfterRun {
			return errClosed
		}
		if fault == Failing {
			return writeHTTP(conn, 500, "", nil)
		}
		return writeHTTP(conn, 200, "", []byte("receipt of "+key))
	}
	if !o.sleep(serviceTime) {
		return errClosed
	}
	if fault == Failing {
		return writeHTTP(conn, 500, "", nil)
	}
	value := o.makeValue(key)
	o.mu.Lock()
	o.fetches++
	o.mu.Unlock()
	o.onFetched(request.Header.Get("X-Request-ID"), key, value)
	return writeHTTP(conn, 200, "", value)
}

// ServeOrigin answers the requests on a connection to an origin until it ends. answer returns the body for
// a request's key and id.
func ServeOrigin(in *bufio.Reader, out io.Writer, answer func(key, id string) string) {
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := answer(strings.TrimPrefix(r.URL.Path, "/"), r.Header.Get("X-Request-ID"))
		if writeHTTP(out, 200, "", []byte(text)) != nil {
			return
		}
	}
}

// heartbeatInterval is the time between heartbeats on a watch without changes.
const heartbeatInterval = 2 * time.Second
