package rollout

import (
	"errors"
	"fmt"
	"math"
	"regexp"

	"gopkg.in/ini.v1"

	"leadproxy/internal/inifile"
)

// ErrInvalidPlan means that a plan can't be carried out as it is written.
var ErrInvalidPlan = errors.New("invalid plan")

var planName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

// maxSeconds bounds the durations of a plan.
const maxSeconds = 1e7

// defaultSpec has the values of the keys that a plan leaves out.
func defaultSpec() Spec {
	return Spec{Canary: 1, Batch: 1, WaitS: 600, CheckS: 15, HealthS: 600}
}

// specParser parses a plan's text and collects the errors in it.
type specParser struct {
	spec Spec
	errs []error
}

func (p *specParser) addError(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%w: "+format, append([]any{ErrInvalidPlan}, args...)...))
}

// ParseSpec reads a plan's text, an INI file with the section [plan].
func ParseSpec(text string) (Spec, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrInvalidPlan, err)
	}
	p := &specParser{spec: defaultSpec()}
	for _, section := range file.Sections() {
		switch {
		case section.Name() == "plan":
			p.readPlan(section)
		case len(section.Keys()) > 0:
			p.addError("section [%s]: only [plan] is known", section.Name())
		}
	}
	p.validate()
	return p.spec, errors.Join(p.errs...)
}

func (p *specParser) readPlan(section *ini.Section) {
	spec := &p.spec
	refusals := inifile.ReadSection(section, inifile.Keys{
		"name":       inifile.Text(&spec.Name),
		"zones":      inifile.Names(&spec.Zones),
		"types":      inifile.Names(&spec.Types),
		"machines":   inifile.Names(&spec.Machines),
		"canary":     inifile.Integer(&spec.Canary, 0, maxBatch),
		"batch":      batch(spec),
		"surge":      inifile.YesNo(&spec.Surge),
		"wait_s":     durationSeconds(&spec.WaitS),
		"check_s":    durationSeconds(&spec.CheckS),
		"health_s":   durationSeconds(&spec.HealthS),
		"deadline_s": durationSeconds(&spec.DeadlineS),
	})
	for _, r := range refusals {
		p.addError("%s = %q: must be %s", r.Key, r.Value, r.Want)
	}
}

// durationSeconds reads a duration that the record keeps in seconds.
func durationSeconds(into *float64) inifile.KeyReader {
	reader := inifile.Number(into, 0, maxSeconds)
	reader.Want = fmt.Sprintf("a number of seconds from 0 to %.0f", float64(maxSeconds))
	return reader
}

// batch reads a number of machines, or a share of them in percent.
func batch(into *Spec) inifile.KeyReader {
	number := inifile.Integer(&into.Batch, 1, maxBatch)
	return inifile.KeyReader{
		Want: number.Want + ", or more than 0% and at most 100%",
		Read: func(value string) bool {
			percent, ok := inifile.ParsePercent(value, math.SmallestNonzeroFloat64, 100)
			if !ok {
				return number.Read(value)
			}
			into.Batch, into.Share = 0, percent/100
			return true
		},
	}
}

// validate refuses values that contradict each other.
func (p *specParser) validate() {
	spec := &p.spec
	if !planName.MatchString(spec.Name) {
		p.addError("name = %q: a name of up to 40 lower-case letters, digits and hyphens", spec.Name)
	}
	if len(spec.Zones)+len(spec.Types)+len(spec.Machines) == 0 {
		p.addError("no machines are selected: zones, types or machines must be given")
	}
	if len(spec.Machines) > maxSelectedMachines {
		p.addError("machines: %d are named, %d may be", len(spec.Machines), maxSelectedMachines)
	}
	if spec.HealthS < spec.CheckS {
		p.addError("health_s = %v: a step could never be healthy, since check_s is %v", spec.HealthS, spec.CheckS)
	}
}
