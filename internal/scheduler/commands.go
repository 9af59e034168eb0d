package scheduler

import (
	"log/slog"
	"math"
	"time"

	"leadproxy/internal/scheduler/agentstate"
	"leadproxy/internal/wire"
)

// commands is the part of the core that holds what is to be sent to agents: the commands of the
// present step, those in flight, and the heartbeat responses not sent yet.
type commands struct {
	term    uint64
	clock   *clock
	log     *slog.Logger
	effects *effects
	jobs    *jobTable
	// cancellations counts the stops of cancelled tasks.
	cancellations *cancellationWatch
	// directStarts is set if starts may be sent as direct commands.
	directStarts bool

	pendingResponses        []pendingResponse // sent at the end of this step
	responsesAwaitingWrites []pendingResponse // held until the starts for their machines are durable
	responsesToUnreachable  []pendingResponse // held until the unreachable-agent records of their machines are withdrawn
	machinesWithCommands    []*machine        // have commands to be sent at the end of this step
	machinesToWake          []*machine        // have starts that wait for a heartbeat
	inFlight                map[uint64]*commandInFlight
	lastCommandID           uint64
}

func newCommands(c *Core) commands {
	return commands{term: c.term, clock: &c.clock, log: c.log, effects: &c.effects, jobs: &c.jobs, cancellations: &c.cancellations, directStarts: c.cfg.Operator.DirectStarts,
		inFlight: map[uint64]*commandInFlight{}}
}

// machineCommands is what is to be sent to the agent of one machine, or is in flight to it.
type machineCommands struct {
	pending  []wire.Command
	listed   bool // the machine is in commands.machinesWithCommands
	waking   bool // a wake-up of the agent is in flight
	inFlight int  // direct commands without a result
	// unresolvedStarts are the starts that may still be executed: by attempt, the token whose
	// acknowledgement rules that out.
	unresolvedStarts map[uint64]uint64
	// directStartToken is the highest fencing token of the direct commands with starts so far. Until
	// the agent has seen a higher one, a copy of such a command would be executed.
	directStartToken uint64
	// responseNumber is the 1-based index in pendingResponses of the response that carries the
	// commands; 0: there is none.
	responseNumber int
	// heldHeartbeat is the heartbeat whose response is held until starts are durable; nil: there is
	// none.
	heldHeartbeat *wire.Heartbeat
	// noStartsUntil is until when nothing is started on the machine, because a command may not have
	// reached it.
	noStartsUntil time.Duration
}

// resolveUpToToken resolves the starts that the agent can't execute any more because it has
// acknowledged a token.
func (m *machineCommands) resolveUpToToken(acknowledged uint64) {
	for attempt, token := range m.unresolvedStarts {
		if acknowledged >= token {
			delete(m.unresolvedStarts, attempt)
		}
	}
}

// resolveAllStarts resolves all starts. It is called when none of them can be executed any more.
func (m *machineCommands) resolveAllStarts() { clear(m.unresolvedStarts) }

// addUnresolvedStart records that a start may still be executed, and that no token rules it out
// yet.
func (m *machineCommands) addUnresolvedStart(attempt uint64) {
	m.unresolvedStarts[attempt] = math.MaxUint64
}

// recordDirectStart records that a start is sent in a direct command with the given token. No token
// rules it out yet.
func (m *machineCommands) recordDirectStart(attempt, token uint64) {
	m.addUnresolvedStart(attempt)
	m.directStartToken = max(m.directStartToken, token)
}

// resolveAllOnToken sets all starts to be resolved once token is acknowledged: from then on the
// agent rejects commands with a lower one.
func (m *machineCommands) resolveAllOnToken(token uint64) {
	for attempt := range m.unresolvedStarts {
		m.unresolvedStarts[attempt] = token
	}
}

// idle reports whether no command or response that may start a task on the machine is pending, held
// or in flight.
func (m *machineCommands) idle() bool {
	return len(m.unresolvedStarts) == 0 && len(m.pending) == 0 && m.heldHeartbeat == nil
}

// suspendStarts keeps new tasks from being placed on the machine until the given time.
func (m *machineCommands) suspendStarts(until time.Duration) { m.noStartsUntil = until }

// dropPending discards the commands that have not been sent.
func (m *machineCommands) dropPending() { m.pending = nil }

// commandInFlight is a command whose result is not known yet.
type commandInFlight struct {
	machine              *machine
	agentEpoch           uint64
	fencingToken         uint64
	positionWhenSent     agentstate.HeartbeatPosition // of the newest heartbeat known when it was sent
	startedAttempts      []uint64
	startDeliveries      StartDeliveries // of startedAttempts, in the same order
	stoppedAttempts      []uint64
	probe                bool
	wakeup               bool
	sentAt               time.Duration // set for probes only
	addressFromSoftState bool          // a probe to an address known only from inherited soft state
}

// queueStart queues the start of an allocated task. It is no longer sent once the cancellation of
// its job is confirmed.
func (c *commands) queueStart(j *job, m *machine, alloc *allocation) {
	alloc.state = allocationQueued
	alloc.start.forbidWhen(&j.end.cancellationConfirmed)
	c.queueCommand(m, wire.Command{Verb: wire.VerbStart, Task: c.jobs.taskName(alloc), Attempt: alloc.attempt})
}

// withdrawUnsentStart withdraws the start of an allocation that is being released, if it has not
// left this controller. Such a start is resolved: it will never be executed.
func (c *commands) withdrawUnsentStart(m *machine, alloc *allocation) {
	if !alloc.withdrawStart() {
		return
	}
	delete(m.commands.unresolvedStarts, alloc.attempt)
	c.log.Debug("start withdrawn before it was sent", "machine", m.name, "task", c.jobs.taskName(alloc), "attempt", alloc.attempt)
}

// queueCommand queues a command that is sent to a machine at the end of the step.
func (c *commands) queueCommand(m *machine, command wire.Command) {
	if !m.commands.listed {
		m.commands.listed = true
		c.machinesWithCommands = append(c.machinesWithCommands, m)
	}
	m.commands.pending = append(m.commands.pending, command)
}

// finishStep ends a step: it writes the changed job records, sends the pending responses, and sends
// the commands that no response carries as direct commands, each well below the protocol's bound on
// a body.
func (c *Core) finishStep() {
	c.jobs.writeJobs()
	c.commands.releaseHeldResponses()
	c.commands.sendResponses()
	c.commands.sendPendingCommands()
	c.sendWakeups()
	c.scaleIns.sendDeletes()
}

// sendPendingCommands sends the commands that no response carries as direct commands.
func (c *commands) sendPendingCommands() {
	for _, m := range c.machinesWithCommands {
		m.commands.listed = false
		if m.commands.heldHeartbeat != nil {
			continue // its commands are sent with the held response
		}
		batch := c.takeDirect(m)
		if len(m.commands.pending) > 0 {
			c.machinesToWake = append(c.machinesToWake, m)
		}
		for len(batch) > 0 {
			count := min(len(batch), maxCommandsPerResponse)
			c.sendBatch(m, batch[:count])
			batch = batch[count:]
		}
	}
	clear(c.machinesWithCommands)
	c.machinesWithCommands = c.machinesWithCommands[:0]
}

// sendBatch sends commands to a machine in one direct command. Starts whose allocations were
// released since they were queued are left out.
func (c *commands) sendBatch(m *machine, batch []wire.Command) {
	inFlight := &commandInFlight{machine: m, agentEpoch: m.agent.Epoch(), fencingToken: m.agent.FencingToken()}
	kept := make([]wire.Command, 0, len(batch))
	for _, command := range batch {
		switch command.Verb {
		case wire.VerbStop:
			inFlight.stoppedAttempts = append(inFlight.stoppedAttempts, command.Attempt)
		case wire.VerbStart:
			alloc := m.allocation(command.Attempt)
			if alloc == nil {
				continue // released since it was queued
			}
			alloc.state = allocationSent
			// The start may be executed at any time until the command's outcome is known or a
			// raised token rules it out.
			m.commands.recordDirectStart(command.Attempt, inFlight.fencingToken)
			inFlight.startedAttempts = append(inFlight.startedAttempts, command.Attempt)
			inFlight.startDeliveries = append(inFlight.startDeliveries, &alloc.start)
		}
		kept = append(kept, command)
	}
	if len(kept) > 0 {
		c.sendCommand(inFlight, kept)
	}
}

// sendCommand sends a direct command and records it as in flight until its result arrives.
func (c *commands) sendCommand(command *commandInFlight, batch []wire.Command) {
	m := command.machine
	c.lastCommandID++
	command.positionWhenSent = m.agent.Position()
	m.commands.inFlight++
	c.inFlight[c.lastCommandID] = command
	c.effects.emit(SendCommands{CommandID: c.lastCommandID, Machine: m.name, Address: m.agent.Address(), Starts: command.startDeliveries,
		Request: wire.CommandRequest{FencingToken: command.fencingToken, AgentEpoch: command.agentEpoch, Commands: batch}})
}
