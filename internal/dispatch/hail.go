package dispatch

import (
	"time"

	"leadproxy/internal/wire"
)

// A new leader can use a machine, and settle what an earlier leader started
// there, only once the machine has echoed its token. Waiting for reports takes
// as long as the workers take to find the new leader, up to a report's interval
// and more. So machines that the cloud lists as running are hailed: a direct
// command without orders carries the token there, and its answer is the echo.

// The bounds of the hails on their way. A hail costs as much as several reports,
// and hailing all machines at once held up a small controller for seconds, with
// reports that would have brought the same. So there are few at first, one more
// for each that is back soon, and fewer again when they come back late.
const (
	fewHails  = 4
	mostHails = 64
	hailSoon  = 150 * time.Millisecond
	hailLate  = 500 * time.Millisecond
)

// hailFor is how long after the beginning of a term machines are hailed. What
// is silent then is treated as silent.
const hailFor = 20 * time.Second

// hail has a machine of an earlier term told our token.
func (c *Core) hail(m *machine) {
	if m.hails > 0 || m.known(c.term) || m.address == "" || c.now-c.began > hailFor {
		return
	}
	m.hails = 1
	c.toHail = append(c.toHail, m)
	c.sendHails()
}

func (c *Core) sendHails() {
	for len(c.toHail) > 0 && c.hailing < c.hailsAtOnce {
		m := c.toHail[0]
		c.toHail = c.toHail[1:]
		if m.known(c.term) || m.state == machineGone || m.state == machineDeleting {
			continue
		}
		c.hailing++
		// Its session is not known before its first word; nearly all are in
		// their first.
		c.send(&directCall{machine: m, session: max(m.session, 1), token: m.token, hail: true, sent: c.now}, []wire.Order{})
	}
}

// hailBack follows up on a hail: one that named the wrong session is repeated
// once with the right one.
func (c *Core) hailBack(call *directCall, outcome DirectOutcome) {
	m := call.machine
	c.hailing--
	switch took := c.now - call.sent; {
	case outcome == DirectUnknown || outcome == DirectNotSent:
		// It tells of that machine only.
	case took <= hailSoon:
		c.hailsAtOnce = min(c.hailsAtOnce+1, mostHails)
	case took >= hailLate:
		c.hailsAtOnce = max(c.hailsAtOnce/2, fewHails)
	}
	if outcome == DirectRefused && m.hails == 1 && !m.known(c.term) {
		m.hails++
		c.toHail = append(c.toHail, m)
	}
	c.sendHails()
}
