package scheduler

import (
	"time"

	"leadproxy/internal/settings"
)

// classTable holds what is kept by class of jobs.
type classTable struct {
	names          nameTable
	objectives     []classObjective
	allocatedCores []float64
}

// classObjective is the service-level objective of a class.
type classObjective struct {
	wait time.Duration // its tasks should have started by then; 0: no objective
}

// indexOf returns the index of a class, which may be new.
func (t *classTable) indexOf(name string, objectives []settings.Objective) (index int32, isNew bool) {
	index = t.names.intern(name)
	if int(index) < len(t.objectives) {
		return index, false
	}
	objective := classObjective{}
	for _, o := range objectives {
		if o.Kind == "wait" && o.Class == name {
			objective = classObjective{wait: settings.Seconds(o.WithinS)}
		}
	}
	t.objectives = append(t.objectives, objective)
	t.allocatedCores = append(t.allocatedCores, 0)
	return index, true
}

// addAllocated notes that a task of a class takes cores.
func (t *classTable) addAllocated(class int32, cores float64) { t.allocatedCores[class] += cores }

// removeAllocated notes that a task of a class no longer takes cores.
func (t *classTable) removeAllocated(class int32, cores float64) { t.allocatedCores[class] -= cores }

// classIndex returns a class's index and makes room for what is kept by class.
func (c *Core) classIndex(name string) int32 {
	i, isNew := c.classes.indexOf(name, c.cfg.Platform.Facts.Objectives)
	if isNew {
		c.demand.addClass()
		c.estimates.addClass()
	}
	return i
}
