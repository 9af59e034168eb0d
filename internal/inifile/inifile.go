// Package inifile reads the sections of INI files by tables of their keys, and finds the lines of
// keys for error messages.
package inifile

import (
	"bufio"
	"maps"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// KeyReader reads the value of a key.
type KeyReader struct {
	// Want describes the values that are accepted, for error messages.
	Want string
	// Read stores a value; false means that it is not accepted.
	Read func(value string) bool
}

// Keys are the keys that a section may have.
type Keys map[string]KeyReader

// InvalidEntry is a key that is not known, or a value that is not accepted.
type InvalidEntry struct {
	Key, Value string
	// Want describes what would be accepted.
	Want string
}

// ReadSection reads all keys of a section and returns those that are refused.
func ReadSection(section *ini.Section, keys Keys) []InvalidEntry {
	var refusals []InvalidEntry
	for _, k := range section.Keys() {
		reader, known := keys[k.Name()]
		if !known {
			names := strings.Join(slices.Sorted(maps.Keys(keys)), ", ")
			refusals = append(refusals, InvalidEntry{Key: k.Name(), Value: k.Value(), Want: "a key that is known here (" + names + ")"})
			continue
		}
		if !reader.Read(strings.TrimSpace(k.Value())) {
			refusals = append(refusals, InvalidEntry{Key: k.Name(), Value: k.Value(), Want: reader.Want})
		}
	}
	return refusals
}

// LineOf finds the line of a key, which the INI library does not keep; 0 if there is none.
func LineOf(text, section, key string) int {
	current := ini.DefaultSection
	lines := bufio.NewScanner(strings.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if name, ok := SectionHeader(line); ok {
			current = name
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok {
			name, _, ok = strings.Cut(line, ":")
		}
		if ok && current == section && strings.TrimSpace(name) == key {
			return number
		}
	}
	return 0
}

// SectionHeader returns the name of the section that a trimmed line begins; ok is false if it
// begins none.
func SectionHeader(line string) (name string, ok bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}
