package controller

import (
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/fake"
)

// faultOnPath applies the configured injector, if there is one, to the POST requests of one path.
func faultOnPath(path string, configured *atomic.Pointer[fake.FaultInjector]) fake.FaultInjector {
	return func(from string, r *http.Request) fake.InjectedFault {
		if inject := configured.Load(); inject != nil && r.URL.Path == path && r.Method == http.MethodPost {
			return (*inject)(from, r)
		}
		return fake.InjectedFault{}
	}
}

// firstFault applies the second injector to requests into which the first one injects no fault.
func firstFault(first, second fake.FaultInjector) fake.FaultInjector {
	return func(from string, r *http.Request) fake.InjectedFault {
		if fault := first(from, r); fault.Kind != fake.NoFault {
			return fault
		}
		return second(from, r)
	}
}

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
