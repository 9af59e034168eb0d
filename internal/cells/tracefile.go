package cells

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"
)

// Step is one span of a transfer, as it was read from a file.
type Step struct {
	Trace string
	Home  string
	Cell  string
	Side  string
	Job   string
	Epoch int64
	Name  string
	// Reason explains the step.
	Reason     string
	Begin, End time.Time
}

// spanRecord is a span as the exporter writes it.
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

// text is an attribute's value.
func (r *spanRecord) text(key string) string {
	for _, a := range r.Attributes {
		if a.Key != key {
			continue
		}
		var s string
		if json.Unmarshal(a.Value.Value, &s) == nil {
			return s
		}
		return string(a.Value.Value)
	}
	return ""
}

// ReadSteps reads the steps of transfers from files of any cells and controllers, in the
// order in which they ended. A last line that a killed controller has not finished is
// left out.
func ReadSteps(files ...string) ([]Step, error) {
	var steps []Step
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		read, err := readSteps(f)
		f.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		steps = append(steps, read...)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return a.End.Compare(b.End) })
	return steps, nil
}

func readSteps(in io.Reader) ([]Step, error) {
	var steps []Step
	for spans := json.NewDecoder(in); ; {
		var r spanRecord
		err := spans.Decode(&r)
		if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
			return steps, nil
		}
		if err != nil {
			return nil, fmt.Errorf("span %d can't be read: %w", len(steps)+1, err)
		}
		epoch, err := strconv.ParseInt(r.text(attributeEpoch), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("span %d is no step of a transfer", len(steps)+1)
		}
		steps = append(steps, Step{Trace: r.SpanContext.TraceID, Home: r.text(attributeHome), Cell: r.text(attributeCell), Side: r.text(attributeSide),
			Job: r.text(attributeJob), Epoch: epoch, Name: r.Name, Reason: r.text(attributeReason), Begin: r.StartTime, End: r.EndTime})
	}
}

// Journey is all that was traced of one job.
type Journey struct {
	Trace, Home, Job string
	Begin, End       time.Time
	Steps            []Step
}

// Journeys gathers the steps by trace, the one that began first before others.
func Journeys(steps []Step) []*Journey {
	byTrace := map[string]*Journey{}
	var all []*Journey
	for _, s := range steps {
		j := byTrace[s.Trace]
		if j == nil {
			j = &Journey{Trace: s.Trace, Home: s.Home, Job: s.Job, Begin: s.Begin}
			byTrace[s.Trace] = j
			all = append(all, j)
		}
		j.Steps = append(j.Steps, s)
		j.End = s.End
		if s.Begin.Before(j.Begin) {
			j.Begin = s.Begin
		}
	}
	slices.SortStableFunc(all, func(a, b *Journey) int { return cmp.Or(a.Begin.Compare(b.Begin), cmp.Compare(a.Job, b.Job)) })
	return all
}
