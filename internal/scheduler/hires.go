package scheduler

import (
	"errors"
	"fmt"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

type hire struct {
	record ledger.HireRecord
	offer  fleet.Offer
	unseen map[string]bool
	open   bool // the cloud's answer is still wanted
	sent   bool
	retry  time.Duration
}

func (c *Core) startHire(w fleet.PlannedHire) {
	c.fleet.hireCount++
	// The name embeds the term, so that no other leader ever uses it.
	c.startNamedHire(fmt.Sprintf("h%d-%d", c.term, c.fleet.hireCount), w)
}

// startNamedHire hires under a name. The cloud takes each name once, however often it is
// sent.
func (c *Core) startNamedHire(name string, w fleet.PlannedHire) {
	t := c.types[w.Offer.Type]
	h := &hire{offer: w.Offer, open: true, record: ledger.HireRecord{Hire: wire.Hire{
		Request: name, Type: t.Name, Zone: c.zones.list[w.Offer.Zone], Spot: w.Offer.Spot, Count: min(w.Count, fleet.MaxHire)}}}
	c.fleet.hires[name] = h
	c.log.Info("hiring", "request", name, "type", t.Name, "zone", h.record.Hire.Zone, "spot", w.Offer.Spot, "count", h.record.Hire.Count, "why", w.Why)
	c.put(ledger.Write{Key: ledger.HireKey(name), Value: h.record, Urgent: true, Tag: hireTag{name}})
}

func (c *Core) hireDurable(name string) {
	if h := c.fleet.hires[name]; h != nil && h.open && !h.sent {
		c.sendHire(h)
	}
}

func (c *Core) sendHire(h *hire) {
	h.sent = true
	order := h.record.Hire
	c.emit(CallCloud{fleet.Call{Hire: &order}})
}

// restoreHire takes an earlier leader's hire over. One whose answer is not on
// record is repeated under its own name, to learn its machines.
func (c *Core) restoreHire(r ledger.HireRecord) {
	h := &hire{record: r, offer: fleet.Offer{Type: -1, Zone: c.zones.of(r.Hire.Zone), Spot: r.Hire.Spot}}
	c.fleet.hires[r.Hire.Request] = h
	if r.Machines == nil {
		h.open = true
		c.sendHire(h)
		return
	}
	c.hired(h, r.Machines)
}

// hired notes the machines of a hire.
func (c *Core) hired(h *hire, machines []string) {
	h.open = false
	c.noteHired(h.record.Hire.Request, machines)
	h.unseen = map[string]bool{}
	for _, name := range machines {
		m := c.machineNamed(name)
		m.hireName = h.record.Hire.Request
		if m.state == machineBooting {
			c.describe(m, h.record.Hire.Type, h.record.Hire.Zone, h.record.Hire.Spot, "")
		}
		if m.state == machineBooting && !m.listed {
			h.unseen[name] = true
		}
	}
	c.closeHire(h)
}

// hireSeen notes that a machine is known from the list or from itself, so that
// its hire need not be remembered for it.
func (c *Core) hireSeen(m *machine) {
	if h := c.fleet.hires[m.hireName]; h != nil && h.unseen != nil {
		delete(h.unseen, m.name)
		c.closeHire(h)
	}
}

func (c *Core) closeHire(h *hire) {
	if len(h.unseen) == 0 {
		c.dropHire(h)
	}
}

func (c *Core) dropHire(h *hire) {
	delete(c.fleet.hires, h.record.Hire.Request)
	c.put(ledger.Write{Key: ledger.HireKey(h.record.Hire.Request)})
}

func (c *Core) hireBack(r fleet.Result) {
	h := c.fleet.hires[r.Call.Hire.Request]
	if h == nil || !h.open {
		return
	}
	h.sent = false
	st := c.fleet.offer(h.offer)
	block := func() {
		if c.now < st.blockedUntil {
			return // several hires of one offer were on their way
		}
		st.backoff = min(max(st.backoff*2, refusedFirst), refusedMost)
		st.blockedUntil = c.now + st.backoff
		st.full = 0
	}
	switch {
	case r.Err == nil:
		c.log.Info("hired", "request", h.record.Hire.Request, "machines", r.Machines, "wanted", h.record.Hire.Count)
		if len(r.Machines) < h.record.Hire.Count {
			block()
		} else {
			st.backoff = 0
			st.full++
		}
		h.record.Machines = r.Machines
		if len(r.Machines) == 0 {
			c.dropHire(h)
			return
		}
		c.put(ledger.Write{Key: ledger.HireKey(h.record.Hire.Request), Value: h.record})
		c.hired(h, r.Machines)
	case errors.Is(r.Err, fleet.ErrNoCapacity):
		c.log.Info("hire refused: no capacity", "request", h.record.Hire.Request, "type", h.record.Hire.Type, "zone", h.record.Hire.Zone, "spot", h.record.Hire.Spot)
		block()
		h.open = false
		c.dropHire(h)
	default:
		// It may have been carried out. Only the same name is safe to repeat.
		c.log.Info("hire unanswered", "request", h.record.Hire.Request, "error", r.Err)
		h.retry = c.now + time.Second
	}
}
