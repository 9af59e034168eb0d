package settings

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Operator holds what the operators set themselves, beyond the platform's
// file. Every key has a default that fits an ordinary deployment.
type Operator struct {
	// LeaderLease is how long the leader's state lease lives unrenewed.
	LeaderLease time.Duration
	// LeaseMargin is taken off the lease besides clock drift.
	LeaseMargin time.Duration
	// SlowFitC is c of SLOW-FIT.
	SlowFitC float64
	// IdleReturn is how long a machine beyond the headroom stays idle
	// before it is returned.
	IdleReturn time.Duration
	// BootPatience times a type's published boot time is how long a machine
	// may take before it is given back.
	BootPatience float64
	// HeadroomSpread is how many standard deviations above the learned mean
	// demand are kept as headroom.
	HeadroomSpread float64
	// MaxMachines bounds the fleet; 0 sets no bound.
	MaxMachines int
	// Cells are this cell and its neighbours.
	Cells Cells
	// Standby is how nodes that do not lead follow the one that does.
	Standby Standby
	// Drain is what plans that drain machines may do.
	Drain Drain
}

// Defaults returns the settings of an operator who has none of their own.
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
		Drain:          defaultDrain(),
	}
}

type operatorKey struct {
	section, key string
	want         string
	set          func(o *Operator, v float64) bool
}

// operatorKeys lists every key that the INI file may have.
var operatorKeys = []operatorKey{
	{"leadership", "lease_s", "between 1 and 60", func(o *Operator, v float64) bool {
		o.LeaderLease = Seconds(v)
		return v >= 1 && v <= 60
	}},
	{"leadership", "margin_ms", "between 50 and 500", func(o *Operator, v float64) bool {
		o.LeaseMargin = Seconds(v / 1000)
		return v >= 50 && v <= 500
	}},
	{"placement", "c", "between 1 and 100", func(o *Operator, v float64) bool {
		o.SlowFitC = v
		return v >= 1 && v <= 100
	}},
	{"fleet", "idle_return_s", "between 5 and 86400", func(o *Operator, v float64) bool {
		o.IdleReturn = Seconds(v)
		return v >= 5 && v <= 86400
	}},
	{"fleet", "boot_patience", "between 1.5 and 100", func(o *Operator, v float64) bool {
		o.BootPatience = v
		return v >= 1.5 && v <= 100
	}},
	{"fleet", "warm_spread", "between 0 and 10", func(o *Operator, v float64) bool {
		o.HeadroomSpread = v
		return v >= 0 && v <= 10
	}},
	{"fleet", "max_machines", "a whole number, 0 for no bound", func(o *Operator, v float64) bool {
		o.MaxMachines = int(v)
		return v >= 0 && v == float64(int(v)) && v <= 1e6
	}},
}

// LoadOperator reads the operators' INI file; an empty path gives the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return Defaults(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("operator settings: %w", err)
	}
	return ParseOperator(path, string(text))
}

// ParseOperator validates the text of an operator file; path is for messages.
func ParseOperator(path, text string) (Operator, error) {
	o := Defaults()
	f, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	known := map[string]operatorKey{}
	for _, k := range operatorKeys {
		known[k.section+"."+k.key] = k
	}
	var errs []error
	o.Cells, errs = readCells(path, text, f)
	var wrong []error
	o.Standby, wrong = readStandby(path, text, f)
	errs = append(errs, wrong...)
	o.Drain, wrong = readDrain(path, text, f)
	errs = append(errs, wrong...)
	for _, s := range f.Sections() {
		if isCells(s.Name()) || isDrain(s.Name()) || s.Name() == standbySection {
			continue
		}
		for _, k := range s.Keys() {
			name := s.Name() + "." + k.Name()
			fe := &FieldError{File: path, Line: lineOf(text, s.Name(), k.Name()), Key: name, Value: strconv.Quote(k.Value())}
			spec, ok := known[name]
			if !ok {
				fe.Want = "one of the known keys (" + strings.Join(keyNames(), ", ") + ")"
				errs = append(errs, fe)
				continue
			}
			v, err := strconv.ParseFloat(strings.TrimSpace(k.Value()), 64)
			if err != nil || !spec.set(&o, v) {
				fe.Want = spec.want
				errs = append(errs, fe)
			}
		}
	}
	return o, errors.Join(errs...)
}

func keyNames() []string {
	var out []string
	for _, k := range operatorKeys {
		out = append(out, k.section+"."+k.key)
	}
	return out
}

// lineOf finds a key's line, since the INI library does not keep it.
func lineOf(text, section, key string) int {
	at := ini.DefaultSection
	sc := bufio.NewScanner(strings.NewReader(text))
	for n := 1; sc.Scan(); n++ {
		line := strings.TrimSpace(sc.Text())
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			at = strings.TrimSpace(line[1 : len(line)-1])
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok {
			name, _, ok = strings.Cut(line, ":")
		}
		if ok && at == section && strings.TrimSpace(name) == key {
			return n
		}
	}
	return 0
}
