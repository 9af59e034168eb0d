package settings

import (
	"net/netip"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"leadproxy/internal/inifile"
)

// sectionReader reads sections of the operators' file and collects the errors that it finds.
type sectionReader struct {
	path, text string // of the file
	errs       []error
}

// addError adds a FieldError for a key, with its line. key is "" if the section itself is invalid.
func (r *sectionReader) addError(section, key, value, want string) {
	r.errs = append(r.errs, &FieldError{
		File:  r.path,
		Line:  inifile.LineOf(r.text, section, key),
		Key:   section + "." + key,
		Value: strconv.Quote(value),
		Want:  want,
	})
}

// readKeys reads all keys of a section. A key that is not listed is an error.
func (r *sectionReader) readKeys(section *ini.Section, keys inifile.Keys) {
	for _, entry := range inifile.ReadSection(section, keys) {
		r.addError(section.Name(), entry.Key, entry.Value, entry.Want)
	}
}

// addresses reads a list of IP addresses with ports, separated by commas.
func addresses(target *[]string) inifile.KeyReader {
	const want = "IP addresses and ports separated by commas, as in 10.1.0.1:8081, 10.1.0.2:8081"
	return inifile.KeyReader{Want: want, Read: func(value string) bool {
		for _, address := range strings.Split(value, ",") {
			address = strings.TrimSpace(address)
			if _, err := netip.ParseAddrPort(address); err != nil {
				return false
			}
			*target = append(*target, address)
		}
		return true
	}}
}
