package ledger

import (
	"context"

	"leadproxy/internal/kvstore"
	"leadproxy/internal/wire"
)

// Load reads the whole ledger from the store. The error is a *KeyError.
func (l *Ledger) Load(ctx context.Context) (Snapshot, error) {
	var entries []wire.Entry
	var revision uint64
	for _, prefix := range Prefixes() {
		listing, err := kvstore.ListAll(ctx, l.committer.store, kvstore.PriorityLeader, prefix)
		if err != nil {
			return Snapshot{}, &KeyError{Op: OpList, Key: prefix, Err: err}
		}
		if revision == 0 {
			revision = listing.FirstRevision
		}
		entries = append(entries, listing.Entries...)
	}
	return l.LoadEntries(entries, revision), nil
}

// LoadEntries initializes the ledger from entries that were already read, all of them at the given
// revision or later. Malformed entries are logged and listed in the snapshot.
func (l *Ledger) LoadEntries(entries []wire.Entry, revision uint64) Snapshot {
	for _, entry := range entries {
		l.transactions.versions[entry.Key] = entry.Version
	}
	snapshot := decodeSnapshot(entries)
	snapshot.Revision = revision
	for _, malformed := range snapshot.Malformed {
		l.log.Error("malformed ledger key skipped", "key", malformed.Key, "error", malformed.Err)
	}
	return snapshot
}
