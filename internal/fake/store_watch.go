package fake

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"leadproxy/internal/wire"
)

// watchRequest asks for the changes under a prefix after a revision, and is answered at the latest
// after a while.
type watchRequest struct {
	from   uint64
	prefix string
	wait   time.Duration
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
				continue // it stays open until the host is served again
			}
			writeJSON(w, http.StatusOK, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events that a watch from a host asks for. If there are none, or the host
// is refused, changed is closed when the watch should try again.
func (s *KVStore) eventsSince(request watchRequest, host string, changed chan struct{}) wire.WatchResponse {
	response := wire.WatchResponse{Events: []wire.WatchEvent{}}
	if s.refuses(host) {
		s.watchers = append(s.watchers, changed)
		return response
	}
	response.Revision = s.revision
	for _, e := range s.history {
		if e.Version > request.from && strings.HasPrefix(e.Set+e.Delete, request.prefix) {
			response.Events = append(response.Events, e)
		}
	}
	if len(response.Events) == 0 {
		s.watchers = append(s.watchers, changed)
	}
	return response
}

// wakeWatchers makes all open watches look for events again.
func (s *KVStore) wakeWatchers() {
	for _, w := range s.watchers {
		close(w)
	}
	s.watchers = nil
}
