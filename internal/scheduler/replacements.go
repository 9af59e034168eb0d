package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/rollout"
)

// replacements rents machines that replace those that plans drain. It owns the record of which
// machines were rented by which request.
type replacements struct {
	clock       *clock
	types       *machineTypes
	machines    *machineTable
	pools       *capacityPools
	scaleOuts   *scaleOutRequests
	disruptions *disruptionMonitor

	// rented has the machines of the completed scale-outs for replacements, by request ID.
	rented map[string][]string
}

func newReplacements(c *Core) replacements {
	return replacements{clock: &c.clock, types: &c.types, machines: &c.machines, pools: &c.pools,
		scaleOuts: &c.scaleOuts, disruptions: &c.disruptions}
}

// scaleOutsFor returns the scale-outs for a plan's replacements by request ID: one or more per
// capacity pool, each of at most the size that the cloud accepts. It returns nil until all of the
// replaced machines are known, because a request that was made for fewer machines can't be
// extended later.
func (r *replacements) scaleOutsFor(requestID string, replaced []string) map[string]autoscaler.PlannedScaleOut {
	counts := map[autoscaler.CapacityPool]int{}
	for _, name := range replaced {
		m := r.machines.find(name)
		switch {
		case m != nil && m.typeIndex >= 0 && m.zone >= 0:
			counts[autoscaler.CapacityPool{Type: m.typeIndex, Zone: m.zone, Spot: m.spot}]++
		case !r.disruptions.mayDisrupt():
			return nil
		}
	}
	requests := map[string]autoscaler.PlannedScaleOut{}
	for pool, remaining := range counts {
		for part := 0; remaining > 0; part++ {
			count := min(remaining, autoscaler.MaxScaleOut)
			name := fmt.Sprintf("%s-%s-%s-%t-%d", requestID, r.types.list[pool.Type].Name, r.machines.zones.list[pool.Zone], pool.Spot, part)
			requests[name] = autoscaler.PlannedScaleOut{Pool: pool, Count: count, Reason: "to replace machines that are drained"}
			remaining -= count
		}
	}
	return requests
}

// rentReplacements starts the scale-outs of an action. A scale-out that the cloud has refused is
// repeated under the same request ID once the back-off of its pool has ended.
func (r *replacements) rentReplacements(action rollout.RentReplacements) {
	requests := r.scaleOutsFor(action.RequestID, action.Replaced)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		scaleOut := requests[name]
		if r.scaleOuts.byID[name] != nil || r.rented[name] != nil || r.clock.now < r.pools.state(scaleOut.Pool).blockedUntil {
			continue
		}
		r.scaleOuts.startWithID(name, scaleOut)
	}
}

// rentedForPlan returns the machines of a plan's scale-outs, or nil until all of them have
// completed.
func (r *replacements) rentedForPlan(record *rollout.Record) (machines []string) {
	requests := r.scaleOutsFor(record.ScaleOutRequestID, record.Batch)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if r.rented[name] == nil {
			return nil
		}
		machines = append(machines, r.rented[name]...)
	}
	return machines
}

// recordRented records the machines of a completed scale-out if its request ID may be that of a
// plan.
func (r *replacements) recordRented(requestID string, machines []string) {
	if !strings.HasPrefix(requestID, rollout.ScaleOutRequestPrefix) {
		return
	}
	if r.rented == nil {
		r.rented = map[string][]string{}
	}
	r.rented[requestID] = machines
}
