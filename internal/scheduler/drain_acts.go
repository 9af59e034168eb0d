package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"leadproxy/internal/drain"
	"leadproxy/internal/fleet"
)

// What plans that drain machines have done.

// cordon has nothing start on the machines that plans are emptying, and keeps those that
// they have hired.
func (c *Core) cordon() {
	for _, m := range c.live {
		cordoned, kept := false, false
		for _, p := range c.drains.plans {
			cordoned = cordoned || p.rollout.Cordons(m.name)
			kept = kept || p.rollout.Keeps(m.name)
		}
		m.kept = kept
		if m.cordoned != cordoned {
			m.cordoned = cordoned
			c.touch(m)
			c.dirty = true
		}
	}
}

// carryOutPlan does what a plan wants.
func (c *Core) carryOutPlan(act drain.Act) {
	switch a := act.(type) {
	case drain.MoveTask:
		if m := c.machineIfKnown(a.Machine); m != nil {
			c.moveTask(m, a.Ref, int32(a.Task))
		}
	case drain.ReturnMachine:
		if m := c.machineIfKnown(a.Machine); m != nil && (m.state == machineDeleting || c.isEmpty(m)) {
			c.askDelete(m, "drained")
		}
	case drain.HireAhead:
		c.hireAhead(a)
	}
}

// moveTask has a task stopped, after it has saved its progress if it can.
func (c *Core) moveTask(m *machine, ref string, n int32) {
	for _, b := range slices.Clone(m.bookings) {
		j := c.jobs[b.job]
		if j.ref != ref || b.task != n || b.stopping || j.spec == nil {
			continue
		}
		b.moving = true
		grace := 0.0
		if j.spec.CheckpointS > 0 {
			grace = j.spec.SaveS
		}
		c.log.Info("task is moved", "task", c.taskName(b), "machine", m.name, "grace_s", grace)
		c.stopBooking(m, b, grace)
	}
}

// requestsFor are the hires for a plan's replacements: one for each kind of machine, in
// parts that the cloud takes. They are none until all of the machines are known: a request
// that is made once for fewer brings no more later.
func (c *Core) requestsFor(request string, like []string) map[string]fleet.PlannedHire {
	counts := map[fleet.Offer]int{}
	for _, name := range like {
		m := c.machineIfKnown(name)
		switch {
		case m != nil && m.typ >= 0 && m.zone >= 0:
			counts[fleet.Offer{Type: m.typ, Zone: m.zone, Spot: m.spot}]++
		case !c.mayMove():
			return nil
		}
	}
	requests := map[string]fleet.PlannedHire{}
	for offer, n := range counts {
		for part := 0; n > 0; part++ {
			count := min(n, fleet.MaxHire)
			name := fmt.Sprintf("%s-%s-%s-%t-%d", request, c.types[offer.Type].Name, c.zones.list[offer.Zone], offer.Spot, part)
			requests[name] = fleet.PlannedHire{Offer: offer, Count: count, Why: "to replace machines that are drained"}
			n -= count
		}
	}
	return requests
}

// hireAhead hires replacements. A request that the cloud has refused is made again under
// its name when the offer may be asked for again.
func (c *Core) hireAhead(a drain.HireAhead) {
	requests := c.requestsFor(a.Request, a.Like)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		w := requests[name]
		if c.fleet.hires[name] != nil || c.drains.hired[name] != nil || c.now < c.fleet.offer(w.Offer).blockedUntil {
			continue
		}
		c.startNamedHire(name, w)
	}
}

// hiredFor is what the requests for a plan's replacements have brought, once all are
// answered.
func (c *Core) hiredFor(r *drain.Record) (machines []string) {
	requests := c.requestsFor(r.Hire, r.Batch)
	for _, name := range slices.Sorted(maps.Keys(requests)) {
		if c.drains.hired[name] == nil {
			return nil
		}
		machines = append(machines, c.drains.hired[name]...)
	}
	return machines
}

// noteHired notes the machines of a hire, if it may be a plan's.
func (c *Core) noteHired(request string, machines []string) {
	if !strings.HasPrefix(request, drain.HirePrefix) {
		return
	}
	if c.drains.hired == nil {
		c.drains.hired = map[string][]string{}
	}
	c.drains.hired[request] = machines
}
