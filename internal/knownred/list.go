package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entryLine matches an entry of the list: the name of a test or subtest as go test prints it, a
// colon, and what was seen.
var entryLine = regexp.MustCompile(`^((?:Test|Fuzz|Example)\w*(?:/[^\s:]+)*): \S`)

// knownTests holds the names of the listed tests and subtests.
type knownTests []string

// parseList parses the list. It ignores empty lines; any other line must be an entry.
func parseList(text string) (known knownTests, err error) {
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry := entryLine.FindStringSubmatch(line)
		if entry == nil {
			return nil, fmt.Errorf("known tests: a line that names no test: %q", line)
		}
		known = append(known, entry[1])
	}
	return known, nil
}

// includes reports whether the list names the test or a test of which it is a subtest.
func (k knownTests) includes(test string) bool {
	for _, name := range k {
		if test == name || strings.HasPrefix(test, name+"/") {
			return true
		}
	}
	return false
}
