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

// Rollouts configures rollouts, which are plans that drain and replace machines. Enabled allows
// plans to be executed, and Budgets limits how many jobs they may disrupt at once.
type Rollouts struct {
	Enabled bool
	Budgets rollout.Budgets
}

// The names and name prefixes of the sections that configure rollouts.
const (
	rolloutSection      = "drain"
	budgetSection       = "budget"
	teamBudgetPrefix    = "budget.team."
	classBudgetPrefix   = "budget.class."
	budgetSectionPrefix = budgetSection + "."
)

const (
	noDisruption        = "none" // value of jobs: plans may not disrupt any job
	defaultBudgetWindow = time.Minute
	maxBudgetJobs       = 1e6
)

// defaultRollouts returns the settings without any section about rollouts: they are disabled, and
// each team has a budget of one job.
func defaultRollouts() Rollouts {
	return Rollouts{Budgets: rollout.Budgets{
		TeamDefault: rollout.Budget{Jobs: 1, Window: defaultBudgetWindow},
		ByGroup:     map[rollout.Group]rollout.Budget{},
	}}
}

// isRolloutSection reports whether a section configures rollouts.
func isRolloutSection(section string) bool {
	return section == rolloutSection || section == budgetSection || strings.HasPrefix(section, budgetSectionPrefix)
}

// readRollouts reads the sections that configure rollouts and their disruption budgets.
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

// readBudget reads one budget. A key that is missing in the section keeps its value in the given
// budget.
func (r *sectionReader) readBudget(section *ini.Section, budget rollout.Budget) rollout.Budget {
	r.readKeys(section, inifile.Keys{
		"jobs":     budgetJobs(&budget),
		"share":    budgetShare(&budget),
		"window_s": inifile.Seconds(&budget.Window, 0, 86400),
	})
	// KeyStrings lists the section's own keys. HasKey would also find those of the parent [budget].
	if ownKeys := section.KeyStrings(); slices.Contains(ownKeys, "jobs") && slices.Contains(ownKeys, "share") {
		r.addError(section.Name(), "share", section.Key("share").Value(), "either jobs or share")
	}
	return budget
}

// budgetJobs reads a budget that is a number of jobs.
func budgetJobs(budget *rollout.Budget) inifile.KeyReader {
	return inifile.KeyReader{Want: "a whole number from 1, or none: then no plan ever moves these jobs", Read: func(value string) bool {
		if value == noDisruption {
			budget.Jobs, budget.Share = 0, 0
			return true
		}
		jobs, ok := inifile.ParseWholeNumber(value, 1, maxBudgetJobs)
		if ok {
			budget.Jobs, budget.Share = jobs, 0
		}
		return ok
	}}
}

// budgetShare reads a budget that is a percentage of the group's running jobs.
func budgetShare(budget *rollout.Budget) inifile.KeyReader {
	return inifile.KeyReader{Want: "more than 0% and at most 100%", Read: func(value string) bool {
		percent, ok := inifile.ParsePercent(value, 0.01, 100)
		if ok {
			budget.Jobs, budget.Share = 0, percent/100
		}
		return ok
	}}
}

// CheckBudgets returns an ErrConflict if a budget is of a team that the platform's file does not
// name.
func CheckBudgets(platform *Platform, operator Operator) error {
	for group := range operator.Rollouts.Budgets.ByGroup {
		name, isTeam := group.Team()
		if isTeam && !slices.ContainsFunc(platform.Facts.Teams, func(t Team) bool { return t.Name == name }) {
			return fmt.Errorf("%w: [%s%s]: the platform has no team of that name", ErrConflict, teamBudgetPrefix, name)
		}
	}
	return nil
}
