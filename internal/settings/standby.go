package settings

import (
	"fmt"
	"leadproxy/internal/inifile"

	"gopkg.in/ini.v1"
)

// Standby configures the warm standby of the controllers that are not the leader.
type Standby struct {
	// Follow makes them keep a replica of the leader's durable state in memory.
	Follow bool
	// MaxMB is the maximum size of the replica in MiB. A replica that would be larger is dropped.
	MaxMB float64
	// SoftState makes the leader also replicate its soft state to them, which it holds only in
	// memory. It requires Follow.
	SoftState bool
}

const standbySection = "standby"

// readStandby reads the section [standby]. Without the section, the defaults apply.
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
