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

// scaleOutRequests rents machines. It owns the scale-outs that await a result or whose machines are
// not all known yet from the cloud's list or a heartbeat, and keeps their records in the ledger.
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
	count uint64 // number of request IDs assigned in this term
}

func newScaleOutRequests(c *Core) scaleOutRequests {
	return scaleOutRequests{term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes,
		types: &c.types, machines: &c.machines, pools: &c.pools, byID: map[string]*scaleOutRequest{}}
}

// scaleOutRequest is one request for machines, by this leader or an earlier one.
type scaleOutRequest struct {
	ledgerRecord   ledger.ScaleOutRecord   // as in the ledger
	pool           autoscaler.CapacityPool // Type is -1 if restored
	unseenMachines map[string]bool         // rented machines known from the result only; nil before it
	awaitsResult   bool                    // the cloud's result is still needed
	sent           bool                    // a call is in flight
	retryAt        time.Duration           // after an unknown outcome; 0 if there was none
}

// markResolved records that the cloud's result is known.
func (s *scaleOutRequest) markResolved() {
	s.awaitsResult = false
	s.unseenMachines = map[string]bool{}
}

// awaitMachine keeps the scale-out until the machine is known from the cloud's list or a heartbeat.
func (s *scaleOutRequest) awaitMachine(name string) { s.unseenMachines[name] = true }

// start rents machines under a new request ID.
func (s *scaleOutRequests) start(planned autoscaler.PlannedScaleOut) {
	s.count++
	// The ID contains the term, so that no other leader ever uses the same one.
	s.startWithID(fmt.Sprintf("h%d-%d", s.term, s.count), planned)
}

// startWithID rents machines under a given request ID, once the record of the scale-out is durable.
// The cloud carries out each request ID once, however often it is sent.
func (s *scaleOutRequests) startWithID(id string, planned autoscaler.PlannedScaleOut) {
	machineType := s.types.list[planned.Pool.Type]
	scaleOut := &scaleOutRequest{pool: planned.Pool, awaitsResult: true, ledgerRecord: ledger.ScaleOutRecord{Request: wire.ScaleOutRequest{
		RequestID: id, CapacityPool: wire.CapacityPool{Type: machineType.Name, Zone: s.machines.zones.list[planned.Pool.Zone], Spot: planned.Pool.Spot}, Count: min(planned.Count, autoscaler.MaxScaleOut)}}}
	s.add(scaleOut)
	s.log.Info("scaling out", "request", id, "type", machineType.Name, "zone", scaleOut.ledgerRecord.Request.Zone, "spot", planned.Pool.Spot, "count", scaleOut.ledgerRecord.Request.Count, "reason", planned.Reason)
	s.writes.put(ledger.Write{Key: ledger.ScaleOutKey(id), Value: scaleOut.ledgerRecord, Urgent: true, Tag: scaleOutTag{id}})
}

// add adds a scale-out.
func (s *scaleOutRequests) add(scaleOut *scaleOutRequest) {
	s.byID[scaleOut.ledgerRecord.Request.RequestID] = scaleOut
}

// recordDurable sends a scale-out whose record has become durable.
func (s *scaleOutRequests) recordDurable(id string) {
	if scaleOut := s.byID[id]; scaleOut != nil && scaleOut.awaitsResult && !scaleOut.sent {
		s.send(scaleOut)
	}
}

// send requests the machines of a scale-out.
func (s *scaleOutRequests) send(scaleOut *scaleOutRequest) {
	scaleOut.sent = true
	request := scaleOut.ledgerRecord.Request
	s.effects.emit(CallCloud{autoscaler.Call{ScaleOut: &request}})
}

// awaitingResult returns the scale-outs whose result is still needed, in no particular order.
func (s *scaleOutRequests) awaitingResult() []*scaleOutRequest {
	var out []*scaleOutRequest
	for _, scaleOut := range s.byID {
		if scaleOut.awaitsResult {
			out = append(out, scaleOut)
		}
	}
	return out
}

// retryDue repeats the scale-outs of unknown outcome whose retry is due.
func (s *scaleOutRequests) retryDue() {
	for _, scaleOut := range s.byID {
		if scaleOut.awaitsResult && !scaleOut.sent && scaleOut.retryAt > 0 && s.clock.now >= scaleOut.retryAt {
			s.send(scaleOut)
		}
	}
}

// restore adds an earlier leader's scale-out. If its record has no result, it is repeated under the
// same request ID, which returns its machines without renting others.
func (s *scaleOutRequests) restore(record ledger.ScaleOutRecord) *scaleOutRequest {
	scaleOut := &scaleOutRequest{ledgerRecord: record, pool: autoscaler.CapacityPool{Type: -1, Zone: s.machines.zones.intern(record.Request.Zone), Spot: record.Request.Spot}}
	s.add(scaleOut)
	if record.Machines == nil {
		scaleOut.awaitsResult = true
		s.send(scaleOut)
	}
	return scaleOut
}

// recordMachineSeen records that a machine is known from the cloud's list or a heartbeat, so that its
// scale-out is no longer needed to find it.
func (s *scaleOutRequests) recordMachineSeen(m *machine) {
	if scaleOut := s.byID[m.rental.scaleOutID]; scaleOut != nil && scaleOut.unseenMachines != nil {
		delete(scaleOut.unseenMachines, m.name)
		s.removeIfAllSeen(scaleOut)
	}
}

// removeIfAllSeen removes a scale-out if all its machines are known from the cloud's list or a
// heartbeat.
func (s *scaleOutRequests) removeIfAllSeen(scaleOut *scaleOutRequest) {
	if len(scaleOut.unseenMachines) == 0 {
		s.remove(scaleOut)
	}
}

// remove removes a scale-out and deletes its record.
func (s *scaleOutRequests) remove(scaleOut *scaleOutRequest) {
	delete(s.byID, scaleOut.ledgerRecord.Request.RequestID)
	s.writes.put(ledger.Write{Key: ledger.ScaleOutKey(scaleOut.ledgerRecord.Request.RequestID)})
}

// handleResult applies the result of a scale-out and reports whether it has rented machines. A result
// that is no longer needed is ignored.
func (s *scaleOutRequests) handleResult(result autoscaler.Result) (scaleOut *scaleOutRequest, rented bool) {
	scaleOut = s.byID[result.Call.ScaleOut.RequestID]
	if scaleOut == nil || !scaleOut.awaitsResult {
		return nil, false
	}
	scaleOut.sent = false
	pool := s.pools.state(scaleOut.pool)
	request := &scaleOut.ledgerRecord.Request
	switch {
	case result.Err == nil:
		s.log.Info("scale-out result", "request", request.RequestID, "machines", result.Machines, "wanted", request.Count)
		if len(result.Machines) < request.Count {
			pool.extendBackoff(s.clock.now)
		} else {
			pool.recordFilled()
		}
		scaleOut.ledgerRecord.Machines = result.Machines
		if len(result.Machines) == 0 {
			s.remove(scaleOut)
			return nil, false
		}
		s.writes.put(ledger.Write{Key: ledger.ScaleOutKey(request.RequestID), Value: scaleOut.ledgerRecord})
		return scaleOut, true
	case errors.Is(result.Err, autoscaler.ErrNoCapacity):
		s.log.Info("scale-out refused: no capacity", "request", request.RequestID, "type", request.Type, "zone", request.Zone, "spot", request.Spot)
		pool.extendBackoff(s.clock.now)
		scaleOut.awaitsResult = false
		s.remove(scaleOut)
	default:
		// The cloud may have carried out the request. Only the same request ID is safe to repeat.
		s.log.Info("scale-out result unknown, will retry", "request", request.RequestID, "error", result.Err)
		scaleOut.retryAt = s.clock.now + time.Second
	}
	return nil, false
}
