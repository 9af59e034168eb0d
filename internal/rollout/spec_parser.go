package rollout

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"
)

// ErrPlan means that a plan can't be carried out as it is written.
var ErrPlan = errors.New("invalid plan")

var planName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

// maxSeconds bounds the durations of a plan.
const maxSeconds = 1e7

// defaultSpec has the values of the keys that a plan leaves out.
func defaultSpec() Spec {
	return Spec{Canary: 1, Batch: 1, WaitS: 600, CheckS: 15, HealthS: 600}
}

// specParser parses the keys of a plan's text and collects the errors in them.
type specParser struct {
	spec Spec
	errs []error
}

func (p *specParser) refuse(format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("%w: "+format, append([]any{ErrPlan}, args...)...))
}

// ParseSpec reads a plan's text, an INI file with the section [plan].
func ParseSpec(text string) (Spec, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	p := &specParser{spec: defaultSpec()}
	for _, section := range file.Sections() {
		switch {
		case section.Name() == "plan":
			for _, key := range section.Keys() {
				p.parse(key.Name(), strings.TrimSpace(key.Value()))
			}
		case len(section.Keys()) > 0:
			p.refuse("section [%s]: only [plan] is known", section.Name())
		}
	}
	p.check()
	return p.spec, errors.Join(p.errs...)
}

func (p *specParser) parse(key, value string) {
	spec := &p.spec
	switch key {
	case "name":
		spec.Name = value
	case "zones":
		spec.Zones = list(value)
	case "types":
		spec.Types = list(value)
	case "machines":
		spec.Machines = list(value)
	case "canary":
		p.wholeNumber(key, value, 0, maxBatch, &spec.Canary)
	case "batch":
		p.batch(value)
	case "surge":
		p.yesNo(key, value, &spec.Surge)
	case "wait_s":
		p.secondsValue(key, value, &spec.WaitS)
	case "check_s":
		p.secondsValue(key, value, &spec.CheckS)
	case "health_s":
		p.secondsValue(key, value, &spec.HealthS)
	case "deadline_s":
		p.secondsValue(key, value, &spec.DeadlineS)
	default:
		p.refuse("%s: a key that is not known", key)
	}
}

// list parses names separated by commas, sorted.
func list(value string) []string {
	var names []string
	for _, name := range strings.Split(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// batch parses a number of machines, or a share of them in percent.
func (p *specParser) batch(value string) {
	percent, isShare := strings.CutSuffix(value, "%")
	if !isShare {
		p.wholeNumber("batch", value, 1, maxBatch, &p.spec.Batch)
		return
	}
	share, err := strconv.ParseFloat(strings.TrimSpace(percent), 64)
	if err != nil || !(share > 0) || share > 100 {
		p.refuse("batch = %q: more than 0%% and at most 100%%", value)
		return
	}
	p.spec.Batch, p.spec.Share = 0, share/100
}

func (p *specParser) wholeNumber(key, value string, least, most int, into *int) {
	n, err := strconv.Atoi(value)
	if err != nil || n < least || n > most {
		p.refuse("%s = %q: a whole number from %d to %d", key, value, least, most)
		return
	}
	*into = n
}

func (p *specParser) secondsValue(key, value string, into *float64) {
	amount, err := strconv.ParseFloat(value, 64)
	if err != nil || !(amount >= 0) || amount > maxSeconds {
		p.refuse("%s = %q: a number of seconds from 0 to %.0f", key, value, float64(maxSeconds))
		return
	}
	*into = amount
}

func (p *specParser) yesNo(key, value string, into *bool) {
	switch value {
	case "yes", "no":
		*into = value == "yes"
	default:
		p.refuse("%s = %q: yes or no", key, value)
	}
}

// check refuses values that contradict each other.
func (p *specParser) check() {
	spec := &p.spec
	if !planName.MatchString(spec.Name) {
		p.refuse("name = %q: a name of up to 40 lower-case letters, digits and hyphens", spec.Name)
	}
	if len(spec.Zones)+len(spec.Types)+len(spec.Machines) == 0 {
		p.refuse("no machines are selected: zones, types or machines must be given")
	}
	if len(spec.Machines) > maxListed {
		p.refuse("machines: %d are named, %d may be", len(spec.Machines), maxListed)
	}
	if spec.HealthS < spec.CheckS {
		p.refuse("health_s = %v: a step could never be healthy, since check_s is %v", spec.HealthS, spec.CheckS)
	}
}
