package settings

import (
	"fmt"

	"gopkg.in/ini.v1"
)

// Standby is how nodes that do not lead follow the one that does.
type Standby struct {
	// Follow has them keep a copy of the leader's durable state.
	Follow bool
	// MaxMB bounds that copy. One that would be larger is dropped.
	MaxMB float64
	// Hints has the leader tell them as well what it holds only in memory.
	Hints bool
}

const standbySection = "standby"

// readStandby reads the section about standbys.
func readStandby(path, text string, f *ini.File) (Standby, []error) {
	s := Defaults().Standby
	r := &sectionReader{path: path, text: text}
	if f.HasSection(standbySection) {
		r.each(f.Section(standbySection), map[string]func(string) string{
			"follow": flag(&s.Follow),
			"hints":  flag(&s.Hints),
			"max_mb": func(v string) string { return number(v, &s.MaxMB, 1, 1e5) },
		})
		if s.Hints && !s.Follow {
			r.errs = append(r.errs, fmt.Errorf("%s: [%s] hints need follow: nodes that do not follow read everything anew", path, standbySection))
		}
	}
	return s, r.errs
}
