package fake

import (
	"net/http"
	"slices"
	"time"

	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
	"leadproxy/internal/wire"
)

// SetOutage begins or ends an outage, during which the store refuses the requests of all hosts.
// When it ends, every lease gets its full TTL again.
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

// SetRefused sets whether the store refuses the requests of one host. The host's leases still
// expire.
func (s *KVStore) SetRefused(host string, on bool) {
	s.do(func() { s.refusedHosts[host] = on; s.wakeWatchers() })
}

// SetClockDrift makes the store's clock run fast by a fraction, so that leases granted from now on
// expire early.
func (s *KVStore) SetClockDrift(share float64) { s.do(func() { s.clockDrift = share }) }

// SetDelay sets a delay that is added to every response.
func (s *KVStore) SetDelay(delay time.Duration) { s.do(func() { s.delay = delay }) }

// SetLimits makes the store refuse values, transactions and write rates that exceed the limits.
// Values that are stored already remain readable.
func (s *KVStore) SetLimits(limits settings.StoreLimits) {
	s.do(func() { s.limits, s.writeBudget, s.budgetRefilledAt = limits, limits.WriteRPS, time.Now() })
}

// Compact discards the history of changes (compaction): a watch from an earlier revision gets 410.
func (s *KVStore) Compact() {
	s.do(func() {
		s.revision++
		s.compactedRevision, s.history = s.revision, nil
		s.wakeWatchers()
	})
}

// requestLatency is the minimum duration of a request.
const requestLatency = 2 * time.Millisecond

// withAvailability returns a handler that serves requests with h after the store's delay, and
// responds 503 while it refuses the host. Open watches are not ended.
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

// refuses reports whether the store refuses the requests of a host.
func (s *KVStore) refuses(host string) bool { return s.unavailable || s.refusedHosts[host] }

// enforceLimits checks a transaction against the limits and takes its changes from the write
// budget. It returns the HTTP status code with which the transaction is refused, or 0 if it is
// within the limits.
func (s *KVStore) enforceLimits(transaction *wire.CompareAndSwap) int {
	if s.limits.TxnOps == 0 {
		return 0
	}
	now := time.Now()
	s.writeBudget = min(s.writeBudget+s.limits.WriteRPS*now.Sub(s.budgetRefilledAt).Seconds(), s.limits.WriteRPS)
	s.budgetRefilledAt = now
	if len(transaction.Changes) > s.limits.TxnOps || s.hasLargeValue(transaction.Changes) {
		return http.StatusBadRequest
	}
	if s.writeBudget < float64(len(transaction.Changes)) {
		return http.StatusTooManyRequests
	}
	s.writeBudget -= float64(len(transaction.Changes))
	return 0
}

// hasLargeValue reports whether one of the changes has a value that exceeds the size limit.
func (s *KVStore) hasLargeValue(changes []wire.Change) bool {
	maxBytes := int(s.limits.ValueKB * 1024)
	return slices.ContainsFunc(changes, func(c wire.Change) bool { return len(c.Value) > maxBytes })
}
