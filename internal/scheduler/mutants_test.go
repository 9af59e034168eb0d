//go:build mutants

package scheduler

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants each remove one check that keeps a task of a cancelled job from running on.
// docs/failures.md has the command that runs them.
var mutants = []property.Mutant{
	{Name: "responses to untrusted heartbeats have no stops", File: "required_stops.go", From: "	stops := []wire.Command{}\n", To: "	stops := []wire.Command{}\n	if trust != trustedHeartbeat {\n		return stops\n	}\n"},
	{Name: "tasks of ended jobs are stopped only if allocated", File: "required_stops.go", From: "	case found.job.ended():\n		return 0, true // a checkpoint is of no use to a job that has ended\n", To: ""},
	{Name: "tasks of unknown jobs are not stopped", File: "required_stops.go", From: "		return 0, true\n	case found.job.ended():", To: "		return 0, false\n	case found.job.ended():"},
	{Name: "a machine that is being deleted gets no stops", File: "required_stops.go", From: "	stops := []wire.Command{}\n", To: "	stops := []wire.Command{}\n	if m.state == machineDeleting {\n		return stops\n	}\n"},
	{Name: "waiting tasks of a cancelled job are started", File: "job.go", From: "return !j.ended() && !j.blocked()", To: "return !j.blocked()"},
	{Name: "responses have no required stops", File: "heartbeat_responses.go", From: "list := c.requiredStops(m, pending.heartbeat, trust)", To: "list := []wire.Command{}"},
}

// copyMutants each remove one check that keeps the copy of a start from running a forgotten attempt
// again.
var copyMutants = []property.Mutant{
	{Name: "a forget travels with any token", File: "forgets.go", From: "	case m.agent.FencingToken() > m.commands.directStartToken:", To: "	case m.agent.FencingToken() > 0:"},
	{Name: "a forget travels with the token of the latest start", File: "forgets.go", From: "	case m.agent.FencingToken() > m.commands.directStartToken:", To: "	case m.agent.FencingToken() >= m.commands.directStartToken:"},
	{Name: "the tokens of starts are not recorded", File: "commands.go", From: "	m.directStartToken = max(m.directStartToken, token)\n", To: ""},
	{Name: "forgets do not wait for a token", File: "forgets.go", From: "		forgetDone, forgetOthers = nil, nil\n", To: "		forgetDone = forgetDone[:]\n"},
}

// statusMutants each remove one check that keeps the status of a job with an unknown ancestor from
// being given from memory.
var statusMutants = []property.Mutant{
	{Name: "unknown predecessors are not looked for", File: "dependencies.go", From: " && !t.graph.AnyUnknown() {", To: " {"},
	{Name: "unknown predecessors of the job itself do not count", File: "dependencies.go", From: "	if j.dependencies.Unknown() > 0 {\n		return true\n	}\n", To: ""},
	{Name: "unknown predecessors of ancestors do not count", File: "dependencies.go", From: " || t.list[index].dependencies.Unknown() > 0:", To: ":"},
	{Name: "an unreadable predecessor stays unknown", File: "depgraph/graph.go", From: "	job.unreadable = true\n", To: "	job.unreadable = false\n"},
	{Name: "a read that failed is not repeated", File: "record_reads.go", From: "		r.queue = append(r.queue, jobID)\n	}\n}\n\n// logOverdue", To: "	}\n}\n\n// logOverdue"},
}

// startMutants each remove one check that keeps a task from starting where or in a way it must not.
var startMutants = []property.Mutant{
	{Name: "the machine's state is not asked", File: "start_constraints.go", From: "	case !p.agents.schedulable(m):\n		return refusedMachineState\n", To: ""},
	{Name: "type, zone and kind are not asked", File: "start_constraints.go", From: "	case !p.types.allowsPool(j, m.pool()):\n		return refusedPool\n", To: ""},
	{Name: "gang and spread are not asked", File: "start_constraints.go", From: "	case !j.allowsZoneBesideOthers(m.zone, m.zone, own):", To: "	case own < 0:"},
	{Name: "machines to avoid are not asked", File: "start_constraints.go", From: "	case j.avoids(m.index, p.clock.now):\n		return refusedAvoided\n", To: ""},
	{Name: "the team's limit is not asked", File: "start_constraints.go", From: "	case !p.teams.Team(j.request.team).AllowsMore(j.request.size, another, uncertain[j.request.team]):", To: "	case another < 0:"},
	{Name: "an unknown type suits any job", File: "start_constraints.go", From: "pool.Type < 0 ||", To: "pool.Type >= 0 &&"},
	{Name: "a reservation is kept although it is refused", File: "fair_share.go", From: "stillWaiting && (reason == startAllowed || reason == refusedTeamLimit)", To: "stillWaiting"},
	{Name: "starts are sent directly", File: "wakeups.go", From: "	if c.directStarts {", To: "	if !c.directStarts {"},
	{Name: "starts that wait for a heartbeat are not asked again", File: "wakeups.go", From: "	if !m.commands.hasPendingStarts() {\n		return\n	}\n	uncertain", To: "	if m.agent.Epoch() > 0 {\n		return\n	}\n	uncertain"},
	{Name: "starts are kept although the wake-up failed", File: "wakeups.go", From: "	if outcome != CommandExecuted {", To: "	if outcome == CommandExecuted {"},
}

func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "TestRenewals", mutants)
}

func TestCopyMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "TestRenewals|TestForget", copyMutants)
}

func TestStatusMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "TestGraph|UnknownPredecessors|Unreadable|NoStatusFromMemory", statusMutants)
}

func TestStartMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "TestReservation|TestPlannedStart|TestStarts|TestPendingStarts|TestUnknownType", startMutants)
}
