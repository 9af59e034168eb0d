package ledger

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"leadproxy/internal/wire"
)

// While a deployment is upgraded, this version and the one in production work on the
// same ledger. These are records as production writes them, word for word.
const (
	productionDescription = `{"ref":"job-000001","lane":"c","owner":"t","shape":"batch","urgency":"high","pieces":5,"vcpus":1.5,"gpus":0,"mem_gb":2,` +
		`"bundle":"i","size_gb":0.5,"flavors":["m8"],"room":"a","together":false,"spread":false,"loaners":true,"guess_s":8,"snapshot_s":0,"flush_s":0,"due_s":90}`
	productionOpen        = `{"job":` + productionDescription + `,"accepted_ms":946684800123}`
	productionCancelled   = `{"job":` + productionDescription + `,"accepted_ms":946684800123,"fate":"aborted","tasks":5,"done":2}`
	productionDone        = `{"accepted_ms":946684800123,"fate":"done","tasks":5,"done":5,"class":"c","team":"t","cores":7.5,"run_s":8.25}`
	productionScaleOut    = `{"hire":{"hire":"h7-1","flavor":"m8","room":"a","loaners":true,"number":2},"machines":["vm-000001"]}`
	productionUnreachable = `{"over_ms":946684800999,"machines":["vm-000002"]}`
	productionRanges      = `[0,1,4,4]`
	productionHosts       = `["vm-000001","vm-000002"]`
)

func entry(key, value string) wire.Entry {
	return wire.Entry{Key: key, Value: json.RawMessage(value), Version: 3}
}

// TestDecodesProductionRecords: every kind of record.
func TestDecodesProductionRecords(t *testing.T) {
	s := decodeSnapshot([]wire.Entry{
		entry("job/job-000001", productionOpen), entry("job/job-000002", strings.Replace(productionCancelled, "job-000001", "job-000002", 1)), entry("job/job-000003", productionDone),
		entry("fin/job-000001/0", productionRanges), entry("host/job-000001/0", productionHosts), entry("hire/h7-1", productionScaleOut),
		entry("gone/vm-000009", "true"), entry("silent/7-1", productionUnreachable),
	})
	if len(s.Malformed) > 0 {
		t.Fatal(s.Malformed)
	}
	open, aborted, done := s.Jobs[0].Record, s.Jobs[1].Record, s.Jobs[2].Record
	if open.TerminalState != "" || open.Job.Tasks != 5 || open.Job.DependsOn != nil || *open.Job.DeadlineS != 90 || open.AcceptedMS != 946684800123 {
		t.Errorf("an open job: %+v", open)
	}
	if aborted.TerminalState != wire.JobCancelled || aborted.Done != 2 || aborted.Job.Team != "t" {
		t.Errorf("a cancelled job: %+v", aborted)
	}
	if done.TerminalState != wire.JobDone || done.Cores != 7.5 || done.EndedMS != 0 {
		t.Errorf("a job that is done: %+v", done)
	}
	finished := 0
	s.Jobs[0].Finished[0].Ranges.Each(func(int) { finished++ })
	if finished != 3 || len(s.Jobs[0].Hosts) != 1 || !reflect.DeepEqual(s.Jobs[0].Hosts[0].Machines, []string{"vm-000001", "vm-000002"}) {
		t.Errorf("what is kept besides: %+v", s.Jobs[0])
	}
	if len(s.ScaleOuts) != 1 || s.ScaleOuts[0].Request.Count != 2 || len(s.GoneMachines) != 1 || s.Unreachable["silent/7-1"].LeaseExpiryMS != 946684800999 {
		t.Errorf("scale-outs %+v, gone %v, unreachable %+v", s.ScaleOuts, s.GoneMachines, s.Unreachable)
	}
}

// The records as production knows them, with its own names of fields and its types.
type (
	productionJob struct {
		Ref         string   `json:"ref"`
		Class       string   `json:"lane"`
		Team        string   `json:"owner"`
		Kind        string   `json:"shape"`
		Priority    string   `json:"urgency"`
		Tasks       int      `json:"pieces"`
		CPUs        float64  `json:"vcpus"`
		GPUs        float64  `json:"gpus"`
		MemGB       float64  `json:"mem_gb"`
		Image       string   `json:"bundle"`
		ImageGB     float64  `json:"size_gb"`
		Types       []string `json:"flavors"`
		Zone        *string  `json:"room"`
		OneZone     bool     `json:"together"`
		Spread      bool     `json:"spread"`
		Spot        bool     `json:"loaners"`
		EstimateS   float64  `json:"guess_s"`
		CheckpointS float64  `json:"snapshot_s"`
		SaveS       float64  `json:"flush_s"`
		DeadlineS   *float64 `json:"due_s"`
	}
	productionRecord struct {
		Job        *productionJob `json:"job"`
		AcceptedMS int64          `json:"accepted_ms"`
		Fate       string         `json:"fate"`
		Tasks      int            `json:"tasks"`
		Done       int            `json:"done"`
		Class      string         `json:"class"`
		Team       string         `json:"team"`
		Cores      float64        `json:"cores"`
		RunS       float64        `json:"run_s"`
	}
)

// TestProductionDecodesRecords: without what production does not know, our records
// are its own; what is new are fields that it ignores.
func TestProductionDecodesRecords(t *testing.T) {
	zone, due := "a", 90.0
	j := &wire.Job{ID: "job-000001", Class: "c", Team: "t", Kind: "batch", Priority: "high", Tasks: 5, CPUs: 1.5, MemGB: 2, Image: "i", ImageGB: 0.5,
		Types: []string{"m8"}, Zone: &zone, Spot: true, EstimatedRunS: 8, DeadlineS: &due}
	cases := []struct {
		name     string
		rec      JobRecord
		same     string // as production would write it; "": it has something new
		mayLack  string
		isOpen   bool
		terminal string
	}{
		{"an open job", JobRecord{Job: j, AcceptedMS: 946684800123}, productionOpen, "", true, ""},
		{"done", JobRecord{AcceptedMS: 946684800123, TerminalState: wire.JobDone, Tasks: 5, Done: 5, Class: "c", Team: "t", Cores: 7.5, RunS: 8.25, EndedMS: 946684801000}, "", "ended_ms", false, "done"},
		{"cancelled", JobRecord{Job: j.CancelledSummary(), AcceptedMS: 946684800123, TerminalState: wire.JobCancelled, Tasks: 5, Done: 2, EndedMS: 946684801000}, "", "ended_ms", true, "aborted"},
		{"one with dependencies", JobRecord{Job: &wire.Job{ID: "job-000002", Class: "c", Team: "t", Kind: "batch", Priority: "high", Tasks: 1, DependsOn: []string{"job-000001"}}}, "", "waits_on", true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b, err := json.Marshal(c.rec)
			if err != nil {
				t.Fatal(err)
			}
			if c.same != "" && string(b) != c.same {
				t.Errorf("written as %s, production writes %s", b, c.same)
			}
			var old productionRecord
			if err := json.Unmarshal(b, &old); err != nil {
				t.Fatalf("production can't read %s: %v", b, err)
			}
			if old.Fate != c.terminal || (old.Job != nil) != c.isOpen || old.AcceptedMS != c.rec.AcceptedMS || old.Tasks != c.rec.Tasks {
				t.Errorf("production reads %+v", old)
			}
			if old.Job != nil && (old.Job.Team != c.rec.Job.Team || old.Job.Tasks != c.rec.Job.Tasks || old.Job.CPUs != c.rec.Job.CPUs) {
				t.Errorf("production reads the job as %+v", old.Job)
			}
			// Nothing else is new.
			d := json.NewDecoder(bytes.NewReader(b))
			d.DisallowUnknownFields()
			switch err := d.Decode(&old); {
			case c.mayLack == "" && err != nil, c.mayLack != "" && (err == nil || !strings.Contains(err.Error(), c.mayLack)):
				t.Errorf("production does not know: %v, want only %q", err, c.mayLack)
			}
		})
	}
}

// TestFinishedTaskPartsMergeWithChunk: finished tasks in parts count together with what
// the chunk's own key holds, and production takes none of their keys for a chunk's.
func TestFinishedTaskPartsMergeWithChunk(t *testing.T) {
	s := decodeSnapshot([]wire.Entry{
		entry("job/job-000001", productionOpen), entry("fin/job-000001/0", `[0,1]`), entry("fin/job-000001/0.0", `[0,2]`), entry("fin/job-000001/0.128", `[128,130]`),
		entry("host/job-000001/0", `["vm-1"]`), entry("host/job-000001/1", `["vm-2"]`),
	})
	if len(s.Malformed) > 0 {
		t.Fatal(s.Malformed)
	}
	done := map[int]bool{}
	for _, f := range s.Jobs[0].Finished {
		f.Ranges.Each(func(i int) { done[f.Chunk*TasksPerChunk+i] = true })
	}
	if len(done) != 6 || !done[130] || !done[2] {
		t.Errorf("done: %v", done)
	}
	if len(s.Jobs[0].Hosts) != 2 || s.Jobs[0].Hosts[1].Machines[0] != "vm-2" {
		t.Errorf("hosts: %+v", s.Jobs[0].Hosts)
	}
	for _, limit := range []int{256, 1024, 2048, 16 << 10} {
		n := TasksPerPart(limit)
		worst := EncodeRanges(func(i int) bool { return i%2 == 0 && i >= TasksPerChunk-n }, TasksPerChunk)
		if b, err := json.Marshal(worst); err != nil || len(b) > limit || len(b) > worst.Size() {
			t.Errorf("a part of %d tasks takes %d bytes of %d, reckoned as %d: %v", n, len(b), limit, worst.Size(), err)
		}
	}
}
