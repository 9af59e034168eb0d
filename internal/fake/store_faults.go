package fake

import (
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// SetOutage makes the store refuse all hosts, or ends that: then every lease has its full time to live
// again.
func (s *KVStore) SetOutage(on bool) {
	s.do(func() {
		s.unavailable = on
		if !on {
			for _, l := range s.leases {
				l.expiresAt = time.Now().Add(l.ttl)
			}
			s.wakeWatchers()
		}
	})
}

// SetRefused makes the store refuse one host, or ends that. The host's leases expire meanwhile.
func (s *KVStore) SetRefused(host string, on bool) {
	s.do(func() { s.refusedHosts[host] = on; s.wakeWatchers() })
}

// SetClockDrift makes the store's clock run fast by a share, so that leases expire early.
func (s *KVStore) SetClockDrift(share float64) { s.do(func() { s.clockDrift = share }) }

// SetDelay delays every response.
func (s *KVStore) SetDelay(d time.Duration) { s.do(func() { s.delay = d }) }

// SetLimits makes the store refuse values and transactions beyond the limits, and writes beyond the
// rate, from now on. What is stored stays readable.
func (s *KVStore) SetLimits(l settings.StoreLimits) {
	s.do(func() { s.limits, s.writeBudget, s.budgetRefilledAt = l, l.WriteRPS, time.Now() })
}

// Compact discards the history of changes (compaction): a watch from an earlier revision gets 410.
func (s *KVStore) Compact() {
	s.do(func() {
		s.revision++
		s.compactedRevision, s.history = s.revision, nil
		s.wakeWatchers()
	})
}

// requestLatency is how long each request takes at least.
const requestLatency = 2 * time.Millisecond

// withAvailability serves h with the store's delay and refuses requests while it is unavailable.
// Open watches are not ended.
func (s *KVStore) withAvailability(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var refused bool
		var delay time.Duration
		s.do(func() { refused, delay = s.refuses(r.RemoteAddr), s.delay })
		transport.Pause(r.Context(), requestLatency+delay)
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// refuses reports whether requests of a host are refused.
func (s *KVStore) refuses(host string) bool { return s.unavailable || s.refusedHosts[host] }

// enforceLimits is the status code with which a transaction is refused because of the limits;
// 0: it is not.
func (s *KVStore) enforceLimits(t *wire.CompareAndSwap) int {
	if s.limits.TxnOps == 0 {
		return 0
	}
	now := time.Now()
	s.writeBudget = min(s.writeBudget+s.limits.WriteRPS*now.Sub(s.budgetRefilledAt).Seconds(), s.limits.WriteRPS)
	s.budgetRefilledAt = now
	if len(t.Changes) > s.limits.TxnOps || s.hasLargeValue(t.Changes) {
		return http.StatusBadRequest
	}
	if s.writeBudget < float64(len(t.Changes)) {
		return http.StatusTooManyRequests
	}
	s.writeBudget -= float64(len(t.Changes))
	return 0
}

// hasLargeValue reports whether a value is larger than the limit.
func (s *KVStore) hasLargeValue(changes []wire.Change) bool {
	maxBytes := int(s.limits.ValueKB * 1024)
	return slices.ContainsFunc(changes, func(c wire.Change) bool { return len(c.Value) > maxBytes })
}
