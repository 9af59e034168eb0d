package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// Lines that go test prints without -v.
var (
	failedTestLine    = regexp.MustCompile(`^( *)--- FAIL: (\S+) \(`)
	testLogLine       = regexp.MustCompile(`^( *)\S+\.go:\d+: `)
	failedPackageLine = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPackageLine = regexp.MustCompile(`^(?:ok  |\?   )?\t(\S+)`)
	// neverTolerated matches failures that no entry of the list excuses.
	neverTolerated = regexp.MustCompile(`^(?:panic:|fatal error:|WARNING: DATA RACE)|race detected during execution|\[(?:build|setup) failed\]|test timed out after`)
)

// indentWidth is the number of spaces by which go test indents a subtest's results below its
// parent's.
const indentWidth = 4

// failure is a failed test or subtest.
type failure struct {
	name string
	// hasOwnLog reports whether the test itself logged a line. It may then have failed for a reason
	// of its own, not only because a subtest failed.
	hasOwnLog        bool
	hasFailedSubtest bool
}

// packageResults holds the failures of the package whose results are being read.
type packageResults struct {
	path     []*failure // from the failed top-level test down to the latest failed subtest
	failures []*failure
}

// checkResults returns the names of the failed tests if all of them are known. Any other failure is
// an error, as are results that end within a package or have no failed test.
func checkResults(results string, known knownTests) (failedTests []string, err error) {
	var current packageResults
	for _, line := range strings.Split(results, "\n") {
		if neverTolerated.MatchString(line) {
			return nil, fmt.Errorf("a failure that is never passed over: %s", line)
		}
		if current.readLine(line) {
			continue
		}
		if failed := failedPackageLine.FindStringSubmatch(line); failed != nil {
			names, err := current.checkFailures(failed[1], known)
			if err != nil {
				return nil, err
			}
			failedTests = append(failedTests, names...)
			current = packageResults{}
		} else if passedPackageLine.MatchString(line) {
			current = packageResults{}
		}
	}
	if len(current.failures) > 0 {
		return nil, fmt.Errorf("the results end within a package, after %s", current.failures[0].name)
	}
	if len(failedTests) == 0 {
		return nil, errors.New("the run failed without a failed test")
	}
	return failedTests, nil
}

// readLine processes a line if it is about a test, and reports whether it is.
func (p *packageResults) readLine(line string) bool {
	if failed := failedTestLine.FindStringSubmatch(line); failed != nil {
		p.addFailure(len(failed[1])/indentWidth, failed[2])
		return true
	}
	if log := testLogLine.FindStringSubmatch(line); log != nil && len(p.path) > 0 {
		if depth := len(log[1])/indentWidth - 1; depth >= 0 && depth < len(p.path) {
			p.path[depth].hasOwnLog = true
		}
		return true
	}
	return false
}

// addFailure adds a failed test. Its depth is 0 for a top-level test, and one more for each level
// of subtests.
func (p *packageResults) addFailure(depth int, name string) {
	p.path = p.path[:min(depth, len(p.path))]
	if len(p.path) > 0 {
		p.path[len(p.path)-1].hasFailedSubtest = true
	}
	f := &failure{name: name}
	p.path = append(p.path, f)
	p.failures = append(p.failures, f)
}

// checkFailures returns the names of the package's failed tests, or an error if one of them is not
// known. It leaves out tests that failed only because a subtest failed.
func (p *packageResults) checkFailures(packagePath string, known knownTests) (failedTests []string, err error) {
	for _, f := range p.failures {
		if f.hasFailedSubtest && !f.hasOwnLog {
			continue
		}
		if !known.includes(f.name) {
			return nil, fmt.Errorf("%s: %s failed and is not known", packagePath, f.name)
		}
		failedTests = append(failedTests, f.name)
	}
	if len(failedTests) == 0 {
		return nil, fmt.Errorf("%s failed without a failed test", packagePath)
	}
	return failedTests, nil
}
