package fake

import (
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
	timeout := time.NewTimer(request.wait)
	defer timeout.Stop()
	for {
		response := wire.WatchResponse{Events: []wire.WatchEvent{}}
		changed := make(chan struct{})
		s.do(func() { response = s.eventsSince(request, r.RemoteAddr, changed) })
		if len(response.Events) > 0 {
			writeJSON(w, http.StatusOK, response)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			refused := false
			s.do(func() { refused = s.refuses(r.RemoteAddr) })
			if refused {
				continue // the watch stays open while the host is refused, and then until a change
			}
			writeJSON(w, http.StatusOK, response)
			return
		case <-r.Context().Done():
			return
		}
	}
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
