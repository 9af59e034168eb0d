package scheduler

import (
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// openAnswer is a report's answer, which is given at the end of the step so
// that starts decided in it travel along.
type openAnswer struct {
	to      Recipient
	machine *machine
	report  *wire.Report
	// outdated: the report is older than what is known of its worker.
	outdated bool
	// until is when an answer that waits for starts to become durable is given
	// without them; 0: it has not waited.
	until time.Duration
}

// awaitFor is how long an answer waits for starts whose machine is being written
// down. That mostly takes a tenth of it; the starts would else follow in a direct
// command, which costs as much as several reports.
const awaitFor = 400 * time.Millisecond

// awaits keeps an answer back while starts for its machine are being written down.
func (c *Core) awaits(a openAnswer) bool {
	m := a.machine
	if a.until > 0 || !m.known(c.term) || !m.planned() {
		return false
	}
	a.until = c.now + awaitFor
	m.asking, m.awaiting = 0, a.report
	c.awaiting = append(c.awaiting, a)
	return true
}

// planned tells whether starts for a machine are being written down.
func (m *machine) planned() bool {
	return slices.ContainsFunc(m.bookings, func(b *booking) bool { return b.state == bookPlanned })
}

// resumeAnswers has the answers given that need not wait any longer. One whose
// worker has sent a newer report since goes without orders.
func (c *Core) resumeAnswers() {
	keep := c.awaiting[:0]
	for _, a := range c.awaiting {
		m := a.machine
		if m.awaiting == a.report {
			if c.now < a.until && m.state != machineGone && m.planned() {
				keep = append(keep, a)
				continue
			}
			m.awaiting = nil
			m.asking = len(c.answers) + 1
			if len(m.outbox) > 0 {
				c.outboxes = append(c.outboxes, m) // for what does not go into the answer
			}
		} else {
			a.outdated = true
		}
		c.answers = append(c.answers, a)
	}
	clear(c.awaiting[len(keep):])
	c.awaiting = keep
}

// giveAnswers answers the reports of this step. Only the newest report of a
// machine gets orders.
func (c *Core) giveAnswers() {
	for i, a := range c.answers {
		m := a.machine
		if m.state == machineGone {
			c.emit(AnswerReport{To: a.to})
			continue
		}
		if c.holdAnswer(a) || m.asking == i+1 && c.awaits(a) {
			continue
		}
		// An answer renews the worker's lease, whatever it orders and however little its
		// report is believed. So none goes without the stops of what must not run.
		believed := !a.outdated && m.asking == i+1 && m.known(c.term)
		orders := c.stopsFor(m, a.report, believed)
		if believed {
			orders = c.ordersFor(m, a.report, orders)
		}
		answer := &wire.ReportAnswer{Token: m.token, Orders: orders}
		if m.asking == i+1 {
			m.asking = 0
		}
		c.emit(AnswerReport{To: a.to, Answer: answer})
	}
	clear(c.answers)
	c.answers = c.answers[:0]
}

// withOutbox adds a machine's waiting orders to the answer of its report, as
// far as they go in. Unlike a direct command, an answer is never executed late:
// the worker's next report shows what became of it.
func (c *Core) withOutbox(m *machine, r *wire.Report, orders []wire.Order) []wire.Order {
	if r.Session != m.session {
		return orders
	}
	for len(m.outbox) > 0 && len(orders) < maxOrders {
		o := m.outbox[0]
		m.outbox = m.outbox[1:]
		if o.Verb == wire.Start {
			b := m.booking(o.Attempt)
			if b == nil {
				continue // released since
			}
			b.state, b.answered = bookSent, r.Seq
		}
		orders = append(orders, o)
	}
	return orders
}

// forgetAtOnce is how many done tasks are forgotten together. A worker reports
// again at once when its tasks change, so each forget by itself costs another
// report, a third of all on a large fleet. It waits for an order that changes
// the tasks anyway, or for others like it.
const forgetAtOnce = 8

// ordersFor adds to the stops of a report that is believed what else its answer orders:
// which ended tasks the worker may drop, and what waits for its machine.
func (c *Core) ordersFor(m *machine, r *wire.Report, orders []wire.Order) []wire.Order {
	var done []wire.Order
	for i := range r.Tasks {
		if len(orders)+len(done) >= maxOrders {
			break
		}
		t := &r.Tasks[i]
		if t.Status != wire.TaskEnded || !c.mayForget(m, t) {
			continue
		}
		forget := wire.Order{Verb: wire.Forget, Task: t.Task, Attempt: t.Attempt}
		if t.Why == wire.WhyDone {
			done = append(done, forget)
		} else {
			orders = append(orders, forget)
		}
	}
	orders = c.withOutbox(m, r, orders)
	if len(orders) > 0 || len(done) >= forgetAtOnce {
		orders = append(orders, done...)
	}
	return orders
}

// mayForget tells whether an ended attempt may be dropped by its worker: not
// while a copy of its start may still arrive, since the worker would run it
// again, and not before its end is in the ledger.
func (c *Core) mayForget(m *machine, t *wire.TaskReport) bool {
	if _, unsettled := m.pending[t.Attempt]; unsettled {
		return false
	}
	j, n, _ := c.taskOf(m, t)
	if j == nil || t.Why != wire.WhyDone || j.terminalDurable {
		return true
	}
	return int(n) < len(j.tasks) && j.tasks[n].state == taskDurable
}
