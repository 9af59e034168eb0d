package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"leadproxy/internal/rollout"
)

// Drain is whether plans that drain machines are carried out, and what they may disrupt.
type Drain struct {
	Enabled bool
	Budgets rollout.Budgets
}

// The sections of the file.
const (
	drainSection   = "drain"
	budgetSection  = "budget"
	teamBudgets    = "budget.team."
	classBudgets   = "budget.class."
	noDisruption   = "none"
	defaultWindow  = time.Minute
	mostBudgetJobs = 1e6
)

func defaultDrain() Drain {
	return Drain{Budgets: rollout.Budgets{General: rollout.Budget{Jobs: 1, Window: defaultWindow}, Of: map[rollout.Group]rollout.Budget{}}}
}

// isDrain tells whether a section is about draining.
func isDrain(section string) bool {
	return section == drainSection || section == budgetSection || strings.HasPrefix(section, budgetSection+".")
}

// readDrain reads the sections about draining and its budgets.
func readDrain(path, text string, f *ini.File) (Drain, []error) {
	d := defaultDrain()
	r := &sectionReader{path: path, text: text}
	if f.HasSection(drainSection) {
		r.each(f.Section(drainSection), map[string]func(string) string{"enabled": flag(&d.Enabled)})
	}
	if f.HasSection(budgetSection) {
		d.Budgets.General = r.budget(f.Section(budgetSection), d.Budgets.General)
	}
	for _, s := range f.Sections() {
		team, isTeam := strings.CutPrefix(s.Name(), teamBudgets)
		class, isClass := strings.CutPrefix(s.Name(), classBudgets)
		switch {
		case isTeam && team != "":
			d.Budgets.Of[rollout.TeamGroup(team)] = r.budget(s, d.Budgets.General)
		case isClass && class != "":
			d.Budgets.Of[rollout.ClassGroup(class)] = r.budget(s, d.Budgets.General)
		case strings.HasPrefix(s.Name(), budgetSection+"."):
			r.fail(s.Name(), "", s.Name(), "[budget.team.NAME] or [budget.class.NAME]")
		}
	}
	return d, r.errs
}

// budget reads one budget; what it does not say is the general one's.
func (r *sectionReader) budget(s *ini.Section, b rollout.Budget) rollout.Budget {
	r.each(s, map[string]func(string) string{
		"jobs":     func(v string) string { return readBudgetJobs(v, &b) },
		"share":    func(v string) string { return readBudgetShare(v, &b) },
		"window_s": duration(&b.Window, 0, 86400),
	})
	// HasKey would look into [budget] as well.
	if own := s.KeyStrings(); slices.Contains(own, "jobs") && slices.Contains(own, "share") {
		r.fail(s.Name(), "share", s.Key("share").Value(), "either jobs or share")
	}
	return b
}

func readBudgetJobs(v string, b *rollout.Budget) string {
	if v == noDisruption {
		b.Jobs, b.Share = 0, 0
		return ""
	}
	var n float64
	if number(v, &n, 1, mostBudgetJobs) != "" || n != float64(int(n)) {
		return "a whole number from 1, or none: then no plan ever moves these jobs"
	}
	b.Jobs, b.Share = int(n), 0
	return ""
}

func readBudgetShare(v string, b *rollout.Budget) string {
	percent, ok := strings.CutSuffix(v, "%")
	var n float64
	if !ok || number(strings.TrimSpace(percent), &n, 0.01, 100) != "" {
		return "more than 0% and at most 100%"
	}
	b.Jobs, b.Share = 0, n/100
	return ""
}

// CheckDrain tells of budgets for teams that the platform does not know.
func CheckDrain(p *Platform, o Operator) error {
	for group := range o.Drain.Budgets.Of {
		team, ok := strings.CutPrefix(string(group), "team ")
		if ok && !slices.ContainsFunc(p.Facts.Teams, func(t Team) bool { return t.Name == team }) {
			return fmt.Errorf("[%s%s]: the platform has no team of that name", teamBudgets, team)
		}
	}
	return nil
}
