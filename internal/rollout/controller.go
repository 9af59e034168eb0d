package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rollout is the controller of one plan. Each change of its record is made durable before any
// action that depends on it is returned.
type Rollout struct {
	record      Record
	disruptions *Account
	// generation counts the changes of the record; durable is the generation that is stored.
	generation, durable uint64
	waitReasons         []string
}

// NewRollout returns the controller of a plan, which continues from its record. The recorded
// evictions count as disruptions again. isDone reports whether a task has finished
// meanwhile: its agent will not report it again, so the disruption would not end by that.
func NewRollout(r Record, disruptions *Account, isDone func(jobID string, task int) bool, now time.Duration, wallMS int64) *Rollout {
	for _, e := range r.Moves {
		ago := max(0, time.Duration(wallMS-e.StartedMS)*time.Millisecond)
		disruptions.Lose(Job{e.JobID, e.Team, e.Class}, e.Task, time.Duration(e.LostProgressMS)*time.Millisecond, Move, now-ago)
		if isDone(e.JobID, e.Task) {
			disruptions.Ends(e.JobID, e.Task, now)
		}
	}
	return &Rollout{record: r, disruptions: disruptions}
}

// Begin has the record of a new plan written.
func (c *Rollout) Begin() { c.recordChanged() }

// Record returns the plan's record and its generation.
func (c *Rollout) Record() (Record, uint64) { return c.record, c.generation }

// Saved notes that a generation of the record is durable.
func (c *Rollout) Saved(generation uint64) { c.durable = max(c.durable, generation) }

// Durable reports whether the latest record is durable.
func (c *Rollout) Durable() bool { return c.durable == c.generation }

// Waits returns the conditions that the plan waits for, for operators.
func (c *Rollout) Waits() []string { return c.waitReasons }

// Cordons reports whether the plan cordons a machine.
func (c *Rollout) Cordons(machine string) bool {
	if slices.Contains(c.record.Skipped, machine) {
		return false
	}
	return (c.record.Phase == Draining || c.record.Phase == PhaseChecking) && slices.Contains(c.record.Batch, machine)
}

// Keeps reports whether a machine is a replacement for the current batch, which must not be
// returned although nothing runs there yet.
func (c *Rollout) Keeps(machine string) bool {
	return !c.record.Phase.Over() && slices.Contains(c.record.Replacements, machine)
}

// recordChanged has the record written.
func (c *Rollout) recordChanged() { c.generation++ }

func (c *Rollout) enter(p Phase, wallMS int64) {
	c.record.Phase, c.record.PhaseMS = p, wallMS
	c.recordChanged()
}

// end ends the plan, which lifts its cordons.
func (c *Rollout) end(p Phase, reason string, wallMS int64) {
	c.record.Why, c.record.Batch, c.record.Replacements, c.record.Hire = reason, nil, nil, ""
	c.enter(p, wallMS)
}

// waitFor adds a condition that the plan waits for.
func (c *Rollout) waitFor(format string, args ...any) {
	c.waitReasons = append(c.waitReasons, fmt.Sprintf(format, args...))
}

// phaseDuration is the time since the phase began.
func (c *Rollout) phaseDuration(v *View) time.Duration {
	return max(0, time.Duration(v.WallMS-c.record.PhaseMS)*time.Millisecond)
}

// Step continues the plan as far as possible and returns the actions to carry out. The
// disruptions' Tick must have been called for this time. If the record has changed, no actions are returned:
// the same step is taken again once the record is durable.
func (c *Rollout) Step(v *View) []Act {
	c.waitReasons = nil
	if c.record.Phase.Over() {
		c.dropPastEvictions()
		return nil
	}
	if !c.Durable() {
		c.waitFor("the plan's record to be written")
		return nil
	}
	c.dropPastEvictions()
	c.pauseAtDeadline(v)
	if c.record.Paused {
		c.waitFor("to be resumed (%s)", cmp.Or(c.record.Why, pausedByOperator))
		return nil
	}
	actions := c.stepPhase(v)
	if !c.Durable() {
		return nil
	}
	return actions
}

// stepPhase takes the step of the current phase.
func (c *Rollout) stepPhase(v *View) []Act {
	switch c.record.Phase {
	case Choosing:
		c.selectBatch(v)
	case PhaseScalingOut:
		return c.scaleOut(v)
	case Draining:
		return c.drainBatch(v)
	case PhaseChecking:
		c.checkHealth(v)
	}
	return nil
}

// dropPastEvictions drops the evictions from the record whose disruptions count no longer.
func (c *Rollout) dropPastEvictions() {
	before := len(c.record.Moves)
	c.record.Moves = slices.DeleteFunc(slices.Clone(c.record.Moves), func(e EvictionRecord) bool { return !c.disruptions.isRecorded(e.JobID) })
	if len(c.record.Moves) != before {
		c.recordChanged()
	}
}

// pauseAtDeadline pauses the plan once its deadline is over. After it is resumed, it has none.
func (c *Rollout) pauseAtDeadline(v *View) {
	deadline := seconds(c.record.Spec.DeadlineS)
	age := time.Duration(v.WallMS-c.record.CreatedMS) * time.Millisecond
	if deadline <= 0 || c.record.Paused || age <= deadline {
		return
	}
	c.record.Paused, c.record.Why = true, "the plan's deadline is over"
	c.record.Spec.DeadlineS = 0
	c.recordChanged()
}
