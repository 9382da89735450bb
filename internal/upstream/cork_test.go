package upstream

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"linenloom/internal/pool"
	"linenloom/logic"
)

// testHost is a Host with a simulated clock. Nothing in it runs by itself.
type testHost struct{ now time.Duration }

func (h *testHost) Enter()                                          {}
func (h *testHost) Leave()                                          {}
func (h *testHost) Lock()                                           {}
func (h *testHost) Unlock()                                         {}
func (h *testHost) AddBuffered(int) bool                            { return false }
func (h *testHost) Now() time.Duration                              { return 0 } // time of the event
func (h *testHost) Clock() time.Duration                            { return h.now }
func (h *testHost) Do(f func())                                     { f() }
func (h *testHost) ScheduleTimer(Timer)                             {}
func (h *testHost) ScheduleWake(time.Duration)                      {}
func (h *testHost) ReportStray(*Member, Stray)                      {}
func (h *testHost) HasDescriptor(bool) bool                         { return true }
func (h *testHost) ReserveLongValue(int, time.Duration) Reservation { return nil }
func (h *testHost) Served([]byte)                                   {}
func (h *testHost) StreamValue(int) ValueStream                     { return nil }
func (h *testHost) Deadline() time.Duration                         { return time.Minute }
func (h *testHost) AnswerBy() time.Duration                         { return time.Minute }
func (h *testHost) Done(logic.Status, int)                          {}

// tcpPair returns both ends of a connection.
func tcpPair(t *testing.T) (near *net.TCPConn, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); far.Close() })
	far.SetDeadline(time.Now().Add(20 * time.Second))
	return conn.(*net.TCPConn), far
}

// The deadline of a corked read is fixed when it is encoded: if the next read comes some time later in
// the same event, the first one is sent before it.
func TestCorkedReadsAreNotHeldForLong(t *testing.T) {
	for name, tc := range map[string]struct {
		later time.Duration
		want  bool // the first read is sent before Uncork
	}{
		"at once":    {maxCorkTime, false},
		"held up":    {maxCorkTime + time.Millisecond, true},
		"for longer": {time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			host := &testHost{}
			set := New(pool.Config{}, host)
			near, far := tcpPair(t)
			conn, err := set.newConn(&Member{}, near)
			if err != nil {
				t.Fatal(err)
			}
			send := func(id string) {
				x := &Exchange{Request: pool.Request{ExpiresAt: 3 * time.Second}, Client: host,
					Message: &Message{Key: []byte("k"), ReqID: []byte(id), Attrs: []byte("c=read,d=8000")}}
				conn.Send(x)
			}
			set.Cork()
			send("first")
			host.now = tc.later
			send("second")
			if out := conn.sender.Accepted() > 0 && !conn.unsent(&Exchange{endOffset: 1}); out != tc.want {
				t.Errorf("the first read is out: %v, want %v", out, tc.want)
			}
			set.Uncork()
			near.CloseWrite()
			text, err := io.ReadAll(far)
			if err != nil {
				t.Fatal(err)
			}
			first, second, _ := strings.Cut(string(text), "second")
			if !strings.Contains(first, "d=3000") || !strings.Contains(second, "d="+strings.TrimSuffix((3*time.Second - tc.later).String(), "s")[:1]) {
				t.Errorf("sent %q", text)
			}
		})
	}
}
