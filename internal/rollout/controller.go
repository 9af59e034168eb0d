package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Controller is the controller of one plan. Each change of its record is made durable before any
// action that depends on it is returned.
type Controller struct {
	record      Record
	disruptions *DisruptionTracker
	// generation counts the changes of the record; durable is the generation that is stored.
	generation, durable uint64
	waitReasons         []string
}

// NewController returns the controller of a plan, which continues from its record. The recorded
// evictions count as disruptions again. isDone reports whether a task has finished
// meanwhile: its agent will not report it again, so the disruption would not end by that.
func NewController(r Record, disruptions *DisruptionTracker, isDone func(jobID string, task int) bool, now time.Duration, wallMS int64) *Controller {
	for _, e := range r.Evictions {
		ago := max(0, time.Duration(wallMS-e.StartedMS)*time.Millisecond)
		disruptions.TaskDisrupted(Job{e.JobID, e.Team, e.Class}, e.Task, time.Duration(e.LostProgressMS)*time.Millisecond, CauseEviction, now-ago)
		if isDone(e.JobID, e.Task) {
			disruptions.TaskFinished(e.JobID, e.Task)
		}
	}
	return &Controller{record: r, disruptions: disruptions}
}

// Start has the record of a new plan written.
func (c *Controller) Start() { c.recordChanged() }

// Record returns the plan's record and its generation.
func (c *Controller) Record() (Record, uint64) { return c.record, c.generation }

// MarkDurable notes that a generation of the record is durable.
func (c *Controller) MarkDurable(generation uint64) { c.durable = max(c.durable, generation) }

// IsDurable reports whether the latest record is durable.
func (c *Controller) IsDurable() bool { return c.durable == c.generation }

// WaitReasons returns the conditions that the plan waits for, for operators.
func (c *Controller) WaitReasons() []string { return c.waitReasons }

// IsCordoned reports whether the plan cordons a machine.
func (c *Controller) IsCordoned(machine string) bool {
	if slices.Contains(c.record.Skipped, machine) {
		return false
	}
	return (c.record.Phase == PhaseDraining || c.record.Phase == PhaseChecking) && slices.Contains(c.record.Batch, machine)
}

// IsReplacement reports whether a machine is a replacement for the current batch, which must not be
// returned although nothing runs there yet.
func (c *Controller) IsReplacement(machine string) bool {
	return !c.record.Phase.Ended() && slices.Contains(c.record.Replacements, machine)
}

// recordChanged has the record written.
func (c *Controller) recordChanged() { c.generation++ }

func (c *Controller) enterPhase(p Phase, wallMS int64) {
	c.record.Phase, c.record.PhaseMS = p, wallMS
	c.recordChanged()
}

// end ends the plan, which lifts its cordons.
func (c *Controller) end(p Phase, reason string, wallMS int64) {
	c.record.Reason, c.record.Batch, c.record.Replacements, c.record.ScaleOutRequestID = reason, nil, nil, ""
	c.enterPhase(p, wallMS)
}

// addWaitReason adds a condition that the plan waits for.
func (c *Controller) addWaitReason(format string, args ...any) {
	c.waitReasons = append(c.waitReasons, fmt.Sprintf(format, args...))
}

// phaseDuration is the time since the phase began.
func (c *Controller) phaseDuration(v *View) time.Duration {
	return max(0, time.Duration(v.WallMS-c.record.PhaseMS)*time.Millisecond)
}

// Step continues the plan as far as possible and returns the actions to carry out. The
// disruptions' Tick must have been called for this time. If the record has changed, no actions are returned:
// the same step is taken again once the record is durable.
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

// stepPhase takes the step of the current phase.
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

// dropPastEvictions drops the evictions from the record whose disruptions count no longer.
func (c *Controller) dropPastEvictions() {
	before := len(c.record.Evictions)
	c.record.Evictions = slices.DeleteFunc(slices.Clone(c.record.Evictions), func(e EvictionRecord) bool { return !c.disruptions.isRecorded(e.JobID) })
	if len(c.record.Evictions) != before {
		c.recordChanged()
	}
}

// pauseAtDeadline pauses the plan once its deadline is over. After it is resumed, it has none.
func (c *Controller) pauseAtDeadline(v *View) {
	deadline := seconds(c.record.Spec.DeadlineS)
	age := time.Duration(v.WallMS-c.record.CreatedMS) * time.Millisecond
	if deadline <= 0 || c.record.Paused || age <= deadline {
		return
	}
	c.record.Paused, c.record.Reason = true, "the plan's deadline is over"
	c.record.Spec.DeadlineS = 0
	c.recordChanged()
}
