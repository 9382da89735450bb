package standin

import (
	"net"
	"strconv"
	"testing"
)

// Guards against a free port being assigned by the kernel to another program, when tests run concurrently,
// before the process that was configured with it listens there: "listen tcp 127.0.0.1:43619: bind: address
// already in use".
func TestFreeAddrIsOutsideEphemeralRange(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		if seen[addr] {
			t.Errorf("%s is given twice", addr)
		}
		seen[addr] = true
		_, port, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if n, err := strconv.Atoi(port); err != nil || n >= 32768 {
			t.Errorf("%s may be given to anybody", addr)
		}
	}
}
