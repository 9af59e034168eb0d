package kvstore

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"

	"leadproxy/internal/wire"
)

// noSuchLease is the protocol's error text for a transaction that attaches a key to a lease that has
// expired. Other invalid requests have the same status, 400, so that only the text distinguishes it.
const noSuchLease = "no such lease"

// Get reads a key. found is false when the key does not exist.
func (c *Client) Get(ctx context.Context, p Priority, key string) (entry wire.Entry, found bool, err error) {
	resp, err := c.send(ctx, request{method: http.MethodGet, path: "/store/" + key, priority: p, timeout: requestTimeout})
	if err != nil {
		return entry, false, err
	}
	switch resp.status {
	case http.StatusOK:
		err = resp.decode(&entry)
		c.observeRevision(entry.Version)
		return entry, err == nil, err
	case http.StatusNotFound:
		return entry, false, nil
	}
	return entry, false, resp.rejectionError()
}

// CompareAndSwap executes a transaction. ok is false when a condition failed.
func (c *Client) CompareAndSwap(ctx context.Context, p Priority, txn wire.CompareAndSwap) (ok bool, result wire.CompareAndSwapResponse, err error) {
	if txn.Changes == nil {
		txn.Changes = []wire.Change{}
	}
	r := request{method: http.MethodPost, path: "/txn", body: txn, priority: p, writes: len(txn.Changes), timeout: requestTimeout}
	resp, err := c.send(ctx, r)
	if err != nil {
		return false, result, err
	}
	switch resp.status {
	case http.StatusOK, http.StatusConflict:
		err = resp.decode(&result)
		c.observeRevision(result.Revision)
		return err == nil && resp.status == http.StatusOK, result, err
	}
	if bytes.Contains(resp.body, []byte(noSuchLease)) {
		return false, result, r.wrapError(ErrLeaseExpired)
	}
	if resp.status == http.StatusBadRequest && c.limits.recordRejected(&txn) {
		return false, result, r.wrapError(ErrLimitsLowered)
	}
	return false, result, resp.rejectionError()
}

// List reads a page of at most limit keys under a prefix, those after a key (empty: all), and the
// store's revision.
func (c *Client) List(ctx context.Context, p Priority, under, after string, limit int) (page wire.EntryPage, err error) {
	query := url.Values{"under": {under}, "limit": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("from", after)
	}
	resp, err := c.send(ctx, request{method: http.MethodGet, path: "/store?" + query.Encode(), priority: p, timeout: listTimeout})
	if err != nil {
		return page, err
	}
	if resp.status != http.StatusOK {
		return page, resp.rejectionError()
	}
	err = resp.decode(&page)
	c.observeRevision(page.Revision)
	return page, err
}
