package controller

import (
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/fake"
)

// faultOnPath injects a fault that may be set into the requests of one path.
func faultOnPath(path string, trouble *atomic.Pointer[fake.FaultInjector]) fake.FaultInjector {
	return func(from string, r *http.Request) fake.InjectedFault {
		if f := trouble.Load(); f != nil && r.URL.Path == path && r.Method == http.MethodPost {
			return (*f)(from, r)
		}
		return fake.InjectedFault{}
	}
}

// firstFaultStart is the first of two faults that hits a request.
func firstFault(first, second fake.FaultInjector) fake.FaultInjector {
	return func(from string, r *http.Request) fake.InjectedFault {
		if trouble := first(from, r); trouble.Kind != fake.NoFault {
			return trouble
		}
		return second(from, r)
	}
}

// randomFaults injects a fault that lasts from least to most into a share of the requests.
func (c *cluster) randomFaults(share float64, fault fake.FaultKind, least, most time.Duration) *fake.FaultInjector {
	f := fake.FaultInjector(func(string, *http.Request) fake.InjectedFault {
		if c.users.Random() >= share {
			return fake.InjectedFault{}
		}
		return fake.InjectedFault{Kind: fault, Delay: least + time.Duration(c.users.Random()*float64(most-least))}
	})
	return &f
}
