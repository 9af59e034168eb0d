package controller

import (
	"sync/atomic"
	"time"
)

// recentCounter counts what has happened in the last seconds.
type recentCounter struct {
	createdAt time.Time
	seconds   [32]struct{ number, count atomic.Int64 } // a ring
}

func newRecentCounter() *recentCounter { return &recentCounter{createdAt: time.Now()} }

// currentSecond numbers the seconds, from 1.
func (c *recentCounter) currentSecond() int64 { return int64(time.Since(c.createdAt)/time.Second) + 1 }

// increment counts one.
func (c *recentCounter) increment() {
	now := c.currentSecond()
	second := &c.seconds[now%int64(len(c.seconds))]
	if second.number.Swap(now) != now {
		second.count.Store(0)
	}
	second.count.Add(1)
}

// countWithin is how often increment was called within a time, to the second and as far
// back as the ring goes.
func (c *recentCounter) countWithin(window time.Duration) int {
	now := c.currentSecond()
	sum := int64(0)
	for i := range c.seconds {
		if number := c.seconds[i].number.Load(); number > 0 && now-number < int64(window/time.Second) {
			sum += c.seconds[i].count.Load()
		}
	}
	return int(sum)
}
