package standin

import (
	"net"
	"strconv"
	"testing"
)

// What happens, beside other runs of the tests: a port that was free and is let go of is given by the kernel to somebody else, before the process that
// was told of it listens there. Seen beside three runs of all tests: "listen tcp 127.0.0.1:43619: bind: address already in use".
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
