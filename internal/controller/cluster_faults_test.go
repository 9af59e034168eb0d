package controller

import (
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/election"
	"leadproxy/internal/fake"
	"leadproxy/internal/ledger"
)

// faultOn applies the configured injector, if there is one, to the requests that match.
func faultOn(matches func(r *http.Request) bool, configured *atomic.Pointer[fake.FaultInjector]) fake.FaultInjector {
	return func(from string, r *http.Request) fake.InjectedFault {
		if inject := configured.Load(); inject != nil && matches(r) {
			return (*inject)(from, r)
		}
		return fake.InjectedFault{}
	}
}

// faultOnPath applies the configured injector, if there is one, to the POST requests of one path.
func faultOnPath(path string, configured *atomic.Pointer[fake.FaultInjector]) fake.FaultInjector {
	return faultOn(func(r *http.Request) bool { return r.URL.Path == path && r.Method == http.MethodPost }, configured)
}

// isJobWatch reports whether a request is the leader's watch of the job records.
func isJobWatch(r *http.Request) bool { return fake.IsWatch(r, ledger.JobPrefix) }

// isLeaderWatch reports whether a request is a follower's watch of the leader key.
func isLeaderWatch(r *http.Request) bool { return fake.IsWatch(r, election.LeaderKey) }

// randomFaults returns an injector that injects a fault of the given kind into each request with the
// given probability. The fault's delay is between minDelay and maxDelay.
func (c *cluster) randomFaults(probability float64, kind fake.FaultKind, minDelay, maxDelay time.Duration) *fake.FaultInjector {
	inject := fake.FaultInjector(func(string, *http.Request) fake.InjectedFault {
		if c.users.Random() >= probability {
			return fake.InjectedFault{}
		}
		return fake.InjectedFault{Kind: kind, Delay: minDelay + time.Duration(c.users.Random()*float64(maxDelay-minDelay))}
	})
	return &inject
}
