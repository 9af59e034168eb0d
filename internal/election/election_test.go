package election

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/wire"
)

func TestEarlierIncarnationsLeaseIsRevokedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.setHolder(leaderEntry(t, "n1", 90), time.Hour)
		f.revision = 3
		e := startElector(t, f)
		advance(time.Second)
		f.withLock(func() {
			if len(f.revoked) != 1 {
				t.Errorf("revoked %v after a second, want one lease", f.revoked)
			}
		})
		advance(time.Second) // the earlier incarnation may have granted an extension
		f.withLock(func() {
			if len(f.revoked) != 1 || f.revoked[0] != 90 || !e.View().IsLeader(time.Now()) {
				t.Errorf("revoked %v, view %+v, want lease 90 revoked and this controller leading", f.revoked, e.View())
			}
		})
	})
}

func TestAnotherControllersLeaseIsNotRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.setHolder(leaderEntry(t, "n2", 90), time.Hour)
		f.revision = 3
		e := startElector(t, f)
		advance(time.Minute)
		f.withLock(func() {
			if len(f.revoked) != 0 || f.candidacies != 0 || e.View().Leader != "n2" {
				t.Errorf("revoked %v, %d candidacies, view %+v, want none and n2 leading", f.revoked, f.candidacies, e.View())
			}
		})
	})
}

// TestOldLeaderKeyIsNotReadRepeatedly guards against followers that use up their share of the rate
// by reading the leader key in a loop: the key of a leader that has led for a long time is older
// than any revision that the store keeps, so that a watch from its revision ends at once.
func TestOldLeaderKeyIsNotReadRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		f.setHolder(&wire.Entry{Key: LeaderKey, Value: json.RawMessage(`{"node":"n2"}`), Version: 1, Lease: 1}, time.Hour)
		f.revision, f.keptRevisions = 50000, 10000
		startElector(t, f)
		advance(10 * time.Second)
		f.withLock(func() {
			if f.reads > 110 { // the fake's watches end every 100 ms
				t.Errorf("the key was read %d times in ten seconds, want at most 110", f.reads)
			}
		})
	})
}

// TestDelayedCandidacyOfEarlierIncarnation guards against a term in which no controller acts: a
// controller is killed during an election and restarted at once, and the store executes its earlier
// candidacy only afterwards. The lease of that term must be revoked, so that an election follows.
func TestDelayedCandidacyOfEarlierIncarnation(t *testing.T) {
	cases := []struct {
		name   string
		before *wire.Entry
	}{
		{"without a leader", nil},
		{"with another leader", leaderEntry(t, "n2", 90)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore()
				f.unavailable = c.before == nil // so that the controller can't campaign before the delayed candidacy
				f.entry, f.revision, f.leaseExpiries[90] = c.before, 5, time.Now().Add(time.Hour)
				e := startElector(t, f)
				advance(5 * time.Second)
				f.withLock(func() {
					f.setHolder(leaderEntry(t, "n1", 91), time.Hour)
					f.unavailable = false
					f.entry.Version, f.revision = 9, 9
				})
				advance(200 * time.Millisecond)
				if v := e.View(); v.Elected && v.Term == 9 {
					t.Error("the controller acts in a term of its earlier incarnation")
				}
				advance(3 * time.Second)
				f.withLock(func() {
					if v := e.View(); len(f.revoked) == 0 || f.revoked[0] != 91 || !v.IsLeader(time.Now()) || v.Term == 9 {
						t.Errorf("revoked %v, view %+v, want lease 91 revoked and a new term", f.revoked, v)
					}
				})
			})
		})
	}
}
