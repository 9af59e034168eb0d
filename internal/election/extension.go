package election

import (
	"context"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// While the state service is out for everybody, no lease ends and nobody can
// become the leader, but no node can tell that from being refused alone. So a
// leader whose renewals fail asks every other node for an extension of its lease: a
// promise that the node won't act as a leader for a while. With the promises of all,
// and only without a gap since its own lease, the leader goes on for as long as they
// hold. A node promises only when the service does not serve it either; one that was
// just started does not act before any promise of its earlier life is over.

// extensionTime is how long a promise holds.
const extensionTime = 1500 * time.Millisecond

// checkLimit bounds the look at the state service before a promise.
const checkLimit = 300 * time.Millisecond

// Peers asks the other controllers.
type Peers interface {
	Names() []string
	// RequestExtension asks a node for its promise.
	RequestExtension(ctx context.Context, node string, hold time.Duration) (bool, error)
}

// GrantExtension answers another node's request: it tells whether this node won't act as
// the leader until hold has passed.
func (e *Elector) GrantExtension(ctx context.Context, hold time.Duration) bool {
	if hold <= 0 || hold > 2*extensionTime {
		return false
	}
	check, cancel := context.WithTimeout(ctx, checkLimit)
	defer cancel()
	if _, err := e.store.List(check, kvstore.PriorityLease, LeaderKey, "", 1); err == nil {
		return false // the service serves us: an election can go its way
	}
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	if e.won {
		// The service has served us. What was promised before still holds us back;
		// another promise, and the former leader could go on for ever that the
		// service refuses, and nobody could confirm or write anything.
		return false
	}
	e.promised = later(e.promised, time.Now().Add(hold))
	return true
}

// hold notes whether this node has the key.
func (e *Elector) hold(key bool) {
	e.turn <- struct{}{}
	e.won = key
	<-e.turn
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// begin publishes this node as the leader once no promise forbids it.
func (e *Elector) begin(ctx context.Context, v *View) {
	for ctx.Err() == nil {
		e.turn <- struct{}{}
		wait := time.Until(e.promised)
		if wait <= 0 {
			e.publish(v)
		}
		<-e.turn
		if wait <= 0 {
			return
		}
		transport.Pause(ctx, wait)
	}
}

// extension is what asking for promises has brought.
type extension struct {
	until time.Time // this node may go on until then; a time long past: not at all
	why   string    // who did not promise
}

// askForExtension asks all others at once.
func (e *Elector) askForExtension(ctx context.Context) extension {
	if e.Peers == nil || len(e.Peers.Names()) == 0 {
		return extension{why: "there is nobody to ask"}
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, extensionTime/2)
	defer cancel()
	type said struct {
		node string
		ok   bool
		err  error
	}
	names := e.Peers.Names()
	answers := make(chan said, len(names))
	for _, n := range names {
		go func() {
			ok, err := e.Peers.RequestExtension(ctx, n, extensionTime)
			answers <- said{n, ok, err}
		}()
	}
	for range names {
		select {
		case s := <-answers:
			if s.err != nil {
				return extension{why: s.node + " did not answer"}
			}
			if !s.ok {
				return extension{why: s.node + " did not promise"}
			}
		case <-ctx.Done():
			return extension{why: "not all have answered in time"}
		}
	}
	return extension{until: asked.Add(extensionTime - time.Duration(float64(extensionTime)*2*settings.Drift) - e.margin)}
}
