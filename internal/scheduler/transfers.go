package scheduler

import (
	"time"

	"github.com/segmentio/encoding/json"

	"leadproxy/internal/ledger"
	"leadproxy/internal/settings"
	"leadproxy/internal/spill"
	"leadproxy/internal/wire"
)

// transfers is what the leader knows of jobs that are away in other cells, and of those
// of other cells that run here. The protocol is in package spill; here it meets the jobs,
// the ledger and the neighbours.
type transfers struct {
	cells      settings.Cells
	home       *spill.Home
	guests     *spill.Guests
	shortage   spill.Shortage
	chooser    *spill.Chooser
	neighbours []*neighbour // in order of preference
	credits    map[string]*credit
	counts     map[TransferCount]int
	nextLook   time.Duration
	// allowed tells whether every controller of this cell knows transfers.
	allowed bool
}

// neighbour is what home knows of another cell.
type neighbour struct {
	settings.Neighbour
	outbox  []spill.Message // the newest for each job
	calling bool            // an exchange is under way
	silent  bool            // the last exchange was not answered
	asking  bool            // it is being asked for room
	askAt   time.Duration   // when it may be asked again
	credit  float64         // cores that it has offered and that are not used yet
	until   time.Duration   // when the offer ends
	refused map[string]bool // jobs that it can't run, as it has said in this term
	noted   time.Duration   // when it was last logged that jobs wait for it
	reason  string          // why it had no room when it was last asked
}

// credit is room that was offered to another cell.
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

// newTransfers makes the state of a term.
func (c *Core) newTransfers() {
	t := &c.transfers
	t.cells = c.cfg.Operator.Cells
	t.home = spill.NewHome(c.takeBackAfter)
	t.guests = spill.NewGuests(guestJobs{c})
	t.shortage = spill.Shortage{For: t.cells.ShortageFor}
	t.chooser = spill.NewChooser(c.cfg.Operator.SlowFitC)
	t.credits = map[string]*credit{}
	t.counts = map[TransferCount]int{}
	for _, n := range t.cells.Neighbours {
		t.neighbours = append(t.neighbours, &neighbour{Neighbour: n, refused: map[string]bool{}})
	}
}

// stepTransfers takes the events of transfers.
func (c *Core) stepTransfers(event Event) {
	switch e := event.(type) {
	case TransfersAnswered:
		c.transfersAnswered(e)
	case RoomAnswered:
		c.roomAnswered(e)
	case TransfersAsked:
		c.transfersAsked(e)
	case RoomAsked:
		c.roomAsked(e)
	case GuestWritten:
		c.guestWritten(e)
	case TransfersAllowed:
		c.transfers.allowed = true
	case TransfersListed:
		c.transfersListed(e)
	}
}

// takeBackAfter is when a repeatable job is taken back from a cell. One that the
// settings no longer name is treated as the strictest.
func (c *Core) takeBackAfter(cell string) time.Duration {
	n, ok := c.transfers.cells.Find(cell)
	if !ok {
		return 0
	}
	return n.TakeBack
}

// restoreTransfers takes the transfers over from the ledger, after the jobs.
func (c *Core) restoreTransfers(s *ledger.Snapshot) {
	for _, away := range s.Away {
		at, known := c.jobIndex[away.Ref]
		var j *job
		if known {
			j = c.jobs[at]
		}
		if away.Unknown {
			if known {
				j.away = true // until an operator has mended the record
			}
			continue
		}
		var body *spill.OfferBody
		if known && j.spec != nil {
			body = c.offerBody(j)
		}
		c.transfers.home.Restore(away.Ref, away.Record, body, known && j.terminalDurable, c.now)
		if known {
			j.away = c.transfers.home.Away(away.Ref)
		}
		if _, ok := c.transfers.cells.Find(away.Record.Cell); !ok {
			c.log.Error("a job is away in a cell that the settings do not name", "job", away.Ref, "cell", away.Record.Cell, "epoch", away.Record.Epoch)
		}
	}
	for _, g := range s.Guests {
		c.transfers.guests.Restore(g.Key, g.Record, g.Version)
	}
	c.carryOutHome()
}

// offerBody is what an offer of a job carries; nil if it can't be encoded.
func (c *Core) offerBody(j *job) *spill.OfferBody {
	spec := *j.spec
	spec.WaitsOn = nil // they are done, or it could not leave
	spec.Priority = wire.PriorityName(j.rank)
	if j.due != never {
		due := (j.due - c.ago(j.accept)).Seconds()
		spec.DeadlineS = &due
	}
	text, err := json.Marshal(&spec)
	if err != nil {
		c.log.Error("a job's description can't be encoded", "job", j.ref, "error", err)
		return nil
	}
	return &spill.OfferBody{Job: text, Cores: j.cores(), AcceptedMS: j.accept, Repeatable: c.transfers.cells.Repeatable[j.spec.Class]}
}

// cores is what all of a job's tasks ask for together.
func (j *job) cores() float64 { return j.size.CPUs * float64(j.total) }

// carryOutHome does what home's side of the transfers wants done.
func (c *Core) carryOutHome() {
	for effects := c.transfers.home.Take(); len(effects) > 0; effects = c.transfers.home.Take() {
		for _, effect := range effects {
			switch e := effect.(type) {
			case spill.SaveAway:
				urgent := e.Record.State != spill.Accepted
				c.put(ledger.Write{Key: ledger.AwayKey(e.Ref), Value: e.Record, Urgent: urgent, Tag: awayTag{e.Ref, e.Record}})
			case spill.DropAway:
				c.put(ledger.Write{Key: ledger.AwayKey(e.Ref)})
			case spill.Send:
				c.sendTo(e.Cell, e.Message)
			case spill.ReturnJob:
				c.jobReturned(e.Ref)
			case spill.EndJob:
				c.awayEnded(e)
			case spill.NoteEffect:
				c.noteTransfer(e.Note)
			}
		}
	}
}

// sendTo has a message leave with the next exchange. A newer one about the same job
// replaces it.
func (c *Core) sendTo(cell string, m spill.Message) {
	n := c.neighbourNamed(cell)
	if n == nil {
		return // the settings no longer name it
	}
	for i := range n.outbox {
		if n.outbox[i].Ref == m.Ref {
			n.outbox[i] = m
			return
		}
	}
	n.outbox = append(n.outbox, m)
}

func (c *Core) neighbourNamed(cell string) *neighbour {
	for _, n := range c.transfers.neighbours {
		if n.Name == cell {
			return n
		}
	}
	return nil
}

// exchange has the messages leave. One exchange with each neighbour is under way at a
// time; what comes meanwhile goes with the next.
func (c *Core) exchange() {
	for _, n := range c.transfers.neighbours {
		if n.calling || len(n.outbox) == 0 {
			continue
		}
		count := n.exchangeable()
		n.calling = true
		c.emit(SendTransfers{Cell: n.Name, Messages: n.outbox[:count:count]})
		n.outbox = n.outbox[count:]
	}
}

// noteWaiting logs now and then how many jobs wait for neighbours that do not answer.
func (c *Core) noteWaiting() {
	for _, n := range c.transfers.neighbours {
		if !n.silent || c.now-n.noted < noteWaitingEvery {
			continue
		}
		n.noted = c.now
		if jobs, cores := c.awayIn(n); jobs > 0 {
			c.log.Info("jobs wait for a neighbour that does not answer", "cell", n.Name, "jobs", jobs, "cores", cores)
		}
	}
}

// noteWaitingEvery is how often that is logged.
const noteWaitingEvery = 30 * time.Second

// exchangeable is how many of the waiting messages go into one exchange.
func (n *neighbour) exchangeable() int {
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

// transfersAnswered takes the outcome of an exchange.
func (c *Core) transfersAnswered(e TransfersAnswered) {
	n := c.neighbourNamed(e.Cell)
	if n == nil {
		return
	}
	n.calling = false
	if silent := e.Err != nil; silent != n.silent {
		n.silent, n.noted = silent, c.now
		if silent {
			c.log.Info("neighbour does not answer", "cell", n.Name, "error", e.Err)
			c.refuseCancellations(n)
		} else {
			c.log.Info("neighbour answers again", "cell", n.Name)
		}
	}
	for _, a := range e.Answers {
		c.transfers.home.Answered(e.Cell, a, c.now)
		switch {
		case a.Outcome != spill.OutcomeRefused:
		case a.Temporary:
			n.askAt, n.credit = max(n.askAt, c.now+a.RetryAfter), 0
		default:
			n.refused[a.Ref] = true
		}
	}
	c.carryOutHome()
	c.exchange()
}

// jobReturned has a job wait at home again.
func (c *Core) jobReturned(ref string) {
	at, ok := c.jobIndex[ref]
	if !ok {
		return
	}
	j := c.jobs[at]
	j.away = false
	c.dirty = true
}

// awayEnded writes the end of a job that another cell has run, or that was cancelled
// while it was away.
func (c *Core) awayEnded(e spill.EndJob) {
	at, ok := c.jobIndex[e.Ref]
	if !ok {
		return
	}
	j := c.jobs[at]
	switch {
	case j.over():
	case e.Aborted:
		c.abort(j)
	default:
		j.done = j.total
		c.finish(j, wire.Done)
	}
}

// cancelAway begins the cancellation of a job that is away, or that another cell may
// still run. It is confirmed when that cell has it durably. Where the cell does not
// answer, the user is told at once to come again.
func (c *Core) cancelAway(j *job, to Recipient) {
	if !j.away {
		c.stopTasks(j) // it was taken back and runs here as well
	}
	n := c.neighbourNamed(c.transfers.home.Cell(j.ref))
	if n == nil || n.silent {
		c.emit(AnswerUser{To: to, Known: true, Unreachable: true})
	} else {
		j.waiters = append(j.waiters, to)
	}
	c.carryOutHome()
	c.exchange()
}

// refuseCancellations tells users who wait for a cell that has fallen silent to come
// again.
func (c *Core) refuseCancellations(n *neighbour) {
	for _, ref := range c.transfers.home.With(n.Name) {
		at, ok := c.jobIndex[ref]
		if !ok || c.jobs[at].over() {
			continue
		}
		j := c.jobs[at]
		for _, to := range j.waiters {
			c.emit(AnswerUser{To: to, Known: true, Unreachable: true})
		}
		j.waiters = nil
	}
}

// spillTick does what time brings to transfers.
func (c *Core) spillTick() {
	t := &c.transfers
	if len(t.neighbours) == 0 && t.home.Idle() {
		return
	}
	t.home.Tick(c.now)
	c.carryOutHome()
	c.noteWaiting()
	if t.cells.Spill && t.allowed && c.now >= t.nextLook {
		t.nextLook = c.now + lookEvery
		c.lookForRoom()
	}
	c.exchange()
}

// noteTransfer counts a step and has it logged and traced.
func (c *Core) noteTransfer(n spill.Note) {
	count := TransferCount{Cell: n.Cell, Out: true, Step: n.Step}
	if n.Home != "" {
		count = TransferCount{Cell: n.Home, Step: n.Step}
	}
	c.transfers.counts[count]++
	c.emit(TransferNote{n})
}
