package dispatch

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
	report  *wire.Report // nil for a stale one
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
			a.report = nil
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
		answer := &wire.ReportAnswer{Token: m.token, Orders: []wire.Order{}}
		if a.report != nil && m.asking == i+1 && m.known(c.term) {
			// What a machine lists before its first echo is not booked yet, and
			// must not be stopped for that.
			orders, forgets := c.ordersFor(m, a.report)
			orders = c.withOutbox(m, a.report, orders)
			if len(orders) > 0 || len(forgets) >= forgetAtOnce {
				orders = append(orders, forgets...)
			}
			answer.Orders = orders
		}
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

// ordersFor lists what the answer to a fresh report must order, and which done
// tasks the worker may drop.
func (c *Core) ordersFor(m *machine, r *wire.Report) (orders, forgets []wire.Order) {
	orders = []wire.Order{}
	for i := range r.Tasks {
		if len(orders)+len(forgets) >= maxOrders {
			break
		}
		t := &r.Tasks[i]
		j, n, b := c.taskOf(m, t)
		if j == nil {
			continue
		}
		if t.Status == wire.TaskEnded {
			if !c.mayForget(m, j, int(n), t) {
				continue
			}
			forget := wire.Order{Verb: wire.Forget, Task: t.Task, Attempt: t.Attempt}
			if t.Why == wire.WhyDone {
				forgets = append(forgets, forget)
			} else {
				orders = append(orders, forget)
			}
			continue
		}
		if b == nil {
			orders = append(orders, stopOrder(t.Task, t.Attempt, 0))
		} else if b.stopping {
			orders = append(orders, stopOrder(t.Task, t.Attempt, b.grace))
		}
	}
	return orders, forgets
}

// mayForget tells whether an ended attempt may be dropped by its worker: not
// while a copy of its start may still arrive, since the worker would run it
// again, and not before its end is in the ledger.
func (c *Core) mayForget(m *machine, j *job, n int, t *wire.TaskReport) bool {
	if _, unsettled := m.pending[t.Attempt]; unsettled || !m.known(c.term) {
		return false
	}
	if t.Why != wire.WhyDone || j.terminalDurable {
		return true
	}
	return n < len(j.tasks) && j.tasks[n].state == taskDurable
}
