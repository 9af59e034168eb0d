package wire

import "testing"

func TestParseTaskName(t *testing.T) {
	for name, want := range map[string]bool{
		"job-000412/3": true, "job-1/0": true, "job-1/99999": true,
		"job-1/100000": false, "job-1/-1": false, "job-1/03": false, "job-1": false, "job-x/1": false, "/1": false,
	} {
		t.Run(name, func(t *testing.T) {
			parsed, err := ParseTaskName(name)
			if (err == nil) != want {
				t.Errorf("error %v, want accepted: %v", err, want)
			}
			if err == nil && parsed.String() != name {
				t.Errorf("String of the parsed name returned %s, want the name itself", parsed)
			}
		})
	}
}
