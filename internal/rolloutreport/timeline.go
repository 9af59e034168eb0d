// Package rolloutreport makes a report of how machines were drained from what the
// controllers have logged: which machines went when, which jobs were disrupted, for how long
// and why.
package rolloutreport

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Phase is a change of a plan's phase.
type Phase struct {
	At            time.Time
	Plan          string
	Phase, Why    string
	Step, Drained int
}

// Disruption is a job that missed tasks, or their progress.
type Disruption struct {
	Job, Team, Class, Cause string
	Began, Over             time.Time // Over is zero while it lasts
}

// Return is a machine that was returned since it was drained.
type Return struct {
	At      time.Time
	Machine string
}

// Timeline is what the logs tell, each in the order of time.
type Timeline struct {
	Phases      []Phase
	Disruptions []Disruption
	Returns     []Return
}

// The messages that controllers log.
const (
	messagePhase     = "draining"
	messageDisrupted = "job is disrupted"
	messageWhole     = "job is whole again"
	messageReturn    = "returning machine"
	drained          = "drained"
)

// ReadLogs reads a timeline from controllers' logs.
func ReadLogs(files ...string) (*Timeline, error) {
	var lines []line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		read, err := readLines(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		lines = append(lines, read...)
	}
	return newTimeline(lines)
}

// line is a line of a log that tells of draining.
type line struct {
	at      time.Time
	message string
	fields  map[string]string
}

// readLines reads the lines that matter; others are passed over.
func readLines(in io.Reader) (lines []line, err error) {
	d := logfmt.NewDecoder(in)
	for d.ScanRecord() {
		fields := map[string]string{}
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
		switch fields["msg"] {
		case messagePhase, messageDisrupted, messageWhole, messageReturn:
		default:
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, fields["time"])
		if err != nil {
			return nil, fmt.Errorf("time of %q: %w", fields["msg"], err)
		}
		lines = append(lines, line{at, fields["msg"], fields})
	}
	var wrong *logfmt.SyntaxError
	if err := d.Err(); err != nil && !errors.As(err, &wrong) {
		return nil, err
	}
	return lines, nil
}

func newTimeline(lines []line) (*Timeline, error) {
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	t := &Timeline{}
	for _, l := range lines {
		if err := t.add(l); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func (t *Timeline) add(l line) error {
	switch l.message {
	case messagePhase:
		return t.addPhase(l)
	case messageDisrupted:
		return t.addDisruption(l)
	case messageWhole:
		if d := t.open(l.fields["job"]); d != nil {
			d.Over = l.at
		}
	case messageReturn:
		if l.fields["why"] == drained {
			t.addReturn(Return{l.at, l.fields["machine"]})
		}
	}
	return nil
}

func (t *Timeline) addPhase(l line) error {
	if l.fields["phase"] == "" || l.fields["step"] == "" {
		return nil // a plan that was begun
	}
	step, err := strconv.Atoi(l.fields["step"])
	count, err2 := strconv.Atoi(l.fields["drained"])
	if err := cmp.Or(err, err2); err != nil {
		return fmt.Errorf("phase of plan %s: %w", l.fields["plan"], err)
	}
	t.Phases = append(t.Phases, Phase{l.at, l.fields["plan"], l.fields["phase"], l.fields["why"], step, count})
	return nil
}

// addDisruption notes a disruption. A new leader tells again of those that it knows.
func (t *Timeline) addDisruption(l line) error {
	if t.open(l.fields["job"]) != nil {
		return nil
	}
	seconds, err := strconv.ParseFloat(l.fields["seconds"], 64)
	if err != nil {
		return fmt.Errorf("disruption of %s: %w", l.fields["job"], err)
	}
	began := l.at.Add(-time.Duration(seconds * float64(time.Second)))
	t.Disruptions = append(t.Disruptions, Disruption{Job: l.fields["job"], Team: l.fields["team"], Class: l.fields["class"], Cause: l.fields["cause"], Began: began})
	return nil
}

// open is a job's disruption that lasts.
func (t *Timeline) open(job string) *Disruption {
	for i := len(t.Disruptions) - 1; i >= 0; i-- {
		if d := &t.Disruptions[i]; d.Job == job && d.Over.IsZero() {
			return d
		}
	}
	return nil
}

// addReturn notes a machine's return, which is asked for until it is gone.
func (t *Timeline) addReturn(r Return) {
	if !slices.ContainsFunc(t.Returns, func(o Return) bool { return o.Machine == r.Machine }) {
		t.Returns = append(t.Returns, r)
	}
}

// Teams lists the teams whose jobs were disrupted.
func (t *Timeline) Teams() (teams []string) {
	for _, d := range t.Disruptions {
		teams = append(teams, d.Team)
	}
	slices.Sort(teams)
	return slices.Compact(teams)
}

// Count is how many there are from a moment on.
type Count struct {
	At time.Time
	N  int
}

// Disrupted is how many of a team's jobs were disrupted, over time.
func (t *Timeline) Disrupted(team string) (counts []Count) {
	var changes []Count
	for _, d := range t.Disruptions {
		if d.Team != team {
			continue
		}
		changes = append(changes, Count{d.Began, 1})
		if !d.Over.IsZero() {
			changes = append(changes, Count{d.Over, -1})
		}
	}
	slices.SortStableFunc(changes, func(a, b Count) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.N, b.N)) })
	n := 0
	for _, c := range changes {
		n += c.N
		counts = append(counts, Count{c.At, n})
	}
	return counts
}

// Most is how many of a team's jobs were disrupted at once at most.
func (t *Timeline) Most(team string) (most int) {
	for _, c := range t.Disrupted(team) {
		most = max(most, c.N)
	}
	return most
}
