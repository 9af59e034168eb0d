package fake

import "testing"

// Network is a network in memory. On a test's fake clock, minutes without traffic pass at once on its
// connections, which they would not on sockets: a goroutine that waits for the kernel keeps the fake
// clock from advancing.
//
// Hosts have names, and the link between two of them can be cut (network partition): either what is
// sent is held back until the cut is healed, or connections are reset.
type Network struct {
	actor
	listeners map[string]*memoryListener // by address
	cuts      map[hostPair]bool
	conns     map[*memoryConn]struct{}
}

// hostPair is the link between two hosts, the lesser name first.
type hostPair struct{ a, b string }

func pairOf(a, b string) hostPair {
	if b < a {
		a, b = b, a
	}
	return hostPair{a, b}
}

// NewNetwork starts a network that lives as long as the test.
func NewNetwork(t testing.TB) *Network {
	return &Network{actor: newActor(t), listeners: map[string]*memoryListener{}, cuts: map[hostPair]bool{}, conns: map[*memoryConn]struct{}{}}
}

// Partition cuts the link between two hosts. With hold, what is sent meanwhile arrives when the cut is
// healed; otherwise connections are reset.
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

// PartitionOneWay holds back what one host sends to another until the cut is healed. The other direction
// of existing connections stays open; no new ones can be made.
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

// Heal ends the cut between two hosts.
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
