package standin

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// StrayForm is the form of bytes that a member sends although no request asks for them.
type StrayForm string

// Forms of stray bytes. Those after StrayNoise exist in one of the protocols only.
const (
	StrayCopy     StrayForm = "copy"      // the answer again
	StrayOther    StrayForm = "other"     // a well-formed answer with the value of another key
	StrayFailed   StrayForm = "failed"    // HTTP 500, or -ERR failed
	StrayPieces   StrayForm = "pieces"    // the answer again, in two pieces
	StrayHalf     StrayForm = "half"      // the first half of the answer
	StrayNoise    StrayForm = "noise"     // bytes of no protocol
	StrayBusy     StrayForm = "busy"      // HTTP 503 with X-Not-Processed, or -BUSY
	StrayTimeout  StrayForm = "timeout"   // HTTP 504 with X-Not-Processed
	StrayInterim  StrayForm = "interim"   // HTTP 103, and the answer again
	StrayChunked  StrayForm = "chunked"   // HTTP 200, chunked
	StrayNoLength StrayForm = "no length" // HTTP 200 without a length
	StrayNull     StrayForm = "null"      // a miss
)

// OriginStrays and CacheStrays are the forms that each protocol has.
var (
	OriginStrays = []StrayForm{StrayCopy, StrayOther, StrayFailed, StrayPieces, StrayHalf, StrayNoise, StrayBusy, StrayTimeout, StrayInterim, StrayChunked, StrayNoLength}
	CacheStrays  = []StrayForm{StrayCopy, StrayOther, StrayFailed, StrayPieces, StrayHalf, StrayNoise, StrayBusy, StrayNull}
)

// strayOtherValue is the value that no key has.
const strayOtherValue = "value of no request"

// strayPieceGap is the time between two pieces of a stray answer.
const strayPieceGap = 3 * time.Millisecond

// bytesFor returns the pieces in which a stray is sent, after an answer.
func (f StrayForm) bytesFor(answer []byte) (pieces [][]byte) {
	text := func(s string) [][]byte { return [][]byte{[]byte(s)} }
	http := bytes.HasPrefix(answer, []byte("HTTP/"))
	half := len(answer) / 2
	switch f {
	case StrayPieces:
		return [][]byte{answer[:half], answer[half:]}
	case StrayHalf:
		return [][]byte{answer[:half]}
	case StrayNoise:
		return text("\x8fb2\xf4\r\n")
	case StrayTimeout:
		return text("HTTP/1.1 504 Gateway Timeout\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	case StrayInterim:
		return [][]byte{append([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"), answer...)}
	case StrayChunked:
		return text(fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(strayOtherValue), strayOtherValue))
	case StrayNoLength:
		return text("HTTP/1.1 200 OK\r\n\r\n" + strayOtherValue)
	case StrayNull:
		return text("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")
	case StrayOther:
		if http {
			return text(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(strayOtherValue), strayOtherValue))
		}
		return text(fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(strayOtherValue), strayOtherValue))
	case StrayFailed:
		if http {
			return text("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
		return text("-ERR failed\r\n")
	case StrayBusy:
		if http {
			return text("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return text("-BUSY\r\n")
	}
	return [][]byte{answer}
}

// Strays describes the stray bytes that a member sends.
type Strays struct {
	Form  StrayForm
	Every int           // after every n-th answer; 0: none
	Delay time.Duration // after the answer
}

// SetStrays sets the stray bytes that follow later answers.
func (m *member) SetStrays(s Strays) {
	m.mu.Lock()
	m.strays = s
	m.mu.Unlock()
}

// nextStrays returns the strays for an answer that is about to be sent; Every is 0 if none follow it.
func (m *member) nextStrays() Strays {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.strays.Every > 0 {
		if m.answers++; m.answers%m.strays.Every == 0 {
			return m.strays
		}
	}
	return Strays{}
}

// strayConn is a connection of a member that sends stray bytes. Each Write is one answer.
type strayConn struct {
	net.Conn
	member    *member
	answering func()     // called before the next answer is written; may be nil
	mu        sync.Mutex // held for each write
}

func (c *strayConn) Write(answer []byte) (int, error) {
	strays := c.member.nextStrays()
	if c.answering != nil {
		c.answering()
		c.answering = nil
	}
	c.mu.Lock()
	n, err := c.Conn.Write(answer)
	c.mu.Unlock()
	if strays.Every > 0 {
		pieces := strays.Form.bytesFor(bytes.Clone(answer))
		time.AfterFunc(strays.Delay, func() { c.writePieces(pieces) })
	}
	return n, err
}

// writePieces writes stray bytes. Errors are ignored: the connection may have ended.
func (c *strayConn) writePieces(pieces [][]byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(strayPieceGap)
		}
		c.Conn.Write(piece)
	}
}
