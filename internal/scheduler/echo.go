package scheduler

import (
	"time"

	"leadproxy/internal/wire"
)

// unheard notes a sign that a machine does not hear us: it gets no work until
// it has echoed a higher token. That its reports come in shows nothing.
func (c *Core) unheard(m *machine) {
	m.token++
	m.raisedAt, m.doubted = c.now, true
	c.touch(m)
}

// raiseToken raises a machine's token now and then: the worker's next report echoes
// it if the answer has arrived. Not while a command is on its way there, which
// would then be refused.
func (c *Core) raiseToken(m *machine) {
	if m.known(c.term) && m.directs == 0 && m.echo >= m.token && c.now-m.raisedAt >= c.leaseTime/4 {
		m.token++
		m.raisedAt = c.now
	}
}

// inspectEvery is how often a worker whose reports look old is asked at first;
// each late copy doubles that, up to a lease. maxInspects bounds how many are
// asked at once: copies may come from all machines for minutes.
const (
	inspectEvery = 2 * time.Second
	maxInspects  = 32
)

// staleReport looks into a report that is older than what we know: mostly a
// late copy, but a worker that has truly begun anew counts from 1 again, and
// must not be taken for a copy for ever.
func (c *Core) staleReport(m *machine, r *wire.Report) {
	wait := min(inspectEvery<<min(m.copies, 8), c.leaseTime)
	if r.Address == "" || m.inspecting || c.inspects >= maxInspects || c.now-m.inspected < wait && m.inspected > 0 {
		return
	}
	c.inspects++
	m.inspecting, m.inspected = true, c.now
	m.askedAt = stamp{m.session, m.seq}
	c.emit(Inspect{Machine: m.name, Address: r.Address})
}

// inspectBack takes what a worker has said of itself after we had asked. If
// that is older than what we had from it before we asked, it has begun anew.
func (c *Core) inspectBack(e InspectBack) {
	m := c.machineNamed(e.Machine)
	m.inspecting = false
	c.inspects--
	r := e.Report
	if r == nil || r.Machine != m.name || m.state == machineGone || r.Token>>tokenBits > c.term {
		return
	}
	if anew := (stamp{r.Session, r.Seq}).before(m.askedAt); !anew {
		m.copies++
	} else {
		m.copies = 0
		c.log.Info("worker counts from the beginning again", "machine", m.name, "session", r.Session, "bookings", len(m.bookings))
		there := map[uint64]bool{}
		for _, t := range r.Tasks {
			there[t.Attempt] = true
		}
		for k := len(m.bookings) - 1; k >= 0; k-- {
			// A command on its way to the worker that was may yet be executed
			// by the one that is.
			if b := m.bookings[k]; m.pending[b.attempt] == 0 && !there[b.attempt] {
				c.release(m, b)
			}
		}
		m.session, m.seq, m.over, m.echo, m.begun = r.Session, 0, 0, 0, c.now
		c.unheard(m)
		// A late report of the life that is over looks newer than all that comes
		// from now on.
		m.floor = m.token
		for a := range m.pending {
			m.pending[a] = m.token
		}
	}
	c.observe(m, r, false)
}
