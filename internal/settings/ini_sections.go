package settings

import (
	"bufio"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// sectionReader reads sections of an INI file and collects the errors in them.
type sectionReader struct {
	path, text string
	errs       []error
}

// sectionKeys are the keys that a section may have.
type sectionKeys map[string]keyReader

// keyReader reads the value of a key.
type keyReader struct {
	// want describes the values that are accepted, for error messages.
	want string
	// read stores a value; false means that it is not accepted.
	read func(value string) bool
}

// refuse records an error for the value of a key.
func (r *sectionReader) refuse(section, key, value, want string) {
	r.errs = append(r.errs, &FieldError{File: r.path, Line: lineOf(r.text, section, key), Key: section + "." + key, Value: strconv.Quote(value), Want: want})
}

// readKeys reads all keys of a section. Keys that are not listed are refused.
func (r *sectionReader) readKeys(section *ini.Section, keys sectionKeys) {
	for _, k := range section.Keys() {
		reader, known := keys[k.Name()]
		if !known {
			names := strings.Join(slices.Sorted(maps.Keys(keys)), ", ")
			r.refuse(section.Name(), k.Name(), k.Value(), "a key that is known here ("+names+")")
			continue
		}
		if !reader.read(strings.TrimSpace(k.Value())) {
			r.refuse(section.Name(), k.Name(), k.Value(), reader.want)
		}
	}
}

// yesNo reads a switch.
func yesNo(into *bool) keyReader {
	return keyReader{"yes or no", func(value string) bool {
		if value != "yes" && value != "no" {
			return false
		}
		*into = value == "yes"
		return true
	}}
}

// number reads a number within bounds.
func number(into *float64, least, most float64) keyReader {
	return keyReader{fmt.Sprintf("a number between %v and %v", least, most), func(value string) bool {
		n, ok := parseNumber(value, least, most)
		if ok {
			*into = n
		}
		return ok
	}}
}

// truncatedNumber reads a number within bounds and drops its fraction.
func truncatedNumber(into *int, least, most float64) keyReader {
	var n float64
	reader := number(&n, least, most)
	return keyReader{reader.want, func(value string) bool {
		ok := reader.read(value)
		if ok {
			*into = int(n)
		}
		return ok
	}}
}

// seconds reads a duration in seconds.
func seconds(into *time.Duration, least, most float64) keyReader {
	var s float64
	reader := number(&s, least, most)
	return keyReader{reader.want, func(value string) bool {
		ok := reader.read(value)
		if ok {
			*into = Seconds(s)
		}
		return ok
	}}
}

// milliseconds reads a duration in milliseconds.
func milliseconds(into *time.Duration, least, most float64) keyReader {
	var ms float64
	reader := number(&ms, least, most)
	return keyReader{reader.want, func(value string) bool {
		ok := reader.read(value)
		if ok {
			*into = Seconds(ms / 1000)
		}
		return ok
	}}
}

// text reads any value.
func text(into *string) keyReader {
	return keyReader{"a text", func(value string) bool {
		*into = value
		return true
	}}
}

// addresses reads a list of addresses, separated by commas.
func addresses(into *[]string) keyReader {
	const want = "IP addresses and ports separated by commas, as in 10.1.0.1:8081, 10.1.0.2:8081"
	return keyReader{want, func(value string) bool {
		for _, address := range strings.Split(value, ",") {
			address = strings.TrimSpace(address)
			if _, err := netip.ParseAddrPort(address); err != nil {
				return false
			}
			*into = append(*into, address)
		}
		return true
	}}
}

// parseNumber parses a number within bounds; a NaN is within none.
func parseNumber(value string, least, most float64) (float64, bool) {
	n, err := strconv.ParseFloat(value, 64)
	return n, err == nil && n >= least && n <= most
}

// parseWholeNumber parses a number within bounds that has no fraction.
func parseWholeNumber(value string, least, most float64) (int, bool) {
	n, ok := parseNumber(value, least, most)
	return int(n), ok && n == float64(int(n))
}

// lineOf finds the line of a key, which the INI library does not keep; 0 if there is none.
func lineOf(text, section, key string) int {
	current := ini.DefaultSection
	lines := bufio.NewScanner(strings.NewReader(text))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if name, ok := sectionHeader(line); ok {
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

// sectionHeader returns the name of the section that a line begins, if it begins one.
func sectionHeader(line string) (name string, ok bool) {
	if !strings.HasPrefix(line, "[") || !strings.HasSuffix(line, "]") {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}
