package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRun guards against a failed run that CI tolerates although something failed that is not in
// the list, and against one that it does not tolerate although all failures are in the list.
func TestRun(t *testing.T) {
	const failedPackageResults = "FAIL\nFAIL\tleadproxy/internal/a\t0.3s\nok  \tleadproxy/internal/b\t0.1s\nFAIL\n"
	const failedSubtestResults = "--- FAIL: TestA (0.00s)\n    --- FAIL: TestA/one (0.00s)\n        --- FAIL: TestA/one/jobs (0.64s)\n            a_test.go:19: twice\n"
	const entry = "TestA/one: command and seed, what was seen, issue 1\n"
	cases := []struct {
		name, list, results, want string // want is part of the error; "" if the run is tolerated
	}{
		{"a listed test", "TestA: seen\n", "--- FAIL: TestA (0.00s)\n    a_test.go:19: twice\n" + failedPackageResults, ""},
		{"a listed subtest", entry, failedSubtestResults + failedPackageResults, ""},
		{"all subtests of a listed test", "TestA: seen\n", failedSubtestResults + failedPackageResults, ""},
		{"empty lines in the list", "\n" + entry + "\n", failedSubtestResults + failedPackageResults, ""},
		{"an unlisted subtest", entry, strings.ReplaceAll(failedSubtestResults, "/one", "/two") + failedPackageResults, "TestA/two/jobs failed and is not known"},
		{"an unlisted subtest whose name starts with that of a listed one", entry, strings.ReplaceAll(failedSubtestResults, "/one", "/ones") + failedPackageResults, "not known"},
		{"an unlisted subtest next to a listed one", entry, failedSubtestResults + "    --- FAIL: TestA/two (0.00s)\n        a_test.go:20: lost\n" + failedPackageResults, "TestA/two failed and is not known"},
		{"the parent of a listed subtest fails by itself", entry, failedSubtestResults + "    a_test.go:30: lost\n" + failedPackageResults, "TestA failed and is not known"},
		{"an unlisted test", entry, failedSubtestResults + "--- FAIL: TestB (0.00s)\n" + failedPackageResults, "TestB failed and is not known"},
		{"an unlisted test in another package", entry, failedSubtestResults + failedPackageResults + "--- FAIL: TestC (0.00s)\nFAIL\nFAIL\tleadproxy/internal/c\t0.1s\n", "TestC failed and is not known"},
		{"a package without a failed test", entry, failedSubtestResults + failedPackageResults + "exit status 2\nFAIL\tleadproxy/internal/c\t0.1s\n", "internal/c failed without a failed test"},
		{"a panic in a listed test", entry, failedSubtestResults + "panic: nil map [recovered]\n" + failedPackageResults, "never passed over: panic"},
		{"a fatal error", entry, failedSubtestResults + "fatal error: all goroutines are asleep\n" + failedPackageResults, "never passed over"},
		{"a data race in a listed test", entry, "==================\nWARNING: DATA RACE\n" + failedSubtestResults + failedPackageResults, "never passed over"},
		{"a data race that the test reports", entry, failedSubtestResults + "        testing.go:1490: race detected during execution of test\n" + failedPackageResults, "never passed over"},
		{"a timeout", entry, failedSubtestResults + "panic: test timed out after 10m0s\n" + failedPackageResults, "never passed over"},
		{"a package that does not compile", entry, failedSubtestResults + failedPackageResults + "FAIL\tleadproxy/internal/c [build failed]\n", "never passed over"},
		{"results that end early", entry, failedSubtestResults, "end within a package"},
		{"no results", entry, "", "without a failed test"},
		{"an empty list", "", failedSubtestResults + failedPackageResults, "not known"},
		{"a list that is missing", "missing", failedSubtestResults + failedPackageResults, "not known"},
		{"a line of the list that is not an entry", entry + "the test on Tuesdays\n", failedSubtestResults + failedPackageResults, `"the test on Tuesdays"`},
		{"an entry without a description", "TestA/one:\n", failedSubtestResults + failedPackageResults, `"TestA/one:"`},
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
				t.Errorf("error %v, output %q, want the run to be tolerated", err, &out)
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
