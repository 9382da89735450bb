package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort bound a range below the ephemeral ports (32768 and up), which the kernel
	// assigns to connections and to listeners without a port of their own. Nothing else on this machine
	// takes an address between FreeAddr and the process that is to listen there.
	firstPort, lastPort = 12000, 32000
	maxAddressTries     = 100
)

// allocated holds the ports that this process has already handed out.
var allocated struct {
	sync.Mutex
	ports map[int]bool
}

// ErrNoAddress is returned when no free address was found.
var ErrNoAddress = errors.New("standin: no free address")

// FreeAddr returns a loopback address without a listener, for a process that needs its address configured.
// Each address is returned once.
func FreeAddr() (string, error) {
	allocated.Lock()
	defer allocated.Unlock()
	if allocated.ports == nil {
		allocated.ports = map[int]bool{}
	}
	for range maxAddressTries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if allocated.ports[port] {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		allocated.ports[port] = true
		return addr, listener.Close()
	}
	return "", ErrNoAddress
}
