package scheduler

import (
	"math"
	"slices"
	"time"

	"leadproxy/internal/wire"
)

// sendPlanned sends the starts that waited for their host to be durable.
func (c *Core) sendPlanned(j *job, m *machine) {
	for _, b := range slices.Clone(m.allocations) {
		switch {
		case b.job != j.index || b.state != allocationPlanned:
		case c.accepts(m) && !j.over():
			c.sendStart(j, m, b)
		default:
			c.stopAllocation(m, b, 0)
		}
	}
}

func (c *Core) sendStart(j *job, m *machine, b *allocation) {
	b.state = allocationQueued
	c.queueCommand(m, wire.Command{Verb: wire.VerbStart, Task: c.taskName(b), Attempt: b.attempt})
}

// queueCommand has a machine told something at the end of the step.
func (c *Core) queueCommand(m *machine, o wire.Command) {
	if len(m.pendingCommands) == 0 {
		c.machinesWithCommands = append(c.machinesWithCommands, m)
	}
	m.pendingCommands = append(m.pendingCommands, o)
}

// flush gives the answers that are open and turns the orders that don't travel
// with one into direct commands, each well below the protocol's bound on a
// body.
func (c *Core) flush() {
	c.writeJobs()
	c.resumeAnswers()
	c.giveAnswers()
	for _, m := range c.machinesWithCommands {
		if m.heldHeartbeat != nil {
			continue // they go with its answer
		}
		orders := m.pendingCommands
		m.pendingCommands = nil
		for len(orders) > 0 {
			n := min(len(orders), maxCommandsPerResponse)
			c.command(m, orders[:n])
			orders = orders[n:]
		}
	}
	clear(c.machinesWithCommands)
	c.machinesWithCommands = c.machinesWithCommands[:0]
	c.flushDeletes()
}

func (c *Core) command(m *machine, orders []wire.Command) {
	call := &commandInFlight{machine: m, agentEpoch: m.agentEpoch, fencingToken: m.fencingToken}
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
			m.unresolvedStarts[o.Attempt] = math.MaxUint64
			call.startedAttempts = append(call.startedAttempts, o.Attempt)
		}
		kept = append(kept, o)
	}
	if len(kept) > 0 {
		c.send(call, kept)
	}
}

// send has a direct command carried out and remembers it until it is back.
func (c *Core) send(call *commandInFlight, orders []wire.Command) {
	m := call.machine
	c.lastCommandID++
	m.commandsInFlight++
	c.commandsInFlight[c.lastCommandID] = call
	c.emit(SendCommands{CommandID: c.lastCommandID, Machine: m.name, Address: m.address,
		Request: wire.CommandRequest{FencingToken: call.fencingToken, AgentEpoch: call.agentEpoch, Commands: orders}})
}

// shunFor is how long a machine that commands don't reach gets no new tasks.
const shunFor = 4 * time.Second

func (c *Core) commandResult(e CommandResult) {
	call := c.commandsInFlight[e.CommandID]
	delete(c.commandsInFlight, e.CommandID)
	if call == nil {
		return
	}
	m := call.machine
	m.commandsInFlight--
	if call.probe {
		defer c.probeResult(call, e.Outcome)
	}
	if m.state == machineGone {
		return
	}
	if call.addressFromSoftState && (e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent) {
		c.inheritedAddressFailed(m) // the hint is wrong, or old: nothing against the machine
		return
	}
	if e.Outcome == CommandOutcomeUnknown || e.Outcome == CommandNotSent {
		// Its reports may still come, but starts don't arrive: leave it alone
		// for a while rather than book the same tasks there again and again.
		m.avoidUntil = c.now + shunFor
		c.markUnacknowledged(m)
	}
	switch e.Outcome {
	case CommandOutcomeUnknown:
		c.commandOutcomeUnknown(call)
		return
	case CommandNotSent, CommandRejected:
		c.eachSent(call, func(b *allocation) { c.release(m, b) })
		if e.Outcome == CommandRejected && !call.probe {
			c.log.Info("direct command refused", "machine", m.name, "token", call.fencingToken, "session", call.agentEpoch)
		}
	case CommandExecuted:
		c.eachSent(call, func(b *allocation) { b.state = allocationConfirmed })
	}
	if e.Heartbeat != nil && e.Heartbeat.Machine == m.name && e.Heartbeat.FencingToken>>tokenBits <= c.term {
		c.observe(m, e.Heartbeat, false)
	}
	if e.Outcome == CommandExecuted {
		c.repeatStops(call, e.Heartbeat)
	}
}

// commandOutcomeUnknown keeps the starts of a command booked of which nobody knows whether it
// was carried out. The token is higher now: once the worker has echoed it, the command
// can't be executed any more, and what is not there then will never be.
func (c *Core) commandOutcomeUnknown(call *commandInFlight) {
	m := call.machine
	if m.agentEpoch != call.agentEpoch {
		return // it can only be refused
	}
	for _, a := range call.startedAttempts {
		if _, ok := m.unresolvedStarts[a]; ok {
			m.unresolvedStarts[a] = call.fencingToken + 1
		}
	}
	c.log.Debug("direct command unanswered", "machine", m.name, "starts", len(call.startedAttempts), "token", m.fencingToken)
}

// eachSent settles the starts of a command whose outcome is known, and calls f for the
// bookings that still wait for it.
func (c *Core) eachSent(call *commandInFlight, f func(b *allocation)) {
	m := call.machine
	for _, a := range call.startedAttempts {
		delete(m.unresolvedStarts, a)
		if b := m.allocation(a); b != nil && b.state == allocationSent {
			f(b)
		}
	}
}
