package election

import (
	"sync/atomic"
	"time"
)

// View is what this controller knows about the leadership at one moment. It is immutable once
// published.
type View struct {
	// Leader is the leader's name; empty: there is none, or it is unknown.
	Leader string
	// Term is the leader's term: the version of the leader key.
	Term uint64
	// Elected reports whether this controller holds the leader key and has published its term.
	// It may act only until LeaseExpiry.
	Elected bool
	// LeaseExpiry is when this controller has to stop acting as the leader unless it has renewed
	// its lease by then.
	LeaseExpiry time.Time
}

// IsLeader reports whether this controller may act as the leader at the given time.
func (v *View) IsLeader(now time.Time) bool { return v.Elected && now.Before(v.LeaseExpiry) }

// sameRole reports whether two views agree on everything but the expiry of the lease.
func (v *View) sameRole(other *View) bool {
	return v.Elected == other.Elected && v.Term == other.Term && v.Leader == other.Leader
}

// viewPublisher holds the latest view. One goroutine publishes, any may read.
type viewPublisher struct {
	latest atomic.Pointer[View]
	// changes buffers the latest view that differs from the one before in leader, term or role. A
	// view that was not received is replaced by the next one.
	changes chan *View
}

func newViewPublisher() *viewPublisher {
	p := &viewPublisher{changes: make(chan *View, 1)}
	p.latest.Store(&View{})
	return p
}

// publish replaces the latest view, and puts it into changes unless only the lease expiry differs. It
// reports whether more than that differs.
func (p *viewPublisher) publish(v *View) (changed bool) {
	previous := p.latest.Swap(v)
	if previous.sameRole(v) {
		return false
	}
	select {
	case <-p.changes:
	default:
	}
	p.changes <- v
	return true
}

// View returns the latest view.
func (e *Elector) View() *View { return e.view.latest.Load() }

// IsLeader reports whether this controller may act as the leader of the given term now.
func (e *Elector) IsLeader(term uint64) bool {
	v := e.View()
	return v.Term == term && v.IsLeader(time.Now())
}

// ViewChanges delivers views that differ from the one before in leader, term or role. Only the
// latest is kept for a receiver that falls behind.
func (e *Elector) ViewChanges() <-chan *View { return e.view.changes }
