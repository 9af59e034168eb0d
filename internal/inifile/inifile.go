// Package inifile reads sections of INI files, whose keys are described by tables, and finds the
// line numbers of keys for error messages.
package inifile

import (
	"bufio"
	"maps"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// KeyReader parses, validates and stores the value of a key.
type KeyReader struct {
	// Want describes the valid values, for error messages.
	Want string
	// Read stores a value and reports whether it is valid.
	Read func(value string) bool
}

// Keys holds the readers of the keys that a section may have, by key.
type Keys map[string]KeyReader

// InvalidEntry describes an unknown key or an invalid value.
type InvalidEntry struct {
	Key, Value string
	// Want describes the valid values, or the known keys if the key is unknown.
	Want string
}

// ReadSection reads all keys of a section and returns the entries that are invalid, in the order of
// the file.
func ReadSection(section *ini.Section, keys Keys) []InvalidEntry {
	var invalid []InvalidEntry
	for _, key := range section.Keys() {
		reader, known := keys[key.Name()]
		if !known {
			names := strings.Join(slices.Sorted(maps.Keys(keys)), ", ")
			invalid = append(invalid, InvalidEntry{Key: key.Name(), Value: key.Value(), Want: "a key that is known here (" + names + ")"})
			continue
		}
		if !reader.Read(strings.TrimSpace(key.Value())) {
			invalid = append(invalid, InvalidEntry{Key: key.Name(), Value: key.Value(), Want: reader.Want})
		}
	}
	return invalid
}

// LineOf returns the line number of a key in the text of a file, or 0 if the section does not have
// the key. It searches the text because the INI library does not keep line numbers.
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

// SectionHeader returns the section name in a section header. The line must have no surrounding
// space; ok is false if it is not a section header.
func SectionHeader(line string) (name string, ok bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}
