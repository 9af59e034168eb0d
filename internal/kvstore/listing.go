package kvstore

import (
	"context"

	"leadproxy/internal/wire"
)

// listPageSize is the number of keys in a page.
const listPageSize = 1000

// Lister reads pages of keys.
type Lister interface {
	List(ctx context.Context, p Priority, under, after string, limit int) (wire.EntryPage, error)
}

// Listing holds all keys under a prefix. They were read in pages, the first at FirstRevision of the
// store and the last at LastRevision, so that it is no snapshot.
type Listing struct {
	Entries       []wire.Entry
	FirstRevision uint64
	LastRevision  uint64
}

// ListAll reads all keys under a prefix, page by page.
func ListAll(ctx context.Context, l Lister, p Priority, under string) (Listing, error) {
	var all Listing
	for after := ""; ; {
		page, err := l.List(ctx, p, under, after, listPageSize)
		if err != nil {
			return Listing{}, err
		}
		if all.FirstRevision == 0 {
			all.FirstRevision = page.Revision
		}
		all.Entries = append(all.Entries, page.Entries...)
		all.LastRevision = page.Revision
		if !page.More || len(page.Entries) == 0 {
			return all, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}
