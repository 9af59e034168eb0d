package wire

import "testing"

func TestParseHeartbeat(t *testing.T) {
	cases := []struct {
		name, body string
		ok         bool
	}{
		{"a plain one", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"tick":1,"baton":0,"warning_s":null,"pieces":[]}`, true},
		{"an unknown state", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":[{"piece":"job-1/0","try":1,"status":"waiting"}]}`, true},
		{"no machine", `{"flavor":"a","room":"z","tenure":1}`, false},
		{"no agent epoch", `{"host":"vm-1","flavor":"a","room":"z"}`, false},
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
		{"rubbish in an unknown field", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"x":[1,,2]}`, false},
		{"a comma too many", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,}`, false},
		{"rubbish after it", `{"host":"vm-1","flavor":"a","room":"z","tenure":1}x`, false},
		{"a second value", `{"host":"vm-1","flavor":"a","room":"z","tenure":1}{}`, false},
		{"cut short", `{"host":"vm-1","flavor":"a","room":"z","tenure":1`, false},
		{"an array", `[]`, false},
		{"null", `null`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseHeartbeat([]byte(c.body)); (err == nil) != c.ok {
				t.Errorf("error %v, want it accepted: %v", err, c.ok)
			}
		})
	}
}

// FuzzParseHeartbeat: whatever a worker sends, a heartbeat that is accepted names its machine
// and tasks.
func FuzzParseHeartbeat(f *testing.F) {
	for _, body := range []string{
		`{"host":"vm-1","address":"a:1","flavor":"g8","room":"a","loaners":true,"tenure":1,"tick":88,"baton":41,"warning_s":null,"pieces":[{"piece":"job-1/3","try":2,"status":"running"}]}`,
		`{"host":"vm-1","flavor":"g8","room":"a","tenure":1,"warning_s":-1}`, `{"pieces":[null]}`, `{"tenure":-1}`, `{"pieces":[{"piece":"job-1/03","try":18446744073709551616}]}`,
	} {
		f.Add([]byte(body))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		heartbeat, err := ParseHeartbeat(body)
		if err != nil {
			return
		}
		if heartbeat.Machine == "" || heartbeat.AgentEpoch == 0 {
			t.Errorf("%+v", heartbeat)
		}
		for _, task := range heartbeat.Tasks {
			if name, err := ParseTaskName(task.Task); err != nil || name.Index < 0 || name.Index >= MaxTasks || task.Status == "" {
				t.Errorf("%+v", task)
			}
		}
	})
}
