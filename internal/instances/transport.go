package instances

import (
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's NetTransport, except that its connections come from the address on which
// this instance listens, so that the other instances and the network in between can identify the caller.
type transport struct {
	*memberlist.NetTransport
	localIP net.IP
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(a.Addr) // host names are never resolved
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	return d.Dial("tcp", to.String())
}
