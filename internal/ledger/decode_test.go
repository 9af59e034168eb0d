package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// malformedValues lists, by key, values that no controller writes.
var malformedValues = map[string][]string{
	"job/job-000009": {``, `null`, `7`, `[]`, `{}`, `{"job":7}`, `{"job":{"ref":"job-000009","pieces":0}}`, `{"job":{"ref":"job-000009","pieces":-1}}`,
		`{"job":{"ref":"job-000009","pieces":1000000000000}}`, `{"job":{"ref":"job-000001","pieces":1}}`, `{"job":{"ref":"job-000009","pieces":1,"vcpus":-4}}`,
		`{"fate":"lost"}`, `{"fate":"done","tasks":-1}`, `{"fate":"done","done":1000000000}`, `{"job":{"ref":"job-000009","pieces":1},"accepted_ms":"soon"}`, strings.Repeat("[", 20000)},
	"fin/job-000001/0":                     {`{}`, `"x"`, `["a"]`},
	"fin/job-000001/x":                     {`[0,1]`},
	"fin/job-000001":                       {`[0,1]`},
	"fin/job-000001/9000000000000000000":   {`[0,1]`},
	"fin/job-000001/-1":                    {`[0,1]`},
	"fin/job-000001/0.x":                   {`[0,1]`},
	"host/job-000001/0":                    {`{}`, `[7]`, `"vm-1"`},
	"host/job-000001/99999999999999999999": {`["vm-1"]`},
	"host/job-000001/900000000000":         {`["vm-1"]`},
	"silent/7-1":                           {`[]`, `{"machines":7}`},
	"cell/away/job-000009":                 {`7`, `{}`, `{"to":"b","epoch":0,"state":"offered"}`, `{"to":"b","epoch":1,"state":"lost"}`, `{"epoch":1,"state":"offered"}`},
	"cell/guest/b/job-000009":              {`7`, `{}`, `{"epoch":-1}`},
	"cell/guest/job-000009":                {`{"epoch":1,"state":"accepted"}`},
	"hire/h7-1":                            {`7`, `{}`, `{"hire":{"hire":"h7-2","number":1}}`, `{"hire":{"hire":"h7-1","number":-1}}`, `{"hire":{"hire":"h7-1","number":1000}}`},
}

// TestMalformedKeyDoesNotAffectOtherKeys guards against a single malformed value that keeps every
// controller from leading: reading the ledger failed as a whole when one value couldn't be decoded.
func TestMalformedKeyDoesNotAffectOtherKeys(t *testing.T) {
	for key, values := range malformedValues {
		for _, value := range values {
			t.Run(fmt.Sprintf("%s %.20s", key, value), func(t *testing.T) {
				s := decodeSnapshot([]wire.Entry{
					entry("job/job-000001", productionOpen), entry("fin/job-000001/3", productionRanges), entry("host/job-000001/3", productionHosts),
					entry(key, value), entry("hire/h7-9", strings.Replace(productionScaleOut, "h7-1", "h7-9", 1)),
				})
				checkOneMalformed(t, &s, key)
			})
		}
	}
}

// checkOneMalformed checks that only the given key is malformed, and what the snapshot assumes in
// its place.
func checkOneMalformed(t *testing.T, s *Snapshot, key string) {
	t.Helper()
	if len(s.Malformed) != 1 || s.Malformed[0].Key != key {
		t.Errorf("malformed keys %v, want only the key under test", s.Malformed)
	}
	if len(s.Jobs) != 1 || s.Jobs[0].Record.Job == nil || len(s.Jobs[0].Finished) != 1 || len(s.Jobs[0].Hosts) != 1 || len(s.ScaleOuts) != 1 {
		t.Errorf("other keys are affected: %+v", s)
	}
	if strings.HasPrefix(key, delegatedPrefix) && (len(s.Delegated) != 1 || !s.Delegated[0].Unknown) {
		t.Errorf("delegated jobs %+v, want one with Unknown set", s.Delegated)
	}
	if strings.HasPrefix(key, foreignPrefix+"b/") && (len(s.Foreign) != 1 || s.Foreign[0].Record.State != federation.ForeignRefused) {
		t.Errorf("foreign jobs %+v, want one refused", s.Foreign)
	}
	if unknown := strings.HasPrefix(key, hostsPrefix) && len(key) < 20; s.Jobs[0].HostsUnknown != unknown {
		t.Errorf("HostsUnknown is %v, want it set only for malformed hosts of the job", s.Jobs[0].HostsUnknown)
	}
}

// FuzzDecodeSnapshot checks that any entry is either decoded or listed as malformed, and that
// decoded records are within the bounds that the scheduler relies on.
func FuzzDecodeSnapshot(f *testing.F) {
	for key, values := range malformedValues {
		for _, value := range values {
			f.Add(key, []byte(value))
		}
	}
	for key, value := range map[string]string{"job/job-000001": productionOpen, "job/job-000003": productionDone, "fin/job-000001/0": productionRanges, "host/job-000001/0": productionHosts, "hire/h7-1": productionScaleOut, "silent/7-1": productionUnreachable} {
		f.Add(key, []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		s := decodeSnapshot([]wire.Entry{{Key: key, Value: json.RawMessage(value), Version: 1}})
		for _, j := range s.Jobs {
			if r := j.Record; r.Job != nil && (r.Job.Tasks < 1 || r.Job.Tasks > wire.MaxTasks || r.Job.ID != j.ID) {
				t.Errorf("record is out of bounds: %+v", r)
			}
			for _, saved := range j.Finished {
				if saved.Chunk < 0 || saved.Chunk > wire.MaxTasks {
					t.Errorf("chunk %d of finished tasks is out of bounds", saved.Chunk)
				}
				saved.Ranges.Each(func(i int) {
					if i < 0 || i >= TasksPerChunk {
						t.Errorf("task %d is out of the bounds of a chunk", i)
					}
				})
			}
			for _, saved := range j.Hosts {
				if saved.Chunk < 0 || saved.Chunk > wire.MaxTasks {
					t.Errorf("chunk %d of hosts is out of bounds", saved.Chunk)
				}
			}
		}
	})
}
