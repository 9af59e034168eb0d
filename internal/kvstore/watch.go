package kvstore

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"leadproxy/internal/wire"
)

// WatchDuration is how long a watch waits for changes. The caller notices a lost response only after
// it and watchGrace, which together must be far shorter than an agent's lease.
const WatchDuration = 5 * time.Second

// watchGrace is how much longer than the requested wait the response to a watch may take.
const watchGrace = 2 * time.Second

// Watch returns the changes of the keys under a prefix after a revision. While there are none, it
// waits for one, for the given duration at most. It returns ErrCompacted if the store no longer keeps
// all of them.
func (c *Client) Watch(ctx context.Context, under string, after uint64, wait time.Duration) (changes wire.WatchResponse, err error) {
	query := url.Values{"under": {under}, "from": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	r := request{method: http.MethodGet, path: "/changes?" + query.Encode(), priority: PriorityLeader, timeout: wait + watchGrace}
	resp, err := c.send(ctx, r)
	if err != nil {
		return changes, err
	}
	switch resp.status {
	case http.StatusOK:
		err = resp.decode(&changes)
		c.observeRevision(changes.Revision)
		return changes, err
	case http.StatusGone:
		return changes, r.wrapError(ErrCompacted)
	}
	return changes, resp.rejectionError()
}
