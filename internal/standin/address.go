package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

const (
	// firstPort and lastPort are below the ports that the kernel gives to connections and to listeners that don't name one (32768 and up), so that
	// nothing else on this machine takes an address between here and the process that is to listen there.
	firstPort, lastPort = 12000, 32000
	maxAddressTries     = 100
)

// allocated are the addresses that this process has had.
var allocated struct {
	sync.Mutex
	ports map[int]bool
}

// ErrNoAddress tells that no address is free.
var ErrNoAddress = errors.New("standin: no address is free")

// FreeAddr is a loopback address that nobody listens at, for a process that has to be told one. It is given once.
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
