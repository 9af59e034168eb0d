package ledger

import (
	"strconv"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/election"
	"leadproxy/internal/wire"
)

// What a transaction takes on the wire besides keys and values, as an upper bound.
const (
	transactionOverheadBytes = 200
	changeOverheadBytes      = 100
)

// batch gathers the writes of one transaction.
type batch struct {
	writes    []*pendingWrite
	isolated  bool // its one write goes alone
	bytes     int
	maxWrites int
	maxBytes  int
}

// add adds a write if it fits. The first one always does.
func (b *batch) add(write *pendingWrite, isolated bool) bool {
	size := len(write.value) + 2*len(write.key) + changeOverheadBytes // the key is in a condition too
	if len(b.writes) > 0 && (b.isolated || isolated || b.bytes+size > b.maxBytes) {
		return false
	}
	b.writes = append(b.writes, write)
	b.isolated = isolated
	b.bytes += size
	return true
}

// transaction is a request to the store with the writes that it carries.
type transaction struct {
	writes     []*pendingWrite
	movesFence bool
	request    wire.CompareAndSwap
}

// transactionBuilder makes the transactions of one term and owns the versions of all keys
// that the leader writes. The fence is a key whose change makes every earlier transaction without
// a response fail; it has nothing to do with the agents' fencing tokens. A late copy of an earlier transaction always fails its conditions:
// each has the fence's version among them, and what follows a transaction of unknown outcome
// moves the fence. Without it, a copy that creates a key would find the key as it was before,
// missing, once it is deleted, and bring it back.
type transactionBuilder struct {
	term     uint64
	versions map[string]uint64
	// outcomeUnknown is set when it isn't known whether the last transaction was carried
	// out: the next one has to move the fence.
	outcomeUnknown bool
}

// maxWrites is how many writes the next transaction may carry.
func (b *transactionBuilder) maxWrites(limits Limits) int {
	if b.outcomeUnknown {
		return limits.MaxChanges - 1 // the fence takes one
	}
	return limits.MaxChanges
}

// build makes the transaction of some writes.
func (b *transactionBuilder) build(writes []*pendingWrite) transaction {
	t := transaction{writes: writes, movesFence: b.outcomeUnknown}
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

// change is the write as part of a transaction.
func (w *pendingWrite) change() wire.Change {
	if w.value == nil {
		return wire.Change{Delete: w.key}
	}
	return wire.Change{Set: w.key, Value: w.value}
}

// setVersionIfUnknown takes the version of a key that another controller has created, unless the
// ledger knows one.
func (b *transactionBuilder) setVersionIfUnknown(key string, version uint64) {
	if _, known := b.versions[key]; !known && version > 0 {
		b.versions[key] = version
	}
}

// recordCommit takes the revision at which a transaction was carried out.
func (b *transactionBuilder) recordCommit(t transaction, revision uint64) {
	if t.movesFence {
		b.versions[fenceKey], b.outcomeUnknown = revision, false
	}
	for _, write := range t.writes {
		if write.value == nil {
			delete(b.versions, write.key)
		} else {
			b.versions[write.key] = revision
		}
	}
}
