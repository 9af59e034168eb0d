// Package rolloutreport makes an HTML report of rollouts from the logs of the controllers: which
// machines were drained when, and which jobs were disrupted, for how long and why.
package rolloutreport

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// PhaseChange is a change of a plan's phase, or of whether the plan is paused. Reason is why the
// plan is paused or has ended, Drained the number of machines of past steps.
type PhaseChange struct {
	At            time.Time
	Plan          string
	Phase, Reason string
	Step, Drained int
}

// Disruption is a period in which a job had tasks that had not yet regained their lost progress.
type Disruption struct {
	JobID, Team, Class, Cause string
	Start, End                time.Time // End is zero if the logs have no end
}

// MachineReturn is the return of a drained machine to the cloud.
type MachineReturn struct {
	At      time.Time
	Machine string
}

// Timeline holds the events of the logs, each kind in chronological order of the log lines.
type Timeline struct {
	Phases      []PhaseChange
	Disruptions []Disruption
	Returns     []MachineReturn
}

// newTimeline sorts the lines of all logs by time and returns their timeline.
func newTimeline(lines []logLine) (*Timeline, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	t := &Timeline{}
	for _, line := range lines {
		if err := t.add(line); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// add adds the event of a line.
func (t *Timeline) add(line logLine) error {
	switch line.message {
	case messagePlanPhase:
		return t.addPhase(line)
	case messageDisrupted:
		return t.addDisruption(line)
	case messageRecovered:
		if d := t.ongoingDisruption(line.fields["job"]); d != nil {
			d.End = line.time
		}
	case messageMachineReturn:
		if line.fields["why"] == reasonDrained {
			t.addReturn(MachineReturn{At: line.time, Machine: line.fields["machine"]})
		}
	}
	return nil
}

// addPhase adds a phase change of a plan. It ignores the line that is logged when a plan is
// created, which has no step.
func (t *Timeline) addPhase(line logLine) error {
	plan, phase := line.fields["plan"], line.fields["phase"]
	if phase == "" || line.fields["step"] == "" {
		return nil
	}
	step, err := strconv.Atoi(line.fields["step"])
	if err != nil {
		return fmt.Errorf("step of plan %s: %w", plan, err)
	}
	drainedCount, err := strconv.Atoi(line.fields["drained"])
	if err != nil {
		return fmt.Errorf("drained machines of plan %s: %w", plan, err)
	}
	t.Phases = append(t.Phases, PhaseChange{At: line.time, Plan: plan, Phase: phase, Reason: line.fields["why"], Step: step, Drained: drainedCount})
	return nil
}

// addDisruption adds a disruption of a job. It ignores a job whose disruption is ongoing, because a
// new leader logs the ongoing disruptions again.
func (t *Timeline) addDisruption(line logLine) error {
	jobID := line.fields["job"]
	if t.ongoingDisruption(jobID) != nil {
		return nil
	}
	seconds, err := strconv.ParseFloat(line.fields["seconds"], 64)
	if err != nil {
		return fmt.Errorf("duration of the disruption of %s: %w", jobID, err)
	}
	t.Disruptions = append(t.Disruptions, Disruption{
		JobID: jobID,
		Team:  line.fields["team"],
		Class: line.fields["class"],
		Cause: line.fields["cause"],
		Start: line.time.Add(-time.Duration(seconds * float64(time.Second))),
	})
	return nil
}

// ongoingDisruption returns the job's disruption that has not ended, or nil if there is none.
func (t *Timeline) ongoingDisruption(jobID string) *Disruption {
	for i := len(t.Disruptions) - 1; i >= 0; i-- {
		if d := &t.Disruptions[i]; d.JobID == jobID && d.End.IsZero() {
			return d
		}
	}
	return nil
}

// addReturn adds the return of a machine. It ignores a machine that was added before, because the
// return is logged repeatedly until the machine is gone.
func (t *Timeline) addReturn(machineReturn MachineReturn) {
	if !slices.ContainsFunc(t.Returns, func(other MachineReturn) bool { return other.Machine == machineReturn.Machine }) {
		t.Returns = append(t.Returns, machineReturn)
	}
}

// startTime returns the time of the first phase change or disruption, or the zero time if there are
// none.
func (t *Timeline) startTime() time.Time {
	var first time.Time
	considerTime := func(eventTime time.Time) {
		if first.IsZero() || eventTime.Before(first) {
			first = eventTime
		}
	}
	for _, change := range t.Phases {
		considerTime(change.At)
	}
	for _, d := range t.Disruptions {
		considerTime(d.Start)
	}
	return first
}

// Teams returns the sorted names of the teams whose jobs were disrupted.
func (t *Timeline) Teams() []string {
	var teams []string
	for _, d := range t.Disruptions {
		teams = append(teams, d.Team)
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}

// Sample is a count that is valid from a time until the next sample.
type Sample struct {
	At    time.Time
	Count int
}

// DisruptedJobs returns the number of a team's disrupted jobs over time, with a sample for each
// start and end of a disruption.
func (t *Timeline) DisruptedJobs(team string) []Sample {
	var changes []Sample
	for _, d := range t.Disruptions {
		if d.Team != team {
			continue
		}
		changes = append(changes, Sample{At: d.Start, Count: 1})
		if !d.End.IsZero() {
			changes = append(changes, Sample{At: d.End, Count: -1})
		}
	}
	slices.SortStableFunc(changes, func(a, b Sample) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Count, b.Count)) })
	var samples []Sample
	count := 0
	for _, change := range changes {
		count += change.Count
		samples = append(samples, Sample{At: change.At, Count: count})
	}
	return samples
}

// MaxDisrupted returns the largest number of a team's jobs that were disrupted at the same time.
func (t *Timeline) MaxDisrupted(team string) int {
	maxCount := 0
	for _, sample := range t.DisruptedJobs(team) {
		maxCount = max(maxCount, sample.Count)
	}
	return maxCount
}
