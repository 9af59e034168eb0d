package election

import (
	"testing"
	"testing/synctest"
	"time"
)

func TestLeadershipIsSuspendedBeforeTheLeaseExpiresAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		e := startElector(t, f)
		advance(20 * time.Second)
		if v := e.View(); !v.IsLeader(time.Now()) || v.Term != 1 {
			t.Fatalf("not the leader: %+v", v)
		}
		var expiry time.Time
		f.withLock(func() {
			f.unavailable = true
			expiry = f.leaseExpiries[1]
		})
		advance(time.Until(expiry) - 150*time.Millisecond)
		if e.View().IsLeader(time.Now()) {
			t.Error("still the leader within the margin before the lease expires")
		}
		// The outage ends and the lease has not expired at the store: the same term resumes.
		f.withLock(func() {
			f.unavailable = false
			f.leaseExpiries[1] = time.Now().Add(6 * time.Second)
		})
		advance(time.Second)
		if v := e.View(); !v.IsLeader(time.Now()) || v.Term != 1 {
			t.Errorf("the term did not resume: %+v", v)
		}
	})
}

func TestLostLeaseEndsTheTermAndALaterTermIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeStore()
		e := startElector(t, f)
		advance(time.Second)
		f.withLock(func() { f.setHolder(leaderEntry(t, "n2", 90), 5*time.Second) })
		advance(3 * time.Second)
		if v := e.View(); v.Elected || v.Leader != "n2" {
			t.Errorf("view after the lease was lost: %+v, want n2 leading", v)
		}
		advance(10 * time.Second)
		if v := e.View(); !v.IsLeader(time.Now()) || v.Term == 1 {
			t.Errorf("view after the other controller's lease: %+v, want a new term of this one", v)
		}
	})
}

// TestResignation checks that a leader that resigns no longer acts in its term and lets the others
// campaign first, but leads again in a new term if none of them does. A request to resign another
// term than the present one has no effect.
func TestResignation(t *testing.T) {
	cases := []struct {
		name           string
		resignedTerm   uint64
		otherCampaigns bool
		leadsAgain     bool // ten seconds later
		inNewTerm      bool
	}{
		{"another controller leads", 1, true, false, false},
		{"no other controller campaigns", 1, false, true, true},
		{"another term than the present one", 7, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeStore()
				e := startElector(t, f)
				advance(5 * time.Second)
				before := e.View()
				e.Resign(c.resignedTerm)
				advance(time.Second)
				f.withLock(func() {
					if resigned := before.Term == c.resignedTerm; resigned != (f.entry == nil) || resigned == e.IsLeader(before.Term) {
						t.Errorf("leader key %v, view %+v a second after the resignation, want no key and no leadership only if the present term was resigned", f.entry, e.View())
					}
					if c.otherCampaigns && f.entry == nil {
						f.revision++
						f.setHolder(leaderEntry(t, "n2", 90), time.Hour)
						f.entry.Version = f.revision
					}
				})
				advance(10 * time.Second)
				if v := e.View(); v.Elected != c.leadsAgain || c.leadsAgain && (v.Term != before.Term) != c.inNewTerm {
					t.Errorf("view %+v ten seconds later, before the resignation %+v", v, before)
				}
			})
		})
	}
}
