package wire

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
)

// sampleJob is a submission with every field that the protocol requires.
const sampleJob = `{"ref":"job-000412","lane":"train","owner":"vision","shape":"batch","urgency":"high","pieces":16,
 "vcpus":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],"room":null,"together":true,
 "spread":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}`

// jobWith returns sampleJob with one field replaced, or removed if value is empty.
func jobWith(t *testing.T, field, value string) string {
	t.Helper()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(sampleJob), &fields); err != nil {
		t.Fatal(err)
	}
	if value == "" {
		delete(fields, field)
	} else {
		fields[field] = json.RawMessage(value)
	}
	body, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// namedJobID returns the job id that ParseJob found, whether in the job or in the error.
func namedJobID(t *testing.T, job *Job, err error) string {
	t.Helper()
	if err == nil {
		return job.ID
	}
	var invalid *InvalidJobError
	if !errors.As(err, &invalid) {
		t.Fatalf("error has type %T, want *InvalidJobError", err)
	}
	return invalid.JobID
}

func TestParseJob(t *testing.T) {
	cases := []struct {
		name, body string
		wantError  string // part of the error; "" if the job is accepted
		jobID      string
	}{
		{"valid job", sampleJob, "", "job-000412"},
		{"unknown field", jobWith(t, "colour", `"red"`), "", "job-000412"},
		{"null deadline", jobWith(t, "due_s", "null"), "", "job-000412"},
		{"absent machine types", jobWith(t, "flavors", ""), "", "job-000412"},
		{"null dependencies", jobWith(t, "waits_on", "null"), "", "job-000412"},
		{"no dependencies", jobWith(t, "waits_on", "[]"), "", "job-000412"},
		{"duplicate dependency", jobWith(t, "waits_on", `["job-1","job-2","job-1"]`), "", "job-000412"},
		{"dependencies as a string", jobWith(t, "waits_on", `"job-1"`), "waits_on", "job-000412"},
		{"dependency as a number", jobWith(t, "waits_on", `[1]`), "waits_on", "job-000412"},
		{"dependency that is not a job id", jobWith(t, "waits_on", `["job-1","run-2"]`), "waits_on", "job-000412"},
		{"null dependency", jobWith(t, "waits_on", `[null]`), "waits_on", "job-000412"},
		{"absent team", jobWith(t, "owner", ""), "owner", "job-000412"},
		{"null CPUs", jobWith(t, "vcpus", "null"), "vcpus", "job-000412"},
		{"not JSON", "{", "object", ""},
		{"an array", "[]", "object", ""},
		{"null", "null", "object", ""},
		{"text after the object", sampleJob + "x", "end", ""},
		{"second object", sampleJob + "{}", "end", ""},
		{"malformed job id", jobWith(t, "ref", `"run-1"`), "ref", ""},
		{"job id as a number", jobWith(t, "ref", `7`), "ref", ""},
		{"number of tasks with a fraction", jobWith(t, "pieces", "1.5"), "pieces", "job-000412"},
		{"number of tasks as a whole decimal", jobWith(t, "pieces", "2.0"), "", "job-000412"},
		{"no tasks", jobWith(t, "pieces", "0"), "pieces", "job-000412"},
		{"too many tasks", jobWith(t, "pieces", "100001"), "pieces", "job-000412"},
		{"maximum number of tasks", jobWith(t, "pieces", "100000"), "", "job-000412"},
		{"unknown priority", jobWith(t, "urgency", `"soon"`), "urgency", "job-000412"},
		{"unknown kind", jobWith(t, "shape", `"ring"`), "shape", "job-000412"},
		{"negative cores", jobWith(t, "vcpus", "-1"), "vcpus", "job-000412"},
		{"memory as a string", jobWith(t, "mem_gb", `"4"`), "mem_gb", "job-000412"},
		{"boolean as a string", jobWith(t, "spread", `"no"`), "spread", "job-000412"},
		{"empty list of machine types", jobWith(t, "flavors", "[]"), "flavors", "job-000412"},
		{"machine type as a number", jobWith(t, "flavors", "[1]"), "flavors", "job-000412"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j, err := ParseJob([]byte(c.body))
			if id := namedJobID(t, j, err); id != c.jobID {
				t.Errorf("job id %q, want %q", id, c.jobID)
			}
			switch {
			case c.wantError == "" && (err != nil || j == nil):
				t.Errorf("job rejected: %v", err)
			case c.wantError != "" && (err == nil || !strings.Contains(err.Error(), c.wantError)):
				t.Errorf("error %v, want one that contains %q", err, c.wantError)
			}
		})
	}
}

// FuzzParseJob checks that any job that is accepted is within the bounds that the rest of the
// service relies on, and is the same after it is encoded in its record and parsed again.
func FuzzParseJob(f *testing.F) {
	for _, body := range []string{sampleJob, `{}`, `null`, `[]`, `{"ref":"job-1"}`, `{"ref":"job-000412","pieces":1e99}`, `{"waits_on":["job-1","job-1"]}`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseJob(body)
		if err != nil {
			if id := namedJobID(t, job, err); id != "" && !ValidJobID(id) {
				t.Errorf("rejected job has the invalid id %q", id)
			}
			return
		}
		if job.Tasks < 1 || job.Tasks > MaxTasks || !ValidJobID(job.ID) {
			t.Errorf("accepted job is out of bounds: %+v", job)
		}
		for _, amount := range []float64{job.CPUs, job.GPUs, job.MemGB, job.ImageGB, job.EstimatedRunS, job.CheckpointIntervalS, job.CheckpointDurationS} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				t.Errorf("accepted job has the amount %v, want a finite one of at least 0", amount)
			}
		}
		text, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, err := ParseJob(text)
		if err != nil || reparsed.ID != job.ID || reparsed.Tasks != job.Tasks || reparsed.CPUs != job.CPUs {
			t.Errorf("%s parsed again as %+v, error %v", text, reparsed, err)
		}
	})
}
