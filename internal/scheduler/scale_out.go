package scheduler

import (
	"errors"
	"fmt"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

type scaleOut struct {
	record         ledger.ScaleOutRecord
	pool           autoscaler.CapacityPool
	unseenMachines map[string]bool
	open           bool // the cloud's answer is still wanted
	sent           bool
	retry          time.Duration
}

func (a *autoscaling) startScaleOut(w autoscaler.PlannedScaleOut) {
	a.scaleOutCount++
	// The name embeds the term, so that no other leader ever uses it.
	a.startNamedScaleOut(fmt.Sprintf("h%d-%d", a.term, a.scaleOutCount), w)
}

// startNamedScaleOut hires under a name. The cloud takes each name once, however often it is
// sent.
func (a *autoscaling) startNamedScaleOut(name string, w autoscaler.PlannedScaleOut) {
	t := a.types.list[w.Pool.Type]
	h := &scaleOut{pool: w.Pool, open: true, record: ledger.ScaleOutRecord{Request: wire.ScaleOutRequest{
		RequestID: name, Type: t.Name, Zone: a.machines.zones.list[w.Pool.Zone], Spot: w.Pool.Spot, Count: min(w.Count, autoscaler.MaxScaleOut)}}}
	a.scaleOuts[name] = h
	a.log.Info("hiring", "request", name, "type", t.Name, "zone", h.record.Request.Zone, "spot", w.Pool.Spot, "count", h.record.Request.Count, "why", w.Reason)
	a.writes.put(ledger.Write{Key: ledger.ScaleOutKey(name), Value: h.record, Urgent: true, Tag: scaleOutTag{name}})
}

func (a *autoscaling) scaleOutDurable(name string) {
	if h := a.scaleOuts[name]; h != nil && h.open && !h.sent {
		a.sendScaleOut(h)
	}
}

func (a *autoscaling) sendScaleOut(h *scaleOut) {
	h.sent = true
	order := h.record.Request
	a.effects.emit(CallCloud{autoscaler.Call{ScaleOut: &order}})
}

// restoreScaleOut takes an earlier leader's hire over. One whose answer is not on
// record is repeated under its own name, to learn its machines.
func (c *Core) restoreScaleOut(r ledger.ScaleOutRecord) {
	h := &scaleOut{record: r, pool: autoscaler.CapacityPool{Type: -1, Zone: c.machines.zones.of(r.Request.Zone), Spot: r.Request.Spot}}
	c.autoscaling.scaleOuts[r.Request.RequestID] = h
	if r.Machines == nil {
		h.open = true
		c.autoscaling.sendScaleOut(h)
		return
	}
	c.machinesRented(h, r.Machines)
}

// machinesRented notes the machines of a hire.
func (c *Core) machinesRented(h *scaleOut, machines []string) {
	h.open = false
	c.evictions.noteRented(h.record.Request.RequestID, machines)
	h.unseenMachines = map[string]bool{}
	for _, name := range machines {
		m := c.machineNamed(name)
		m.rental.scaleOutID = h.record.Request.RequestID
		if m.state == machineStarting {
			c.describe(m, h.record.Request.Type, h.record.Request.Zone, h.record.Request.Spot, "")
		}
		if m.state == machineStarting && !m.rental.listed {
			h.unseenMachines[name] = true
		}
	}
	c.autoscaling.closeScaleOut(h)
}

// scaleOutMachineSeen notes that a machine is known from the list or from itself, so that
// its hire need not be remembered for it.
func (a *autoscaling) scaleOutMachineSeen(m *machine) {
	if h := a.scaleOuts[m.rental.scaleOutID]; h != nil && h.unseenMachines != nil {
		delete(h.unseenMachines, m.name)
		a.closeScaleOut(h)
	}
}

func (a *autoscaling) closeScaleOut(h *scaleOut) {
	if len(h.unseenMachines) == 0 {
		a.dropScaleOut(h)
	}
}

func (a *autoscaling) dropScaleOut(h *scaleOut) {
	delete(a.scaleOuts, h.record.Request.RequestID)
	a.writes.put(ledger.Write{Key: ledger.ScaleOutKey(h.record.Request.RequestID)})
}

func (c *Core) scaleOutResult(r autoscaler.Result) {
	h := c.autoscaling.scaleOuts[r.Call.ScaleOut.RequestID]
	if h == nil || !h.open {
		return
	}
	h.sent = false
	st := c.autoscaling.pool(h.pool)
	block := func() {
		if c.clock.now < st.blockedUntil {
			return // several hires of one offer were on their way
		}
		st.backoff = min(max(st.backoff*2, refusedFirst), refusedMost)
		st.blockedUntil = c.clock.now + st.backoff
		st.fillsRequests = 0
	}
	switch {
	case r.Err == nil:
		c.log.Info("hired", "request", h.record.Request.RequestID, "machines", r.Machines, "wanted", h.record.Request.Count)
		if len(r.Machines) < h.record.Request.Count {
			block()
		} else {
			st.backoff = 0
			st.fillsRequests++
		}
		h.record.Machines = r.Machines
		if len(r.Machines) == 0 {
			c.autoscaling.dropScaleOut(h)
			return
		}
		c.writes.put(ledger.Write{Key: ledger.ScaleOutKey(h.record.Request.RequestID), Value: h.record})
		c.machinesRented(h, r.Machines)
	case errors.Is(r.Err, autoscaler.ErrNoCapacity):
		c.log.Info("hire refused: no capacity", "request", h.record.Request.RequestID, "type", h.record.Request.Type, "zone", h.record.Request.Zone, "spot", h.record.Request.Spot)
		block()
		h.open = false
		c.autoscaling.dropScaleOut(h)
	default:
		// It may have been carried out. Only the same name is safe to repeat.
		c.log.Info("hire unanswered", "request", h.record.Request.RequestID, "error", r.Err)
		h.retry = c.clock.now + time.Second
	}
}
