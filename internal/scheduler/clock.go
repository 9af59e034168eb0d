package scheduler

import "time"

// clock is the time of the present event, and the times of the term that other times are
// compared with. Only Step and the tick write it.
type clock struct {
	now    time.Duration // the controller's monotonic time
	wallMS int64         // time of day in ms at now

	termStart    time.Duration
	lastTick     time.Duration
	tickingSince time.Duration // since when ticks have come without a break
}

func newClock(now time.Duration, wallMS int64) clock {
	return clock{now: now, wallMS: wallMS, termStart: now, lastTick: now, tickingSince: now}
}

// set moves the clock to the time of an event.
func (k *clock) set(now time.Duration, wallMS int64) { k.now, k.wallMS = now, wallMS }

// maxTickInterval is how far apart two ticks are at most while this process is running normally.
const maxTickInterval = 2 * time.Second

// tick notes a tick. After a longer pause this process was suspended, or starved: that it
// received nothing meanwhile is no fault of the senders.
func (k *clock) tick() {
	if k.now-k.lastTick > maxTickInterval {
		k.tickingSince = k.now
	}
	k.lastTick = k.now
}

// fromWallTime is the monotonic time of a moment in the past, given by the time of day in ms.
func (k *clock) fromWallTime(ms int64) time.Duration {
	return k.now - max(0, time.Duration(k.wallMS-ms)*time.Millisecond)
}
