package scheduler

import (
	"time"

	"leadproxy/internal/settings"
)

// classTable holds what is kept by class of jobs.
type classTable struct {
	names          names
	objectives     []classObjective
	allocatedCores []float64
}

// classObjective is the service-level objective of a class.
type classObjective struct {
	wait time.Duration // its tasks should have started by then; 0: no objective
}

// index returns the index of a class, which may be new.
func (t *classTable) index(name string, objectives []settings.Objective) (index int32, isNew bool) {
	index = t.names.of(name)
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

// allocate notes that a task of a class takes cores.
func (t *classTable) allocate(class int32, cores float64) { t.allocatedCores[class] += cores }

// deallocate notes that a task of a class no longer takes cores.
func (t *classTable) deallocate(class int32, cores float64) { t.allocatedCores[class] -= cores }

// classOf returns a class's index and makes room for what is kept by class.
func (c *Core) classOf(name string) int32 {
	i, isNew := c.classes.index(name, c.cfg.Platform.Facts.Objectives)
	if isNew {
		c.demand.addClass()
		c.estimates.addClass()
	}
	return i
}
