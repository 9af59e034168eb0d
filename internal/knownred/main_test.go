package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRun guards against a failed run that CI passes over although something failed that is not in
// the list, and against one that it does not pass over although all is.
func TestRun(t *testing.T) {
	const failedPackage = "FAIL\nFAIL\tleadproxy/internal/a\t0.3s\nok  \tleadproxy/internal/b\t0.1s\nFAIL\n"
	const subtest = "--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        --- FAIL: TestA/one/jobs (0.64s)\n            a_test.go:19: twice\n"
	const entry = "TestA/one: command and seed, what was seen, issue 1\n"
	cases := []struct {
		name, list, results, want string // want: part of the error; "": passed over
	}{
		{"a listed test", "TestA: seen\n", "--- FAIL: TestA (0.00s)\n    a_test.go:19: twice\n" + failedPackage, ""},
		{"a listed subtest", entry, subtest + failedPackage, ""},
		{"all subtests of a listed test", "TestA: seen\n", subtest + failedPackage, ""},
		{"empty lines in the list", "\n" + entry + "\n", subtest + failedPackage, ""},
		{"another subtest", entry, strings.ReplaceAll(subtest, "/one", "/two") + failedPackage, "TestA/two/jobs failed and is not known"},
		{"another subtest whose name begins alike", entry, strings.ReplaceAll(subtest, "/one", "/ones") + failedPackage, "not known"},
		{"another subtest beside the listed one", entry, subtest + "    --- FAIL: TestA/two (0.00s)\n        a_test.go:20: lost\n" + failedPackage, "TestA/two failed and is not known"},
		{"its parent by itself", entry, subtest + "    a_test.go:30: lost\n" + failedPackage, "TestA failed and is not known"},
		{"another test", entry, subtest + "--- FAIL: TestB (0.00s)\n" + failedPackage, "TestB failed and is not known"},
		{"another package", entry, subtest + failedPackage + "--- FAIL: TestC (0.00s)\nFAIL\nFAIL\tleadproxy/internal/c\t0.1s\n", "TestC failed and is not known"},
		{"a package without a failed test", entry, subtest + failedPackage + "exit status 2\nFAIL\tleadproxy/internal/c\t0.1s\n", "internal/c failed without a failed test"},
		{"a panic in a listed test", entry, subtest + "panic: nil map [recovered]\n" + failedPackage, "never passed over: panic"},
		{"a fatal error", entry, subtest + "fatal error: all goroutines are asleep\n" + failedPackage, "never passed over"},
		{"a data race in a listed test", entry, "==================\nWARNING: DATA RACE\n" + subtest + failedPackage, "never passed over"},
		{"a data race that the test reports", entry, subtest + "        testing.go:1490: race detected during execution of test\n" + failedPackage, "never passed over"},
		{"a time-out", entry, subtest + "panic: test timed out after 10m0s\n" + failedPackage, "never passed over"},
		{"a package that can't be built", entry, subtest + failedPackage + "FAIL\tleadproxy/internal/c [build failed]\n", "never passed over"},
		{"results that end early", entry, subtest, "end within a package"},
		{"no results", entry, "", "without a failed test"},
		{"an empty list", "", subtest + failedPackage, "not known"},
		{"a list that is missing", "missing", subtest + failedPackage, "not known"},
		{"a line that can't be read", entry + "the test on Tuesdays\n", subtest + failedPackage, `"the test on Tuesdays"`},
		{"an entry without what was seen", "TestA/one:\n", subtest + failedPackage, `"TestA/one:"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list, results := filepath.Join(t.TempDir(), "list"), filepath.Join(t.TempDir(), "results")
			if c.list != "missing" {
				writeFile(t, list, c.list)
			}
			writeFile(t, results, c.results)
			var out bytes.Buffer
			err := run(list, results, &out)
			switch {
			case c.want == "" && (err != nil || !strings.HasPrefix(out.String(), "failed and known: TestA")):
				t.Errorf("not passed over: %v, %q", err, &out)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)):
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
