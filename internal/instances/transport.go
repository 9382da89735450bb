package instances

import (
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's own, but for where its connections come from: the address that this instance listens at, so that the others
// and what stands between them can tell who calls.
type transport struct {
	*memberlist.NetTransport
	localIP net.IP
}

var _ memberlist.NodeAwareTransport = (*transport)(nil)

func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	to, err := netip.ParseAddrPort(a.Addr) // no name is ever looked up
	if err != nil {
		return nil, err
	}
	d := net.Dialer{Timeout: timeout, LocalAddr: &net.TCPAddr{IP: t.localIP}}
	return d.Dial("tcp", to.String())
}
