package jobapi

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"testing"
	"time"

	"leadproxy/internal/dispatch"
	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/ledger"
	"leadproxy/internal/metrics"
	"leadproxy/internal/scheduler"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// fakeStore is a key-value store that contains only job records.
type fakeStore struct {
	records     map[string]ledger.JobRecord
	unavailable bool // all requests fail with ErrUnavailable
	overloaded  bool // writes fail with ErrOverloaded
	// partitioned simulates a partition from the store: requests block until their context
	// ends.
	partitioned bool
}

func (f *fakeStore) Get(ctx context.Context, _ kvstore.Priority, key string) (wire.Entry, bool, error) {
	if f.partitioned {
		<-ctx.Done()
		return wire.Entry{}, false, kvstore.ErrUnknownOutcome
	}
	if f.unavailable {
		return wire.Entry{}, false, kvstore.ErrUnavailable
	}
	record, ok := f.records[key]
	value, err := json.Marshal(record)
	return wire.Entry{Key: key, Value: value, Version: 3}, ok, err
}

func (f *fakeStore) Serving() bool { return !f.partitioned }

func (f *fakeStore) Limits() kvstore.Limits {
	return kvstore.Limits{MaxChanges: 8, MaxValueBytes: 16 << 10, WriteRPS: 40}
}

func (f *fakeStore) CompareAndSwap(ctx context.Context, _ kvstore.Priority, transaction wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	if f.partitioned {
		<-ctx.Done()
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	if f.unavailable {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnavailable
	}
	if f.overloaded {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrOverloaded
	}
	for _, condition := range transaction.Conditions {
		if _, ok := f.records[condition.Key]; ok {
			return false, wire.CompareAndSwapResponse{FailedKeys: []string{condition.Key}}, nil
		}
	}
	for _, change := range transaction.Changes {
		var record ledger.JobRecord
		if err := json.Unmarshal(change.Value, &record); err != nil {
			return false, wire.CompareAndSwapResponse{}, err
		}
		f.records[change.Set] = record
	}
	return true, wire.CompareAndSwapResponse{Revision: 9}, nil
}

// fakePeers has one other controller, which responds to every forwarded request with response. If
// it is nil, the controller does not respond.
type fakePeers struct{ response *Response }

func (f *fakePeers) Ask(context.Context, string, Request) (Response, error) {
	if f.response == nil {
		return Response{}, errors.New("no response")
	}
	return *f.response, nil
}

func (f *fakePeers) Names() []string { return []string{"n2"} }

// fakeDispatcher is the dispatcher of a follower.
type fakeDispatcher struct{}

func (fakeDispatcher) Status(context.Context, string) (wire.JobStatus, error) {
	return wire.JobStatus{}, dispatch.ErrNotLeader
}

func (fakeDispatcher) Cancel(context.Context, string) (wire.JobStatus, error) {
	return wire.JobStatus{}, dispatch.ErrNotLeader
}

func (fakeDispatcher) NotifyJobRecord(scheduler.JobRecordEvent) {}

// newTestService returns the service of controller n1, a follower, with one team and one machine
// type. change, unless nil, modifies the configuration.
func newTestService(t *testing.T, store Store, peers Peers, change func(config *Config)) *Service {
	t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	config := Config{
		Platform: &settings.Platform{Name: "n1", Facts: settings.Facts{
			Teams: []settings.Team{{Name: "t", CPUsMax: 6}},
			Store: settings.StoreLimits{WriteRPS: 40, TxnOps: 8, ValueKB: 16},
		}},
		Elector:    election.New("n1", settings.Operator{LeaderLease: time.Second}, nil, log),
		Store:      store,
		Dispatcher: fakeDispatcher{},
		Peers:      peers,
		MachineTypes: func() ([]wire.MachineType, bool) {
			return []wire.MachineType{{Name: "m", CPUs: 8, MemGB: 32, Zones: []string{"a"}}}, true
		},
		StoreShare:         0.5,
		PipelinesSupported: func() bool { return true },
		Metrics:            metrics.New(),
		Log:                log,
	}
	if change != nil {
		change(&config)
	}
	return New(t.Context(), config)
}
