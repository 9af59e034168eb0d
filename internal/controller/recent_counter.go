package controller

import (
	"sync/atomic"
	"time"
)

// recentCounter counts events per second for the last 32 seconds. It is safe for concurrent use.
type recentCounter struct {
	createdAt time.Time
	seconds   [32]struct{ number, count atomic.Int64 } // ring buffer, by number modulo length
}

func newRecentCounter() *recentCounter { return &recentCounter{createdAt: time.Now()} }

// currentSecond returns the number of the current second since createdAt, from 1; 0 marks an
// unused entry of the ring buffer.
func (c *recentCounter) currentSecond() int64 { return int64(time.Since(c.createdAt)/time.Second) + 1 }

// increment counts one event.
func (c *recentCounter) increment() {
	now := c.currentSecond()
	second := &c.seconds[now%int64(len(c.seconds))]
	if second.number.Swap(now) != now {
		second.count.Store(0)
	}
	second.count.Add(1)
}

// countWithin returns how often increment was called within the window, rounded down to whole
// seconds and limited to the length of the ring buffer.
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
