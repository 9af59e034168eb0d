package main

import (
	"fmt"
	"regexp"
	"strings"
)

// entryLine is a line of the list: the name of a test, or of one of its subtests, as go test prints
// it, then what was seen.
var entryLine = regexp.MustCompile(`^((?:Test|Fuzz|Example)\w*(?:/[^\s:]+)*): \S`)

// knownTests are the names of the tests that the list names.
type knownTests []string

// parseList reads the list. Empty lines are passed over; any other line must be an entry.
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

// includes reports whether the list names a test or one that it is a subtest of.
func (k knownTests) includes(test string) bool {
	for _, name := range k {
		if test == name || strings.HasPrefix(test, name+"/") {
			return true
		}
	}
	return false
}
