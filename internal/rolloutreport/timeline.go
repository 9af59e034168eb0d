// Package rolloutreport makes a report of rollouts from the logs of the controllers: which machines
// were drained when, and which jobs were disrupted, for how long and why.
package rolloutreport

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// PhaseChange is a change of a plan's phase.
type PhaseChange struct {
	At            time.Time
	Plan          string
	Phase, Reason string
	Step, Drained int
}

// Disruption is the time for which a job had tasks that had not regained their lost progress.
type Disruption struct {
	JobID, Team, Class, Cause string
	Start, End                time.Time // End is zero while it lasts
}

// MachineReturn is the return of a drained machine.
type MachineReturn struct {
	At      time.Time
	Machine string
}

// Timeline has the events of the logs, each kind in the order of time.
type Timeline struct {
	Phases      []PhaseChange
	Disruptions []Disruption
	Returns     []MachineReturn
}

func newTimeline(lines []logLine) (*Timeline, error) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
	t := &Timeline{}
	for _, l := range lines {
		if err := t.add(l); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Timeline) add(l logLine) error {
	switch l.message {
	case messagePlanPhase:
		return t.addPhase(l)
	case messageDisrupted:
		return t.addDisruption(l)
	case messageRecovered:
		if d := t.ongoingDisruption(l.fields["job"]); d != nil {
			d.End = l.time
		}
	case messageMachineReturn:
		if l.fields["why"] == reasonDrained {
			t.addReturn(MachineReturn{At: l.time, Machine: l.fields["machine"]})
		}
	}
	return nil
}

// addPhase adds a change of a plan's phase. The line of a plan's creation has no step and is
// ignored.
func (t *Timeline) addPhase(l logLine) error {
	plan, phase := l.fields["plan"], l.fields["phase"]
	if phase == "" || l.fields["step"] == "" {
		return nil
	}
	step, err := strconv.Atoi(l.fields["step"])
	if err != nil {
		return fmt.Errorf("step of plan %s: %w", plan, err)
	}
	drained, err := strconv.Atoi(l.fields["drained"])
	if err != nil {
		return fmt.Errorf("drained machines of plan %s: %w", plan, err)
	}
	t.Phases = append(t.Phases, PhaseChange{At: l.time, Plan: plan, Phase: phase, Reason: l.fields["why"], Step: step, Drained: drained})
	return nil
}

// addDisruption adds a disruption. A new leader logs those that last again.
func (t *Timeline) addDisruption(l logLine) error {
	jobID := l.fields["job"]
	if t.ongoingDisruption(jobID) != nil {
		return nil
	}
	seconds, err := strconv.ParseFloat(l.fields["seconds"], 64)
	if err != nil {
		return fmt.Errorf("duration of the disruption of %s: %w", jobID, err)
	}
	t.Disruptions = append(t.Disruptions, Disruption{
		JobID: jobID,
		Team:  l.fields["team"],
		Class: l.fields["class"],
		Cause: l.fields["cause"],
		Start: l.time.Add(-time.Duration(seconds * float64(time.Second))),
	})
	return nil
}

// ongoingDisruption is a job's disruption that has not ended; nil if there is none.
func (t *Timeline) ongoingDisruption(jobID string) *Disruption {
	for i := len(t.Disruptions) - 1; i >= 0; i-- {
		if d := &t.Disruptions[i]; d.JobID == jobID && d.End.IsZero() {
			return d
		}
	}
	return nil
}

// addReturn adds a machine's return, which is logged again until the machine is gone.
func (t *Timeline) addReturn(r MachineReturn) {
	if !slices.ContainsFunc(t.Returns, func(other MachineReturn) bool { return other.Machine == r.Machine }) {
		t.Returns = append(t.Returns, r)
	}
}

// startTime is the time of the first event.
func (t *Timeline) startTime() time.Time {
	var first time.Time
	include := func(at time.Time) {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	for _, p := range t.Phases {
		include(p.At)
	}
	for _, d := range t.Disruptions {
		include(d.Start)
	}
	return first
}

// Teams lists the teams whose jobs were disrupted.
func (t *Timeline) Teams() []string {
	var teams []string
	for _, d := range t.Disruptions {
		teams = append(teams, d.Team)
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}

// Sample is a count that holds from a time on.
type Sample struct {
	At    time.Time
	Count int
}

// DisruptedJobs is the number of a team's disrupted jobs over time.
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

// MaxDisrupted is the largest number of a team's jobs that were disrupted at once.
func (t *Timeline) MaxDisrupted(team string) int {
	most := 0
	for _, s := range t.DisruptedJobs(team) {
		most = max(most, s.Count)
	}
	return most
}
