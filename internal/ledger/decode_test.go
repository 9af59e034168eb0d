package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"leadproxy/internal/federation"
	"leadproxy/internal/wire"
)

// malformedValues are values that no controller writes, by key.
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

// TestMalformedKeyDoesNotAffectOtherKeys: one value that can't be read kept every
// controller from leading, since no ledger was read without it.
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

// checkOneMalformed checks that a snapshot lacks one key alone, and what is assumed in its
// place.
func checkOneMalformed(t *testing.T, s *Snapshot, key string) {
	t.Helper()
	if len(s.Malformed) != 1 || s.Malformed[0].Key != key {
		t.Errorf("malformed are %v", s.Malformed)
	}
	if len(s.Jobs) != 1 || s.Jobs[0].Record.Job == nil || len(s.Jobs[0].Finished) != 1 || len(s.Jobs[0].Hosts) != 1 || len(s.ScaleOuts) != 1 {
		t.Errorf("what is left: %+v", s)
	}
	if strings.HasPrefix(key, delegatedPrefix) && (len(s.Delegated) != 1 || !s.Delegated[0].Unknown) {
		t.Errorf("the job is not recorded as delegated: %+v", s.Delegated)
	}
	if strings.HasPrefix(key, foreignPrefix+"b/") && (len(s.Foreign) != 1 || s.Foreign[0].Record.State != federation.ForeignRefused) {
		t.Errorf("the transfer is not refused: %+v", s.Foreign)
	}
	if unknown := strings.HasPrefix(key, hostsPrefix) && len(key) < 20; s.Jobs[0].HostsUnknown != unknown {
		t.Errorf("hosts unknown: %v", s.Jobs[0].HostsUnknown)
	}
}

// FuzzDecodeSnapshot: whatever a key holds, it is decoded or named as malformed, and what is
// decoded is within the bounds that the scheduler relies on.
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
				t.Errorf("%+v", r)
			}
			for _, c := range j.Finished {
				if c.Chunk < 0 || c.Chunk > wire.MaxTasks {
					t.Errorf("chunk %d", c.Chunk)
				}
				c.Ranges.Each(func(i int) {
					if i < 0 || i >= TasksPerChunk {
						t.Errorf("task %d of a chunk", i)
					}
				})
			}
			for _, c := range j.Hosts {
				if c.Chunk < 0 || c.Chunk > wire.MaxTasks {
					t.Errorf("chunk %d", c.Chunk)
				}
			}
		}
	})
}
