package settings

import (
	"net/netip"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"leadproxy/internal/inifile"
)

// sectionReader reads sections of the operators' file and collects the errors in them.
type sectionReader struct {
	path, text string
	errs       []error
}

// addError records an error for the value of a key.
func (r *sectionReader) addError(section, key, value, want string) {
	r.errs = append(r.errs, &FieldError{
		File:  r.path,
		Line:  inifile.LineOf(r.text, section, key),
		Key:   section + "." + key,
		Value: strconv.Quote(value),
		Want:  want,
	})
}

// readKeys reads all keys of a section. Keys that are not listed are refused.
func (r *sectionReader) readKeys(section *ini.Section, keys inifile.Keys) {
	for _, refusal := range inifile.ReadSection(section, keys) {
		r.addError(section.Name(), refusal.Key, refusal.Value, refusal.Want)
	}
}

// addresses reads a list of addresses, separated by commas.
func addresses(into *[]string) inifile.KeyReader {
	const want = "IP addresses and ports separated by commas, as in 10.1.0.1:8081, 10.1.0.2:8081"
	return inifile.KeyReader{Want: want, Read: func(value string) bool {
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
