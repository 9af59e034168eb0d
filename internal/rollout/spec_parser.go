package rollout

import (
	"errors"
	"fmt"
	"math"
	"regexp"

	"gopkg.in/ini.v1"

	"leadproxy/internal/inifile"
)

// ErrInvalidPlan means that a plan cannot be carried out as specified.
var ErrInvalidPlan = errors.New("invalid plan")

var planName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

// maxSeconds is the maximum of the durations of a plan.
const maxSeconds = 1e7

// defaultSpec returns the values of the keys that a plan omits.
func defaultSpec() Spec {
	return Spec{Canary: 1, Batch: 1, WaitS: 600, CheckS: 15, HealthS: 600}
}

// specParser parses the text of a plan and collects the errors in it.
type specParser struct {
	spec Spec
	errs []error
}

func (p *specParser) addError(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%w: "+format, append([]any{ErrInvalidPlan}, args...)...))
}

// ParseSpec parses a plan, which is an INI file with the section [plan]. The error joins all
// errors found; each wraps ErrInvalidPlan.
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
	for _, refusal := range refusals {
		p.addError("%s = %q: must be %s", refusal.Key, refusal.Value, refusal.Want)
	}
}

// durationSeconds returns a reader for a duration in seconds.
func durationSeconds(seconds *float64) inifile.KeyReader {
	reader := inifile.Number(seconds, 0, maxSeconds)
	reader.Want = fmt.Sprintf("a number of seconds from 0 to %.0f", float64(maxSeconds))
	return reader
}

// batch returns a reader for the batch size: a number of machines, or a percentage of the
// remaining ones.
func batch(spec *Spec) inifile.KeyReader {
	number := inifile.Integer(&spec.Batch, 1, maxBatch)
	return inifile.KeyReader{
		Want: number.Want + ", or more than 0% and at most 100%",
		Read: func(value string) bool {
			percent, ok := inifile.ParsePercent(value, math.SmallestNonzeroFloat64, 100)
			if !ok {
				return number.Read(value)
			}
			spec.Batch, spec.Share = 0, percent/100
			return true
		},
	}
}

// validate adds errors for missing values and for values that contradict each other.
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
