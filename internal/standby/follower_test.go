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

// followerHarness runs a follower against a fake key-value store.
type followerHarness struct {
	t        *testing.T
	store    *fake.KVStore
	client   *kvstore.Client
	follower *Follower
}

// newFollowerHarness starts a follower, limited to maxBytes, of a store with a number of keys.
func newFollowerHarness(t *testing.T, keys, maxBytes int) *followerHarness {
	network := fake.NewNetwork(t)
	h := &followerHarness{t: t, store: fake.NewKVStore(t, network.Host("state"), "state:1", nil)}
	for i := range keys {
		h.store.Put(fmt.Sprintf("job/%06d", i), fmt.Sprintf(`"value %d"`, i))
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	h.client = kvstore.New(t.Context(), network.Host("n1"), "state:1", settings.StoreLimits{RPS: 200, WriteRPS: 100, ValueKB: 16, TxnOps: 32}, 0.5, log)
	h.follower = NewFollower(h.client, modelPrefixes, maxBytes, log)
	go h.follower.Run(t.Context())
	return h
}

// waitForState waits up to 20 s until the follower is in a state.
func (h *followerHarness) waitForState(state State) {
	h.t.Helper()
	for range 200 {
		if h.follower.Status().State == state {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	h.t.Fatalf("status is %+v, want state %s", h.follower.Status(), state)
}

// promote promotes the replica for a term that was won at the store's current revision.
func (h *followerHarness) promote() (View, error) {
	return h.follower.Promote(h.t.Context(), h.store.Revision())
}

// listStore lists the store's entries under the follower's prefixes.
func (h *followerHarness) listStore() (entries []wire.Entry) {
	h.t.Helper()
	for _, prefix := range modelPrefixes {
		listing, err := kvstore.ListAll(h.t.Context(), h.client, kvstore.PriorityLeader, prefix)
		if err != nil {
			h.t.Fatal(err)
		}
		entries = append(entries, listing.Entries...)
	}
	return entries
}

// TestFollower follows a store with thousands of keys through changes, an outage of the store and
// terms of this controller. Each promoted view must equal a listing of the store.
func TestFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newFollowerHarness(t, 2500, 1<<20)
		h.waitForState(Following)
		check := func(situation string) {
			t.Helper()
			view, err := h.promote()
			if err != nil {
				t.Errorf("%s: promotion failed: %v", situation, err)
			}
			if listed := h.listStore(); !reflect.DeepEqual(view.Entries, listed) {
				t.Errorf("%s: the view has %d entries that differ from the %d listed ones", situation, len(view.Entries), len(listed))
			}
			h.follower.Release()
			time.Sleep(time.Second) // in which the follower begins to read its replica again
			h.waitForState(Following)
		}
		check("after the first listing")
		for i := range 50 {
			h.store.Put(fmt.Sprintf("job/%06d", i*7), `"changed"`)
			h.store.Remove(fmt.Sprintf("job/%06d", i*11))
			h.store.Put(fmt.Sprintf("fin/%d/0", i), `[0,1]`)
			time.Sleep(30 * time.Millisecond)
		}
		check("right after changes")
		h.store.SetOutage(true)
		h.store.Put("host/1/0", `["vm-1"]`)
		time.Sleep(30 * time.Second)
		if h.follower.Ready() {
			t.Error("the follower is ready during an outage of the store")
		}
		h.store.SetOutage(false)
		h.waitForState(Following)
		check("after an outage of the store")
	})
}

// TestFollowerRefuses checks that a promotion fails, with the reason, when the follower can't
// confirm in time that its replica is complete. Otherwise a new term would act on an outdated
// ledger or wait for the standby instead of reading the ledger from the store.
func TestFollowerRefuses(t *testing.T) {
	cases := []struct {
		name     string
		maxBytes int
		prepare  func(h *followerHarness)
		wantErr  error // nil: any
		wantText string
	}{
		{"replica exceeds its memory limit", 1000, func(h *followerHarness) { h.waitForState(Demoted) }, nil, "demoted"},
		{"store does not respond", 1 << 20, func(h *followerHarness) { h.waitForState(Following); h.store.SetOutage(true) }, errNotConfirmedInTime, "in time"},
		{"changes since the replica's revision are compacted", 1 << 20, func(h *followerHarness) {
			h.waitForState(Following)
			h.store.Compact()
		}, kvstore.ErrCompacted, "no longer kept"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newFollowerHarness(t, 100, test.maxBytes)
				test.prepare(h)
				_, err := h.promote()
				if err == nil || test.wantErr != nil && !errors.Is(err, test.wantErr) || !strings.Contains(err.Error(), test.wantText) {
					t.Errorf("promotion did not fail with the expected error: %v", err)
				}
				h.store.SetOutage(false)
				h.follower.Release()
			})
		})
	}
}
