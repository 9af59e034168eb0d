package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Controller advances one plan. Each change of the record is made durable before Step returns an
// action that depends on it.
type Controller struct {
	record      Record
	disruptions *DisruptionTracker
	// generation counts the changes of the record, and durable is the latest generation that is
	// stored.
	generation, durable uint64
	waitReasons         []string
}

// NewController returns a controller that continues a plan from its record. It records the
// evictions of the record as disruptions. isDone reports whether a task has finished meanwhile:
// its agent will not report such a task again, so its disruption has to be ended here.
func NewController(record Record, disruptions *DisruptionTracker, isDone func(jobID string, task int) bool, now time.Duration, wallMS int64) *Controller {
	for _, eviction := range record.Evictions {
		ago := max(0, time.Duration(wallMS-eviction.StartedMS)*time.Millisecond)
		disruptions.TaskDisrupted(Job{eviction.JobID, eviction.Team, eviction.Class}, eviction.Task, time.Duration(eviction.LostProgressMS)*time.Millisecond, CauseEviction, now-ago)
		if isDone(eviction.JobID, eviction.Task) {
			disruptions.TaskFinished(eviction.JobID, eviction.Task)
		}
	}
	return &Controller{record: record, disruptions: disruptions}
}

// Start requests that the record of a new plan is written.
func (c *Controller) Start() { c.recordChanged() }

// Record returns the plan's record and its generation.
func (c *Controller) Record() (Record, uint64) { return c.record, c.generation }

// MarkDurable records that a generation of the record is durable.
func (c *Controller) MarkDurable(generation uint64) { c.durable = max(c.durable, generation) }

// IsDurable reports whether the latest record is durable.
func (c *Controller) IsDurable() bool { return c.durable == c.generation }

// WaitReasons returns what the plan waits for, for operators.
func (c *Controller) WaitReasons() []string { return c.waitReasons }

// IsCordoned reports whether the plan cordons a machine.
func (c *Controller) IsCordoned(machine string) bool {
	if slices.Contains(c.record.Skipped, machine) {
		return false
	}
	return (c.record.Phase == PhaseDraining || c.record.Phase == PhaseChecking) && slices.Contains(c.record.Batch, machine)
}

// IsReplacement reports whether a machine is a replacement for the current batch. It must not be
// returned even while it is idle.
func (c *Controller) IsReplacement(machine string) bool {
	return !c.record.Phase.Ended() && slices.Contains(c.record.Replacements, machine)
}

// recordChanged marks the record as changed, so that it is written.
func (c *Controller) recordChanged() { c.generation++ }

func (c *Controller) enterPhase(phase Phase, wallMS int64) {
	c.record.Phase, c.record.PhaseMS = phase, wallMS
	c.recordChanged()
}

// end ends the plan. This lifts its cordons.
func (c *Controller) end(phase Phase, reason string, wallMS int64) {
	c.record.Reason, c.record.Batch, c.record.Replacements, c.record.ScaleOutRequestID = reason, nil, nil, ""
	c.enterPhase(phase, wallMS)
}

// addWaitReason adds a condition that the plan waits for.
func (c *Controller) addWaitReason(format string, args ...any) {
	c.waitReasons = append(c.waitReasons, fmt.Sprintf(format, args...))
}

// phaseDuration returns the time since the current phase began.
func (c *Controller) phaseDuration(v *View) time.Duration {
	return max(0, time.Duration(v.WallMS-c.record.PhaseMS)*time.Millisecond)
}

// Step advances the plan as far as possible and returns the actions to carry out. The Tick method
// of the disruption tracker must have been called for the same time. If the record has changed,
// Step returns no actions: the same step is repeated once the record is durable.
func (c *Controller) Step(v *View) []Action {
	c.waitReasons = nil
	if c.record.Phase.Ended() {
		c.dropPastEvictions()
		return nil
	}
	if !c.IsDurable() {
		c.addWaitReason("the plan's record to be written")
		return nil
	}
	c.dropPastEvictions()
	c.pauseAtDeadline(v)
	if c.record.Paused {
		c.addWaitReason("to be resumed (%s)", cmp.Or(c.record.Reason, pausedByOperator))
		return nil
	}
	actions := c.stepPhase(v)
	if !c.IsDurable() {
		return nil
	}
	return actions
}

// stepPhase advances the current phase.
func (c *Controller) stepPhase(v *View) []Action {
	switch c.record.Phase {
	case PhaseSelecting:
		c.selectBatch(v)
	case PhaseScalingOut:
		return c.scaleOut(v)
	case PhaseDraining:
		return c.drainBatch(v)
	case PhaseChecking:
		c.checkHealth(v)
	}
	return nil
}

// dropPastEvictions removes the evictions from the record whose disruptions no longer count.
func (c *Controller) dropPastEvictions() {
	before := len(c.record.Evictions)
	c.record.Evictions = slices.DeleteFunc(slices.Clone(c.record.Evictions), func(e EvictionRecord) bool { return !c.disruptions.isRecorded(e.JobID) })
	if len(c.record.Evictions) != before {
		c.recordChanged()
	}
}

// pauseAtDeadline pauses the plan when its deadline has passed. A plan that is resumed after that
// has no deadline.
func (c *Controller) pauseAtDeadline(v *View) {
	deadline := seconds(c.record.Spec.DeadlineS)
	elapsed := time.Duration(v.WallMS-c.record.CreatedMS) * time.Millisecond
	if deadline <= 0 || c.record.Paused || elapsed <= deadline {
		return
	}
	c.record.Paused, c.record.Reason = true, "the plan's deadline is over"
	c.record.Spec.DeadlineS = 0
	c.recordChanged()
}
