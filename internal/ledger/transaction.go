package ledger

import (
	"slices"
	"strconv"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/wire"
)

// Upper bounds of the encoded size of a transaction besides its keys and values.
const (
	transactionOverheadBytes = 200
	changeOverheadBytes      = 100
)

// batch collects the writes of one transaction, within its limits.
type batch struct {
	deletes   bool // a write deletes its key, so that the transaction moves the fence
	writes    []*pendingWrite
	isolated  bool // its only write must not share a transaction
	bytes     int
	maxWrites int
	maxBytes  int
}

// add adds a write if the batch has space for it, and reports whether it did. It always accepts the
// first write, whatever its size. An isolated write is accepted only by an empty batch, and no
// other after it.
func (b *batch) add(write *pendingWrite, isolated bool) bool {
	size := len(write.value) + 2*len(write.key) + changeOverheadBytes // the key is part of a condition and of a change
	if len(b.writes) > 0 && (b.isolated || isolated || b.bytes+size > b.maxBytes) {
		return false
	}
	if write.deletes() && !b.deletes {
		if len(b.writes) > 0 && len(b.writes)+1 >= b.maxWrites {
			return false
		}
		b.deletes = true
		b.maxWrites-- // one change is the fence
	}
	b.writes = append(b.writes, write)
	b.isolated = isolated
	b.bytes += size
	return true
}

// transaction is a request to the store together with the writes that it contains.
type transaction struct {
	writes     []*pendingWrite
	movesFence bool
	request    wire.CompareAndSwap
}

// transactionBuilder builds the transactions of one term and tracks the versions of all keys that
// the leader writes.
//
// Every transaction is conditional on the version of the fence, a key that has nothing to do with
// the agents' fencing tokens. The transaction after one of unknown outcome moves the fence, that is,
// writes it to change its version, so that a late execution of the earlier one always fails its
// conditions. So does a transaction that deletes keys, for the copies of those that created them.
// Without the fence, a late or repeated transaction that creates a key would find its condition met
// if the key has been deleted in the meantime, and would restore it.
type transactionBuilder struct {
	term     uint64
	versions map[string]uint64
	// outcomeUnknown is set when it is unknown whether the last transaction was applied. The
	// next one must then move the fence.
	outcomeUnknown bool
}

// maxWrites returns the maximum number of writes in the next transaction.
func (b *transactionBuilder) maxWrites(limits Limits) int {
	if b.outcomeUnknown {
		return limits.MaxChanges - 1 // one change is the fence
	}
	return limits.MaxChanges
}

// build returns the transaction for the given writes, conditional on the term, on the fence and on
// the known versions of the written keys.
func (b *transactionBuilder) build(writes []*pendingWrite) transaction {
	t := transaction{writes: writes, movesFence: b.outcomeUnknown || slices.ContainsFunc(writes, (*pendingWrite).deletes)}
	t.request.Conditions = []wire.Condition{{Key: election.LeaderKey, Version: b.term}, {Key: fenceKey, Version: b.versions[fenceKey]}}
	if t.movesFence {
		t.request.Changes = append(t.request.Changes, wire.Change{Set: fenceKey, Value: json.RawMessage(strconv.FormatUint(b.term, 10))})
	}
	for _, write := range writes {
		t.request.Conditions = append(t.request.Conditions, wire.Condition{Key: write.key, Version: b.versions[write.key]})
		t.request.Changes = append(t.request.Changes, write.change())
	}
	return t
}

// deletes reports whether the write deletes its key.
func (w *pendingWrite) deletes() bool { return w.value == nil }

// change returns the write as a change of a transaction.
func (w *pendingWrite) change() wire.Change {
	if w.deletes() {
		return wire.Change{Delete: w.key}
	}
	return wire.Change{Set: w.key, Value: w.value}
}

// setVersionIfUnknown sets the version of a key that another controller has created. It has no
// effect if the ledger knows a version of the key, or if version is 0.
func (b *transactionBuilder) setVersionIfUnknown(key string, version uint64) {
	if _, known := b.versions[key]; !known && version > 0 {
		b.versions[key] = version
	}
}

// recordCommit updates the known versions after a transaction was applied at a revision.
func (b *transactionBuilder) recordCommit(t transaction, revision uint64) {
	if t.movesFence {
		b.versions[fenceKey], b.outcomeUnknown = revision, false
	}
	for _, write := range t.writes {
		if write.deletes() {
			delete(b.versions, write.key)
		} else {
			b.versions[write.key] = revision
		}
	}
}
