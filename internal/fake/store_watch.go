package fake

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"leadproxy/internal/wire"
)

// watchRequest is a long-polling request for the changes under a prefix.
type watchRequest struct {
	from   uint64 // changes after this revision
	prefix string
	wait   time.Duration // time after which the response is sent even without changes
}

func parseWatchRequest(r *http.Request) (watchRequest, error) {
	from, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if err != nil {
		return watchRequest{}, fmt.Errorf("from must be a number: %w", err)
	}
	milliseconds, err := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil {
		return watchRequest{}, fmt.Errorf("wait_ms must be a number: %w", err)
	}
	return watchRequest{from: from, prefix: r.FormValue("under"), wait: time.Duration(milliseconds) * time.Millisecond}, nil
}

func (s *KVStore) handleWatch(w http.ResponseWriter, r *http.Request) {
	request, err := parseWatchRequest(r)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, wire.ErrorResponse{Error: err.Error()})
		return
	}
	compacted := false
	s.do(func() { compacted = request.from < s.compactedRevision })
	if compacted {
		writeJSON(w, http.StatusGone, wire.ErrorResponse{Error: "no longer kept"})
		return
	}
	deadline := time.Now().Add(request.wait)
	for {
		response, refused := wire.WatchResponse{Events: []wire.WatchEvent{}}, false
		changed := make(chan struct{})
		s.do(func() { response, refused = s.eventsSince(request, r.RemoteAddr, changed), s.refuses(r.RemoteAddr) })
		// A watch stays open while its host is refused, also past its deadline.
		if !refused && (len(response.Events) > 0 || !time.Now().Before(deadline)) {
			writeJSON(w, http.StatusOK, response)
			return
		}
		if !waitForChange(r.Context(), changed, deadline, refused) {
			return
		}
	}
}

// waitForChange waits until a watch must check again: after a change, or at its deadline unless its
// host is refused. It returns false if ctx ends first.
func waitForChange(ctx context.Context, changed <-chan struct{}, deadline time.Time, refused bool) bool {
	var expired <-chan time.Time
	if !refused {
		timeout := time.NewTimer(time.Until(deadline))
		defer timeout.Stop()
		expired = timeout.C
	}
	select {
	case <-changed:
	case <-expired:
	case <-ctx.Done():
		return false
	}
	return true
}

// eventsSince returns the events for a watch from a host. If there are none, or the host is
// refused, it registers changed, which is closed when the watch must check again.
func (s *KVStore) eventsSince(request watchRequest, host string, changed chan struct{}) wire.WatchResponse {
	response := wire.WatchResponse{Events: []wire.WatchEvent{}}
	if s.refuses(host) {
		s.watchers = append(s.watchers, changed)
		return response
	}
	response.Revision = s.revision
	for _, event := range s.history {
		if event.Version > request.from && strings.HasPrefix(event.Set+event.Delete, request.prefix) {
			response.Events = append(response.Events, event)
		}
	}
	if len(response.Events) == 0 {
		s.watchers = append(s.watchers, changed)
	}
	return response
}

// wakeWatchers makes all waiting watches check for events again.
func (s *KVStore) wakeWatchers() {
	for _, watcher := range s.watchers {
		close(watcher)
	}
	s.watchers = nil
}
