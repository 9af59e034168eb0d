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

// Operator holds the operators' own settings, in addition to the platform's
// file. Every key has a default that fits an ordinary deployment.
type Operator struct {
	// LeaderLease is the time to live of the leader's lease in the key-value store.
	LeaderLease time.Duration
	// LeaseMargin is subtracted from the lease, in addition to clock drift.
	LeaseMargin time.Duration
	// SlowFitC is the parameter c of the SLOW-FIT placement algorithm.
	SlowFitC float64
	// IdleReturn is how long a machine beyond the headroom stays idle
	// before it is returned.
	IdleReturn time.Duration
	// BootPatience times a type's published boot time is how long a machine
	// may take to boot before it is returned.
	BootPatience float64
	// HeadroomSpread is how many standard deviations above the learned mean
	// demand are kept as headroom.
	HeadroomSpread float64
	// MaxMachines bounds the fleet; 0 sets no bound.
	MaxMachines int
	// Cells are this cell and its neighbours.
	Cells Cells
	// Standby configures how the controllers that do not lead follow the leader.
	Standby Standby
	// Rollouts configures the plans that drain and replace machines.
	Rollouts Rollouts
}

// Defaults returns the settings that hold without an operators' file.
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

// scalarSections are the sections that hold single values: their keys, and where each is stored.
func scalarSections(o *Operator) map[string]inifile.Keys {
	return map[string]inifile.Keys{
		"leadership": {
			"lease_s":   inifile.Seconds(&o.LeaderLease, 1, 60),
			"margin_ms": inifile.Milliseconds(&o.LeaseMargin, 50, 500),
		},
		"placement": {
			"c": inifile.Number(&o.SlowFitC, 1, 100),
		},
		"fleet": {
			"idle_return_s": inifile.Seconds(&o.IdleReturn, 5, 86400),
			"boot_patience": inifile.Number(&o.BootPatience, 1.5, 100),
			"warm_spread":   inifile.Number(&o.HeadroomSpread, 0, 10),
			"max_machines":  machineBound(&o.MaxMachines),
		},
	}
}

// machineBound reads the bound of the fleet.
func machineBound(into *int) inifile.KeyReader {
	const mostMachines = 1e6
	return inifile.KeyReader{Want: "a whole number, 0 for no bound", Read: func(value string) bool {
		bound, ok := inifile.ParseWholeNumber(value, 0, mostMachines)
		if ok {
			*into = bound
		}
		return ok
	}}
}

// LoadOperator reads the operators' INI file; an empty path gives the defaults.
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

// ParseOperator reads and validates the text of an operators' file; path is named in errors.
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

// readScalars reads all sections that no other reader is responsible for. Keys in sections that
// are not known are refused.
func readScalars(path, text string, file *ini.File, into *Operator) []error {
	r := &sectionReader{path: path, text: text}
	sections := scalarSections(into)
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

// scalarKeyNames lists the keys of all scalar sections, each with its section.
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
