package scheduler

import (
	"slices"
	"strings"

	"leadproxy/internal/wire"
)

// A direct command may be carried out again at any later time, if its token and epoch still match. An
// agent whose machine has restarted counts both from the beginning, so until it has seen a token of the
// present leader, a late copy of a start would run a task that has moved or was cancelled long ago. A
// response to a heartbeat is never carried out late. So starts travel in responses alone, unless the
// settings allow direct ones.
//
// An idle agent may send its next heartbeat only seconds later. It sends one at once when its tasks
// change, also by a start that it refuses. So the leader wakes the agent by a direct start of a task that
// does not exist. A copy of such a command does no harm.

// wakeTask is the task in a wake-up. It is the last task that a job may have, of a job that nobody submits.
var wakeTask = wire.TaskName{JobID: wire.JobIDPrefix + strings.Repeat("0", wire.MaxJobIDDigits), Index: wire.MaxTasks - 1}

// wakeTaskName is the encoded form of wakeTask.
var wakeTaskName = wakeTask.String()

// takeDirect removes the pending commands of a machine that may be sent as direct commands, and returns them. Starts
// of allocations that were released since are removed too.
func (c *commands) takeDirect(m *machine) (direct []wire.Command) {
	pending := m.commands.pending
	m.commands.pending = nil
	if c.directStarts {
		return pending
	}
	for _, command := range pending {
		switch {
		case command.Verb != wire.VerbStart:
			direct = append(direct, command)
		case m.allocation(command.Attempt) != nil:
			m.commands.pending = append(m.commands.pending, command)
		}
	}
	return direct
}

// sendWakeups wakes the agents of machines for which starts are pending, unless that is under way.
func (c *Core) sendWakeups() {
	for _, m := range c.commands.takeMachinesToWake() {
		if m.commands.waking || m.commands.heldHeartbeat != nil || !m.commands.hasPendingStarts() || !c.attempts.hasAttemptsLeft() {
			continue
		}
		if _, exists := c.jobs.indexByID[wakeTask.JobID]; exists {
			continue // the starts wait for the agent's next regular heartbeat
		}
		c.commands.wake(m, c.attempts.nextAttempt())
	}
}

// takeMachinesToWake removes and returns the machines for which starts became pending.
func (c *commands) takeMachinesToWake() []*machine {
	machines := c.machinesToWake
	c.machinesToWake = nil
	return machines
}

// wake sends the direct command after which a machine's agent sends a heartbeat.
func (c *commands) wake(m *machine, attempt uint64) {
	m.commands.waking = true
	command := &commandInFlight{machine: m, agentEpoch: m.agent.Epoch(), fencingToken: m.agent.FencingToken(), wakeup: true}
	c.sendCommand(command, []wire.Command{{Verb: wire.VerbStart, Task: wakeTaskName, Attempt: attempt}})
}

// handleWakeupResult handles the result of a wake-up. If the agent was not woken, the starts that wait for
// its heartbeat are given up.
func (c *Core) handleWakeupResult(m *machine, outcome CommandOutcome) {
	m.commands.endWakeup()
	if outcome != CommandExecuted {
		c.releaseUnsentStarts(m, func(*allocation) bool { return true })
	}
}

// endWakeup records that the machine's agent was woken, or could not be.
func (m *machineCommands) endWakeup() { m.waking = false }

// releaseUnsentStarts releases the allocations of a machine whose starts are pending and for which
// release returns true. Their tasks are placed again.
func (c *Core) releaseUnsentStarts(m *machine, release func(alloc *allocation) bool) {
	for _, alloc := range slices.Clone(m.capacity.allocations) {
		if alloc.state == allocationQueued && release(alloc) {
			c.releaseAndRequeue(m, alloc)
		}
	}
}

// releaseRefusedStarts releases the allocations of a machine whose starts have been pending since an
// earlier step and are no longer allowed.
func (c *Core) releaseRefusedStarts(m *machine) {
	if !m.commands.hasPendingStarts() {
		return
	}
	uncertain := c.delegations.uncertainUse()
	c.releaseUnsentStarts(m, func(alloc *allocation) bool {
		reason := c.placement.refusal(proposedStart{job: c.jobs.list[alloc.job], machine: m, allocated: true}, uncertain)
		if reason != startAllowed {
			c.log.Info("pending start dropped", "machine", m.name, "task", c.jobs.taskName(alloc), "attempt", alloc.attempt, "reason", reason)
		}
		return reason != startAllowed
	})
}
