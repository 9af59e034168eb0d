package scheduler

import (
	"log/slog"
	"math"
	"time"

	"leadproxy/internal/scheduler/agentstate"
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

	pendingResponses        []pendingResponse // of this step
	responsesAwaitingWrites []pendingResponse // that wait for starts to be durable
	responsesToUnreachable  []pendingResponse // to machines with an unreachable-agent record
	machinesWithCommands    []*machine        // with commands of this step
	inFlight                map[uint64]*commandInFlight
	lastCommandID           uint64
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
	responseNumber   int               // the response that is open for it, from 1; 0: none
	// heldHeartbeat is the heartbeat whose response waits for starts to be durable.
	heldHeartbeat *wire.Heartbeat
	noStartsUntil time.Duration // until then nothing is started on it: commands do not arrive
}

// resolveUpToToken resolves the starts that an agent can't execute any more once it has
// acknowledged a token.
func (m *machineCommands) resolveUpToToken(acknowledged uint64) {
	for attempt, token := range m.unresolvedStarts {
		if acknowledged >= token {
			delete(m.unresolvedStarts, attempt)
		}
	}
}

// resolveAllStarts resolves all starts: none can be executed any more.
func (m *machineCommands) resolveAllStarts() { clear(m.unresolvedStarts) }

// addUnresolvedStart notes that a start may yet be executed.
func (m *machineCommands) addUnresolvedStart(attempt uint64) {
	m.unresolvedStarts[attempt] = math.MaxUint64
}

// resolveAllOnToken has all starts resolved once a token is acknowledged: from then on the agent
// refuses commands with an earlier one.
func (m *machineCommands) resolveAllOnToken(token uint64) {
	for attempt := range m.unresolvedStarts {
		m.unresolvedStarts[attempt] = token
	}
}

// idle tells whether nothing is on its way to the machine that may start a task there.
func (m *machineCommands) idle() bool {
	return len(m.unresolvedStarts) == 0 && len(m.pending) == 0 && m.heldHeartbeat == nil
}

// suspendStarts keeps new tasks from the machine for a time.
func (m *machineCommands) suspendStarts(until time.Duration) { m.noStartsUntil = until }

// dropPending drops the commands that were not sent yet.
func (m *machineCommands) dropPending() { m.pending = nil }

// commandInFlight is a command whose result is not known yet.
type commandInFlight struct {
	machine              *machine
	agentEpoch           uint64
	fencingToken         uint64
	positionWhenSent     agentstate.HeartbeatPosition // the newest heartbeat as it was sent
	startedAttempts      []uint64
	startDeliveries      StartDeliveries // of startedAttempts
	stoppedAttempts      []uint64
	probe                bool
	sentAt               time.Duration // of a probe
	addressFromSoftState bool          // a probe to an address that only inherited soft state names
}

func (q *commands) queueStart(j *job, m *machine, b *allocation) {
	b.state = allocationQueued
	b.start.forbidWhen(&j.end.cancellationConfirmed)
	q.queueCommand(m, wire.Command{Verb: wire.VerbStart, Task: q.jobs.taskName(b), Attempt: b.attempt})
}

// withdrawUnsentStart withdraws the start of an allocation that is being released, if it has not left
// this controller. Nothing is in doubt about it then.
func (q *commands) withdrawUnsentStart(m *machine, b *allocation) {
	if !b.withdrawStart() {
		return
	}
	delete(m.commands.unresolvedStarts, b.attempt)
	q.log.Debug("start withdrawn before it was sent", "machine", m.name, "task", q.jobs.taskName(b), "attempt", b.attempt)
}

// queueCommand has a command sent to a machine at the end of the step.
func (q *commands) queueCommand(m *machine, o wire.Command) {
	if len(m.commands.pending) == 0 {
		q.machinesWithCommands = append(q.machinesWithCommands, m)
	}
	m.commands.pending = append(m.commands.pending, o)
}

// finishStep ends a step: it writes what is new about jobs, sends the open responses, and
// turns the commands that don't travel with one into direct commands, each well below the
// protocol's bound on a body.
func (c *Core) finishStep() {
	c.jobs.writeJobs()
	c.commands.releaseHeldResponses()
	c.commands.sendResponses()
	c.commands.sendPendingCommands()
	c.scaleIns.sendDeletes()
}

// sendPendingCommands sends the commands that don't travel with a response.
func (q *commands) sendPendingCommands() {
	for _, m := range q.machinesWithCommands {
		if m.commands.heldHeartbeat != nil {
			continue // they are sent with its response
		}
		batch := m.commands.pending
		m.commands.pending = nil
		for len(batch) > 0 {
			n := min(len(batch), maxCommandsPerResponse)
			q.sendBatch(m, batch[:n])
			batch = batch[n:]
		}
	}
	clear(q.machinesWithCommands)
	q.machinesWithCommands = q.machinesWithCommands[:0]
}

// sendBatch sends the commands of a machine that fit one direct command.
func (q *commands) sendBatch(m *machine, batch []wire.Command) {
	command := &commandInFlight{machine: m, agentEpoch: m.agent.Epoch(), fencingToken: m.agent.FencingToken()}
	kept := make([]wire.Command, 0, len(batch))
	for _, o := range batch {
		switch o.Verb {
		case wire.VerbStop:
			command.stoppedAttempts = append(command.stoppedAttempts, o.Attempt)
		case wire.VerbStart:
			b := m.allocation(o.Attempt)
			if b == nil {
				continue // released since
			}
			b.state = allocationSent
			// Until the command's outcome is known, or a raised token rules it out, this start
			// may be executed at any time.
			m.commands.addUnresolvedStart(o.Attempt)
			command.startedAttempts = append(command.startedAttempts, o.Attempt)
			command.startDeliveries = append(command.startDeliveries, &b.start)
		}
		kept = append(kept, o)
	}
	if len(kept) > 0 {
		q.sendCommand(command, kept)
	}
}

// sendCommand sends a direct command and keeps it until its result arrives.
func (q *commands) sendCommand(command *commandInFlight, batch []wire.Command) {
	m := command.machine
	q.lastCommandID++
	command.positionWhenSent = m.agent.Position()
	m.commands.inFlight++
	q.inFlight[q.lastCommandID] = command
	q.effects.emit(SendCommands{CommandID: q.lastCommandID, Machine: m.name, Address: m.agent.Address(), Starts: command.startDeliveries,
		Request: wire.CommandRequest{FencingToken: command.fencingToken, AgentEpoch: command.agentEpoch, Commands: batch}})
}
