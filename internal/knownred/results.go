package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// What go test prints without -v.
var (
	failedTestLine    = regexp.MustCompile(`^( *)--- FAIL: (\S+) \(`)
	testLogLine       = regexp.MustCompile(`^( *)\S+\.go:\d+: `)
	failedPackageLine = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPackageLine = regexp.MustCompile(`^(?:ok  |\?   )?\t(\S+)`)
	neverTolerated    = regexp.MustCompile(`^(?:panic:|fatal error:|WARNING: DATA RACE)|race detected during execution|\[(?:build|setup) failed\]|test timed out after`)
)

// indentWidth is how far go test indents the results of a subtest below its parent.
const indentWidth = 4

// failure is a test that has failed.
type failure struct {
	name string
	// hasOwnLog: it has logged something itself, so that it may not have failed for its subtests alone.
	hasOwnLog        bool
	hasFailedSubtest bool
}

// packageResults are the failures of the package whose results are being read.
type packageResults struct {
	path     []*failure // the failed test and its subtests down to the latest line
	failures []*failure
}

// checkResults returns the tests that failed, all of which are known, or an error if anything else failed.
func checkResults(results string, known knownTests) (red []string, err error) {
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
			red = append(red, names...)
			current = packageResults{}
		} else if passedPackageLine.MatchString(line) {
			current = packageResults{}
		}
	}
	if len(current.failures) > 0 {
		return nil, fmt.Errorf("the results end within a package, after %s", current.failures[0].name)
	}
	if len(red) == 0 {
		return nil, errors.New("the run failed without a failed test")
	}
	return red, nil
}

// readLine takes a line about a test, and reports whether it was one.
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

// addFailure adds a failed test at a depth, 0 for a test that is no subtest.
func (p *packageResults) addFailure(depth int, name string) {
	p.path = p.path[:min(depth, len(p.path))]
	if len(p.path) > 0 {
		p.path[len(p.path)-1].hasFailedSubtest = true
	}
	f := &failure{name: name}
	p.path = append(p.path, f)
	p.failures = append(p.failures, f)
}

// checkFailures returns the failed tests of a package, unless one of them is not known. A test that has
// failed for its subtests alone is not counted itself.
func (p *packageResults) checkFailures(name string, known knownTests) (red []string, err error) {
	for _, f := range p.failures {
		if f.hasFailedSubtest && !f.hasOwnLog {
			continue
		}
		if !known.includes(f.name) {
			return nil, fmt.Errorf("%s: %s failed and is not known", name, f.name)
		}
		red = append(red, f.name)
	}
	if len(red) == 0 {
		return nil, fmt.Errorf("%s failed without a failed test", name)
	}
	return red, nil
}
