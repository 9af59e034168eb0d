package scheduler

import (
	"math"
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// sendPlanned sends the starts that waited for their host to be durable.
func (c *Core) sendPlanned(j *job, m *machine) {
	for _, b := range slices.Clone(m.bookings) {
		switch {
		case b.job != j.index || b.state != bookPlanned:
		case c.open(m) && !j.over():
			c.sendStart(j, m, b)
		default:
			c.stopBooking(m, b, 0)
		}
	}
}

func (c *Core) sendStart(j *job, m *machine, b *booking) {
	b.state = bookQueued
	c.order(m, wire.Order{Verb: wire.Start, Task: c.taskName(b), Attempt: b.attempt})
}

// order has a machine told something at the end of the step.
func (c *Core) order(m *machine, o wire.Order) {
	if len(m.outbox) == 0 {
		c.outboxes = append(c.outboxes, m)
	}
	m.outbox = append(m.outbox, o)
}

// flush gives the answers that are open and turns the orders that don't travel
// with one into direct commands, each well below the protocol's bound on a
// body.
func (c *Core) flush() {
	c.writeJobs()
	c.resumeAnswers()
	c.giveAnswers()
	for _, m := range c.outboxes {
		if m.awaiting != nil {
			continue // they go with its answer
		}
		orders := m.outbox
		m.outbox = nil
		for len(orders) > 0 {
			n := min(len(orders), maxOrders)
			c.command(m, orders[:n])
			orders = orders[n:]
		}
	}
	clear(c.outboxes)
	c.outboxes = c.outboxes[:0]
	c.flushDeletes()
}

func (c *Core) command(m *machine, orders []wire.Order) {
	call := &directCall{machine: m, session: m.session, token: m.token}
	kept := make([]wire.Order, 0, len(orders))
	for _, o := range orders {
		switch o.Verb {
		case wire.Stop:
			call.stops = append(call.stops, o.Attempt)
		case wire.Start:
			b := m.booking(o.Attempt)
			if b == nil {
				continue // released since
			}
			b.state = bookSent
			// Until the command's outcome is known, or a raised token rules it
			// out, this start may act at any time.
			m.pending[o.Attempt] = math.MaxUint64
			call.attempts = append(call.attempts, o.Attempt)
		}
		kept = append(kept, o)
	}
	if len(kept) > 0 {
		c.send(call, kept)
	}
}

// send has a direct command carried out and remembers it until it is back.
func (c *Core) send(call *directCall, orders []wire.Order) {
	m := call.machine
	c.callID++
	m.directs++
	c.calls[c.callID] = call
	c.emit(Direct{Call: c.callID, Machine: m.name, Address: m.address,
		Commands: wire.Commands{Token: call.token, Session: call.session, Orders: orders}})
}

// shunFor is how long a machine that commands don't reach gets no new tasks.
const shunFor = 4 * time.Second

func (c *Core) directBack(e DirectBack) {
	call := c.calls[e.Call]
	delete(c.calls, e.Call)
	if call == nil {
		return
	}
	m := call.machine
	m.directs--
	if call.probe {
		defer c.probeBack(call, e.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if call.hinted && (e.Outcome == DirectUnknown || e.Outcome == DirectNotSent) {
		c.hintFailed(m) // the hint is wrong, or old: nothing against the machine
		return
	}
	if e.Outcome == DirectUnknown || e.Outcome == DirectNotSent {
		// Its reports may still come, but starts don't arrive: leave it alone
		// for a while rather than book the same tasks there again and again.
		m.shunned = c.now + shunFor
		c.unheard(m)
	}
	switch e.Outcome {
	case DirectUnknown:
		c.directUnknown(call)
		return
	case DirectNotSent, DirectRefused:
		c.eachSent(call, func(b *booking) { c.release(m, b) })
		if e.Outcome == DirectRefused && !call.probe {
			c.log.Info("direct command refused", "machine", m.name, "token", call.token, "session", call.session)
		}
	case DirectDone:
		c.eachSent(call, func(b *booking) { b.state = bookConfirmed })
	}
	if e.Report != nil && e.Report.Machine == m.name && e.Report.Token>>tokenBits <= c.term {
		c.observe(m, e.Report, false)
	}
	if e.Outcome == DirectDone {
		c.repeatStops(call, e.Report)
	}
}

// directUnknown keeps the starts of a command booked of which nobody knows whether it
// was carried out. The token is higher now: once the worker has echoed it, the command
// can't be executed any more, and what is not there then will never be.
func (c *Core) directUnknown(call *directCall) {
	m := call.machine
	if m.session != call.session {
		return // it can only be refused
	}
	for _, a := range call.attempts {
		if _, ok := m.pending[a]; ok {
			m.pending[a] = call.token + 1
		}
	}
	c.log.Debug("direct command unanswered", "machine", m.name, "starts", len(call.attempts), "token", m.token)
}

// eachSent settles the starts of a command whose outcome is known, and calls f for the
// bookings that still wait for it.
func (c *Core) eachSent(call *directCall, f func(b *booking)) {
	m := call.machine
	for _, a := range call.attempts {
		delete(m.pending, a)
		if b := m.booking(a); b != nil && b.state == bookSent {
			f(b)
		}
	}
}
