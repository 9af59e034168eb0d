package scheduler

import (
	"slices"

	"leadproxy/internal/wire"
)

// An agent that was told to forget an ended attempt no longer knows it, and would execute a copy of
// its start. A start in a heartbeat response has no late copies, but a direct command may be carried
// out again at any later time, also under another leader. Direct starts are sent only where the settings
// allow them, or by a leader of an earlier version. So a forget travels only in a response
// whose fencing token is higher than those of all direct commands with starts to that agent so far:
// the agent can't execute the forget without rejecting those commands from then on. A new leader's
// tokens are higher than all of its predecessors'.

const (
	// minForgetBatch is how many successful tasks are forgotten together. An agent sends a heartbeat
	// as soon as its tasks change, so separate forgets would cost one heartbeat each. They are sent
	// with another command that changes the tasks anyway, or once there are this many.
	minForgetBatch = 8
	// maxUnforgotten is how many ended attempts, at most, wait for a time without a direct command
	// in flight. A heartbeat lists them all, and its size is bounded.
	maxUnforgotten = 64
)

// appendForgetsAndPending appends to the stops for a trusted heartbeat the other commands of its
// response: the forgets of ended tasks, and the machine's pending commands. The deliveries are
// those of the starts in the list.
func (c *commands) appendForgetsAndPending(m *machine, heartbeat *wire.Heartbeat, list []wire.Command) ([]wire.Command, StartDeliveries) {
	forgetDone, forgetOthers := c.forgets(m, heartbeat, maxCommandsPerResponse-len(list))
	if !c.ruleOutStartCopies(m, len(forgetDone)+len(forgetOthers)) {
		forgetDone, forgetOthers = nil, nil
	}
	list = append(list, forgetOthers...)
	list, starts := c.appendPendingCommands(m, heartbeat, list)
	if len(list) > 0 || len(forgetDone) >= minForgetBatch {
		list = append(list, forgetDone...)
	}
	return list, starts
}

// forgets returns the forgets of the ended attempts in a heartbeat that need not be remembered, at
// most limit: those of successful tasks, and the others.
func (c *commands) forgets(m *machine, heartbeat *wire.Heartbeat, limit int) (done, others []wire.Command) {
	for i := range heartbeat.Tasks {
		if len(done)+len(others) >= limit {
			break
		}
		task := &heartbeat.Tasks[i]
		if task.Status != wire.TaskEnded || !c.endIsRecorded(m, task) {
			continue
		}
		forget := wire.Command{Verb: wire.VerbForget, Task: task.Task, Attempt: task.Attempt}
		if task.ExitReason == wire.ExitDone {
			done = append(done, forget)
		} else {
			others = append(others, forget)
		}
	}
	return done, others
}

// endIsRecorded reports whether neither the outcome of an ended attempt's start is still awaited nor,
// if the attempt was successful, the write of its end to the ledger.
func (c *commands) endIsRecorded(m *machine, task *wire.TaskStatus) bool {
	if _, unresolved := m.commands.unresolvedStarts[task.Attempt]; unresolved {
		return false
	}
	found := c.jobs.findTask(m, task)
	j := found.job
	if j == nil || task.ExitReason != wire.ExitDone || j.end.durable {
		return true
	}
	return int(found.index) < len(j.progress.tasks) && j.progress.tasks[found.index].state == taskDurable
}

// ruleOutStartCopies makes sure that the response that is being prepared for a machine carries a token
// above those of all direct commands that started tasks there. It reports false if it does not, and
// the ended attempts must not be forgotten yet.
//
// A raised token may cause another heartbeat, and has the agent reject the commands in flight to it.
// So it is raised only along with starts, which cause a heartbeat anyway, or for minForgetBatch
// attempts. All others are forgotten with the token that raiseFencingTokenIfDue raises.
func (c *commands) ruleOutStartCopies(m *machine, ended int) bool {
	switch {
	case m.agent.FencingToken() > m.commands.directStartToken:
		return true
	case ended == 0, ended < minForgetBatch && !m.commands.hasPendingStarts():
		return false
	case m.commands.inFlight > 0 && ended < maxUnforgotten:
		return false
	}
	m.agent.RaiseToken(c.clock.now)
	c.log.Debug("token raised to rule out copies of starts", "machine", m.name, "fencing_token", m.agent.FencingToken(), "ended_attempts", ended)
	return true
}

// hasPendingStarts reports whether a start is pending for the machine.
func (m *machineCommands) hasPendingStarts() bool {
	return slices.ContainsFunc(m.pending, func(command wire.Command) bool { return command.Verb == wire.VerbStart })
}
