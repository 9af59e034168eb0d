package settings

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"leadproxy/internal/inifile"
	"leadproxy/internal/rollout"
)

// iniKey is a key of an INI file, with a value that differs from the example's, and a function that
// returns the key's value from the parsed file.
type iniKey[T any] struct {
	section, key, changedValue string
	parsedValue                func(T) any
}

func (k iniKey[T]) path() string { return "[" + k.section + "] " + k.key }

// neighbourOf returns a parsedValue function that applies read to the example's neighbour.
func neighbourOf(read func(Neighbour) any) func(Operator) any {
	return func(o Operator) any {
		if n, ok := o.Cells.Find("arequipa"); ok {
			return read(n)
		}
		return "no such neighbour"
	}
}

// budgetOf returns a parsedValue function that applies read to the budget of a group.
func budgetOf(group rollout.Group, read func(rollout.Budget) any) func(Operator) any {
	return func(o Operator) any {
		if b, ok := o.Rollouts.Budgets.ByGroup[group]; ok {
			return read(b)
		}
		return "no such budget"
	}
}

// repeatOf returns a parsedValue function for the key repeat of a class.
func repeatOf(class string) func(Operator) any {
	return func(o Operator) any {
		repeat, declared := o.Cells.Repeatable[class]
		return fmt.Sprintf("%v, declared %v", repeat, declared)
	}
}

func jobsOf(b rollout.Budget) any   { return b.Jobs }
func shareOf(b rollout.Budget) any  { return b.Share }
func windowOf(b rollout.Budget) any { return b.Window }

// operatorFileKeys lists all keys of the operators' file, with the sections of the example.
var operatorFileKeys = []iniKey[Operator]{
	{"leadership", "lease_s", "5", func(o Operator) any { return o.LeaderLease }},
	{"leadership", "margin_ms", "300", func(o Operator) any { return o.LeaseMargin }},
	{"placement", "c", "9", func(o Operator) any { return o.SlowFitC }},
	{"placement", "direct_starts", "yes", func(o Operator) any { return o.DirectStarts }},
	{"fleet", "idle_return_s", "90", func(o Operator) any { return o.IdleReturn }},
	{"fleet", "boot_patience", "9", func(o Operator) any { return o.BootPatience }},
	{"fleet", "warm_spread", "9", func(o Operator) any { return o.HeadroomSpread }},
	{"fleet", "max_machines", "9", func(o Operator) any { return o.MaxMachines }},
	{"metrics", "address", "9465", func(o Operator) any { return o.MetricsAddress }},
	{"cell", "name", "cusco", func(o Operator) any { return o.Cells.Name }},
	{"cell", "spill", "no", func(o Operator) any { return o.Cells.DelegateJobs }},
	{"cell", "shortage_s", "90", func(o Operator) any { return o.Cells.ShortageFor }},
	{"cell", "max_wait_s", "90", func(o Operator) any { return o.Cells.MaxWait }},
	{"cell", "trace_file", "another", func(o Operator) any { return o.Cells.TraceFile }},
	{"neighbour.arequipa", "controllers", "10.9.0.1:8081", neighbourOf(func(n Neighbour) any { return n.Controllers })},
	{"neighbour.arequipa", "preference", "9", neighbourOf(func(n Neighbour) any { return n.Preference })},
	{"neighbour.arequipa", "max_jobs", "9", neighbourOf(func(n Neighbour) any { return n.MaxJobs })},
	{"neighbour.arequipa", "max_cores", "9", neighbourOf(func(n Neighbour) any { return n.MaxCores })},
	{"neighbour.arequipa", "lend_cores", "9", neighbourOf(func(n Neighbour) any { return n.MaxOfferedCores })},
	{"neighbour.arequipa", "take_back_s", "90", neighbourOf(func(n Neighbour) any { return n.ReclaimAfter })},
	{"neighbour.arequipa", "drain", "no", neighbourOf(func(n Neighbour) any { return n.Draining })},
	{"class.statement-run", "repeat", "no", repeatOf("statement-run")},
	{"class.settle-window", "repeat", "yes", repeatOf("settle-window")},
	{"standby", "follow", "no", func(o Operator) any { return o.Standby.Follow }},
	{"standby", "hints", "no", func(o Operator) any { return o.Standby.SoftState }},
	{"standby", "max_mb", "9", func(o Operator) any { return o.Standby.MaxMB }},
	{"drain", "enabled", "no", func(o Operator) any { return o.Rollouts.Enabled }},
	{"budget", "jobs", "9", func(o Operator) any { return o.Rollouts.Budgets.TeamDefault.Jobs }},
	{"budget", "window_s", "90", func(o Operator) any { return o.Rollouts.Budgets.TeamDefault.Window }},
	{"budget.team.settlement", "share", "20%", budgetOf(rollout.TeamGroup("settlement"), shareOf)},
	{"budget.team.settlement", "window_s", "90", budgetOf(rollout.TeamGroup("settlement"), windowOf)},
	{"budget.class.fraud-scoring", "jobs", "9", budgetOf(rollout.ClassGroup("fraud-scoring"), jobsOf)},
	{"budget.class.fraud-scoring", "window_s", "90", budgetOf(rollout.ClassGroup("fraud-scoring"), windowOf)},
}

// planFileKeys lists all keys of the file of a plan that drains machines.
var planFileKeys = []iniKey[rollout.Spec]{
	{"plan", "name", "another", func(s rollout.Spec) any { return s.Name }},
	{"plan", "zones", "x, y", func(s rollout.Spec) any { return s.Zones }},
	{"plan", "types", "x, y", func(s rollout.Spec) any { return s.Types }},
	{"plan", "machines", "x, y", func(s rollout.Spec) any { return s.Machines }},
	{"plan", "canary", "9", func(s rollout.Spec) any { return s.Canary }},
	{"plan", "batch", "20%", func(s rollout.Spec) any { return fmt.Sprintf("%d machines, share %v", s.Batch, s.Share) }},
	{"plan", "surge", "no", func(s rollout.Spec) any { return s.Surge }},
	{"plan", "check_s", "90", func(s rollout.Spec) any { return s.CheckS }},
	{"plan", "health_s", "9000", func(s rollout.Spec) any { return s.HealthS }},
	{"plan", "wait_s", "90", func(s rollout.Spec) any { return s.WaitS }},
	{"plan", "deadline_s", "90000", func(s rollout.Spec) any { return s.DeadlineS }},
}

// TestGoldenOperatorFile compares the keys of the operators' file with the golden files: their
// defaults, the values that are read from an example with all keys and from the files in deploy,
// and which values they accept. It also checks that the list of keys is complete.
func TestGoldenOperatorFile(t *testing.T) {
	parse := func(text string) (Operator, error) { return ParseOperator("operator.ini", text) }
	checkINIKeys(t, "operator", operatorFileKeys, parse)
	var listed []string
	for _, k := range operatorFileKeys {
		listed = append(listed, k.section+"."+k.key)
	}
	for _, key := range scalarKeyNames() {
		if !slices.Contains(listed, key) {
			t.Errorf("%s is missing in operatorFileKeys", key)
		}
	}
	for _, name := range []string{"cells", "drain", "standby"} {
		compareParsedINI(t, "deploy-"+name+".txt", operatorFileKeys, parse, readFile(t, filepath.Join("..", "..", "deploy", name+".ini")))
	}
}

// TestGoldenPlanFile compares the keys of the file of a plan that drains machines in the same way.
func TestGoldenPlanFile(t *testing.T) {
	checkINIKeys(t, "drain-plan", planFileKeys, rollout.ParseSpec)
	compareParsedINI(t, "deploy-drain-plan.txt", planFileKeys, rollout.ParseSpec, readFile(t, filepath.Join("..", "..", "deploy", "drain-plan.ini")))
}

// compareParsedINI compares the values that are read from a file with a golden file.
func compareParsedINI[T any](t *testing.T, golden string, keys []iniKey[T], parse func(string) (T, error), text string) {
	t.Helper()
	parsed, err := parse(text)
	if err != nil {
		t.Fatalf("%s: %v", golden, err)
	}
	compareGolden(t, golden, formatValues(iniValues(keys, parsed)))
}

// checkINIKeys compares, for one kind of file, the values that are read from its example, the
// defaults and the values that its keys accept with the golden files. A change of a key's value
// must change the value that is read for this key and for no other, and an unknown key must be
// rejected.
func checkINIKeys[T any](t *testing.T, name string, keys []iniKey[T], parse func(string) (T, error)) {
	t.Helper()
	text := readFile(t, filepath.Join("testdata", "golden", name+".ini"))
	compareParsedINI(t, name+".txt", keys, parse, text)
	defaults, _ := parse("")
	compareGolden(t, name+"-defaults.txt", formatValues(iniValues(keys, defaults)))
	example, err := parse(text)
	if err != nil {
		t.Fatal(err)
	}
	before := iniValues(keys, example)
	accepted := map[string]string{}
	for _, k := range keys {
		changed, err := parse(replaceINI(t, text, k.section, k.key, k.key+" = "+k.changedValue))
		// Hints without follow are an error, but the values that were read are compared
		// nevertheless.
		if err != nil && k.path() != "[standby] follow" {
			t.Errorf("%s = %s: %v", k.path(), k.changedValue, err)
		}
		if differing := changedKeys(before, iniValues(keys, changed)); !slices.Equal(differing, []string{k.path()}) {
			t.Errorf("after a change of %s in the file, the values of %v differ, want only its own", k.path(), differing)
		}
		if _, err := parse(replaceINI(t, text, k.section, k.key, k.key+"x = "+k.changedValue)); err == nil {
			t.Errorf("%s: an unknown key is accepted in its place", k.path())
		}
		var values []string
		for _, value := range probeValues {
			if _, err := parse(replaceINI(t, text, k.section, k.key, k.key+" = "+value)); err == nil {
				values = append(values, value)
			}
		}
		accepted[k.path()] = strings.Join(values, " ")
	}
	compareGolden(t, name+"-accepts.txt", formatValues(accepted))
}

// probeValues are the values that are set for each key to find out which of them it accepts.
var probeValues = []string{"-1", "0", "0.5", "1", "1.5", "2.5", "4", "5", "9", "10", "49", "50", "60", "61", "100", "101", "500", "501", "1000", "1001",
	"3600", "3601", "86400", "86401", "100000", "1e6", "1e7", "1e9", "1e10", "0%", "0.5%", "100%", "101%", "yes", "no", "none", "true", "on", "10.9.0.1:8081", "a,b", "A", "NaN"}

// iniValues returns the values of the keys in a parsed file, by the paths of the keys.
func iniValues[T any](keys []iniKey[T], parsed T) map[string]string {
	values := map[string]string{}
	for _, k := range keys {
		values[k.path()] = fmt.Sprintf("%v", k.parsedValue(parsed))
	}
	return values
}

// replaceINI returns the text with another line in place of the line of a key.
func replaceINI(t *testing.T, text, section, key, newLine string) string {
	t.Helper()
	lines := strings.Split(text, "\n")
	lineNumber := inifile.LineOf(text, section, key)
	if lineNumber == 0 {
		t.Fatalf("the example has no %s in [%s]", key, section)
	}
	lines[lineNumber-1] = newLine
	return strings.Join(lines, "\n")
}
