package ledger

import (
	"context"

	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// The outcomes of transactions in the fake store.
const (
	outcomeApplied        = 'c'
	outcomeRequestLost    = 'l' // not applied; the client sees an unknown outcome
	outcomeResponseLost   = 'r' // applied; the client sees an unknown outcome
	outcomeDelayed        = 'h' // kept, to be applied later; the client sees an unknown outcome
	outcomeInvalidRequest = 'b'
	outcomeLimitsLowered  = 'z'
)

// fakeStore is a key-value store that can lose requests and responses, and delay transactions.
type fakeStore struct {
	revision uint64
	keys     map[string]uint64 // versions by key
	values   map[string]string
	// outcomes holds the outcomes of the next transactions, one letter each. Later ones are
	// applied.
	outcomes            string
	delayedTransactions []wire.CompareAndSwap
	// rejectedKey, unless empty, is a key whose changes the store rejects as invalid.
	rejectedKey string
	// lock, unless nil, guards the other fields. It is a channel, because time in a synctest
	// bubble advances while a goroutine waits for a channel, but not while it waits for a mutex.
	lock chan struct{}
}

// newFakeStore returns a store whose leader key has the term as its version.
func newFakeStore(term uint64) *fakeStore {
	return &fakeStore{revision: 9, keys: map[string]uint64{election.LeaderKey: term}, values: map[string]string{}}
}

// acquire acquires the lock, if there is one, and returns the function that releases it.
func (f *fakeStore) acquire() (release func()) {
	if f.lock == nil {
		return func() {}
	}
	f.lock <- struct{}{}
	return func() { <-f.lock }
}

func (f *fakeStore) Get(_ context.Context, _ kvstore.Priority, key string) (wire.Entry, bool, error) {
	version, found := f.keys[key]
	return wire.Entry{Key: key, Version: version}, found, nil
}

func (f *fakeStore) List(context.Context, kvstore.Priority, string, string, int) (wire.EntryPage, error) {
	return wire.EntryPage{Revision: f.revision}, nil
}

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, request wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	defer f.acquire()()
	outcome := byte(outcomeApplied)
	if f.outcomes != "" {
		outcome, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	switch outcome {
	case outcomeRequestLost:
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	case outcomeInvalidRequest:
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrInvalidRequest
	case outcomeLimitsLowered:
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrLimitsLowered
	case outcomeDelayed:
		f.delayedTransactions = append(f.delayedTransactions, request)
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	for _, c := range request.Changes {
		if f.rejectedKey != "" && c.Set == f.rejectedKey {
			return false, wire.CompareAndSwapResponse{}, kvstore.ErrInvalidRequest
		}
	}
	ok, response := f.apply(request)
	if outcome == outcomeResponseLost {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	return ok, response, nil
}

// apply applies a transaction if its conditions hold.
func (f *fakeStore) apply(request wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse) {
	var failed []string
	for _, c := range request.Conditions {
		if f.keys[c.Key] != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return false, wire.CompareAndSwapResponse{FailedKeys: failed}
	}
	f.revision++
	for _, c := range request.Changes {
		if c.Delete != "" {
			delete(f.keys, c.Delete)
			delete(f.values, c.Delete)
			continue
		}
		f.keys[c.Set], f.values[c.Set] = f.revision, string(c.Value)
	}
	return true, wire.CompareAndSwapResponse{Revision: f.revision}
}

// applyDelayed applies all delayed transactions whose conditions still hold.
func (f *fakeStore) applyDelayed() {
	for _, request := range f.delayedTransactions {
		f.apply(request)
	}
}
