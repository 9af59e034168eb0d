//go:build mutants

package scheduler

import (
	"testing"

	"leadproxy/internal/property"
)

// mutants each take out one guard of what keeps a cancelled task from running on.
// docs/failures.md has the command.
var mutants = []property.Mutant{
	{Name: "answers that are not believed have no stops", File: "required_stops.go", From: "	stops := []wire.Command{}\n", To: "	stops := []wire.Command{}\n	if trust != trusted {\n		return stops\n	}\n"},
	{Name: "tasks of jobs that are over are stopped only if booked", File: "required_stops.go", From: "	case found.job.ended():\n		return 0, true // its progress is of no use\n", To: ""},
	{Name: "tasks of unknown jobs are passed over", File: "required_stops.go", From: "		return 0, true\n	case found.job.ended():", To: "		return 0, false\n	case found.job.ended():"},
	{Name: "a machine that is being returned is told nothing", File: "required_stops.go", From: "	stops := []wire.Command{}\n", To: "	stops := []wire.Command{}\n	if m.state == machineDeleting {\n		return stops\n	}\n"},
	{Name: "a cancelled job's waiting tasks are started", File: "job.go", From: "return !j.ended() && !j.blocked()", To: "return !j.blocked()"},
	{Name: "an answer names no task", File: "heartbeat_responses.go", From: "list := q.requiredStops(m, a.heartbeat, trust)", To: "list := []wire.Command{}"},
}

func TestMutantsAreCaught(t *testing.T) {
	property.CatchMutants(t, "TestRenewals", mutants)
}
