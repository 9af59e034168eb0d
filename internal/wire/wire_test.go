package wire

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

const sample = `{"ref":"job-000412","lane":"train","owner":"vision","shape":"batch","urgency":"high","pieces":16,
 "vcpus":8.0,"gpus":1.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"flavors":["g8"],"room":null,"together":true,
 "spread":false,"loaners":true,"guess_s":240.0,"snapshot_s":30.0,"flush_s":4.0,"due_s":900.0}`

// with returns the sample with one field replaced, or removed for "".
func with(t *testing.T, key, value string) string {
	t.Helper()
	var m map[string]json.RawMessage
	if err := json.Unmarshal([]byte(sample), &m); err != nil {
		t.Fatal(err)
	}
	if value == "" {
		delete(m, key)
	} else {
		m[key] = json.RawMessage(value)
	}
	b, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// namedJobID is the id that a submission names, whether it was accepted or not.
func namedJobID(t *testing.T, job *Job, err error) string {
	t.Helper()
	if err == nil {
		return job.ID
	}
	var invalid *InvalidJobError
	if !errors.As(err, &invalid) {
		t.Fatalf("the error is %T, want an *InvalidJobError", err)
	}
	return invalid.JobID
}

func TestParseJob(t *testing.T) {
	cases := []struct {
		name, body string
		bad        string // part of the fault; "" for none
		ref        string
	}{
		{"the sample", sample, "", "job-000412"},
		{"an unknown field", with(t, "colour", `"red"`), "", "job-000412"},
		{"null for absent", with(t, "due_s", "null"), "", "job-000412"},
		{"absent optional", with(t, "flavors", ""), "", "job-000412"},
		{"waits for nobody", with(t, "waits_on", "null"), "", "job-000412"},
		{"waits for none of a list", with(t, "waits_on", "[]"), "", "job-000412"},
		{"waits for one twice", with(t, "waits_on", `["job-1","job-2","job-1"]`), "", "job-000412"},
		{"waits for a text", with(t, "waits_on", `"job-1"`), "waits_on", "job-000412"},
		{"waits for a number", with(t, "waits_on", `[1]`), "waits_on", "job-000412"},
		{"waits for what is no id", with(t, "waits_on", `["job-1","run-2"]`), "waits_on", "job-000412"},
		{"waits for null", with(t, "waits_on", `[null]`), "waits_on", "job-000412"},
		{"absent required", with(t, "owner", ""), "owner", "job-000412"},
		{"null required", with(t, "vcpus", "null"), "vcpus", "job-000412"},
		{"not JSON", "{", "object", ""},
		{"an array", "[]", "object", ""},
		{"null", "null", "object", ""},
		{"rubbish after it", sample + "x", "end", ""},
		{"a second value", sample + "{}", "end", ""},
		{"a wrong id", with(t, "ref", `"run-1"`), "ref", ""},
		{"a number for the id", with(t, "ref", `7`), "ref", ""},
		{"a fraction of a task", with(t, "pieces", "1.5"), "pieces", "job-000412"},
		{"a whole number written as a decimal", with(t, "pieces", "2.0"), "", "job-000412"},
		{"no tasks", with(t, "pieces", "0"), "pieces", "job-000412"},
		{"too many tasks", with(t, "pieces", "100001"), "pieces", "job-000412"},
		{"most tasks", with(t, "pieces", "100000"), "", "job-000412"},
		{"unknown urgency", with(t, "urgency", `"soon"`), "urgency", "job-000412"},
		{"unknown shape", with(t, "shape", `"ring"`), "shape", "job-000412"},
		{"negative cores", with(t, "vcpus", "-1"), "vcpus", "job-000412"},
		{"a text for a number", with(t, "mem_gb", `"4"`), "mem_gb", "job-000412"},
		{"a text for a flag", with(t, "spread", `"no"`), "spread", "job-000412"},
		{"no type allowed", with(t, "flavors", "[]"), "flavors", "job-000412"},
		{"a type that is no text", with(t, "flavors", "[1]"), "flavors", "job-000412"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j, err := ParseJob([]byte(c.body))
			if id := namedJobID(t, j, err); id != c.ref {
				t.Errorf("job id %q, want %q", id, c.ref)
			}
			switch {
			case c.bad == "" && (err != nil || j == nil):
				t.Errorf("refused: %v", err)
			case c.bad != "" && (err == nil || !strings.Contains(err.Error(), c.bad)):
				t.Errorf("error %v, want one on %s", err, c.bad)
			}
		})
	}
}

func TestSplitTask(t *testing.T) {
	for name, want := range map[string]bool{
		"job-000412/3": true, "job-1/0": true, "job-1/99999": true,
		"job-1/100000": false, "job-1/-1": false, "job-1/03": false, "job-1": false, "job-x/1": false, "/1": false,
	} {
		parsed, err := ParseTaskName(name)
		if (err == nil) != want {
			t.Errorf("%s: %v, want it taken: %v", name, err, want)
		}
		if err == nil && parsed.String() != name {
			t.Errorf("%s is written as %s", name, parsed)
		}
	}
}

func TestParseReport(t *testing.T) {
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"a plain one", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"tick":1,"baton":0,"warning_s":null,"pieces":[]}`, true},
		{"a state that we don't know", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":[{"piece":"job-1/0","try":1,"status":"waiting"}]}`, true},
		{"no machine", `{"flavor":"a","room":"z","tenure":1}`, false},
		{"no session", `{"host":"vm-1","flavor":"a","room":"z"}`, false},
		{"a task without a number", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":[{"piece":"job-1","status":"running"}]}`, false},
		{"a negative token", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"baton":-1}`, false},
		{"not JSON", `no`, false},
		{"unknown fields, and null for what may be absent", `{"x":[1,{"y":null}],"host":"vm-1","flavor":"a","room":"z","tenure":1,"warning_s":null,"pieces":null}`, true},
		{"a fraction for a count", `{"host":"vm-1","flavor":"a","room":"z","tenure":1.5}`, false},
		{"a decimal for a count", `{"host":"vm-1","flavor":"a","room":"z","tenure":1.0}`, false},
		{"a text for a count", `{"host":"vm-1","flavor":"a","room":"z","tenure":"1"}`, false},
		{"a count beyond 64 bits", `{"host":"vm-1","flavor":"a","room":"z","tenure":18446744073709551616}`, false},
		{"a leading zero", `{"host":"vm-1","flavor":"a","room":"z","tenure":01}`, false},
		{"a list that is none", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":{}}`, false},
		{"a bare line break in a text", "{\"host\":\"vm\n1\",\"flavor\":\"a\",\"room\":\"z\",\"tenure\":1}", false},
		{"an escape that is none", `{"host":"vm\q1","flavor":"a","room":"z","tenure":1}`, false},
		{"rubbish in a field that we don't know", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"x":[1,,2]}`, false},
		{"a comma too many", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,}`, false},
		{"rubbish after it", `{"host":"vm-1","flavor":"a","room":"z","tenure":1}x`, false},
		{"a second value", `{"host":"vm-1","flavor":"a","room":"z","tenure":1}{}`, false},
		{"cut short", `{"host":"vm-1","flavor":"a","room":"z","tenure":1`, false},
		{"an array", `[]`, false},
		{"null", `null`, false},
	}
	for _, c := range cases {
		if _, err := ParseHeartbeat([]byte(c.body)); (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
