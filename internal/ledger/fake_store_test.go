package ledger

import (
	"context"

	"leadproxy/internal/election"
	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// What happens to a transaction in the fake store.
const (
	outcomeApplied        = 'c'
	outcomeRequestLost    = 'l' // not carried out, outcome unknown
	outcomeResponseLost   = 'r' // carried out, outcome unknown
	outcomeDelayed        = 'h' // outcome unknown; kept, to be carried out later
	outcomeInvalidRequest = 'b'
	outcomeLimitsLowered  = 'z'
)

// fakeStore is a key-value store whose transactions can be lost on either way or come late.
type fakeStore struct {
	revision uint64
	keys     map[string]uint64 // the versions
	values   map[string]string
	// outcomes are of the coming transactions, one letter each. Further ones are carried out.
	outcomes            string
	delayedTransactions []wire.CompareAndSwap
	// rejectedKey, unless empty, is a key that the store finds malformed.
	rejectedKey string
	// lock, unless nil, is taken by whoever reads or changes the rest. Waiting for a
	// channel, unlike for a mutex, lets the time of a synctest bubble pass.
	lock chan struct{}
}

// newFakeStore is a store whose leader key has a version, the term.
func newFakeStore(term uint64) *fakeStore {
	return &fakeStore{revision: 9, keys: map[string]uint64{election.LeaderKey: term}, values: map[string]string{}}
}

// acquire takes the lock; the result releases it.
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

func (f *fakeStore) CompareAndSwap(_ context.Context, _ kvstore.Priority, t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse, error) {
	defer f.acquire()()
	fate := byte(outcomeApplied)
	if f.outcomes != "" {
		fate, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	switch fate {
	case outcomeRequestLost:
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	case outcomeInvalidRequest:
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrInvalidRequest
	case outcomeLimitsLowered:
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrLimitsLowered
	case outcomeDelayed:
		f.delayedTransactions = append(f.delayedTransactions, t)
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	for _, c := range t.Changes {
		if f.rejectedKey != "" && c.Set == f.rejectedKey {
			return false, wire.CompareAndSwapResponse{}, kvstore.ErrInvalidRequest
		}
	}
	ok, response := f.apply(t)
	if fate == outcomeResponseLost {
		return false, wire.CompareAndSwapResponse{}, kvstore.ErrUnknownOutcome
	}
	return ok, response, nil
}

// apply carries a transaction out if its conditions hold.
func (f *fakeStore) apply(t wire.CompareAndSwap) (bool, wire.CompareAndSwapResponse) {
	var failed []string
	for _, c := range t.Conditions {
		if f.keys[c.Key] != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return false, wire.CompareAndSwapResponse{FailedKeys: failed}
	}
	f.revision++
	for _, c := range t.Changes {
		if c.Delete != "" {
			delete(f.keys, c.Delete)
			delete(f.values, c.Delete)
			continue
		}
		f.keys[c.Set], f.values[c.Set] = f.revision, string(c.Value)
	}
	return true, wire.CompareAndSwapResponse{Revision: f.revision}
}

// applyDelayed carries out all transactions that were held back.
func (f *fakeStore) applyDelayed() {
	for _, t := range f.delayedTransactions {
		f.apply(t)
	}
}
