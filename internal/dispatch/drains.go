package dispatch

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"leadproxy/internal/drain"
	"leadproxy/internal/fleet"
	"leadproxy/internal/ledger"
)

// Plans that drain machines. What they decide is in package drain; here it is told what
// happens, and what it wants is carried out.

// drainEvery is how often plans go on.
const drainEvery = time.Second

// keptPlans is how many plans that have ended are kept to be looked at.
const keptPlans = 20

// drains are the plans of a term; without an account there are none.
type drains struct {
	account *drain.Account
	plans   map[string]*plan
	next    time.Duration
	turn    int // which plan goes on first
	// hired is what requests for replacements have brought.
	hired map[string][]string
	// noted are the disrupted jobs that the log tells of.
	noted map[string]drain.Entry
}

// plan is one plan under way.
type plan struct {
	rollout *drain.Rollout
	written uint64 // the generation that is being written
	waiting []planWaiter
	tooLong bool // its record does not fit a value
}

// planWaiter waits for a generation of a plan's record to be durable.
type planWaiter struct {
	generation uint64
	to         Recipient
}

// planTag marks the write of a plan's record.
type planTag struct {
	name       string
	generation uint64
}

// IsTag marks it for the ledger.
func (planTag) IsTag() {}

// The errors of commands about plans.
var (
	errNoDrains   = errors.New("draining is not enabled in the settings")
	errNoPlan     = errors.New("there is no plan of that name")
	errPlanExists = errors.New("there is a plan of that name")
)

// restoreDrains goes on with the plans of the ledger, after the jobs and machines.
func (c *Core) restoreDrains(records []drain.Record) {
	if !c.cfg.Operator.Drain.Enabled {
		return
	}
	c.drains.account, c.drains.plans = drain.NewAccount(c.cfg.Operator.Drain.Budgets), map[string]*plan{}
	for _, r := range records {
		c.drains.plans[r.Spec.Name] = &plan{rollout: drain.NewRollout(r, c.drains.account, c.taskIsDone, c.now, c.wall)}
	}
	c.cordon()
}

// taskIsDone tells whether a task has ended, by the ledger.
func (c *Core) taskIsDone(ref string, n int) bool {
	i, ok := c.jobIndex[ref]
	if !ok {
		return true
	}
	j := c.jobs[i]
	return j.over() || n >= len(j.tasks) || j.tasks[n].state >= taskDone
}

// accountOf is a job as the account sees it.
func accountOf(j *job) drain.Job {
	return drain.Job{Ref: j.ref, Team: j.spec.Team, Class: j.spec.Class}
}

// displaced charges a task that has lost its place. saved: its progress was saved.
func (c *Core) displaced(m *machine, b *booking, saved bool, why string) {
	j := c.jobs[b.job]
	if c.drains.account == nil || j.over() || j.spec == nil || b.ranSince == 0 && !b.moving {
		return
	}
	cause := drain.Cause(why)
	switch {
	case b.moving:
		cause = drain.Move
	case m.noticeAt > 0:
		cause = "the cloud takes its machine back"
	}
	lost := time.Duration(0)
	if !saved && b.ranSince > 0 {
		lost = c.now - b.ranSince
	}
	c.drains.account.Lose(accountOf(j), int(b.task), lost, cause, c.now)
}

// taskRuns tells the account that a task runs.
func (c *Core) taskRuns(b *booking) {
	if c.drains.account != nil {
		c.drains.account.Runs(c.jobs[b.job].ref, int(b.task), c.now)
	}
}

// drainTick has all plans go on, beginning with another one each time.
func (c *Core) drainTick() {
	d := &c.drains
	if d.account == nil || c.now < d.next {
		return
	}
	d.next = c.now + drainEvery
	d.account.Tick(c.now)
	c.logDisruptions()
	names := c.planNames()
	for i := range names {
		c.goOn(names[(i+d.turn)%len(names)])
	}
	d.turn++
	c.cordon()
	c.dropOldPlans()
}

// logDisruptions logs the beginning and the end of each job's disruption.
func (c *Core) logDisruptions() {
	noted := map[string]drain.Entry{}
	for _, e := range c.drains.account.Entries(c.now) {
		if !e.Open {
			continue
		}
		noted[e.Job.Ref] = e
		if _, known := c.drains.noted[e.Job.Ref]; !known {
			c.log.Info("job is disrupted", "job", e.Job.Ref, "team", e.Job.Team, "class", e.Job.Class, "cause", e.Cause, "seconds", e.For.Seconds())
		}
	}
	for ref, e := range c.drains.noted {
		if _, open := noted[ref]; !open {
			c.log.Info("job is whole again", "job", ref, "team", e.Job.Team, "class", e.Job.Class, "cause", e.Cause)
		}
	}
	c.drains.noted = noted
}

// planNames lists the plans in the order of their creation.
func (c *Core) planNames() []string {
	names := slices.Collect(maps.Keys(c.drains.plans))
	slices.SortFunc(names, func(a, b string) int {
		x, _ := c.drains.plans[a].rollout.Record()
		y, _ := c.drains.plans[b].rollout.Record()
		return cmp.Or(cmp.Compare(x.CreatedMS, y.CreatedMS), cmp.Compare(a, b))
	})
	return names
}

// goOn has one plan go on: what it wants is done, or its record is written first.
func (c *Core) goOn(name string) {
	p := c.drains.plans[name]
	before, _ := p.rollout.Record()
	for _, act := range p.rollout.Step(c.planView(p)) {
		c.carryOutPlan(act)
	}
	c.savePlan(name, p)
	if after, _ := p.rollout.Record(); after.Phase != before.Phase || after.Paused != before.Paused {
		c.log.Info("draining", "plan", name, "phase", after.Phase, "paused", after.Paused, "step", after.Step, "batch", len(after.Batch), "drained", after.Drained, "why", after.Why)
	}
}

// savePlan writes a plan's record if it has changed.
func (c *Core) savePlan(name string, p *plan) {
	record, generation := p.rollout.Record()
	if generation == p.written || p.tooLong {
		return
	}
	p.written = generation
	c.put(ledger.Write{Key: ledger.PlanKey(name), Value: record, Urgent: true, Tag: planTag{name, generation}})
}

// planDurable notes that a plan's record is durable. Who waits for that is answered, and
// what it allows comes with the next step.
func (c *Core) planDurable(t planTag) {
	p := c.drains.plans[t.name]
	if p == nil {
		return
	}
	p.rollout.Saved(t.generation)
	var still []planWaiter
	for _, w := range p.waiting {
		if w.generation > t.generation {
			still = append(still, w)
			continue
		}
		c.emit(PlanAnswer{To: w.to})
	}
	p.waiting = still
	c.drains.next = 0
}

// roomKey is a job whose tasks are to leave a zone: whether there is room for one is looked
// for once a step.
type roomKey struct{ job, zone int32 }

// planView tells a plan how the world is.
func (c *Core) planView(p *plan) *drain.View {
	r, _ := p.rollout.Record()
	room := map[roomKey]bool{}
	v := &drain.View{Now: c.now, WallMS: c.wall, MayMove: c.mayMove(), Running: c.runningJobs()}
	if r.Phase == drain.Choosing {
		for _, m := range c.live {
			if c.selects(&r, m) {
				v.Candidates = append(v.Candidates, c.planMachine(m, room))
			}
		}
	}
	for _, name := range r.Batch {
		if m := c.machineIfKnown(name); m != nil {
			v.Batch = append(v.Batch, c.planMachine(m, room))
		} else {
			v.Batch = append(v.Batch, drain.Machine{Name: name, Gone: v.MayMove})
		}
	}
	if r.Hire != "" {
		v.Hired = c.hiredFor(&r)
	}
	for _, name := range r.Replacements {
		if m := c.machineIfKnown(name); m != nil {
			v.Replacements = append(v.Replacements, c.replacement(m))
		} else {
			v.Replacements = append(v.Replacements, drain.Replacement{Name: name, Failed: v.MayMove})
		}
	}
	return v
}

// machineIfKnown returns a machine that this term has heard of, or nil. One of an earlier
// leader's that nobody has heard of once jobs may be moved is gone: the cloud's list has been
// read since, and a lease has passed.
func (c *Core) machineIfKnown(name string) *machine {
	if i, ok := c.machineAt[name]; ok {
		return c.machines[i]
	}
	return nil
}

// mayMove tells whether jobs may be disrupted on purpose: what an earlier leader has started
// is known, and what it has disrupted counts no more.
func (c *Core) mayMove() bool {
	return c.Unsettled() == 0 && c.now-c.began >= max(c.cfg.Operator.Drain.Budgets.Longest(), c.leaseTime)
}

// runningJobs counts the running jobs of a group, once for all who ask in a step.
func (c *Core) runningJobs() func(drain.Group) int {
	var counts map[drain.Group]int
	return func(g drain.Group) int {
		if counts == nil {
			counts = map[drain.Group]int{}
			for _, j := range c.active {
				if j.spec != nil && j.booked > 0 && !j.over() {
					counts[drain.TeamGroup(j.spec.Team)]++
					counts[drain.ClassGroup(j.spec.Class)]++
				}
			}
		}
		return counts[g]
	}
}

// selects tells whether a machine is one of a plan's: it matches, and was hired before the
// plan was made.
func (c *Core) selects(r *drain.Record, m *machine) bool {
	if m.state == machineGone || m.state == machineDeleting || m.zone < 0 {
		return false
	}
	hiredMS := c.wall - (c.now - m.hired).Milliseconds()
	return hiredMS <= r.CreatedMS && r.Spec.Selects(m.name, m.typeName, c.zones.list[m.zone])
}

// isEmpty tells whether a machine is proved to run nothing, and nothing that was sent there
// may still start.
func (c *Core) isEmpty(m *machine) bool {
	return m.known(c.term) && len(m.bookings) == 0 && len(m.pending) == 0 && len(m.unclear) == 0 && len(m.outbox) == 0 && m.awaiting == nil
}

// planMachine is a machine as a plan sees it.
func (c *Core) planMachine(m *machine, room map[roomKey]bool) drain.Machine {
	out := drain.Machine{Name: m.name, Empty: c.isEmpty(m), Gone: m.state == machineGone}
	if m.state == machineDeleting && len(m.bookings) == 0 {
		out.Empty = true
	}
	for _, b := range m.bookings {
		if j := c.jobs[b.job]; j.spec != nil && !j.over() {
			out.Tasks = append(out.Tasks, c.planTask(m, j, b, room))
		}
	}
	return out
}

func (c *Core) planTask(m *machine, j *job, b *booking, room map[roomKey]bool) drain.Task {
	key := roomKey{j.index, m.zone}
	if _, known := room[key]; !known {
		room[key] = c.roomElsewhere(m, j)
	}
	t := drain.Task{Job: accountOf(j), Index: int(b.task), Left: c.expectedRun(j), Slack: j.slack(c.now), Stopping: b.stopping, HasRoom: room[key]}
	if b.ranSince > 0 {
		ran := c.now - b.ranSince
		t.Left = max(t.Left-ran, t.Left/4)
		if j.spec.CheckpointS <= 0 {
			t.Lost = ran
		}
	}
	return t
}

// roomElsewhere tells whether a job's task would find room on another machine now; the tasks
// of a job that stays together, in its zone.
func (c *Core) roomElsewhere(from *machine, j *job) bool {
	return slices.ContainsFunc(c.live, func(m *machine) bool {
		return m != from && c.open(m) && j.allows(m.typ, m.zone, m.spot) && j.size.Within(m.free) && (!j.spec.OneZone || m.zone == from.zone)
	})
}

// replacement is a machine that was hired ahead, as a plan sees it.
func (c *Core) replacement(m *machine) drain.Replacement {
	r := drain.Replacement{Name: m.name, Failed: m.state == machineGone || m.state == machineDeleting || m.quarantine}
	if c.open(m) && m.begun > 0 {
		r.Healthy = max(1, c.now-m.begun)
	}
	return r
}

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

// dropOldPlans forgets plans that have ended, the oldest ones first.
func (c *Core) dropOldPlans() {
	var ended []string
	for _, name := range c.planNames() {
		if r, _ := c.drains.plans[name].rollout.Record(); r.Phase.Over() && len(r.Moves) == 0 && c.drains.plans[name].rollout.Durable() {
			ended = append(ended, name)
		}
	}
	for _, name := range ended[:max(0, len(ended)-keptPlans)] {
		delete(c.drains.plans, name)
		c.put(ledger.Write{Key: ledger.PlanKey(name)})
	}
}

// planRejected notes that a plan's record does not fit a value: the plan stands still until
// it is aborted.
func (c *Core) planRejected(t planTag) {
	if p := c.drains.plans[t.name]; p != nil {
		p.tooLong = true
		c.log.Error("the record of a plan takes more than a value may hold", "plan", t.name)
	}
}
