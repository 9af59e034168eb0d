package scheduler

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// commands is what is on its way to agents: the commands of the present step, those whose result
// is not known yet, and the responses to heartbeats that are still open.
type commands struct {
	term    uint64
	clock   *clock
	log     *slog.Logger
	effects *effects
	jobs    *jobTable
	// cancellations counts the stops.
	cancellations *cancellationWatch

	openAnswers          []heldAnswer // of this step
	awaitingWrites       []heldAnswer // that wait for starts to be durable
	heldForUnreachable   []heldAnswer // to machines with an unreachable-agent record
	machinesWithCommands []*machine   // with commands of this step
	inFlight             map[uint64]*commandInFlight
	lastID               uint64
}

func newCommands(c *Core) commands {
	return commands{term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, jobs: &c.jobs, cancellations: &c.cancellations,
		inFlight: map[uint64]*commandInFlight{}}
}

// machineCommands is what is on its way to the agent of one machine.
type machineCommands struct {
	pending          []wire.Command
	inFlight         int
	unresolvedStarts map[uint64]uint64 // starts that may yet be executed: attempt -> token that rules it out
	openAnswer       int               // the response that is open for it, from 1; 0: none
	// heldHeartbeat is the heartbeat whose response waits for starts to be durable.
	heldHeartbeat *wire.Heartbeat
	avoidUntil    time.Duration // until then nothing is started on it: commands do not arrive
}

// commandInFlight is a command whose result is not known yet.
type commandInFlight struct {
	machine              *machine
	agentEpoch           uint64
	fencingToken         uint64
	startedAttempts      []uint64
	stoppedAttempts      []uint64
	probe                bool
	sent                 time.Duration // of a probe
	addressFromSoftState bool          // a probe to an address that only inherited soft state names
}

// sendPlanned sends the starts that waited for their host to be durable.
func (c *Core) sendPlanned(j *job, m *machine) {
	for _, b := range slices.Clone(m.capacity.allocations) {
		switch {
		case b.job != j.index || b.state != allocationPlanned:
		case c.agents.accepts(m) && !j.over():
			c.commands.sendStart(j, m, b)
		default:
			c.stopAllocation(m, b, 0)
		}
	}
}

func (q *commands) sendStart(j *job, m *machine, b *allocation) {
	b.state = allocationQueued
	q.queueCommand(m, wire.Command{Verb: wire.VerbStart, Task: q.jobs.taskName(b), Attempt: b.attempt})
}

// queueCommand has a machine told something at the end of the step.
func (q *commands) queueCommand(m *machine, o wire.Command) {
	if len(m.commands.pending) == 0 {
		q.machinesWithCommands = append(q.machinesWithCommands, m)
	}
	m.commands.pending = append(m.commands.pending, o)
}

// flush gives the answers that are open and turns the orders that don't travel
// with one into direct commands, each well below the protocol's bound on a
// body.
func (c *Core) flush() {
	c.jobs.writeJobs()
	c.commands.resumeAnswers()
	c.commands.giveAnswers()
	for _, m := range c.commands.machinesWithCommands {
		if m.commands.heldHeartbeat != nil {
			continue // they go with its answer
		}
		orders := m.commands.pending
		m.commands.pending = nil
		for len(orders) > 0 {
			n := min(len(orders), maxCommandsPerResponse)
			c.commands.command(m, orders[:n])
			orders = orders[n:]
		}
	}
	clear(c.commands.machinesWithCommands)
	c.commands.machinesWithCommands = c.commands.machinesWithCommands[:0]
	c.autoscaling.flushDeletes()
}

func (q *commands) command(m *machine, orders []wire.Command) {
	call := &commandInFlight{machine: m, agentEpoch: m.agent.epoch, fencingToken: m.agent.fencingToken}
	kept := make([]wire.Command, 0, len(orders))
	for _, o := range orders {
		switch o.Verb {
		case wire.VerbStop:
			call.stoppedAttempts = append(call.stoppedAttempts, o.Attempt)
		case wire.VerbStart:
			b := m.allocation(o.Attempt)
			if b == nil {
				continue // released since
			}
			b.state = allocationSent
			// Until the command's outcome is known, or a raised token rules it
			// out, this start may act at any time.
			m.commands.unresolvedStarts[o.Attempt] = math.MaxUint64
			call.startedAttempts = append(call.startedAttempts, o.Attempt)
		}
		kept = append(kept, o)
	}
	if len(kept) > 0 {
		q.send(call, kept)
	}
}

// send has a direct command carried out and remembers it until it is back.
func (q *commands) send(call *commandInFlight, orders []wire.Command) {
	m := call.machine
	q.lastID++
	m.commands.inFlight++
	q.inFlight[q.lastID] = call
	q.effects.emit(SendCommands{CommandID: q.lastID, Machine: m.name, Address: m.agent.address,
		Request: wire.CommandRequest{FencingToken: call.fencingToken, AgentEpoch: call.agentEpoch, Commands: orders}})
}

// shunFor is how long a machine that commands don't reach gets no new tasks.
const shunFor = 4 * time.Second

func (c *Core) commandResult(e CommandResult) {
	call := c.commands.inFlight[e.CommandID]
	delete(c.commands.inFlight, e.CommandID)
	if call == nil {
		return
	}
	m := call.machine
	m.commands.inFlight--
	if call.probe {
		defer c.agents.probeResult(call, e.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if call.addressFromSoftState && (e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent) {
		c.agents.inheritedAddressFailed(m) // the hint is wrong, or old: nothing against the machine
		return
	}
	if e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent {
		// Its reports may still come, but starts don't arrive: leave it alone
		// for a while rather than book the same tasks there again and again.
		m.commands.avoidUntil = c.clock.now + shunFor
		c.markUnacknowledged(m)
	}
	switch e.Outcome {
	case CommandOutcomeUnknown:
		c.commands.commandOutcomeUnknown(call)
		return
	case CommandNotSent, CommandRejected:
		c.commands.eachSent(call, func(b *allocation) { c.release(m, b) })
		if e.Outcome == CommandRejected && !call.probe {
			c.log.Info("direct command refused", "machine", m.name, "token", call.fencingToken, "session", call.agentEpoch)
		}
	case CommandExecuted:
		c.commands.eachSent(call, func(b *allocation) { b.state = allocationConfirmed })
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == m.name && e.Heartbeat.FencingToken>>tokenBits <= c.term {
		c.observe(m, e.Heartbeat, false)
	}
	if e.Outcome == CommandExecuted {
		c.commands.repeatStops(call, e.Heartbeat)
	}
}

// commandOutcomeUnknown keeps the starts of a command booked of which nobody knows whether it
// was carried out. The token is higher now: once the worker has echoed it, the command
// can't be executed any more, and what is not there then will never be.
func (q *commands) commandOutcomeUnknown(call *commandInFlight) {
	m := call.machine
	if m.agent.epoch != call.agentEpoch {
		return // it can only be refused
	}
	for _, a := range call.startedAttempts {
		if _, ok := m.commands.unresolvedStarts[a]; ok {
			m.commands.unresolvedStarts[a] = call.fencingToken + 1
		}
	}
	q.log.Debug("direct command unanswered", "machine", m.name, "starts", len(call.startedAttempts), "token", m.agent.fencingToken)
}

// eachSent settles the starts of a command whose outcome is known, and calls f for the
// bookings that still wait for it.
func (q *commands) eachSent(call *commandInFlight, f func(b *allocation)) {
	m := call.machine
	for _, a := range call.startedAttempts {
		delete(m.commands.unresolvedStarts, a)
		if b := m.allocation(a); b != nil && b.state == allocationSent {
			f(b)
		}
	}
}
