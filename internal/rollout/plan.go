package rollout

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// RecordVersion is that of a plan's record. Others are refused.
const RecordVersion = 1

// The bounds of a plan.
const (
	maxListed = 200 // machines that are named one by one
	maxBatch  = 100 // machines of a batch, so that the record fits a value
	maxMoves  = 60  // moves of a record
	maxNamed  = 40  // jobs that are allowed, and machines that are skipped
)

// Spec is what an operator asks for. It is never changed once the plan is accepted.
type Spec struct {
	Name string `json:"name"`
	// The selector: all that is given must hold of a machine.
	Zones    []string `json:"zones,omitempty"`
	Types    []string `json:"types,omitempty"`
	Machines []string `json:"machines,omitempty"`
	// Canary is how many machines the first step takes. The others take Batch, or, if that
	// is 0, Share of what is left.
	Canary int     `json:"canary"`
	Batch  int     `json:"batch,omitempty"`
	Share  float64 `json:"share,omitempty"`
	// Surge has as many machines hired before a step's are drained.
	Surge bool `json:"surge,omitempty"`
	// WaitS is how long a task that can't be moved without loss is left to end before the
	// operator is asked, CheckS how long replacements must have been heard of, HealthS how
	// long a step may take to be healthy again, and DeadlineS how long the plan may take.
	WaitS     float64 `json:"wait_s"`
	CheckS    float64 `json:"check_s"`
	HealthS   float64 `json:"health_s"`
	DeadlineS float64 `json:"deadline_s,omitempty"`
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// ErrPlan means that a plan can't be carried out as it is written.
var ErrPlan = errors.New("invalid plan")

var planName = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,38}[a-z0-9])?$`)

// defaultSpec is a plan that says only which machines.
func defaultSpec() Spec {
	return Spec{Canary: 1, Batch: 1, WaitS: 600, CheckS: 15, HealthS: 600}
}

// planReader reads the keys of a plan's text and gathers what is wrong.
type planReader struct {
	spec Spec
	errs []error
}

func (r *planReader) fail(format string, args ...any) {
	r.errs = append(r.errs, fmt.Errorf("%w: "+format, append([]any{ErrPlan}, args...)...))
}

// ParseSpec reads a plan's text, an INI file with the section [plan].
func ParseSpec(text string) (Spec, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, []byte(text))
	if err != nil {
		return Spec{}, fmt.Errorf("%w: %w", ErrPlan, err)
	}
	r := &planReader{spec: defaultSpec()}
	for _, s := range f.Sections() {
		switch {
		case s.Name() == "plan":
			for _, k := range s.Keys() {
				r.read(k.Name(), strings.TrimSpace(k.Value()))
			}
		case len(s.Keys()) > 0:
			r.fail("section [%s]: only [plan] is known", s.Name())
		}
	}
	r.check()
	return r.spec, errors.Join(r.errs...)
}

func (r *planReader) read(key, value string) {
	s := &r.spec
	switch key {
	case "name":
		s.Name = value
	case "zones":
		s.Zones = list(value)
	case "types":
		s.Types = list(value)
	case "machines":
		s.Machines = list(value)
	case "canary":
		r.whole(key, value, 0, maxBatch, &s.Canary)
	case "batch":
		r.batch(value)
	case "surge":
		r.flag(key, value, &s.Surge)
	case "wait_s":
		r.amount(key, value, &s.WaitS)
	case "check_s":
		r.amount(key, value, &s.CheckS)
	case "health_s":
		r.amount(key, value, &s.HealthS)
	case "deadline_s":
		r.amount(key, value, &s.DeadlineS)
	default:
		r.fail("%s: a key that is not known", key)
	}
}

// list reads names separated by commas.
func list(value string) (names []string) {
	for _, name := range strings.Split(value, ",") {
		if name = strings.TrimSpace(name); name != "" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// batch reads a number of machines, or a share of them in percent.
func (r *planReader) batch(value string) {
	percent, isShare := strings.CutSuffix(value, "%")
	if !isShare {
		r.whole("batch", value, 1, maxBatch, &r.spec.Batch)
		return
	}
	v, err := strconv.ParseFloat(strings.TrimSpace(percent), 64)
	if err != nil || !(v > 0) || v > 100 {
		r.fail("batch = %q: more than 0%% and at most 100%%", value)
		return
	}
	r.spec.Batch, r.spec.Share = 0, v/100
}

func (r *planReader) whole(key, value string, least, most int, to *int) {
	n, err := strconv.Atoi(value)
	if err != nil || n < least || n > most {
		r.fail("%s = %q: a whole number from %d to %d", key, value, least, most)
		return
	}
	*to = n
}

func (r *planReader) amount(key, value string, to *float64) {
	v, err := strconv.ParseFloat(value, 64)
	if err != nil || !(v >= 0) || v > 1e7 {
		r.fail("%s = %q: a number of seconds from 0 to 10000000", key, value)
		return
	}
	*to = v
}

func (r *planReader) flag(key, value string, to *bool) {
	switch value {
	case "yes", "no":
		*to = value == "yes"
	default:
		r.fail("%s = %q: yes or no", key, value)
	}
}

func (r *planReader) check() {
	s := &r.spec
	if !planName.MatchString(s.Name) {
		r.fail("name = %q: a name of up to 40 lower-case letters, digits and hyphens", s.Name)
	}
	if len(s.Zones)+len(s.Types)+len(s.Machines) == 0 {
		r.fail("no machines are selected: zones, types or machines must be given")
	}
	if len(s.Machines) > maxListed {
		r.fail("machines: %d are named, %d may be", len(s.Machines), maxListed)
	}
	if s.HealthS < s.CheckS {
		r.fail("health_s = %v: a step could never be healthy, since check_s is %v", s.HealthS, s.CheckS)
	}
}

// Selects tells whether the plan is about a machine, if that was there before it.
func (s *Spec) Selects(name, machineType, zone string) bool {
	matches := func(names []string, name string) bool { return names == nil || slices.Contains(names, name) }
	return matches(s.Zones, zone) && matches(s.Types, machineType) && matches(s.Machines, name)
}

// size is how many machines the next step takes of what is left.
func (s *Spec) size(step, left int) int {
	n := s.Batch
	switch {
	case step == 0 && s.Canary > 0:
		n = s.Canary
	case s.Share > 0:
		n = int(s.Share * float64(left))
	}
	return min(max(n, 1), maxBatch, left)
}
