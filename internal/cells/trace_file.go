package cells

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"leadproxy/internal/inputfiles"
)

// Step is one step of a transfer, read from a span of a trace file.
type Step struct {
	TraceID    string
	Origin     string
	Neighbour  string
	Side       string
	JobID      string
	Epoch      int64
	Name       string
	Reason     string
	Start, End time.Time
}

// spanRecord is a span in the JSON encoding of the OpenTelemetry stdout exporter.
type spanRecord struct {
	Name        string
	SpanContext struct{ TraceID string }
	StartTime   time.Time
	EndTime     time.Time
	Attributes  []struct {
		Key   string
		Value struct{ Value json.RawMessage }
	}
}

// attribute returns the value of an attribute as text, or "" if the span does not have it.
func (r *spanRecord) attribute(key string) string {
	for _, a := range r.Attributes {
		if a.Key != key {
			continue
		}
		var text string
		if json.Unmarshal(a.Value.Value, &text) == nil {
			return text
		}
		return string(a.Value.Value)
	}
	return ""
}

// errNotTransferStep means that a span does not describe a step of a transfer.
var errNotTransferStep = errors.New("not a step of a transfer")

// step converts the span to a step. The error is errNotTransferStep if the epoch is not a number.
func (r *spanRecord) step() (Step, error) {
	epoch, err := strconv.ParseInt(r.attribute(attributeEpoch), 10, 64)
	if err != nil {
		return Step{}, fmt.Errorf("%w: attribute %s: %w", errNotTransferStep, attributeEpoch, err)
	}
	return Step{
		TraceID:   r.SpanContext.TraceID,
		Origin:    r.attribute(attributeOrigin),
		Neighbour: r.attribute(attributeNeighbour),
		Side:      r.attribute(attributeSide),
		JobID:     r.attribute(attributeJob),
		Epoch:     epoch,
		Name:      r.Name,
		Reason:    r.attribute(attributeReason),
		Start:     r.StartTime,
		End:       r.EndTime,
	}, nil
}

// ReadSteps reads the steps of transfers from trace files, which may be of several cells and
// controllers. It returns them ordered by their end.
func ReadSteps(files ...string) ([]Step, error) {
	steps, err := inputfiles.ReadAll(files, readSteps)
	if err != nil {
		return nil, err
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return a.End.Compare(b.End) })
	return steps, nil
}

// readSteps reads the steps of one file. It ignores an incomplete span at the end of the file,
// which a controller leaves when it is killed.
func readSteps(in io.Reader) ([]Step, error) {
	var steps []Step
	for spans := json.NewDecoder(in); ; {
		var record spanRecord
		err := spans.Decode(&record)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return steps, nil
		}
		if err != nil {
			return nil, fmt.Errorf("span %d can't be decoded: %w", len(steps)+1, err)
		}
		step, err := record.step()
		if err != nil {
			return nil, fmt.Errorf("span %d: %w", len(steps)+1, err)
		}
		steps = append(steps, step)
	}
}

// JobTrace is the trace of one job, with the steps of all cells in the order of their end.
type JobTrace struct {
	TraceID, Origin, JobID string
	Start, End             time.Time
	Steps                  []Step
}

// Duration returns the time from the earliest start of a step to the end of the last step.
func (j *JobTrace) Duration() time.Duration { return j.End.Sub(j.Start) }

// GroupByJob groups steps, which must be ordered by their end, by trace. It returns the traces
// ordered by their start.
func GroupByJob(steps []Step) []*JobTrace {
	byID := map[string]*JobTrace{}
	var jobs []*JobTrace
	for _, s := range steps {
		job := byID[s.TraceID]
		if job == nil {
			job = &JobTrace{TraceID: s.TraceID, Origin: s.Origin, JobID: s.JobID, Start: s.Start}
			byID[s.TraceID] = job
			jobs = append(jobs, job)
		}
		job.Steps = append(job.Steps, s)
		job.End = s.End
		if s.Start.Before(job.Start) {
			job.Start = s.Start
		}
	}
	slices.SortStableFunc(jobs, func(a, b *JobTrace) int { return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.JobID, b.JobID)) })
	return jobs
}
