// Package descriptors divides the file descriptors of a process between its clients and its connections to
// members, so that neither side can starve the other.
//
// The clients' share is a third of all descriptors. What is left, without the reserve, is the members' share.
// Either side may use what the other one leaves free, and gives it back when the other one needs it:
//
//   - A client within the clients' share is never closed to make room for a connection to a member.
//   - A client within the clients' share gets a descriptor as long as a connection to a member is at rest,
//     or members hold no more than their share.
//   - A connection to a member that carries something is never closed to make room.
//
// The package uses no I/O, clock or goroutines. The caller counts the descriptors and closes connections.
package descriptors

// clientShareDivisor: the clients' share is this part of all descriptors.
const clientShareDivisor = 3

// Budget holds the limits.
type Budget struct {
	Limit   int // of the process
	Reserve int // kept for the listener, discovery, the runtime and connections that are being opened or closed
}

// Use counts the descriptors in use.
type Use struct {
	Clients int
	Members int // connections to members, dials included
}

// Action is what has to be done before a descriptor may be opened.
type Action uint8

// The actions. After a connection has been closed the Budget is asked again.
const (
	Open        Action = iota // a descriptor may be opened
	CloseMember               // close the connection to a member that has been at rest for longest
	CloseClient               // close an idle client's connection; if there is none, treat it as CloseMember
)

// ClientShare returns the number of clients that are never closed for a connection to a member.
func (b Budget) ClientShare() int { return (b.Limit + clientShareDivisor - 1) / clientShareDivisor }

// ForClient returns what has to be done before a client's connection may be kept.
func (b Budget) ForClient(use Use) Action {
	if b.HasSpare(use) {
		return Open
	}
	return b.FreeForClient(use)
}

// FreeForClient returns what has to be closed for a client's connection where no descriptor is free.
func (b Budget) FreeForClient(use Use) Action {
	if b.WithinClientShare(use) {
		return CloseMember
	}
	return CloseClient
}

// WithinClientShare reports whether one more client belongs to the clients' share.
func (b Budget) WithinClientShare(use Use) bool { return use.Clients < b.ClientShare() }

// ForMember returns what has to be done before a connection to a member may be opened for a request that waits
// for it. Such connections may use half of the reserve, so that the last connections at rest are kept.
func (b Budget) ForMember(use Use) Action {
	switch {
	case use.Clients+use.Members < b.Limit-b.Reserve/2:
		return Open
	case use.Clients > b.ClientShare():
		return CloseClient
	}
	return CloseMember
}

// HasSpare reports whether a descriptor is free without closing anything and without the reserve.
func (b Budget) HasSpare(use Use) bool { return use.Clients+use.Members < b.Limit-b.Reserve }
