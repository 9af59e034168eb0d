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

func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "TestRenewals", mutants)
}
