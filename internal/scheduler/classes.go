package scheduler

import (
	"time"

	"leadproxy/internal/settings"
)

// classTable holds the state that is kept per job class, by class index.
type classTable struct {
	names          nameTable
	objectives     []classObjective
	allocatedCores []float64
}

// classObjective is the service-level objective of a job class.
type classObjective struct {
	wait time.Duration // how long tasks may wait until they start; 0: no objective
}

// indexOf returns the index of a class and adds the class, with its objective from the settings, if
// it is new.
func (t *classTable) indexOf(name string, objectives []settings.Objective) (index int32, isNew bool) {
	index = t.names.intern(name)
	if int(index) < len(t.objectives) {
		return index, false
	}
	objective := classObjective{}
	for _, setting := range objectives {
		if setting.Kind == "wait" && setting.Class == name {
			objective = classObjective{wait: settings.Seconds(setting.WithinS)}
		}
	}
	t.objectives = append(t.objectives, objective)
	t.allocatedCores = append(t.allocatedCores, 0)
	return index, true
}

// addAllocated adds the cores of a new allocation to its class.
func (t *classTable) addAllocated(class int32, cores float64) { t.allocatedCores[class] += cores }

// removeAllocated subtracts the cores of a released allocation from its class.
func (t *classTable) removeAllocated(class int32, cores float64) { t.allocatedCores[class] -= cores }

// classIndex returns the index of a class. For a new class it extends the demand and the run-time
// estimates, which are kept per class too.
func (c *Core) classIndex(name string) int32 {
	index, isNew := c.classes.indexOf(name, c.cfg.Platform.Facts.Objectives)
	if isNew {
		c.demand.addClass()
		c.estimates.addClass()
	}
	return index
}
