package election

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// fakeStore is a state service with one key and leases, on the fake clock of
// the test.
type fakeStore struct {
	revision uint64
	entry    *wire.Entry
	ends     map[uint64]time.Time
	ttl      time.Duration
	down     bool
	ended    []uint64
	standing int // transactions that set the key
	reads    int
	kept     uint64 // how many revisions a watch may go back; 0: all
	// turn is held by whoever looks at or changes the rest.
	turn chan struct{}
}

func newStore() *fakeStore {
	return &fakeStore{ends: map[uint64]time.Time{}, turn: make(chan struct{}, 1)}
}

// take waits for the turn; the result gives it back.
func (f *fakeStore) take() func() {
	f.turn <- struct{}{}
	return func() { <-f.turn }
}

func (f *fakeStore) expire() {
	if f.entry != nil && !f.down && time.Now().After(f.ends[f.entry.Lease]) {
		f.entry = nil
		f.revision++
	}
}

func (f *fakeStore) List(context.Context, kvstore.Priority, string, string, int) (wire.EntryPage, error) {
	defer f.take()()
	f.expire()
	f.reads++
	if f.down {
		return wire.EntryPage{}, kvstore.ErrUnavailable
	}
	page := wire.EntryPage{Revision: f.revision}
	if f.entry != nil {
		page.Entries = []wire.Entry{*f.entry}
	}
	return page, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	defer f.take()()
	f.expire()
	if f.down {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnavailable
	}
	if f.entry != nil {
		return false, wire.CompareAndSwapResponse{FailedKeys: []string{LeaderKey}}, nil
	}
	f.revision++
	f.standing++
	f.entry = &wire.Entry{Key: LeaderKey, Value: t.Changes[0].Value, Version: f.revision, Lease: t.Changes[0].Lease}
	return true, wire.CompareAndSwapResponse{Revision: f.revision}, nil
}

func (f *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (uint64, error) {
	defer f.take()()
	if f.down {
		return 0, kvstore.ErrUnavailable
	}
	id := uint64(len(f.ends) + 1)
	f.ttl = ttl
	f.ends[id] = time.Now().Add(ttl)
	return id, nil
}

func (f *fakeStore) RenewLease(_ context.Context, id uint64) error {
	defer f.take()()
	f.expire()
	if f.down {
		return kvstore.ErrUnavailable
	}
	if f.entry == nil || f.entry.Lease != id {
		return kvstore.ErrLeaseExpired
	}
	f.ends[id] = time.Now().Add(f.ttl)
	return nil
}

func (f *fakeStore) RevokeLease(_ context.Context, id uint64) error {
	defer f.take()()
	f.ended = append(f.ended, id)
	if f.entry != nil && f.entry.Lease == id {
		f.entry = nil
	}
	return nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) (wire.WatchResponse, error) {
	done := f.take()
	old := f.kept > 0 && after+f.kept < f.revision
	done()
	if old {
		return wire.WatchResponse{}, kvstore.ErrCompacted
	}
	transport.Pause(ctx, 100*time.Millisecond)
	return wire.WatchResponse{}, ctx.Err()
}

func start(t *testing.T, f *fakeStore) *Elector {
	e := New("n1", settings.Operator{LeaderLease: 6 * time.Second, LeaseMargin: 200 * time.Millisecond}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go e.Run(t.Context())
	return e
}

// pass lets time pass and everything that is due settle.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func holderOf(t *testing.T, node string, lease uint64) *wire.Entry {
	v, err := json.Marshal(holder{Node: node, Boot: 1})
	if err != nil {
		t.Fatal(err)
	}
	return &wire.Entry{Key: LeaderKey, Value: v, Version: 3, Lease: lease}
}

func TestLeaseIsCountedFromTheSendingAndLapsesBeforeTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStore()
		e := start(t, f)
		pass(20 * time.Second)
		v := e.View()
		if !v.IsLeader(time.Now()) || v.Term != 1 {
			t.Fatalf("not leading: %+v", v)
		}
		give := f.take()
		f.down = true
		end := f.ends[1]
		give()
		pass(time.Until(end) - 150*time.Millisecond)
		if e.View().IsLeader(time.Now()) {
			t.Error("still in term within the margin of the lease's end")
		}
		// The outage ends and the lease has lived on: the same term resumes.
		give = f.take()
		f.down, f.ends[1] = false, time.Now().Add(6*time.Second)
		give()
		pass(time.Second)
		if v := e.View(); !v.IsLeader(time.Now()) || v.Term != 1 {
			t.Errorf("the term did not resume: %+v", v)
		}
	})
}

func TestLostLeaseEndsTheTermAndALaterOneIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStore()
		e := start(t, f)
		pass(time.Second)
		give := f.take()
		f.entry = holderOf(t, "n2", 90)
		f.ends[90] = time.Now().Add(5 * time.Second)
		give()
		pass(3 * time.Second)
		if v := e.View(); v.Elected || v.Leader != "n2" {
			t.Errorf("view after the loss: %+v", v)
		}
		pass(10 * time.Second)
		if v := e.View(); !v.IsLeader(time.Now()) || v.Term == 1 {
			t.Errorf("view after the other's lease: %+v", v)
		}
	})
}

func TestEarlierIncarnationIsEndedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStore()
		f.ends[90], f.entry, f.revision = time.Now().Add(time.Hour), holderOf(t, "n1", 90), 3
		e := start(t, f)
		pass(time.Second)
		give := f.take()
		if len(f.ended) != 1 {
			t.Errorf("ended %v after a second", f.ended)
		}
		give()
		pass(time.Second) // it may have promised not to lead
		defer f.take()()
		if len(f.ended) != 1 || f.ended[0] != 90 || !e.View().IsLeader(time.Now()) {
			t.Errorf("ended %v, view %+v", f.ended, e.View())
		}
	})
}

func TestAnotherNodesLeaseIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStore()
		f.ends[90], f.entry, f.revision = time.Now().Add(time.Hour), holderOf(t, "n2", 90), 3
		e := start(t, f)
		pass(time.Minute)
		defer f.take()()
		if len(f.ended) != 0 || f.standing != 0 || e.View().Leader != "n2" {
			t.Errorf("ended %v, stood %d times, view %+v", f.ended, f.standing, e.View())
		}
	})
}

// TestAnOldLeaderKeyIsWatchedQuietly: the key of a leader that has led for long
// is older than any revision that the service keeps. Followers must not read it
// over and over, which used up their whole rate.
func TestAnOldLeaderKeyIsWatchedQuietly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStore()
		f.entry = &wire.Entry{Key: LeaderKey, Value: json.RawMessage(`{"node":"n2"}`), Version: 1, Lease: 1}
		f.ends[1] = time.Now().Add(time.Hour)
		f.revision, f.kept = 50000, 10000
		start(t, f)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		defer f.take()()
		if f.reads > 110 { // the stand-in's watches end every 100 ms
			t.Errorf("the key was read %d times in ten seconds", f.reads)
		}
	})
}

// others are nodes that promise or not, as told.
type others struct{ promise atomic.Bool }

func (o *others) Names() []string { return []string{"n2", "n3"} }

func (o *others) RequestExtension(context.Context, string, time.Duration) (bool, error) {
	return o.promise.Load(), nil
}

// TestExtensionInAnOutage: while the state service is out for all and all others
// promise not to lead, the leader goes on; without the promise of all it lapses
// with its lease, and promises after that don't bring it back.
func TestExtensionInAnOutage(t *testing.T) {
	cases := []struct {
		name    string
		before  bool // the others promise from the beginning of the outage
		after   bool // and from its tenth second
		inTerm  bool // at the ninth second
		inTerm2 bool // at the twentieth
	}{
		{"all grant it", true, true, true, true},
		{"nobody does", false, false, false, false},
		{"they cease", true, false, true, false},
		{"too late", false, true, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, o := newStore(), &others{}
				o.promise.Store(c.before)
				e := New("n1", settings.Operator{LeaderLease: 3 * time.Second, LeaseMargin: 150 * time.Millisecond}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
				e.Peers = o
				go e.Run(t.Context())
				pass(10 * time.Second)
				give := f.take()
				f.down = true
				give()
				pass(9 * time.Second)
				if got := e.View().IsLeader(time.Now()); got != c.inTerm {
					t.Errorf("in term after nine seconds: %v, want %v", got, c.inTerm)
				}
				pass(time.Second)
				o.promise.Store(c.after)
				pass(10 * time.Second)
				if got := e.View().IsLeader(time.Now()); got != c.inTerm2 {
					t.Errorf("in term after twenty seconds: %v, want %v", got, c.inTerm2)
				}
			})
		})
	}
}

// TestPromises: a node promises only when the service does not serve it and it
// does not lead, and then does not act, though it may win an election. One that
// was just started may have promised in its earlier life.
func TestPromises(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newStore()
		e := New("n1", settings.Operator{LeaderLease: 3 * time.Second, LeaseMargin: 150 * time.Millisecond}, f, slog.New(slog.NewTextHandler(io.Discard, nil)))
		if e.GrantExtension(t.Context(), time.Second) {
			t.Error("promised though the service serves this node")
		}
		f.down = true
		if e.GrantExtension(t.Context(), time.Hour) {
			t.Error("promised for an hour")
		}
		pass(extensionTime)
		if !e.GrantExtension(t.Context(), extensionTime) {
			t.Error("not promised though the service is out")
		}
		f.down = false
		go e.Run(t.Context())
		pass(extensionTime - 100*time.Millisecond)
		if e.View().Elected {
			t.Error("acts as the leader against its promise")
		}
		pass(200 * time.Millisecond)
		if !e.View().IsLeader(time.Now()) {
			t.Error("does not act once its promise is over")
		}
		give := f.take()
		f.down = true
		give()
		if e.GrantExtension(t.Context(), extensionTime) {
			t.Error("promised while leading")
		}
	})
	synctest.Test(t, func(t *testing.T) {
		e := start(t, newStore())
		pass(extensionTime - 100*time.Millisecond)
		if e.View().Elected {
			t.Error("acts within what its earlier life may have promised")
		}
		pass(200 * time.Millisecond)
		if !e.View().Elected {
			t.Error("does not act afterwards")
		}
	})
}

// TestCandidacyOfAnEarlierLifeThatComesLate: a node was killed in the middle of
// an election and is back at once; its old candidacy is carried out later. Nobody
// acts on that term, so its lease is ended and an election follows.
func TestCandidacyOfAnEarlierLifeThatComesLate(t *testing.T) {
	for name, before := range map[string]*wire.Entry{"while nobody leads": nil, "while another leads": holderOf(t, "n2", 90)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStore()
				f.down = before == nil // so that the node can't stand before
				f.entry, f.revision, f.ends[90] = before, 5, time.Now().Add(time.Hour)
				e := start(t, f)
				pass(5 * time.Second)
				give := f.take()
				f.entry, f.ends[91], f.down = holderOf(t, "n1", 91), time.Now().Add(time.Hour), false
				f.entry.Version, f.revision = 9, 9
				give()
				pass(200 * time.Millisecond)
				if v := e.View(); v.Elected && v.Term == 9 {
					t.Error("acts on a term of its earlier life")
				}
				pass(3 * time.Second)
				defer f.take()()
				if v := e.View(); len(f.ended) == 0 || f.ended[0] != 91 || !v.IsLeader(time.Now()) || v.Term == 9 {
					t.Errorf("ended %v, view %+v", f.ended, v)
				}
			})
		})
	}
}

// TestResignation: a leader that gives its term up does nothing more in it and
// lets the others go first, but leads again where nobody else does.
func TestResignation(t *testing.T) {
	cases := []struct {
		name  string
		term  uint64 // that it is asked to give up
		other bool   // whether another node stands
		mine  bool   // whether it leads ten seconds later
		again bool   // whether that is another term than before
	}{
		{"another node leads", 1, true, false, false},
		{"nobody else does", 1, false, true, true},
		{"a term that is long over", 7, false, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newStore()
				e := start(t, f)
				pass(5 * time.Second)
				before := e.View()
				e.Resign(c.term)
				pass(time.Second)
				give := f.take()
				if resigned := before.Term == c.term; resigned != (f.entry == nil) || resigned == e.IsLeader(before.Term) {
					t.Errorf("entry %v, view %+v a second later", f.entry, e.View())
				}
				if c.other && f.entry == nil {
					f.revision++
					f.entry = holderOf(t, "n2", 90)
					f.entry.Version = f.revision
					f.ends[90] = time.Now().Add(time.Hour)
				}
				give()
				pass(10 * time.Second)
				if v := e.View(); v.Elected != c.mine || c.mine && (v.Term != before.Term) != c.again {
					t.Errorf("view %+v, before %+v", v, before)
				}
			})
		})
	}
}
