package settings

import (
	"fmt"
	"leadproxy/internal/inifile"

	"gopkg.in/ini.v1"
)

// Standby configures how the controllers that do not lead follow the leader.
type Standby struct {
	// Follow has them keep a copy of the leader's durable state.
	Follow bool
	// MaxMB bounds that copy. One that would be larger is dropped.
	MaxMB float64
	// SoftState has the leader replicate its soft state to them too, which it holds only in memory.
	SoftState bool
}

const standbySection = "standby"

// readStandby reads the section about standbys.
func readStandby(path, text string, file *ini.File) (Standby, []error) {
	standby := Defaults().Standby
	if !file.HasSection(standbySection) {
		return standby, nil
	}
	r := &sectionReader{path: path, text: text}
	r.readKeys(file.Section(standbySection), inifile.Keys{
		"follow": inifile.YesNo(&standby.Follow),
		"hints":  inifile.YesNo(&standby.SoftState),
		"max_mb": inifile.Number(&standby.MaxMB, 1, 1e5),
	})
	if standby.SoftState && !standby.Follow {
		r.errs = append(r.errs, fmt.Errorf("%s: [%s] hints need follow: controllers that do not follow read everything anew", path, standbySection))
	}
	return standby, r.errs
}
