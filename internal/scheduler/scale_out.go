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
	saved          ledger.ScaleOutRecord // its record in the ledger
	pool           autoscaler.CapacityPool
	unseenMachines map[string]bool
	open           bool // the cloud's result is still needed
	sent           bool
	retry          time.Duration
}

func (a *autoscaling) startScaleOut(w autoscaler.PlannedScaleOut) {
	a.scaleOutCount++
	// The name embeds the term, so that no other leader ever uses it.
	a.startNamedScaleOut(fmt.Sprintf("h%d-%d", a.term, a.scaleOutCount), w)
}

// startNamedScaleOut rents machines under a name. The cloud accepts each name once, however
// often it is sent.
func (a *autoscaling) startNamedScaleOut(name string, w autoscaler.PlannedScaleOut) {
	t := a.types.list[w.Pool.Type]
	h := &scaleOut{pool: w.Pool, open: true, saved: ledger.ScaleOutRecord{Request: wire.ScaleOutRequest{
		RequestID: name, CapacityPool: wire.CapacityPool{Type: t.Name, Zone: a.machines.zones.list[w.Pool.Zone], Spot: w.Pool.Spot}, Count: min(w.Count, autoscaler.MaxScaleOut)}}}
	a.addScaleOut(h)
	a.log.Info("scaling out", "request", name, "type", t.Name, "zone", h.saved.Request.Zone, "spot", w.Pool.Spot, "count", h.saved.Request.Count, "reason", w.Reason)
	a.writes.put(ledger.Write{Key: ledger.ScaleOutKey(name), Value: h.saved, Urgent: true, Tag: scaleOutTag{name}})
}

func (a *autoscaling) addScaleOut(h *scaleOut) { a.scaleOuts[h.saved.Request.RequestID] = h }

// scaleOutDurable sends a scale-out once its record is durable.
func (a *autoscaling) scaleOutDurable(name string) {
	if h := a.scaleOuts[name]; h != nil && h.open && !h.sent {
		a.sendScaleOut(h)
	}
}

func (a *autoscaling) sendScaleOut(h *scaleOut) {
	h.sent = true
	request := h.saved.Request
	a.effects.emit(CallCloud{autoscaler.Call{ScaleOut: &request}})
}

// restoreScaleOut continues an earlier leader's scale-out. One whose result is not in its record
// is repeated under its own name, to learn its machines.
func (c *Core) restoreScaleOut(r ledger.ScaleOutRecord) {
	h := &scaleOut{saved: r, pool: autoscaler.CapacityPool{Type: -1, Zone: c.machines.zones.of(r.Request.Zone), Spot: r.Request.Spot}}
	c.autoscaling.addScaleOut(h)
	if r.Machines == nil {
		h.open = true
		c.autoscaling.sendScaleOut(h)
		return
	}
	c.machinesRented(h, r.Machines)
}

// scaleOutMachineSeen notes that a machine is known from the list or from its agent, so that its
// scale-out need not be kept for it.
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
	delete(a.scaleOuts, h.saved.Request.RequestID)
	a.writes.put(ledger.Write{Key: ledger.ScaleOutKey(h.saved.Request.RequestID)})
}

// scaleOutEnded takes the result of a scale-out, and tells whether it has rented machines.
func (a *autoscaling) scaleOutEnded(r autoscaler.Result) (h *scaleOut, rented bool) {
	h = a.scaleOuts[r.Call.ScaleOut.RequestID]
	if h == nil || !h.open {
		return nil, false
	}
	h.sent = false
	pool := a.pool(h.pool)
	request := &h.saved.Request
	switch {
	case r.Err == nil:
		a.log.Info("scale-out result", "request", request.RequestID, "machines", r.Machines, "wanted", request.Count)
		if len(r.Machines) < request.Count {
			pool.block(a.clock.now)
		} else {
			pool.filled()
		}
		h.saved.Machines = r.Machines
		if len(r.Machines) == 0 {
			a.dropScaleOut(h)
			return nil, false
		}
		a.writes.put(ledger.Write{Key: ledger.ScaleOutKey(request.RequestID), Value: h.saved})
		return h, true
	case errors.Is(r.Err, autoscaler.ErrNoCapacity):
		a.log.Info("scale-out refused: no capacity", "request", request.RequestID, "type", request.Type, "zone", request.Zone, "spot", request.Spot)
		pool.block(a.clock.now)
		h.open = false
		a.dropScaleOut(h)
	default:
		// It may have been carried out. Only the same name is safe to repeat.
		a.log.Info("scale-out result unknown, will retry", "request", request.RequestID, "error", r.Err)
		h.retry = a.clock.now + time.Second
	}
	return nil, false
}
