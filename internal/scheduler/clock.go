package scheduler

import "time"

// clock holds the time of the current event, and reference times of the term. Only Step and tick
// update it.
type clock struct {
	now    time.Duration // the controller's monotonic time
	wallMS int64         // Unix time in milliseconds at now

	termStart    time.Duration
	lastTick     time.Duration
	tickingSince time.Duration // end of the last pause between ticks longer than maxTickInterval
}

func newClock(now time.Duration, wallMS int64) clock {
	return clock{now: now, wallMS: wallMS, termStart: now, lastTick: now, tickingSince: now}
}

// set moves the clock to the time of an event.
func (c *clock) set(now time.Duration, wallMS int64) { c.now, c.wallMS = now, wallMS }

// maxTickInterval is the longest time between two ticks while this process runs normally.
const maxTickInterval = 2 * time.Second

// tick records a tick. After a pause longer than maxTickInterval this process was suspended or
// starved of CPU time, so that heartbeats missed during the pause don't count against the agents.
func (c *clock) tick() {
	if c.now-c.lastTick > maxTickInterval {
		c.tickingSince = c.now
	}
	c.lastTick = c.now
}

// fromWallTime converts a Unix time in milliseconds to monotonic time. A time in the future counts
// as now.
func (c *clock) fromWallTime(ms int64) time.Duration {
	return c.now - max(0, time.Duration(c.wallMS-ms)*time.Millisecond)
}
