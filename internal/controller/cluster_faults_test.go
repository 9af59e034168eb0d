package controller

import (
	"net/http"
	"sync/atomic"
	"time"

	"leadproxy/internal/fake"
)

// onPath injects a fault that may be set into the requests of one path.
func onPath(path string, trouble *atomic.Pointer[fake.Troubles]) fake.Troubles {
	return func(from string, r *http.Request) fake.Trouble {
		if f := trouble.Load(); f != nil && r.URL.Path == path && r.Method == http.MethodPost {
			return (*f)(from, r)
		}
		return fake.Trouble{}
	}
}

// firstFault is the first of two faults that hits a request.
func firstFault(first, second fake.Troubles) fake.Troubles {
	return func(from string, r *http.Request) fake.Trouble {
		if trouble := first(from, r); trouble.Fault != fake.NoFault {
			return trouble
		}
		return second(from, r)
	}
}

// randomFaults injects a fault that lasts from least to most into a share of the requests.
func (c *cluster) randomFaults(share float64, fault fake.Fault, least, most time.Duration) *fake.Troubles {
	f := fake.Troubles(func(string, *http.Request) fake.Trouble {
		if c.users.Random() >= share {
			return fake.Trouble{}
		}
		return fake.Trouble{Fault: fault, For: least + time.Duration(c.users.Random()*float64(most-least))}
	})
	return &f
}
