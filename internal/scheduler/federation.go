package scheduler

import (
	"log/slog"
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/federation"
	"leadproxy/internal/ledger"
	"leadproxy/internal/scheduler/quota"
	"leadproxy/internal/settings"
	"leadproxy/internal/wire"
)

// federationState is what the leader knows of jobs that are delegated to other cells, and of
// foreign jobs that run here. The protocol is in package federation; here it is connected with
// the jobs, the ledger and the neighbours.
type federationState struct {
	cfg       *Config
	clock     *clock
	log       *slog.Logger
	effects   *effects
	writes    *durableWrites
	types     *machineTypes
	estimates *runEstimates
	teams     *quota.Teams
	jobs      *jobTable
	machines  *machineTable
	placement *placement
	agents    *agents
	pools     *capacityPools
	demand    *learnedDemand

	cells          settings.Cells
	delegated      *federation.DelegatedJobs
	foreign        *federation.ForeignJobs
	shortage       federation.Shortage
	selector       *federation.CellSelector
	neighbours     []*neighbour // in order of preference
	credits        map[string]*credit
	counts         map[TransferCount]int
	nextForwarding time.Duration
	// transfersEnabled tells whether every controller of this cell knows transfers.
	transfersEnabled bool
}

// neighbour is what the origin cell knows of another cell.
type neighbour struct {
	settings.Neighbour
	outbox              []federation.Message // the newest for each job
	exchanging          bool                 // an exchange is under way
	unreachable         bool                 // the last exchange was not answered
	capacityRequested   bool                 // a capacity request is under way
	nextCapacityRequest time.Duration        // when the next one may be sent
	credit              float64              // cores that it has offered and that are not used yet
	until               time.Duration        // when its offer expires
	refused             map[string]bool      // jobs that it can't run, as it has said in this term
	waitingLoggedAt     time.Duration        // when it was last logged that jobs wait for it
	reason              string               // why it last had no capacity
}

// credit is capacity that was offered to another cell.
type credit struct {
	cores float64
	until time.Duration
}

// TransferCount names a counter of transfers' steps.
type TransferCount struct {
	Cell string // the other one
	// Out is set for jobs of this cell.
	Out  bool
	Step string
}

// maxExchange bounds the messages of one exchange, and maxExchangeBytes the jobs in it.
const (
	maxExchange      = 256
	maxExchangeBytes = 1 << 20
)

// newFederation begins a term without transfers.
func newFederation(c *Core) federationState {
	operator := c.cfg.Operator
	t := federationState{cfg: &c.cfg, clock: &c.clock, log: c.log, effects: &c.effects, writes: &c.writes, types: &c.types, estimates: &c.estimates, teams: &c.teams,
		jobs: &c.jobs, machines: &c.machines, placement: &c.placement, agents: &c.agents, pools: &c.pools, demand: &c.demand,
		cells:     operator.Cells,
		delegated: federation.NewDelegatedJobs(reclaimAfter(operator.Cells)),
		foreign:   federation.NewForeignJobs(localJobs{c}),
		shortage:  federation.Shortage{MinDuration: operator.Cells.ShortageFor},
		selector:  federation.NewCellSelector(operator.SlowFitC),
		credits:   map[string]*credit{},
		counts:    map[TransferCount]int{},
	}
	for _, n := range operator.Cells.Neighbours {
		t.neighbours = append(t.neighbours, &neighbour{Neighbour: n, refused: map[string]bool{}})
	}
	return t
}

// federationEvent takes the events of transfers.
func (c *Core) federationEvent(event Event) {
	switch e := event.(type) {
	case TransferResult:
		c.transferResult(e)
	case CapacityResult:
		c.capacityResult(e)
	case TransferRequest:
		c.transfersRequested(e)
	case CapacityRequest:
		c.federation.capacityRequested(e)
	case ForeignWriteResult:
		c.foreignWritten(e)
	case TransfersEnabled:
		c.federation.enableTransfers()
	case TransferListRequest:
		c.transferListRequested(e)
	}
}

// reclaimAfter tells when a repeatable job is reclaimed from a cell. One that the settings no
// longer name is treated as the strictest.
func reclaimAfter(cells settings.Cells) func(cell string) time.Duration {
	return func(cell string) time.Duration {
		n, ok := cells.Find(cell)
		if !ok {
			return 0
		}
		return n.ReclaimAfter
	}
}

// restoreTransfers takes the transfers over from the ledger, after the jobs.
func (c *Core) restoreTransfers(s *ledger.Snapshot) {
	for _, saved := range s.Delegated {
		at, known := c.jobs.indexByID[saved.JobID]
		var j *job
		if known {
			j = c.jobs.list[at]
		}
		if saved.Unknown {
			if known {
				j.transfer.setDelegated(true) // until an operator has mended the record
			}
			continue
		}
		var body *federation.OfferBody
		if known && j.spec != nil {
			body = c.federation.offerBody(j)
		}
		c.federation.delegated.Restore(saved.JobID, saved.Record, body, known && j.end.durable, c.clock.now)
		if known {
			j.transfer.setDelegated(c.federation.delegated.Delegated(saved.JobID))
		}
		if _, ok := c.federation.cells.Find(saved.Record.Cell); !ok {
			c.log.Error("job delegated to a cell that the settings do not name", "job", saved.JobID, "cell", saved.Record.Cell, "transfer_epoch", saved.Record.Epoch)
		}
	}
	for _, g := range s.Foreign {
		c.federation.foreign.Restore(g.Key, g.Record, g.Version)
	}
	c.applyOriginEffects()
}

// offerBody is the body of a job's offer; nil if it can't be encoded.
func (f *federationState) offerBody(j *job) *federation.OfferBody {
	spec := *j.spec
	spec.DependsOn = nil // they are done, or it could not leave
	spec.Priority = wire.PriorityName(j.priority.class)
	if j.priority.deadline != never {
		due := (j.priority.deadline - f.clock.ago(j.record.acceptedMS)).Seconds()
		spec.DeadlineS = &due
	}
	text, err := json.Marshal(&spec)
	if err != nil {
		f.log.Error("job description encoding failed", "job", j.id, "error", err)
		return nil
	}
	return &federation.OfferBody{Job: text, Cores: j.cores(), AcceptedMS: j.record.acceptedMS, Repeatable: f.cells.Repeatable[j.spec.Class]}
}

// cores is what all tasks of a job take together.
func (j *job) cores() float64 { return j.request.size.CPUs * float64(j.progress.total) }

// applyOriginEffects carries out the effects of the origin side of the transfers.
func (c *Core) applyOriginEffects() {
	for effects := c.federation.delegated.TakeEffects(); len(effects) > 0; effects = c.federation.delegated.TakeEffects() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case federation.SaveDelegated:
				urgent := e.Record.State != federation.Accepted
				c.writes.put(ledger.Write{Key: ledger.DelegatedKey(e.JobID), Value: e.Record, Urgent: urgent, Tag: delegatedTag{e.JobID, e.Record}})
			case federation.DropDelegated:
				c.writes.put(ledger.Write{Key: ledger.DelegatedKey(e.JobID)})
			case federation.Send:
				c.federation.queueTransfer(e.Cell, e.Message)
			case federation.ReturnJob:
				c.jobReturned(e.JobID)
			case federation.EndJob:
				c.delegatedEnded(e)
			case federation.TraceOrigin:
				c.federation.traceTransfer(e.Step)
			}
		}
	}
}

// queueTransfer has a message leave with the next exchange. A newer one about the same job
// replaces it.
func (f *federationState) queueTransfer(cell string, m federation.Message) {
	n := f.neighbourNamed(cell)
	if n == nil {
		return // the settings no longer name it
	}
	for i := range n.outbox {
		if n.outbox[i].JobID == m.JobID {
			n.outbox[i] = m
			return
		}
	}
	n.outbox = append(n.outbox, m)
}

func (f *federationState) neighbourNamed(cell string) *neighbour {
	for _, n := range f.neighbours {
		if n.Name == cell {
			return n
		}
	}
	return nil
}

// sendTransfers sends the queued messages. One exchange with each neighbour is under way at a
// time; what is queued meanwhile is sent with the next.
func (f *federationState) sendTransfers() {
	for _, n := range f.neighbours {
		if n.exchanging || len(n.outbox) == 0 {
			continue
		}
		count := n.batchSize()
		n.exchanging = true
		f.effects.emit(SendTransfers{Cell: n.Name, Messages: n.outbox[:count:count]})
		n.outbox = n.outbox[count:]
	}
}

// logWaiting logs now and then how many jobs wait for neighbours that do not respond.
func (f *federationState) logWaiting() {
	for _, n := range f.neighbours {
		if !n.unreachable || f.clock.now-n.waitingLoggedAt < waitingLogInterval {
			continue
		}
		n.waitingLoggedAt = f.clock.now
		if jobs, cores := f.delegatedTo(n); jobs > 0 {
			f.log.Info("jobs wait for an unreachable neighbour", "cell", n.Name, "jobs", jobs, "cores", cores)
		}
	}
}

// waitingLogInterval is how often that is logged.
const waitingLogInterval = 30 * time.Second

// batchSize is how many of the queued messages are sent in one exchange.
func (n *neighbour) batchSize() int {
	bytes := 0
	for i, m := range n.outbox {
		if m.Body != nil {
			bytes += len(m.Body.Job)
		}
		if i == maxExchange || i > 0 && bytes > maxExchangeBytes {
			return i
		}
	}
	return len(n.outbox)
}

// transferResult takes the outcome of an exchange.
func (c *Core) transferResult(e TransferResult) {
	n := c.federation.neighbourNamed(e.Cell)
	if n == nil {
		return
	}
	n.exchanging = false
	if unreachable := e.Err != nil; unreachable != n.unreachable {
		n.unreachable, n.waitingLoggedAt = unreachable, c.clock.now
		if unreachable {
			c.log.Info("neighbour unreachable", "cell", n.Name, "error", e.Err)
			c.federation.refuseCancellations(n)
		} else {
			c.log.Info("neighbour reachable again", "cell", n.Name)
		}
	}
	for _, a := range e.Answers {
		c.federation.delegated.HandleAnswer(e.Cell, a, c.clock.now)
		switch {
		case a.Outcome != federation.OutcomeRefused:
		case a.Temporary:
			n.nextCapacityRequest, n.credit = max(n.nextCapacityRequest, c.clock.now+a.RetryAfter), 0
		default:
			n.refused[a.JobID] = true
		}
	}
	c.applyOriginEffects()
	c.federation.sendTransfers()
}

// jobReturned has a job wait in its origin cell again.
func (c *Core) jobReturned(id string) {
	at, ok := c.jobs.indexByID[id]
	if !ok {
		return
	}
	j := c.jobs.list[at]
	j.transfer.setDelegated(false)
	c.placement.markNeeded()
}

// delegatedEnded writes the end of a job that another cell has run, or that was cancelled while
// it was delegated.
func (c *Core) delegatedEnded(e federation.EndJob) {
	at, ok := c.jobs.indexByID[e.JobID]
	if !ok {
		return
	}
	j := c.jobs.list[at]
	switch {
	case j.ended():
	case e.Cancelled:
		c.cancel(j)
	default:
		j.progress.allDone()
		c.finish(j, wire.JobDone)
	}
}

// cancelDelegated begins the cancellation of a job that is delegated, or that another cell may
// still run. It is confirmed when that cell has it durably. Where the cell does not respond, the
// user is told at once to try again.
func (c *Core) cancelDelegated(j *job, to Recipient) {
	if !j.transfer.delegated {
		c.stopTasks(j) // it was reclaimed and runs here as well
	}
	n := c.federation.neighbourNamed(c.federation.delegated.Cell(j.id))
	if n == nil || n.unreachable {
		c.effects.emit(UserReply{ReplyTo: to, Known: true, CellUnreachable: true})
	} else {
		j.end.await(to)
	}
	c.applyOriginEffects()
	c.federation.sendTransfers()
}

// refuseCancellations has users who wait for a cell that no longer responds try again.
func (f *federationState) refuseCancellations(n *neighbour) {
	for _, id := range f.delegated.JobsAt(n.Name) {
		at, ok := f.jobs.indexByID[id]
		if !ok || f.jobs.list[at].ended() {
			continue
		}
		j := f.jobs.list[at]
		for _, to := range j.end.takeRecipients() {
			f.effects.emit(UserReply{ReplyTo: to, Known: true, CellUnreachable: true})
		}
	}
}

// enableTransfers notes that every controller of this cell knows transfers.
func (f *federationState) enableTransfers() { f.transfersEnabled = true }

// forwardingDue tells whether the queue is to be searched for jobs to be delegated.
func (f *federationState) forwardingDue() bool {
	if !f.cells.DelegateJobs || !f.transfersEnabled || f.clock.now < f.nextForwarding {
		return false
	}
	f.nextForwarding = f.clock.now + forwardingInterval
	return true
}

// federationTick does what follows for transfers from the passing of time.
func (c *Core) federationTick() {
	t := &c.federation
	if len(t.neighbours) == 0 && t.delegated.Idle() {
		return
	}
	t.delegated.Tick(c.clock.now)
	c.applyOriginEffects()
	c.federation.logWaiting()
	if c.federation.forwardingDue() {
		c.forwardJobs()
	}
	c.federation.sendTransfers()
}

// traceTransfer counts a step and has it logged and traced.
func (f *federationState) traceTransfer(n federation.TransferStep) {
	count := TransferCount{Cell: n.Cell, Out: true, Step: n.Step}
	if n.Origin != "" {
		count = TransferCount{Cell: n.Origin, Step: n.Step}
	}
	f.counts[count]++
	f.effects.emit(TraceTransfer{n})
}
