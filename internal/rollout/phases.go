package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ScaleOutRequestPrefix is the prefix of the request IDs of scale-outs for replacements.
const ScaleOutRequestPrefix = "drain-"

// selectBatch selects the machines of the next batch: those on which the least progress would be
// lost.
func (c *Controller) selectBatch(v *View) {
	if !v.MayDisrupt {
		c.addWaitReason("all machines to be heard of since the leader began")
		return
	}
	remaining := slices.DeleteFunc(slices.Clone(v.Candidates), func(m Machine) bool { return m.Gone || slices.Contains(c.record.Skipped, m.Name) })
	if len(remaining) == 0 {
		c.end(PhaseFinished, "no machine is left", v.WallMS)
		return
	}
	slices.SortStableFunc(remaining, func(a, b Machine) int {
		return cmp.Or(cmp.Compare(a.lostProgress(), b.lostProgress()), cmp.Compare(len(a.Tasks), len(b.Tasks)), strings.Compare(a.Name, b.Name))
	})
	c.record.Batch = nil
	for _, m := range remaining[:c.record.Spec.batchSize(c.record.Step, len(remaining))] {
		c.record.Batch = append(c.record.Batch, m.Name)
	}
	c.record.Step++
	c.record.Replacements, c.record.ScaleOutRequestID = nil, ""
	if c.record.Spec.Surge {
		c.record.ScaleOutRequestID = ScaleOutRequestPrefix + fmt.Sprintf("%s-%d-%d", c.record.Spec.Name, c.record.CreatedMS, c.record.Step)
		c.enterPhase(PhaseScalingOut, v.WallMS)
		return
	}
	c.enterPhase(PhaseDraining, v.WallMS)
}

// scaleOut rents the replacements and waits until they are healthy. It ends the plan if one of
// them fails or if they are not healthy within HealthS.
func (c *Controller) scaleOut(v *View) []Action {
	if len(c.record.Replacements) == 0 && len(v.Rented) > 0 {
		c.record.Replacements = slices.Clone(v.Rented)
		c.recordChanged()
		return nil
	}
	healthy := 0
	for _, m := range v.Replacements {
		if m.Failed {
			c.endFailedReplacement(m, v)
			return nil
		}
		if m.HealthyFor > 0 && m.HealthyFor >= seconds(c.record.Spec.CheckS) {
			healthy++
		}
	}
	if healthy >= len(c.record.Batch) {
		c.enterPhase(PhaseDraining, v.WallMS)
		return nil
	}
	if c.phaseDuration(v) > seconds(c.record.Spec.HealthS) {
		c.end(PhaseFailed, fmt.Sprintf("%d of %d replacements are healthy after health_s", healthy, len(c.record.Batch)), v.WallMS)
		return nil
	}
	c.addWaitReason("replacements: %d of %d are healthy", healthy, len(c.record.Batch))
	return []Action{RentReplacements{RequestID: c.record.ScaleOutRequestID, Replaced: c.record.Batch}}
}

// endFailedReplacement ends the plan because a replacement has failed.
func (c *Controller) endFailedReplacement(m Replacement, v *View) {
	c.end(PhaseFailed, "replacement "+m.Name+" has failed", v.WallMS)
}

// drainBatch evicts the tasks of the machines of the batch and returns the empty machines.
func (c *Controller) drainBatch(v *View) []Action {
	var actions []Action
	drained := 0
	for i := range v.Batch {
		m := &v.Batch[i]
		switch {
		case m.Gone:
			drained++
		case slices.Contains(c.record.Skipped, m.Name):
			drained++
		case m.Empty:
			actions = append(actions, ReturnMachine{m.Name})
			c.addWaitReason("%s to be gone", m.Name)
		default:
			actions = append(actions, c.drainMachine(v, m)...)
		}
	}
	if drained < len(v.Batch) {
		return actions
	}
	c.record.Drained += drained
	c.enterPhase(PhaseChecking, v.WallMS)
	return nil
}

// checkHealth ends the step once no evicted job is disrupted any more and all replacements are
// healthy.
func (c *Controller) checkHealth(v *View) {
	for _, e := range c.record.Evictions {
		if c.disruptions.isDisrupted(e.JobID) {
			c.addWaitReason("%s to be whole again", e.JobID)
		}
	}
	for _, m := range v.Replacements {
		if m.Failed {
			c.endFailedReplacement(m, v)
			return
		}
		if m.HealthyFor == 0 {
			c.addWaitReason("replacement %s to be healthy", m.Name)
		}
	}
	switch {
	case len(c.waitReasons) == 0:
		c.record.Batch = nil
		c.enterPhase(PhaseSelecting, v.WallMS)
	case c.phaseDuration(v) > seconds(c.record.Spec.HealthS):
		c.end(PhaseFailed, "not healthy after health_s: "+strings.Join(c.waitReasons, ", "), v.WallMS)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
