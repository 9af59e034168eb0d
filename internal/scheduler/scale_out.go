package scheduler

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/ledger"
	"leadproxy/internal/wire"
)

// scaleOutRequests rents machines. It owns the scale-outs that are under way or whose machines are
// not all known from elsewhere, and keeps their records in the ledger.
type scaleOutRequests struct {
	term     uint64
	clock    *clock
	log      *slog.Logger
	effects  *effects
	writes   *durableWrites
	types    *machineTypes
	machines *machineTable
	pools    *capacityPools

	byID  map[string]*scaleOutRequest
	count uint64 // of names given out in this term
}

func newScaleOutRequests(c *Core) scaleOutRequests {
	return scaleOutRequests{term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes,
		types: &c.types, machines: &c.machines, pools: &c.pools, byID: map[string]*scaleOutRequest{}}
}

// scaleOutRequest is one request for machines, by this leader or an earlier one.
type scaleOutRequest struct {
	ledgerRecord   ledger.ScaleOutRecord // its record in the ledger
	pool           autoscaler.CapacityPool
	unseenMachines map[string]bool
	awaitsResult   bool // the cloud's result is still needed
	sent           bool
	retryAt        time.Duration
}

// markResolved notes that the cloud's result is known.
func (h *scaleOutRequest) markResolved() {
	h.awaitsResult = false
	h.unseenMachines = map[string]bool{}
}

// awaitMachine keeps the scale-out until a machine of it is known from elsewhere.
func (h *scaleOutRequest) awaitMachine(name string) { h.unseenMachines[name] = true }

// start rents machines under a new name.
func (s *scaleOutRequests) start(w autoscaler.PlannedScaleOut) {
	s.count++
	// The name embeds the term, so that no other leader ever uses it.
	s.startWithID(fmt.Sprintf("h%d-%d", s.term, s.count), w)
}

// startWithID rents machines under a name. The cloud accepts each name once, however
// often it is sent.
func (s *scaleOutRequests) startWithID(name string, w autoscaler.PlannedScaleOut) {
	t := s.types.list[w.Pool.Type]
	h := &scaleOutRequest{pool: w.Pool, awaitsResult: true, ledgerRecord: ledger.ScaleOutRecord{Request: wire.ScaleOutRequest{
		RequestID: name, CapacityPool: wire.CapacityPool{Type: t.Name, Zone: s.machines.zones.list[w.Pool.Zone], Spot: w.Pool.Spot}, Count: min(w.Count, autoscaler.MaxScaleOut)}}}
	s.add(h)
	s.log.Info("scaling out", "request", name, "type", t.Name, "zone", h.ledgerRecord.Request.Zone, "spot", w.Pool.Spot, "count", h.ledgerRecord.Request.Count, "reason", w.Reason)
	s.writes.put(ledger.Write{Key: ledger.ScaleOutKey(name), Value: h.ledgerRecord, Urgent: true, Tag: scaleOutTag{name}})
}

// add notes a scale-out.
func (s *scaleOutRequests) add(h *scaleOutRequest) { s.byID[h.ledgerRecord.Request.RequestID] = h }

// recordDurable sends a scale-out once its record is durable.
func (s *scaleOutRequests) recordDurable(name string) {
	if h := s.byID[name]; h != nil && h.awaitsResult && !h.sent {
		s.send(h)
	}
}

// send requests the machines of a scale-out.
func (s *scaleOutRequests) send(h *scaleOutRequest) {
	h.sent = true
	request := h.ledgerRecord.Request
	s.effects.emit(CallCloud{autoscaler.Call{ScaleOut: &request}})
}

// awaitingResult lists the scale-outs whose result is still needed.
func (s *scaleOutRequests) awaitingResult() []*scaleOutRequest {
	var out []*scaleOutRequest
	for _, h := range s.byID {
		if h.awaitsResult {
			out = append(out, h)
		}
	}
	return out
}

// retryDue sends again the scale-outs of unknown outcome whose retry is due.
func (s *scaleOutRequests) retryDue() {
	for _, h := range s.byID {
		if h.awaitsResult && !h.sent && h.retryAt > 0 && s.clock.now >= h.retryAt {
			s.send(h)
		}
	}
}

// restore adds an earlier leader's scale-out. One whose result is not in its record is repeated
// under its own name, to learn its machines.
func (s *scaleOutRequests) restore(r ledger.ScaleOutRecord) *scaleOutRequest {
	h := &scaleOutRequest{ledgerRecord: r, pool: autoscaler.CapacityPool{Type: -1, Zone: s.machines.zones.intern(r.Request.Zone), Spot: r.Request.Spot}}
	s.add(h)
	if r.Machines == nil {
		h.awaitsResult = true
		s.send(h)
	}
	return h
}

// recordMachineSeen notes that a machine is known from the list or from its agent, so that its
// scale-out need not be kept for it.
func (s *scaleOutRequests) recordMachineSeen(m *machine) {
	if h := s.byID[m.rental.scaleOutID]; h != nil && h.unseenMachines != nil {
		delete(h.unseenMachines, m.name)
		s.removeIfAllSeen(h)
	}
}

// removeIfAllSeen drops a scale-out once all its machines are known from elsewhere.
func (s *scaleOutRequests) removeIfAllSeen(h *scaleOutRequest) {
	if len(h.unseenMachines) == 0 {
		s.remove(h)
	}
}

// remove forgets a scale-out and has its record deleted.
func (s *scaleOutRequests) remove(h *scaleOutRequest) {
	delete(s.byID, h.ledgerRecord.Request.RequestID)
	s.writes.put(ledger.Write{Key: ledger.ScaleOutKey(h.ledgerRecord.Request.RequestID)})
}

// handleResult takes the result of a scale-out, and tells whether it has rented machines.
func (s *scaleOutRequests) handleResult(r autoscaler.Result) (h *scaleOutRequest, rented bool) {
	h = s.byID[r.Call.ScaleOut.RequestID]
	if h == nil || !h.awaitsResult {
		return nil, false
	}
	h.sent = false
	pool := s.pools.state(h.pool)
	request := &h.ledgerRecord.Request
	switch {
	case r.Err == nil:
		s.log.Info("scale-out result", "request", request.RequestID, "machines", r.Machines, "wanted", request.Count)
		if len(r.Machines) < request.Count {
			pool.extendBackoff(s.clock.now)
		} else {
			pool.recordFilled()
		}
		h.ledgerRecord.Machines = r.Machines
		if len(r.Machines) == 0 {
			s.remove(h)
			return nil, false
		}
		s.writes.put(ledger.Write{Key: ledger.ScaleOutKey(request.RequestID), Value: h.ledgerRecord})
		return h, true
	case errors.Is(r.Err, autoscaler.ErrNoCapacity):
		s.log.Info("scale-out refused: no capacity", "request", request.RequestID, "type", request.Type, "zone", request.Zone, "spot", request.Spot)
		pool.extendBackoff(s.clock.now)
		h.awaitsResult = false
		s.remove(h)
	default:
		// It may have been carried out. Only the same name is safe to repeat.
		s.log.Info("scale-out result unknown, will retry", "request", request.RequestID, "error", r.Err)
		h.retryAt = s.clock.now + time.Second
	}
	return nil, false
}
