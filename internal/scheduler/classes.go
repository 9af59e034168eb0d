package scheduler

import (
	"time"

	"leadproxy/internal/autoscaler"
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

// classOf returns a class's index and makes room for what is kept by class.
func (c *Core) classOf(name string) int32 {
	i := c.classes.names.of(name)
	for int(i) >= len(c.classes.objectives) {
		c.classes.objectives = append(c.classes.objectives, classObjective{})
		c.classes.allocatedCores = append(c.classes.allocatedCores, 0)
		c.autoscaling.demand = append(c.autoscaling.demand, autoscaler.DemandEstimator{})
		c.estimates.runRatios = append(c.estimates.runRatios, 0)
		for _, o := range c.cfg.Platform.Facts.Objectives {
			if o.Kind == "wait" && o.Class == name {
				c.classes.objectives[i] = classObjective{wait: settings.Seconds(o.WithinS)}
			}
		}
	}
	return i
}
