package election

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fakePeers simulates two peers that either both grant extensions or both refuse them.
type fakePeers struct{ granting atomic.Bool }

func (p *fakePeers) Names() []string { return []string{"n2", "n3"} }

func (p *fakePeers) RequestExtension(context.Context, string, time.Duration) (bool, error) {
	return p.granting.Load(), nil
}

// TestExtensionInAnOutage checks that the leader stays the leader while the store is unavailable and
// all peers grant extensions. Without the grants of all peers its leadership ends with its lease,
// and later grants don't restore it.
func TestExtensionInAnOutage(t *testing.T) {
	cases := []struct {
		name              string
		grantingFromStart bool // the peers grant extensions when the outage begins
		grantingFromTenth bool // they grant them from the tenth second of the outage on
		leaderAtNinth     bool
		leaderAtTwentieth bool
	}{
		{"all peers grant it", true, true, true, true},
		{"no peer grants it", false, false, false, false},
		{"the peers cease to grant it", true, false, true, false},
		{"the peers grant it after the lease has expired", false, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, peers := newFakeStore(), &fakePeers{}
				peers.granting.Store(c.grantingFromStart)
				e := newElector(f, shortLease)
				e.Peers = peers
				go e.Run(t.Context())
				advance(10 * time.Second)
				f.setUnavailable(true)
				advance(9 * time.Second)
				if got := e.View().IsLeader(time.Now()); got != c.leaderAtNinth {
					t.Errorf("leader after nine seconds: %v, want %v", got, c.leaderAtNinth)
				}
				advance(time.Second)
				peers.granting.Store(c.grantingFromTenth)
				advance(10 * time.Second)
				if got := e.View().IsLeader(time.Now()); got != c.leaderAtTwentieth {
					t.Errorf("leader after twenty seconds: %v, want %v", got, c.leaderAtTwentieth)
				}
			})
		})
	}
}
