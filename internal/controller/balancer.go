package controller

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"
)

// Workers stay with the node that answers them. The leader's time is the
// shortest: it has all the commands to workers, and the decisions. So of the
// workers that come to it, it sends all but a few to nodes that carry reports to
// it.

// The times and bounds of sending workers away.
const (
	passEvery = 20 * time.Millisecond // one worker at a time
	passAgain = 2 * time.Minute       // the same one: it may not reach the others
	// A leader keeps a quarter of what would be an equal share, and so many more:
	// the few of a small deployment are no burden.
	leaderPart = 4
	passSlack  = 16
)

// balancer decides which workers a leader sends to whom. Its state is owned by run.
type balancer struct {
	sharing atomic.Int64 // nodes that carry reports here
	joins   chan partner
	asks    chan passing
}

type partner struct {
	node string
	done <-chan struct{}
}

type passing struct {
	machine string
	to      chan string
}

func newBalancer() *balancer {
	return &balancer{joins: make(chan partner), asks: make(chan passing)}
}

// join notes a node that carries reports here until ctx ends.
func (c *balancer) join(ctx context.Context, node string) {
	select {
	case c.joins <- partner{node, ctx.Done()}:
	case <-ctx.Done():
	}
}

// pass names the node that a worker is sent to, or "" when it is to stay: with so
// many connections open here and so many machines in all.
func (c *balancer) pass(ctx context.Context, machine string, open, machines int) string {
	n := int(c.sharing.Load())
	if n == 0 || open <= machines/(n+1)/leaderPart+passSlack {
		return ""
	}
	p := passing{machine, make(chan string, 1)}
	select {
	case c.asks <- p:
		return <-p.to
	case <-ctx.Done():
		return ""
	}
}

// run decides until ctx ends.
func (c *balancer) run(ctx context.Context) {
	var nodes []string // with a line to here, in the order of joining
	left := make(chan string)
	lines := map[string]int{}
	// When each worker was sent away, as long as that counts: one in passEvery, for up
	// to twice passAgain, which are 12,000.
	sent := map[string]time.Time{}
	var last, swept time.Time
	next := 0
	for {
		select {
		case p := <-c.joins:
			if lines[p.node]++; lines[p.node] == 1 {
				nodes = append(nodes, p.node)
			}
			go func() {
				<-p.done
				select {
				case left <- p.node:
				case <-ctx.Done():
				}
			}()
		case node := <-left:
			if lines[node]--; lines[node] == 0 {
				delete(lines, node)
				nodes = slices.DeleteFunc(nodes, func(n string) bool { return n == node })
			}
		case p := <-c.asks:
			now := time.Now()
			if len(nodes) == 0 || now.Sub(last) < passEvery || now.Sub(sent[p.machine]) < passAgain {
				p.to <- ""
				break
			}
			if now.Sub(swept) >= passAgain {
				maps.DeleteFunc(sent, func(_ string, at time.Time) bool { return now.Sub(at) >= passAgain })
				swept = now
			}
			sent[p.machine], last = now, now
			next++
			p.to <- nodes[next%len(nodes)]
		case <-ctx.Done():
			return
		}
		c.sharing.Store(int64(len(nodes)))
	}
}
