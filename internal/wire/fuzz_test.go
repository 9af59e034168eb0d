package wire

import (
	"math"
	"testing"

	"github.com/segmentio/encoding/json"
)

// FuzzParseJob: whatever a user sends, a job that is taken is within the bounds that the
// rest of the service counts on, and reads the same from its record.
func FuzzParseJob(f *testing.F) {
	for _, body := range []string{sample, `{}`, `null`, `[]`, `{"ref":"job-1"}`, `{"ref":"job-000412","pieces":1e99}`, `{"waits_on":["job-1","job-1"]}`} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseJob(body)
		if err != nil {
			if id := namedJobID(t, job, err); id != "" && !ValidJobID(id) {
				t.Errorf("a refused job has the id %q", id)
			}
			return
		}
		if job.Tasks < 1 || job.Tasks > MaxTasks || !ValidJobID(job.ID) {
			t.Errorf("%+v", job)
		}
		for _, amount := range []float64{job.CPUs, job.GPUs, job.MemGB, job.ImageGB, job.EstimatedRunS, job.CheckpointIntervalS, job.CheckpointDurationS} {
			if !(amount >= 0) || math.IsInf(amount, 0) {
				t.Errorf("an amount of %v", amount)
			}
		}
		text, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		again, err := ParseJob(text)
		if err != nil || again.ID != job.ID || again.Tasks != job.Tasks || again.CPUs != job.CPUs {
			t.Errorf("%s reads as %+v, %v", text, again, err)
		}
	})
}

// FuzzParseReport: whatever a worker sends, a report that is taken names its machine and
// tasks.
func FuzzParseReport(f *testing.F) {
	for _, body := range []string{
		`{"host":"vm-1","address":"a:1","flavor":"g8","room":"a","loaners":true,"tenure":1,"tick":88,"baton":41,"warning_s":null,"pieces":[{"piece":"job-1/3","try":2,"status":"running"}]}`,
		`{"host":"vm-1","flavor":"g8","room":"a","tenure":1,"warning_s":-1}`, `{"pieces":[null]}`, `{"tenure":-1}`, `{"pieces":[{"piece":"job-1/03","try":18446744073709551616}]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		report, err := ParseHeartbeat(body)
		if err != nil {
			return
		}
		if report.Machine == "" || report.AgentEpoch == 0 {
			t.Errorf("%+v", report)
		}
		for _, task := range report.Tasks {
			if name, err := ParseTaskName(task.Task); err != nil || name.Index < 0 || name.Index >= MaxTasks || task.Status == "" {
				t.Errorf("%+v", task)
			}
		}
	})
}

// FuzzAnswers: what the state service, the cloud, workers and controllers answer is read
// or refused, whatever it is.
func FuzzAnswers(f *testing.F) {
	for _, body := range []string{
		`{"epoch":433,"news":[{"set":"c/9","data":{"a":1},"stamp":433},{"delete":"c/d","stamp":432}]}`,
		`{"entries":[{"path":"a","data":null,"stamp":1}],"has_next":true,"epoch":431}`, `{"failed":["a/b"],"epoch":431}`, `{"hold":7}`,
		`{"hosts":[{"ref":"vm-1","address":"10.1.0.2:9000","flavor":"g8","room":"a","status":"running","held_s":61.5}],"has_next":false}`,
		`{"flavors":[{"name":"g8","vcpus":96,"rooms":["a"]}]}`, `{"hosts":["vm-1"]}`, `{"baton":1,"orders":[]}`, `{"boss":"n1"}`, `[`, `{"epoch":-1}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, into := range []any{&WatchResponse{}, &EntryPage{}, &Entry{}, &CompareAndSwapResponse{}, &LeaseResponse{}, &MachineList{}, &MachineNames{}, &MachineTypes{}, &Heartbeat{}, &HeartbeatResponse{}, &Redirect{}, &JobStatus{}} {
			if json.Unmarshal(body, into) != nil {
				continue
			}
			if _, err := json.Marshal(into); err != nil {
				t.Errorf("%T can't be written again: %v", into, err)
			}
		}
	})
}
