package cells

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"leadproxy/internal/federation"
)

// writeTraces writes the trace files of two cells and returns their paths. The first file ends with
// an incomplete line.
func writeTraces(t *testing.T) []string {
	t.Helper()
	dir := t.TempDir()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	cells := []struct {
		name  string
		steps []federation.TransferStep
	}{
		{"lima", []federation.TransferStep{
			{Cell: "puno", JobID: "job-1", Epoch: 1, Step: federation.StepPlanned},
			{Cell: "puno", JobID: "job-1", Epoch: 1, Step: federation.StepEnded, Reason: "done"},
			{Cell: "puno", JobID: "job-2", Epoch: 3, Step: federation.StepRefused, Reason: "full <of> work"},
		}},
		{"puno", []federation.TransferStep{{Origin: "lima", JobID: "job-1", Epoch: 1, Step: federation.StepAccepted}}},
	}
	var files []string
	for _, cell := range cells {
		file := filepath.Join(dir, cell.name)
		files = append(files, file)
		tracer, err := NewTracer(ctx, cell.name, file, log)
		if err != nil {
			t.Fatal(err)
		}
		for _, step := range cell.steps {
			tracer.RecordStep(step)
		}
	}
	// A controller that is killed while it writes leaves an incomplete line.
	f, err := os.OpenFile(files[0], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.WriteString(`{"Name":"acc`); err != nil {
		t.Fatal(err)
	}
	return files
}

// TestTraceOfBothCells checks that the steps which two cells record for a job form one trace, also
// if a file ends with an incomplete span, and that the traces are written as text and as HTML.
func TestTraceOfBothCells(t *testing.T) {
	files := writeTraces(t)
	steps, err := ReadSteps(files...)
	if err != nil {
		t.Fatal(err)
	}
	jobs := GroupByJob(steps)
	if len(steps) != 4 || len(jobs) != 2 {
		t.Fatalf("read %d steps of %d jobs, want 4 steps of 2 jobs", len(steps), len(jobs))
	}
	for _, job := range jobs {
		if want := map[string]int{"job-1": 3, "job-2": 1}[job.JobID]; len(job.Steps) != want || job.Origin != "lima" {
			t.Errorf("%s of %s has %d steps, want %d and the origin lima", job.JobID, job.Origin, len(job.Steps), want)
		}
	}
	var text, page bytes.Buffer
	if err := WriteText(&text, jobs); err != nil {
		t.Fatal(err)
	}
	if err := WritePage(&page, jobs); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"job-1 of lima", "neighbour  puno", "epoch 3", "full <of> work"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("the text lacks %q:\n%s", want, text.String())
		}
	}
	for _, want := range []string{"<h2>job-2 of lima", "full &lt;of&gt; work", `class="neighbour"`} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if err := os.WriteFile(files[0], []byte(`{"Name":"x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := ReadSteps(files[0]); !errors.Is(err, errNotTransferStep) {
		t.Errorf("a span that is not a step of a transfer returned %v, want errNotTransferStep", err)
	}
}

// FuzzReadSteps checks that any file is read or rejected, and that steps which were read can be
// written.
func FuzzReadSteps(f *testing.F) {
	f.Add([]byte(`{"Name":"accepted","SpanContext":{"TraceID":"ab"},"StartTime":"2026-01-01T00:00:00Z","EndTime":"2026-01-01T00:00:01Z",
		"Attributes":[{"Key":"leadproxy.epoch","Value":{"Type":"INT64","Value":1}},{"Key":"leadproxy.side","Value":{"Type":"STRING","Value":"home"}}]}`))
	f.Add([]byte(`{"Name":"x"} [`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, text []byte) {
		steps, err := readSteps(bytes.NewReader(text))
		if err != nil {
			return
		}
		jobs := GroupByJob(steps)
		if err := WriteText(io.Discard, jobs); err != nil {
			t.Error(err)
		}
		if err := WritePage(io.Discard, jobs); err != nil {
			t.Error(err)
		}
	})
}
