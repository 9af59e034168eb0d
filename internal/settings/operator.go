package settings

import (
	"errors"
	"fmt"
	"leadproxy/internal/inifile"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Operator holds the settings of the operators' file, which supplement the platform's. Every key
// has a default that suits an ordinary deployment.
type Operator struct {
	// LeaderLease is the time to live of the leader's lease in the key-value store.
	LeaderLease time.Duration
	// LeaseMargin is how much before the end of its lease the leader stops acting, in addition to
	// the margin for clock drift.
	LeaseMargin time.Duration
	// SlowFitC is the parameter c of the SLOW-FIT placement algorithm.
	SlowFitC float64
	// DirectStarts allows starts in direct commands, which agents whose machines have restarted
	// may carry out again late. Otherwise starts travel only in responses to heartbeats.
	DirectStarts bool
	// IdleReturn is how long a machine beyond the headroom may be idle before it is returned to the
	// cloud.
	IdleReturn time.Duration
	// BootPatience is how long a machine may take to boot before it is returned, as a multiple of
	// the published boot time of its type.
	BootPatience float64
	// HeadroomSpread is how many standard deviations above the estimated mean demand are kept
	// as headroom.
	HeadroomSpread float64
	// MaxMachines is the maximum number of machines in the fleet; 0 means no limit.
	MaxMachines int
	// MetricsAddress is the address at which metrics are served; empty means that they are not.
	MetricsAddress string
	// Cells configures this cell and its neighbours.
	Cells Cells
	// Standby configures the warm standby of the controllers that are not the leader.
	Standby Standby
	// Rollouts configures the plans that drain and replace machines.
	Rollouts Rollouts
}

// Defaults returns the settings that apply without an operators' file.
func Defaults() Operator {
	return Operator{
		LeaderLease:    3 * time.Second,
		LeaseMargin:    150 * time.Millisecond,
		SlowFitC:       5,
		IdleReturn:     25 * time.Second,
		BootPatience:   3,
		HeadroomSpread: 3,
		Cells:          defaultCells(),
		Standby:        Standby{MaxMB: 64},
		Rollouts:       defaultRollouts(),
	}
}

// scalarSections returns the readers of the sections whose keys set single fields of operator, by
// section.
func scalarSections(operator *Operator) map[string]inifile.Keys {
	return map[string]inifile.Keys{
		"leadership": {
			"lease_s":   inifile.Seconds(&operator.LeaderLease, 1, 60),
			"margin_ms": inifile.Milliseconds(&operator.LeaseMargin, 50, 500),
		},
		"placement": {
			"c":             inifile.Number(&operator.SlowFitC, 1, 100),
			"direct_starts": inifile.YesNo(&operator.DirectStarts),
		},
		"fleet": {
			"idle_return_s": inifile.Seconds(&operator.IdleReturn, 5, 86400),
			"boot_patience": inifile.Number(&operator.BootPatience, 1.5, 100),
			"warm_spread":   inifile.Number(&operator.HeadroomSpread, 0, 10),
			"max_machines":  machineBound(&operator.MaxMachines),
		},
		metricsSection: {
			"address": metricsAddress(&operator.MetricsAddress),
		},
	}
}

// machineBound reads the maximum number of machines.
func machineBound(target *int) inifile.KeyReader {
	const maxMachines = 1e6
	return inifile.KeyReader{Want: "a whole number, 0 for no bound", Read: func(value string) bool {
		bound, ok := inifile.ParseWholeNumber(value, 0, maxMachines)
		if ok {
			*target = bound
		}
		return ok
	}}
}

// LoadOperator reads and validates an operators' file. If path is "", it returns the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("read the operators' settings: %w", err)
	}
	return ParseOperator(path, string(text))
}

// ParseOperator parses and validates the text of an operators' file. path is only used in errors.
// The returned settings have the values of all valid keys even if other keys are invalid.
func ParseOperator(path, text string) (Operator, error) {
	operator := Defaults()
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return operator, fmt.Errorf("%s: %w", path, err)
	}
	var cellErrors, standbyErrors, rolloutErrors []error
	operator.Cells, cellErrors = readCells(path, text, file)
	operator.Standby, standbyErrors = readStandby(path, text, file)
	operator.Rollouts, rolloutErrors = readRollouts(path, text, file)
	scalarErrors := readScalars(path, text, file, &operator)
	return operator, errors.Join(slices.Concat(cellErrors, standbyErrors, rolloutErrors, scalarErrors)...)
}

// readScalars reads the scalar sections into operator. It skips the sections that have readers of
// their own, and returns an error for each key of an unknown section.
func readScalars(path, text string, file *ini.File, operator *Operator) []error {
	r := &sectionReader{path: path, text: text}
	sections := scalarSections(operator)
	for _, section := range file.Sections() {
		name := section.Name()
		if isCellSection(name) || isRolloutSection(name) || name == standbySection {
			continue
		}
		keys, known := sections[name]
		if known {
			r.readKeys(section, keys)
			continue
		}
		for _, key := range section.Keys() {
			r.addError(name, key.Name(), key.Value(), "one of the known keys ("+strings.Join(scalarKeyNames(), ", ")+")")
		}
	}
	return r.errs
}

// scalarKeyNames returns all keys of the scalar sections as section.key, sorted.
func scalarKeyNames() []string {
	var names []string
	for section, keys := range scalarSections(&Operator{}) {
		for key := range maps.Keys(keys) {
			names = append(names, section+"."+key)
		}
	}
	slices.Sort(names)
	return names
}
