package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"leadproxy/internal/autoscaler"
	"leadproxy/internal/rollout"
)

// replacements rents machines in place of those that plans drain. It owns which machines were
// rented for them.
type replacements struct {
	clock       *clock
	types       *machineTypes
	machines    *machineTable
	pools       *capacityPools
	scaleOuts   *scaleOutRequests
	disruptions *disruptionMonitor

	// rented are the machines of scale-outs for replacements, by request.
	rented map[string][]string
}

func newReplacements(c *Core) replacements {
	return replacements{clock: &c.clock, types: &c.types, machines: &c.machines, pools: &c.pools,
		scaleOuts: &c.scaleOuts, disruptions: &c.disruptions}
}

// scaleOutsFor are the scale-outs for a plan's replacements: one for each kind of machine, in
// parts of the size that the cloud accepts. They are none until all of the machines are known: a
// request that is made once for fewer machines can't be extended later.
func (r *replacements) scaleOutsFor(request string, like []string) map[string]autoscaler.PlannedScaleOut {
	counts := map[autoscaler.CapacityPool]int{}
	for _, name := range like {
		m := r.machines.find(name)
		switch {
		case m != nil && m.typeIndex >= 0 && m.zone >= 0:
			counts[autoscaler.CapacityPool{Type: m.typeIndex, Zone: m.zone, Spot: m.spot}]++
		case !r.disruptions.mayDisrupt():
			return nil
		}
	}
	requests := map[string]autoscaler.PlannedScaleOut{}
	for offer, n := range counts {
		for part := 0; n > 0; part++ {
			count := min(n, autoscaler.MaxScaleOut)
			name := fmt.Sprintf("%s-%s-%s-%t-%d", request, r.types.list[offer.Type].Name, r.machines.zones.list[offer.Zone], offer.Spot, part)
			requests[name] = autoscaler.PlannedScaleOut{Pool: offer, Count: count, Reason: "to replace machines that are drained"}
			n -= count
		}
	}
	return requests
}

// rentReplacements rents replacements. A request that the cloud has refused is repeated under its
// name when the pool may be used again.
func (r *replacements) rentReplacements(a rollout.RentReplacements) {
	requests := r.scaleOutsFor(a.RequestID, a.Replaced)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		w := requests[name]
		if r.scaleOuts.byID[name] != nil || r.rented[name] != nil || r.clock.now < r.pools.state(w.Pool).blockedUntil {
			continue
		}
		r.scaleOuts.startWithID(name, w)
	}
}

// rentedForPlan lists the machines of a plan's scale-outs, once all have a result.
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

// recordRented records the machines of a scale-out, if it may be a plan's.
func (r *replacements) recordRented(request string, machines []string) {
	if !strings.HasPrefix(request, rollout.ScaleOutRequestPrefix) {
		return
	}
	if r.rented == nil {
		r.rented = map[string][]string{}
	}
	r.rented[request] = machines
}
