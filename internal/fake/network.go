package fake

import "testing"

// Network is an in-memory network. Unlike with sockets, the fake clock of testing/synctest advances
// while goroutines wait for its connections, so that minutes without traffic take no time: a
// goroutine that waits for the kernel would keep the fake clock from advancing.
//
// Hosts have names. The link between two hosts can be cut (network partition): either data sent
// over it is held back until the partition heals, or connections are reset.
type Network struct {
	actor
	listeners map[string]*memoryListener // by address
	cuts      map[hostPair]bool
	conns     map[*memoryConn]struct{}
}

// hostPair identifies the link between two hosts by their names, with a <= b.
type hostPair struct{ a, b string }

// pairOf returns the link between two hosts, given in any order.
func pairOf(a, b string) hostPair {
	if b < a {
		a, b = b, a
	}
	return hostPair{a, b}
}

// NewNetwork starts a network that runs until the test ends.
func NewNetwork(t testing.TB) *Network {
	return &Network{actor: newActor(t), listeners: map[string]*memoryListener{}, cuts: map[hostPair]bool{}, conns: map[*memoryConn]struct{}{}}
}

// Partition cuts the link between two hosts until Heal. With hold, connections stay open and data
// sent over them is delivered when the link heals; otherwise connections are reset. It does nothing
// if the link is cut already.
func (n *Network) Partition(a, b string, hold bool) {
	n.do(func() {
		if n.cuts[pairOf(a, b)] {
			return
		}
		n.cuts[pairOf(a, b)] = true
		for c := range n.conns {
			if pairOf(c.host.name, c.peer.host.name) != pairOf(a, b) {
				continue
			}
			if hold {
				c.in.setHeld(true)
			} else {
				c.reset()
			}
		}
	})
}

// PartitionOneWay holds back the data that one host sends to another until Heal. The other
// direction of existing connections is not affected, but no new connections can be made in either
// direction.
func (n *Network) PartitionOneWay(from, to string) {
	n.do(func() {
		n.cuts[pairOf(from, to)] = true
		for c := range n.conns {
			if c.host.name == to && c.peer.host.name == from {
				c.in.setHeld(true)
			}
		}
	})
}

// Heal ends the partition of two hosts and delivers the data that was held back.
func (n *Network) Heal(a, b string) {
	n.do(func() {
		if !n.cuts[pairOf(a, b)] {
			return
		}
		delete(n.cuts, pairOf(a, b))
		for c := range n.conns {
			if pairOf(c.host.name, c.peer.host.name) == pairOf(a, b) {
				c.in.setHeld(false)
			}
		}
	})
}
