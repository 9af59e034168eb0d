package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"leadproxy/internal/inifile"
	"leadproxy/internal/rollout"
)

// Rollouts configures rollouts, the plans that drain and replace machines: whether they are carried
// out, and which jobs they may disrupt.
type Rollouts struct {
	Enabled bool
	Budgets rollout.Budgets
}

// The sections about rollouts.
const (
	rolloutSection      = "drain"
	budgetSection       = "budget"
	teamBudgetPrefix    = "budget.team."
	classBudgetPrefix   = "budget.class."
	budgetSectionPrefix = budgetSection + "."
)

const (
	noDisruption        = "none"
	defaultBudgetWindow = time.Minute
	maxBudgetJobs       = 1e6
)

func defaultRollouts() Rollouts {
	return Rollouts{Budgets: rollout.Budgets{
		TeamDefault: rollout.Budget{Jobs: 1, Window: defaultBudgetWindow},
		ByGroup:     map[rollout.Group]rollout.Budget{},
	}}
}

// isRolloutSection reports whether a section is about rollouts.
func isRolloutSection(section string) bool {
	return section == rolloutSection || section == budgetSection || strings.HasPrefix(section, budgetSectionPrefix)
}

// readRollouts reads the sections about rollouts and their disruption budgets.
func readRollouts(path, text string, file *ini.File) (Rollouts, []error) {
	rollouts := defaultRollouts()
	r := &sectionReader{path: path, text: text}
	if file.HasSection(rolloutSection) {
		r.readKeys(file.Section(rolloutSection), inifile.Keys{"enabled": inifile.YesNo(&rollouts.Enabled)})
	}
	if file.HasSection(budgetSection) {
		rollouts.Budgets.TeamDefault = r.readBudget(file.Section(budgetSection), rollouts.Budgets.TeamDefault)
	}
	for _, section := range file.Sections() {
		name := section.Name()
		team, isTeam := strings.CutPrefix(name, teamBudgetPrefix)
		class, isClass := strings.CutPrefix(name, classBudgetPrefix)
		switch {
		case isTeam && team != "":
			rollouts.Budgets.ByGroup[rollout.TeamGroup(team)] = r.readBudget(section, rollouts.Budgets.TeamDefault)
		case isClass && class != "":
			rollouts.Budgets.ByGroup[rollout.ClassGroup(class)] = r.readBudget(section, rollouts.Budgets.TeamDefault)
		case strings.HasPrefix(name, budgetSectionPrefix):
			r.addError(name, "", name, "[budget.team.NAME] or [budget.class.NAME]")
		}
	}
	return rollouts, r.errs
}

// readBudget reads one budget. Keys that it leaves out keep the values of the given one.
func (r *sectionReader) readBudget(section *ini.Section, budget rollout.Budget) rollout.Budget {
	r.readKeys(section, inifile.Keys{
		"jobs":     budgetJobs(&budget),
		"share":    budgetShare(&budget),
		"window_s": inifile.Seconds(&budget.Window, 0, 86400),
	})
	// HasKey would look into [budget] as well.
	if own := section.KeyStrings(); slices.Contains(own, "jobs") && slices.Contains(own, "share") {
		r.addError(section.Name(), "share", section.Key("share").Value(), "either jobs or share")
	}
	return budget
}

// budgetJobs reads a budget as a number of jobs.
func budgetJobs(into *rollout.Budget) inifile.KeyReader {
	return inifile.KeyReader{Want: "a whole number from 1, or none: then no plan ever moves these jobs", Read: func(value string) bool {
		if value == noDisruption {
			into.Jobs, into.Share = 0, 0
			return true
		}
		jobs, ok := inifile.ParseWholeNumber(value, 1, maxBudgetJobs)
		if ok {
			into.Jobs, into.Share = jobs, 0
		}
		return ok
	}}
}

// budgetShare reads a budget as a share of the group's running jobs.
func budgetShare(into *rollout.Budget) inifile.KeyReader {
	return inifile.KeyReader{Want: "more than 0% and at most 100%", Read: func(value string) bool {
		percent, ok := inifile.ParsePercent(value, 0.01, 100)
		if ok {
			into.Jobs, into.Share = 0, percent/100
		}
		return ok
	}}
}

// CheckBudgets refuses budgets of teams that the platform's file does not have.
func CheckBudgets(platform *Platform, operator Operator) error {
	for group := range operator.Rollouts.Budgets.ByGroup {
		name, isTeam := group.Team()
		if isTeam && !slices.ContainsFunc(platform.Facts.Teams, func(t Team) bool { return t.Name == name }) {
			return fmt.Errorf("%w: [%s%s]: the platform has no team of that name", ErrConflict, teamBudgetPrefix, name)
		}
	}
	return nil
}
