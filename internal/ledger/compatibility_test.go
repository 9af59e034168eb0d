package ledger

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"leadproxy/internal/wire"
)

// During a rolling upgrade, this version and the production version use the same ledger. These are
// records exactly as the production version writes them.
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

// entry returns an entry of version 3.
func entry(key, value string) wire.Entry {
	return wire.Entry{Key: key, Value: json.RawMessage(value), Version: 3}
}

// TestDecodesProductionRecords decodes a record of every kind that the production version writes.
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
		t.Errorf("record of the unfinished job decoded as %+v", open)
	}
	if aborted.TerminalState != wire.JobCancelled || aborted.Done != 2 || aborted.Job.Team != "t" {
		t.Errorf("record of the cancelled job decoded as %+v", aborted)
	}
	if done.TerminalState != wire.JobDone || done.Cores != 7.5 || done.EndedMS != 0 {
		t.Errorf("record of the finished job decoded as %+v", done)
	}
	finished := 0
	s.Jobs[0].Finished[0].Ranges.Each(func(int) { finished++ })
	if finished != 3 || len(s.Jobs[0].Hosts) != 1 || !reflect.DeepEqual(s.Jobs[0].Hosts[0].Machines, []string{"vm-000001", "vm-000002"}) {
		t.Errorf("finished tasks and hosts decoded as %+v", s.Jobs[0])
	}
	if len(s.ScaleOuts) != 1 || s.ScaleOuts[0].Request.Count != 2 || len(s.GoneMachines) != 1 || s.Unreachable["silent/7-1"].LeaseExpiryMS != 946684800999 {
		t.Errorf("decoded scale-outs %+v, gone machines %v, unreachable records %+v", s.ScaleOuts, s.GoneMachines, s.Unreachable)
	}
}

// Records as the production version declares them.
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

// TestProductionDecodesRecords checks that the production version can decode the records of this
// version: they differ at most by new fields, which it ignores.
func TestProductionDecodesRecords(t *testing.T) {
	zone, due := "a", 90.0
	j := &wire.Job{ID: "job-000001", Class: "c", Team: "t", Kind: "batch", Priority: "high", Tasks: 5, CPUs: 1.5, MemGB: 2, Image: "i", ImageGB: 0.5,
		Types: []string{"m8"}, Zone: &zone, Spot: true, EstimatedRunS: 8, DeadlineS: &due}
	cases := []struct {
		name         string
		record       JobRecord
		wantEncoding string // encoding by the production version; "" if the record has a new field
		newField     string // the only field unknown to the production version, if any
		wantJob      bool   // whether the record has a job description
		wantTerminal string
	}{
		{"unfinished job", JobRecord{Job: j, AcceptedMS: 946684800123}, productionOpen, "", true, ""},
		{"finished job", JobRecord{AcceptedMS: 946684800123, TerminalState: wire.JobDone, Tasks: 5, Done: 5, Class: "c", Team: "t", Cores: 7.5, RunS: 8.25, EndedMS: 946684801000}, "", "ended_ms", false, "done"},
		{"cancelled job", JobRecord{Job: j.CancelledSummary(), AcceptedMS: 946684800123, TerminalState: wire.JobCancelled, Tasks: 5, Done: 2, EndedMS: 946684801000}, "", "ended_ms", true, "aborted"},
		{"job with dependencies", JobRecord{Job: &wire.Job{ID: "job-000002", Class: "c", Team: "t", Kind: "batch", Priority: "high", Tasks: 1, DependsOn: []string{"job-000001"}}}, "", "waits_on", true, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := json.Marshal(c.record)
			if err != nil {
				t.Fatal(err)
			}
			if c.wantEncoding != "" && string(encoded) != c.wantEncoding {
				t.Errorf("encoded as %s, want %s as in the production version", encoded, c.wantEncoding)
			}
			var decoded productionRecord
			if err := json.Unmarshal(encoded, &decoded); err != nil {
				t.Fatalf("production version can't decode %s: %v", encoded, err)
			}
			if decoded.Fate != c.wantTerminal || (decoded.Job != nil) != c.wantJob || decoded.AcceptedMS != c.record.AcceptedMS || decoded.Tasks != c.record.Tasks {
				t.Errorf("production version decodes the record differently: %+v", decoded)
			}
			if decoded.Job != nil && (decoded.Job.Team != c.record.Job.Team || decoded.Job.Tasks != c.record.Job.Tasks || decoded.Job.CPUs != c.record.Job.CPUs) {
				t.Errorf("production version decodes the job differently: %+v", decoded.Job)
			}
			// No other field is unknown to the production version.
			decoder := json.NewDecoder(bytes.NewReader(encoded))
			decoder.DisallowUnknownFields()
			switch err := decoder.Decode(&decoded); {
			case c.newField == "" && err != nil, c.newField != "" && (err == nil || !strings.Contains(err.Error(), c.newField)):
				t.Errorf("decoding without unknown fields: error %v, want one on field %q only", err, c.newField)
			}
		})
	}
}

// TestFinishedTaskPartsMergeWithChunk checks that the finished tasks of the parts of a chunk are
// added to those under the chunk's own key, and that a part always fits into the value limit. The
// keys of parts contain a dot, so that the production version doesn't mistake them for chunks.
func TestFinishedTaskPartsMergeWithChunk(t *testing.T) {
	s := decodeSnapshot([]wire.Entry{
		entry("job/job-000001", productionOpen), entry("fin/job-000001/0", `[0,1]`), entry("fin/job-000001/0.0", `[0,2]`), entry("fin/job-000001/0.128", `[128,130]`),
		entry("host/job-000001/0", `["vm-1"]`), entry("host/job-000001/1", `["vm-2"]`),
	})
	if len(s.Malformed) > 0 {
		t.Fatal(s.Malformed)
	}
	done := map[int]bool{}
	for _, saved := range s.Jobs[0].Finished {
		saved.Ranges.Each(func(i int) { done[saved.Chunk*TasksPerChunk+i] = true })
	}
	if len(done) != 6 || !done[130] || !done[2] {
		t.Errorf("finished tasks %v, want 6 including 2 and 130", done)
	}
	if len(s.Jobs[0].Hosts) != 2 || s.Jobs[0].Hosts[1].Machines[0] != "vm-2" {
		t.Errorf("hosts %+v, want two chunks, the second with vm-2", s.Jobs[0].Hosts)
	}
	for _, limit := range []int{256, 1024, 2048, 16 << 10} {
		tasks := TasksPerPart(limit)
		worst := EncodeRanges(func(i int) bool { return i%2 == 0 && i >= TasksPerChunk-tasks }, TasksPerChunk)
		if encoded, err := json.Marshal(worst); err != nil || len(encoded) > limit || len(encoded) > worst.Size() {
			t.Errorf("part of %d tasks takes %d bytes, limit %d, Size %d: %v", tasks, len(encoded), limit, worst.Size(), err)
		}
	}
}
