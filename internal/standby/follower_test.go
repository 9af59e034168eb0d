package standby

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"leadproxy/internal/fake"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// followerHarness is a follower of a fake state service.
type followerHarness struct {
	t        *testing.T
	store    *fake.KVStore
	client   *kvstore.Client
	follower *Follower
}

func newFollowerHarness(t *testing.T, keys, maxBytes int) *followerHarness {
	n := fake.NewNetwork(t)
	s := &followerHarness{t: t, store: fake.NewKVStore(t, n.Host("state"), "state:1", nil)}
	for i := range keys {
		s.store.Put(fmt.Sprintf("job/%06d", i), fmt.Sprintf(`"value %d"`, i))
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	s.client = kvstore.New(t.Context(), n.Host("n1"), "state:1", settings.StoreLimits{RPS: 200, WriteRPS: 100, ValueKB: 16, TxnOps: 32}, 0.5, log)
	s.follower = NewFollower(s.client, modelPrefixes, maxBytes, log)
	go s.follower.Run(t.Context())
	return s
}

func (s *followerHarness) waitForState(state State) {
	s.t.Helper()
	for range 200 {
		if s.follower.Status().State == state {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	s.t.Fatalf("it is %+v, want %s", s.follower.Status(), state)
}

// promote has the follower give its view away at the service's present revision.
func (s *followerHarness) promote() (View, error) {
	return s.follower.Promote(s.t.Context(), s.store.Revision())
}

// listStore reads what the service holds.
func (s *followerHarness) listStore() (all []wire.Entry) {
	s.t.Helper()
	for _, prefix := range modelPrefixes {
		listing, err := kvstore.ListAll(s.t.Context(), s.client, kvstore.PriorityLeader, prefix)
		if err != nil {
			s.t.Fatal(err)
		}
		all = append(all, listing.Entries...)
	}
	return all
}

// TestFollower follows a service with thousands of keys through changes, an outage and
// terms of its own. What it gives away is what a fresh read brings.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFollowerHarness(t, 2500, 1<<20)
		s.waitForState(Following)
		check := func(what string) {
			t.Helper()
			view, err := s.promote()
			if err != nil {
				t.Errorf("%s: %v", what, err)
			}
			if fresh := s.listStore(); !reflect.DeepEqual(view.Entries, fresh) {
				t.Errorf("%s: %d entries, a fresh read brings %d", what, len(view.Entries), len(fresh))
			}
			s.follower.Release()
			time.Sleep(time.Second) // it reads everything anew
			s.waitForState(Following)
		}
		check("as listed")
		for i := range 50 {
			s.store.Put(fmt.Sprintf("job/%06d", i*7), `"changed"`)
			s.store.Remove(fmt.Sprintf("job/%06d", i*11))
			s.store.Put(fmt.Sprintf("fin/%d/0", i), `[0,1]`)
			time.Sleep(30 * time.Millisecond)
		}
		check("with changes that have just come")
		s.store.SetOutage(true)
		s.store.Put("host/1/0", `["vm-1"]`)
		time.Sleep(30 * time.Second)
		if s.follower.Ready() {
			t.Error("it is ready in an outage")
		}
		s.store.SetOutage(false)
		s.waitForState(Following)
		check("after an outage")
	})
}

// TestFollowerRefuses: while its view can't be had in time, a term is told so, and why.
func TestFollowerRefuses(t *testing.T) {
	cases := []struct {
		name     string
		maxBytes int
		trouble  func(s *followerHarness)
		want     error
		says     string
	}{
		{"it is larger than it may be", 1000, func(s *followerHarness) { s.waitForState(Demoted) }, nil, "demoted"},
		{"the service does not answer", 1 << 20, func(s *followerHarness) { s.waitForState(Following); s.store.SetOutage(true) }, errNotConfirmedInTime, "in time"},
		{"its changes are no longer kept", 1 << 20, func(s *followerHarness) {
			s.waitForState(Following)
			s.store.Compact()
		}, kvstore.ErrCompacted, "no longer kept"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFollowerHarness(t, 100, c.maxBytes)
				c.trouble(s)
				_, err := s.promote()
				if err == nil || c.want != nil && !errors.Is(err, c.want) || !strings.Contains(err.Error(), c.says) {
					t.Errorf("told %v", err)
				}
				s.store.SetOutage(false)
				s.follower.Release()
			})
		})
	}
}
