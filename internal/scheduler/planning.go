package scheduler

import (
	"iter"
	"math"

	"leadproxy/internal/fleet"
)

// counts tells whether a machine is part of the capacity to plan with.
func (c *Core) counts(m *machine) bool {
	switch m.state {
	case machineBooting:
		return m.typ >= 0
	case machineUp:
		return m.typ >= 0 && !m.quarantine && !m.cordoned && m.noticeAt == 0 && c.quiet(m) < c.silentAfter()
	}
	return false
}

// hireMachines asks for what waiting tasks need and what is to be kept warm.
func (c *Core) hireMachines() {
	open := len(c.openHires())
	for _, w := range fleet.Plan(c.plan()) {
		for ; w.Count > 0; w.Count -= fleet.MaxHire {
			if open >= maxOpenHires {
				return
			}
			c.startHire(w)
			open++
		}
	}
}

func (c *Core) openHires() []*hire {
	var out []*hire
	for _, h := range c.fleet.hires {
		if h.open {
			out = append(out, h)
		}
	}
	return out
}

// plan describes the situation to plan hires from.
func (c *Core) plan() fleet.Situation {
	s := fleet.Situation{MaxMachines: c.cfg.Operator.MaxMachines, Sizes: c.headroomSizes(), Headroom: c.headroomCores()}
	c.planOffers(&s)
	c.planMachines(&s)
	c.planHires(&s)
	c.planWaiting(&s)
	return s
}

// planOffers lists the machine types and the offers that may be asked for.
func (c *Core) planOffers(s *fleet.Situation) {
	for i := range c.types {
		s.Types = append(s.Types, fleet.Type{Total: c.types[i].total, Boot: c.types[i].boot})
	}
	for o, st := range c.openOffers() {
		s.Offers = append(s.Offers, fleet.Priced{Offer: o, Price: c.types[o.Type].price(o.Spot), Most: st.most()})
	}
}

// openOffers are the offers of the cloud that were not refused a moment ago.
func (c *Core) openOffers() iter.Seq2[fleet.Offer, *offerState] {
	return func(yield func(fleet.Offer, *offerState) bool) {
		for i := range c.types {
			for _, z := range c.types[i].zones {
				for _, spot := range []bool{true, false} {
					o := fleet.Offer{Type: int32(i), Zone: z, Spot: spot}
					if st := c.fleet.offer(o); c.now >= st.blockedUntil && !yield(o, st) {
						return
					}
				}
			}
		}
	}
}

// machineCount is how many machines there are, up or coming.
func (c *Core) machineCount() (n int) {
	for _, m := range c.live {
		if m.state != machineGone {
			n++
		}
	}
	return n
}

// planMachines counts the machines that are up or coming.
func (c *Core) planMachines(s *fleet.Situation) {
	s.Machines += c.machineCount()
	for _, m := range c.live {
		if !c.counts(m) {
			continue
		}
		s.Cores += m.total.CPUs
		o := fleet.Offer{Type: m.typ, Zone: m.zone, Spot: m.spot}
		if m.known(c.term) {
			s.Up = append(s.Up, fleet.Present{Offer: o, Busy: c.busy(m)})
		} else {
			s.Coming = append(s.Coming, fleet.Coming{Offer: o, Room: m.free})
		}
	}
}

// planHires counts the machines of hires that the cloud has not answered yet.
func (c *Core) planHires(s *fleet.Situation) {
	for _, h := range c.openHires() {
		if h.offer.Type < 0 {
			continue
		}
		total := c.types[h.offer.Type].total
		for range h.record.Hire.Count {
			s.Coming = append(s.Coming, fleet.Coming{Offer: h.offer, Room: total})
			s.Cores += total.CPUs
			s.Machines++
		}
	}
}

// planWaiting lists the tasks that wait, in the order of the queue. What a team's limit
// leaves is shared by all its waiting jobs.
func (c *Core) planWaiting(s *fleet.Situation) {
	used := make([]units, len(c.teams))
	for i := range used {
		used[i] = c.teams[i].booked
	}
	for _, j := range c.queue() {
		c.resolveTypes(j)
		n := min(len(j.waiting), c.roomInLimit(j, used[j.team]))
		used[j.team] = used[j.team].plus(unitsOf(j.size).times(n))
		if j.suspect() {
			n = min(n, 1)
		}
		if n > 0 {
			s.Waiting = append(s.Waiting, fleet.Group{Size: j.size, Count: n, Run: c.expectedRun(j), Slack: j.slack(c.now),
				Allows: func(o fleet.Offer) bool { return j.allows(o.Type, o.Zone, o.Spot) }})
		}
	}
}

// busy is the core-seconds that are expected to be left of a machine's tasks.
func (c *Core) busy(m *machine) float64 {
	sum := 0.0
	for _, b := range m.bookings {
		j := c.jobs[b.job]
		if j.spec == nil {
			continue
		}
		left := c.expectedRun(j)
		if b.ranSince > 0 {
			// One that has outrun its estimate goes on for some time more.
			left = max(left-(c.now-b.ranSince), left/4)
		}
		sum += j.size.CPUs * left.Seconds()
	}
	return sum
}

// roomInLimit is how many more tasks of a job its team's limit lets run while
// the team uses so much.
func (c *Core) roomInLimit(j *job, used units) int {
	limit := c.teams[j.team].limit
	need := unitsOf(j.size)
	n := math.MaxInt32
	if limit.cpus > 0 && need.cpus > 0 {
		n = min(n, int((limit.cpus-used.cpus)/need.cpus))
	}
	if limit.gpus > 0 && need.gpus > 0 {
		n = min(n, int((limit.gpus-used.gpus)/need.gpus))
	}
	return max(n, 0)
}
