package wire

import "testing"

func TestParseHeartbeat(t *testing.T) {
	cases := []struct {
		name, body string
		valid      bool
	}{
		{"valid heartbeat", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"tick":1,"baton":0,"warning_s":null,"pieces":[]}`, true},
		{"unknown task status", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":[{"piece":"job-1/0","try":1,"status":"waiting"}]}`, true},
		{"no machine", `{"flavor":"a","room":"z","tenure":1}`, false},
		{"no agent epoch", `{"host":"vm-1","flavor":"a","room":"z"}`, false},
		{"task without an index", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":[{"piece":"job-1","status":"running"}]}`, false},
		{"negative fencing token", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"baton":-1}`, false},
		{"not JSON", `no`, false},
		{"unknown fields, and null optional fields", `{"x":[1,{"y":null}],"host":"vm-1","flavor":"a","room":"z","tenure":1,"warning_s":null,"pieces":null}`, true},
		{"agent epoch with a fraction", `{"host":"vm-1","flavor":"a","room":"z","tenure":1.5}`, false},
		{"agent epoch as a decimal", `{"host":"vm-1","flavor":"a","room":"z","tenure":1.0}`, false},
		{"agent epoch as a string", `{"host":"vm-1","flavor":"a","room":"z","tenure":"1"}`, false},
		{"agent epoch beyond 64 bits", `{"host":"vm-1","flavor":"a","room":"z","tenure":18446744073709551616}`, false},
		{"agent epoch with a leading zero", `{"host":"vm-1","flavor":"a","room":"z","tenure":01}`, false},
		{"object in place of a list", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"pieces":{}}`, false},
		{"unescaped line break in a string", "{\"host\":\"vm\n1\",\"flavor\":\"a\",\"room\":\"z\",\"tenure\":1}", false},
		{"invalid escape sequence", `{"host":"vm\q1","flavor":"a","room":"z","tenure":1}`, false},
		{"invalid JSON in an unknown field", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,"x":[1,,2]}`, false},
		{"trailing comma", `{"host":"vm-1","flavor":"a","room":"z","tenure":1,}`, false},
		{"text after the object", `{"host":"vm-1","flavor":"a","room":"z","tenure":1}x`, false},
		{"second object", `{"host":"vm-1","flavor":"a","room":"z","tenure":1}{}`, false},
		{"truncated object", `{"host":"vm-1","flavor":"a","room":"z","tenure":1`, false},
		{"an array", `[]`, false},
		{"null", `null`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseHeartbeat([]byte(c.body)); (err == nil) != c.valid {
				t.Errorf("error %v, want accepted: %v", err, c.valid)
			}
		})
	}
}

// FuzzParseHeartbeat checks that any heartbeat that is accepted has a machine name, an agent epoch,
// and valid names and statuses of tasks.
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
			t.Errorf("accepted heartbeat has no machine name or no agent epoch: %+v", heartbeat)
		}
		for _, task := range heartbeat.Tasks {
			if name, err := ParseTaskName(task.Task); err != nil || name.Index < 0 || name.Index >= MaxTasks || task.Status == "" {
				t.Errorf("accepted task has an invalid name or no status: %+v", task)
			}
		}
	})
}
