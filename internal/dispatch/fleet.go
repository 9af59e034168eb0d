package dispatch

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/slowfit"
	"leadproxy/internal/wire"
)

// The times of the fleet's routine.
const (
	typesEvery   = 30 * time.Second
	listEvery    = 4 * time.Second
	planEvery    = 500 * time.Millisecond
	refusedFirst = 8 * time.Second
	refusedMost  = 30 * time.Second
	leastRental  = 60 * time.Second // a machine is charged for this long at least
	maxOpenHires = 8
	maxCalls     = 4 // for one offer at once
)

// fleetState is what the leader knows of the cloud and of its own demand.
type fleetState struct {
	offers    map[fleet.Offer]*offerState
	hires     map[string]*hire
	hireCount uint64
	nextList  time.Duration
	nextTypes time.Duration
	nextPlan  time.Duration
	listing   bool
	typing    bool
	streams   []fleet.Stream // by class
	limited   []fleet.Stream // by team, only of those with a limit
	ratios    []float64      // by class, of run times to estimates; 0: not learned yet
	deletes   []string       // to be asked for at the end of the step
	sizes     []sized        // of the demand, the one with most core-seconds first
}

type offerState struct {
	blockedUntil time.Duration
	backoff      time.Duration
	full         int // hires in a row that were filled
}

// most is how many machines of an offer may be asked for at once: one call's
// worth at first, more once the cloud has filled some.
func (o *offerState) most() int { return min(1+o.full, maxCalls) * fleet.MaxHire }

type hire struct {
	record ledger.HireRecord
	offer  fleet.Offer
	unseen map[string]bool
	open   bool // the cloud's answer is still wanted
	sent   bool
	retry  time.Duration
}

func (f *fleetState) begin() {
	f.offers = map[fleet.Offer]*offerState{}
	f.hires = map[string]*hire{}
}

// arrived learns from a job that has just come in.
func (c *Core) arrived(j *job) {
	f := &c.fleet
	cores := j.size.CPUs * float64(j.total)
	c.learnArrival(j.class, j.team, j.arrived, cores, c.expectedRun(j).Seconds())
	f.addSize(j.size, cores*j.spec.EstimateS, c.aims[j.class].wait > 0)
}

// learnArrival learns the demand from one job.
func (c *Core) learnArrival(class, team int32, at time.Duration, cores, seconds float64) {
	c.fleet.streams[class].Arrived(at, cores, seconds)
	if c.teams[team].limit.cpus > 0 {
		c.fleet.limited[team].Arrived(at, cores, seconds)
	}
}

// sized is a task size with its share of the recent demand.
type sized struct {
	size   slowfit.Size
	weight float64
	wait   bool // some class of that size has an aim on waiting
}

// mostSizes bounds the sizes that are remembered.
const mostSizes = 16

func (f *fleetState) addSize(size slowfit.Size, weight float64, wait bool) {
	at := -1
	for i := range f.sizes {
		f.sizes[i].weight *= 0.98
		if f.sizes[i].size == size {
			at = i
		}
	}
	if at < 0 {
		at = len(f.sizes)
		f.sizes = append(f.sizes, sized{size: size})
	}
	f.sizes[at].weight += weight
	f.sizes[at].wait = f.sizes[at].wait || wait
	slices.SortStableFunc(f.sizes, func(a, b sized) int { return cmp.Compare(b.weight, a.weight) })
	f.sizes = f.sizes[:min(len(f.sizes), mostSizes)]
}

// warmSizes are the sizes that warm machines should hold: the heaviest of the
// demand, then those of classes that must not wait.
func (c *Core) warmSizes() []slowfit.Size {
	var out []slowfit.Size
	for i, s := range c.fleet.sizes {
		if i == 0 || s.wait {
			out = append(out, s.size)
		}
	}
	return out
}

func (f *fleetState) learnRatio(class int32, ratio float64) {
	ratio = min(max(ratio, 0.1), 10)
	if old := f.ratios[class]; old > 0 {
		ratio = old + (ratio-old)/16
	}
	f.ratios[class] = ratio
}

func (f *fleetState) ratio(class int32) float64 {
	if r := f.ratios[class]; r > 0 {
		return r
	}
	return 1
}

func (f *fleetState) offer(o fleet.Offer) *offerState {
	if f.offers[o] == nil {
		f.offers[o] = &offerState{}
	}
	return f.offers[o]
}

// fleetTick runs the routine: reading the cloud, returning, hiring.
func (c *Core) fleetTick() {
	f := &c.fleet
	if !f.typing && c.now >= f.nextTypes {
		f.typing = true
		c.emit(CallCloud{fleet.Call{Types: true}})
	}
	if !f.listing && c.now >= f.nextList {
		f.listing = true
		c.emit(CallCloud{fleet.Call{List: true}})
	}
	for _, h := range f.hires {
		if h.open && !h.sent && h.retry > 0 && c.now >= h.retry {
			c.sendHire(h)
		}
	}
	if c.now < f.nextPlan || len(c.types) == 0 {
		return
	}
	f.nextPlan = c.now + planEvery
	c.returnMachines()
	c.hireMachines()
}

// counts tells whether a machine is part of the capacity to plan with.
func (c *Core) counts(m *machine) bool {
	switch m.state {
	case machineBooting:
		return m.typ >= 0
	case machineUp:
		return m.typ >= 0 && !m.quarantine && m.noticeAt == 0 && c.quiet(m) < c.silentAfter()
	}
	return false
}

// warmCores are the cores that the learned demand makes worth keeping. What a
// team asks for beyond its limit is none of it.
func (c *Core) warmCores() float64 {
	spread := c.cfg.Operator.WarmSpread
	mean, deviation := fleet.Demand(c.now, c.fleet.streams)
	variance, capped := deviation*deviation, 0.0
	for i, t := range c.teams {
		if t.limit.cpus > 0 {
			m, d := fleet.Demand(c.now, c.fleet.limited[i:i+1])
			mean, variance = mean-m, variance-d*d
			capped += min(m+spread*d, float64(t.limit.cpus)/perUnit)
		}
	}
	return max(mean, 0) + spread*math.Sqrt(max(variance, 0)) + capped
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
	s := fleet.Situation{MaxMachines: c.cfg.Operator.MaxMachines, Sizes: c.warmSizes(), Warm: c.warmCores()}
	c.planOffers(&s)
	c.planMachines(&s)
	c.planHires(&s)
	c.planWaiting(&s)
	return s
}

// planOffers lists the machine types and the offers that may be asked for.
func (c *Core) planOffers(s *fleet.Situation) {
	for i := range c.types {
		t := &c.types[i]
		s.Types = append(s.Types, fleet.Type{Total: t.total, Boot: t.boot})
		for _, z := range t.zones {
			for _, spot := range []bool{true, false} {
				o := fleet.Offer{Type: int32(i), Zone: z, Spot: spot}
				st := c.fleet.offer(o)
				if c.now < st.blockedUntil {
					continue
				}
				s.Offers = append(s.Offers, fleet.Priced{Offer: o, Price: t.price(spot), Most: st.most()})
			}
		}
	}
}

// planMachines counts the machines that are up or coming.
func (c *Core) planMachines(s *fleet.Situation) {
	for _, m := range c.live {
		if m.state != machineGone {
			s.Machines++
		}
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

// --- hires ---

func (c *Core) startHire(w fleet.PlannedHire) {
	c.fleet.hireCount++
	// The name embeds the term, so that no other leader ever uses it.
	name := fmt.Sprintf("h%d-%d", c.term, c.fleet.hireCount)
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

func (c *Core) cloudBack(r fleet.Result) {
	switch {
	case r.Call.Hire != nil:
		c.hireBack(r)
	case r.Call.Delete != nil:
		for _, name := range r.Call.Delete {
			if m := c.machineNamed(name); r.Err == nil {
				c.gone(m, "deleted")
			}
		}
	case r.Call.Types:
		c.fleet.typing = false
		c.fleet.nextTypes = c.now + typesEvery
		if r.Err != nil {
			c.log.Debug("machine types not read", "error", r.Err)
			c.fleet.nextTypes = c.now + time.Second
			return
		}
		c.typesRead(r.Types)
	case r.Call.List:
		c.fleet.listing = false
		c.fleet.nextList = c.now + listEvery
		if r.Err != nil {
			c.log.Debug("machines not listed", "error", r.Err)
			return
		}
		c.listRead(r.List)
	}
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

func (c *Core) typesRead(types []wire.MachineType) {
	for _, t := range types {
		i, ok := c.typeAt[t.Name]
		if !ok {
			i = int32(len(c.types))
			c.typeAt[t.Name] = i
			c.types = append(c.types, machineType{boot: settings.Seconds(t.BootS)})
		}
		mt := &c.types[i]
		mt.MachineType = t
		mt.total = slowfit.Size{CPUs: t.CPUs, GPUs: t.GPUs, MemGB: t.MemGB}
		mt.zones = mt.zones[:0]
		for _, z := range t.Zones {
			mt.zones = append(mt.zones, c.zones.of(z))
		}
		if !ok {
			for _, m := range c.live {
				if m.typeName == t.Name {
					c.describe(m, t.Name, c.zones.list[m.zone], m.spot, "")
				}
			}
			for _, j := range c.active {
				j.types = nil
			}
			c.dirty = true
		}
	}
}

func (c *Core) listRead(list []wire.ListedMachine) {
	for _, m := range c.live {
		if m.listed {
			m.missing++
		}
	}
	for i := range list {
		l := &list[i]
		m := c.machineNamed(l.Name)
		if m.state == machineGone {
			continue
		}
		if !m.listed {
			m.listed = true
			m.hired = c.now - settings.Seconds(l.AgeS)
			c.hireSeen(m)
		}
		if m.typeName == "" {
			c.describe(m, l.Type, l.Zone, l.Spot, l.Address)
		}
		m.missing = 0
		if l.Status == wire.MachineUp && settings.Seconds(l.AgeS) > c.now-c.began {
			c.probe(m)
		}
		if l.Status == wire.MachineFailed {
			// It has stopped on its own, and all on it with it.
			c.askDelete(m, "failed")
			c.gone(m, "listed as failed")
		}
	}
}
