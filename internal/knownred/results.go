package main

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
)

// What go test prints without -v.
var (
	failedTest    = regexp.MustCompile(`^( *)--- FAIL: (\S+) \(`)
	testLog       = regexp.MustCompile(`^( *)\S+\.go:\d+: `)
	failedPackage = regexp.MustCompile(`^FAIL\t(\S+)`)
	passedPackage = regexp.MustCompile(`^(?:ok  |\?   )?\t(\S+)`)
	neverKnown    = regexp.MustCompile(`^(?:panic:|fatal error:|WARNING: DATA RACE)|race detected during execution|\[(?:build|setup) failed\]|test timed out after`)
)

// indent is how far go test indents the results of a subtest below its parent.
const indent = 4

// failure is a test that has failed.
type failure struct {
	name string
	// ownLog: it has logged something itself, so that it may not have failed for its subtests alone.
	ownLog      bool
	failedChild bool
}

// packageResults are the failures of the package whose results are being read.
type packageResults struct {
	path     []*failure // the failed test and its subtests down to the latest line
	failures []*failure
}

// judge returns the tests that failed, all of which are known, or an error if anything else failed.
func judge(results string, known knownTests) (red []string, err error) {
	var current packageResults
	for _, line := range strings.Split(results, "\n") {
		if neverKnown.MatchString(line) {
			return nil, fmt.Errorf("a failure that is never passed over: %s", line)
		}
		if current.read(line) {
			continue
		}
		if failed := failedPackage.FindStringSubmatch(line); failed != nil {
			names, err := current.judge(failed[1], known)
			if err != nil {
				return nil, err
			}
			red = append(red, names...)
			current = packageResults{}
		} else if passedPackage.MatchString(line) {
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

// read takes a line about a test, and reports whether it was one.
func (p *packageResults) read(line string) bool {
	if failed := failedTest.FindStringSubmatch(line); failed != nil {
		p.descend(len(failed[1])/indent, failed[2])
		return true
	}
	if log := testLog.FindStringSubmatch(line); log != nil && len(p.path) > 0 {
		if depth := len(log[1])/indent - 1; depth >= 0 && depth < len(p.path) {
			p.path[depth].ownLog = true
		}
		return true
	}
	return false
}

// descend adds a failed test at a depth, 0 for a test that is no subtest.
func (p *packageResults) descend(depth int, name string) {
	p.path = p.path[:min(depth, len(p.path))]
	if len(p.path) > 0 {
		p.path[len(p.path)-1].failedChild = true
	}
	f := &failure{name: name}
	p.path = append(p.path, f)
	p.failures = append(p.failures, f)
}

// judge returns the failed tests of a package, unless one of them is not known. A test that has
// failed for its subtests alone is not counted itself.
func (p *packageResults) judge(name string, known knownTests) (red []string, err error) {
	for _, f := range p.failures {
		if f.failedChild && !f.ownLog {
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
