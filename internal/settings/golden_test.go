package settings

import (
	commandline "flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"leadproxy/internal/rollout"
)

var updateSettings = commandline.Bool("update-settings", false, "write the golden files of the settings anew")

// compareGolden compares lines with a file of testdata/golden, byte for byte.
func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", "golden", name)
	if *updateSettings {
		if err := os.WriteFile(path, []byte(got), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	if want := readFile(t, path); got != want {
		t.Errorf("differs from %s; now:\n%s", path, got)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// printed lists values by key, sorted.
func printed(values map[string]string) []string {
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(values)) {
		lines = append(lines, key+" = "+values[key])
	}
	return lines
}

// changedKeys lists the keys whose values differ.
func changedKeys(a, b map[string]string) []string {
	var keys []string
	for key := range a {
		if value, ok := b[key]; !ok || value != a[key] {
			keys = append(keys, key)
		}
	}
	for key := range b {
		if _, ok := a[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// TestGoldenPlatformFile compares what is read of a platform's file that has every key, and of
// one that has only those without a starting value.
func TestGoldenPlatformFile(t *testing.T) {
	for _, name := range []string{"platform", "platform-least"} {
		t.Run(name, func(t *testing.T) {
			text := readFile(t, filepath.Join("testdata", "golden", name+".toml"))
			compareGolden(t, name+".txt", printed(platformValues(t, text)))
		})
	}
}

// TestGoldenPlatformKeys compares the list of a platform file's keys. Each must stand in the
// complete example, and changing its value there must change what is read of that key alone.
func TestGoldenPlatformKeys(t *testing.T) {
	text := readFile(t, filepath.Join("testdata", "golden", "platform.toml"))
	before := platformValues(t, text)
	known := tomlKeys(t, reflect.TypeFor[Platform](), "")
	slices.Sort(known)
	compareGolden(t, "platform-keys.txt", known)

	var tree map[string]any
	if _, err := toml.Decode(text, &tree); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	walkTOML(tree, "", func(path string, value any, set func(any)) {
		seen[index.ReplaceAllString(path, "")] = true
		set(another(t, value))
		var changed strings.Builder
		if err := toml.NewEncoder(&changed).Encode(tree); err != nil {
			t.Fatal(err)
		}
		set(value)
		if keys := changedKeys(before, platformValues(t, changed.String())); !slices.Equal(keys, []string{path}) {
			t.Errorf("%s is changed in the file: what is read differs in %v", path, keys)
		}
	})
	if inExample := slices.Sorted(maps.Keys(seen)); !slices.Equal(inExample, known) {
		t.Errorf("the example has the keys\n%v\nand known are\n%v", inExample, known)
	}
}

// index is the place of an item of a list in a key's path.
var index = regexp.MustCompile(`\[\d+\]`)

// walkTOML hands over every single value of a file with its path and a way to set it.
func walkTOML(tree any, path string, visit func(path string, value any, set func(any))) {
	switch tree := tree.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(tree)) {
			below := strings.TrimPrefix(path+"."+key, ".")
			if isTree(tree[key]) {
				walkTOML(tree[key], below, visit)
				continue
			}
			visit(below, tree[key], func(value any) { tree[key] = value })
		}
	case []map[string]any:
		for i := range tree {
			walkTOML(tree[i], fmt.Sprintf("%s[%d]", path, i), visit)
		}
	}
}

func isTree(value any) bool {
	switch value.(type) {
	case map[string]any, []map[string]any:
		return true
	}
	return false
}

// another gives a value of the same kind that is as valid.
func another(t *testing.T, value any) any {
	t.Helper()
	switch value := value.(type) {
	case string:
		if strings.Contains(value, "1") {
			return strings.ReplaceAll(value, "1", "7")
		}
		return value + "9"
	case int64:
		return value + 1
	case float64:
		return value + 0.25
	case []any:
		return append(slices.Clone(value), "another")
	}
	t.Fatalf("no other value for %v", value)
	return nil
}

// platformValues reads a platform file and gives its values by the paths of their keys.
func platformValues(t *testing.T, text string) map[string]string {
	t.Helper()
	p, err := ParsePlatform("platform.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	addValues(values, reflect.ValueOf(*p), "")
	return values
}

func addValues(values map[string]string, v reflect.Value, path string) {
	switch {
	case v.Kind() == reflect.Pointer && v.IsNil():
		values[path] = "none"
	case v.Kind() == reflect.Pointer:
		addValues(values, v.Elem(), path)
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			addValues(values, v.Field(i), strings.TrimPrefix(path+"."+v.Type().Field(i).Tag.Get("toml"), "."))
		}
	case v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct:
		for i := range v.Len() {
			addValues(values, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
		}
	default:
		values[path] = fmt.Sprintf("%#v", v.Interface())
	}
}

// tomlKeys lists the paths of all keys by the tags. Limits that will hold later have no later
// ones of their own, which ends the recursion.
func tomlKeys(t *testing.T, of reflect.Type, path string) []string {
	t.Helper()
	for of.Kind() == reflect.Pointer || of.Kind() == reflect.Slice && of.Elem().Kind() == reflect.Struct {
		of = of.Elem()
	}
	if of.Kind() != reflect.Struct {
		return []string{path}
	}
	var keys []string
	for i := range of.NumField() {
		field := of.Field(i)
		tag := field.Tag.Get("toml")
		if tag == "" {
			t.Errorf("below %q there is a field without a key", path)
		}
		if field.Type == reflect.PointerTo(of) && strings.HasSuffix(path, "."+tag) {
			continue
		}
		keys = append(keys, tomlKeys(t, field.Type, strings.TrimPrefix(path+"."+tag, "."))...)
	}
	return keys
}

// iniKey is a key of an INI file: its path, another value than the example's, and what was read
// of it.
type iniKey[T any] struct {
	section, key, other string
	read                func(T) any
}

func (k iniKey[T]) path() string { return "[" + k.section + "] " + k.key }

// neighbourOf reads one thing of the example's neighbour, if it is there.
func neighbourOf(read func(Neighbour) any) func(Operator) any {
	return func(o Operator) any {
		if n, ok := o.Cells.Find("arequipa"); ok {
			return read(n)
		}
		return "no such neighbour"
	}
}

// budgetOf reads one thing of a group's budget, if it has one.
func budgetOf(group rollout.Group, read func(rollout.Budget) any) func(Operator) any {
	return func(o Operator) any {
		if b, ok := o.Drain.Budgets.Of[group]; ok {
			return read(b)
		}
		return "no such budget"
	}
}

func repeatOf(class string) func(Operator) any {
	return func(o Operator) any {
		repeat, declared := o.Cells.Repeatable[class]
		return fmt.Sprintf("%v, declared %v", repeat, declared)
	}
}

func budgetJobs(b rollout.Budget) any   { return b.Jobs }
func budgetShare(b rollout.Budget) any  { return b.Share }
func budgetWindow(b rollout.Budget) any { return b.Window }

// operatorFileKeys are all keys of the operators' file, as they stand in the example.
var operatorFileKeys = []iniKey[Operator]{
	{"leadership", "lease_s", "5", func(o Operator) any { return o.LeaderLease }},
	{"leadership", "margin_ms", "300", func(o Operator) any { return o.LeaseMargin }},
	{"placement", "c", "9", func(o Operator) any { return o.SlowFitC }},
	{"fleet", "idle_return_s", "90", func(o Operator) any { return o.IdleReturn }},
	{"fleet", "boot_patience", "9", func(o Operator) any { return o.BootPatience }},
	{"fleet", "warm_spread", "9", func(o Operator) any { return o.HeadroomSpread }},
	{"fleet", "max_machines", "9", func(o Operator) any { return o.MaxMachines }},
	{"cell", "name", "cusco", func(o Operator) any { return o.Cells.Name }},
	{"cell", "spill", "no", func(o Operator) any { return o.Cells.Spill }},
	{"cell", "shortage_s", "90", func(o Operator) any { return o.Cells.ShortageFor }},
	{"cell", "max_wait_s", "90", func(o Operator) any { return o.Cells.MaxWait }},
	{"cell", "trace_file", "another", func(o Operator) any { return o.Cells.TraceFile }},
	{"neighbour.arequipa", "controllers", "10.9.0.1:8081", neighbourOf(func(n Neighbour) any { return n.Controllers })},
	{"neighbour.arequipa", "preference", "9", neighbourOf(func(n Neighbour) any { return n.Preference })},
	{"neighbour.arequipa", "max_jobs", "9", neighbourOf(func(n Neighbour) any { return n.MaxJobs })},
	{"neighbour.arequipa", "max_cores", "9", neighbourOf(func(n Neighbour) any { return n.MaxCores })},
	{"neighbour.arequipa", "lend_cores", "9", neighbourOf(func(n Neighbour) any { return n.LendCores })},
	{"neighbour.arequipa", "take_back_s", "90", neighbourOf(func(n Neighbour) any { return n.TakeBack })},
	{"neighbour.arequipa", "drain", "no", neighbourOf(func(n Neighbour) any { return n.Drain })},
	{"class.statement-run", "repeat", "no", repeatOf("statement-run")},
	{"class.settle-window", "repeat", "yes", repeatOf("settle-window")},
	{"standby", "follow", "no", func(o Operator) any { return o.Standby.Follow }},
	{"standby", "hints", "no", func(o Operator) any { return o.Standby.Hints }},
	{"standby", "max_mb", "9", func(o Operator) any { return o.Standby.MaxMB }},
	{"drain", "enabled", "no", func(o Operator) any { return o.Drain.Enabled }},
	{"budget", "jobs", "9", func(o Operator) any { return o.Drain.Budgets.General.Jobs }},
	{"budget", "window_s", "90", func(o Operator) any { return o.Drain.Budgets.General.Window }},
	{"budget.team.settlement", "share", "20%", budgetOf(rollout.TeamGroup("settlement"), budgetShare)},
	{"budget.team.settlement", "window_s", "90", budgetOf(rollout.TeamGroup("settlement"), budgetWindow)},
	{"budget.class.fraud-scoring", "jobs", "9", budgetOf(rollout.ClassGroup("fraud-scoring"), budgetJobs)},
	{"budget.class.fraud-scoring", "window_s", "90", budgetOf(rollout.ClassGroup("fraud-scoring"), budgetWindow)},
}

// planFileKeys are all keys of a plan that drains machines.
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

// TestGoldenOperatorFile compares the keys of the operators' file: their defaults, what is read
// of an example that has them all and of the files of deploy, and which values they accept.
func TestGoldenOperatorFile(t *testing.T) {
	parse := func(text string) (Operator, error) { return ParseOperator("operator.ini", text) }
	checkINI(t, "operator", operatorFileKeys, parse)
	var listed []string
	for _, k := range operatorFileKeys {
		listed = append(listed, k.section+"."+k.key)
	}
	for _, key := range keyNames() {
		if !slices.Contains(listed, key) {
			t.Errorf("%s is missing in the list of keys", key)
		}
	}
	for _, name := range []string{"cells", "drain", "standby"} {
		compareINI(t, "deploy-"+name+".txt", operatorFileKeys, parse, readFile(t, filepath.Join("..", "..", "deploy", name+".ini")))
	}
}

// TestGoldenPlanFile does the same for plans that drain machines.
func TestGoldenPlanFile(t *testing.T) {
	checkINI(t, "drain-plan", planFileKeys, rollout.ParseSpec)
	compareINI(t, "deploy-drain-plan.txt", planFileKeys, rollout.ParseSpec, readFile(t, filepath.Join("..", "..", "deploy", "drain-plan.ini")))
}

// compareINI compares what is read of a file.
func compareINI[T any](t *testing.T, golden string, keys []iniKey[T], parse func(string) (T, error), text string) {
	t.Helper()
	read, err := parse(text)
	if err != nil {
		t.Fatalf("%s: %v", golden, err)
	}
	compareGolden(t, golden, printed(iniValues(keys, read)))
}

// checkINI compares the example of a kind of file, what is read of it, and which values its keys
// accept. Changing a key's value must change what is read of that key alone, and a key of
// another name must be refused.
func checkINI[T any](t *testing.T, name string, keys []iniKey[T], parse func(string) (T, error)) {
	t.Helper()
	text := readFile(t, filepath.Join("testdata", "golden", name+".ini"))
	compareINI(t, name+".txt", keys, parse, text)
	defaults, _ := parse("")
	compareGolden(t, name+"-defaults.txt", printed(iniValues(keys, defaults)))
	example, err := parse(text)
	if err != nil {
		t.Fatal(err)
	}
	before := iniValues(keys, example)
	accepted := map[string]string{}
	for _, k := range keys {
		changed, err := parse(replaceINI(t, text, k.section, k.key, k.key+" = "+k.other))
		// Hints without follow are an error; what is read is compared all the same.
		if err != nil && k.path() != "[standby] follow" {
			t.Errorf("%s = %s: %v", k.path(), k.other, err)
		}
		if differs := changedKeys(before, iniValues(keys, changed)); !slices.Equal(differs, []string{k.path()}) {
			t.Errorf("%s is changed in the file: what is read differs in %v", k.path(), differs)
		}
		if _, err := parse(replaceINI(t, text, k.section, k.key, k.key+"x = "+k.other)); err == nil {
			t.Errorf("%s: a key of another name is not refused", k.path())
		}
		var values []string
		for _, value := range probes {
			if _, err := parse(replaceINI(t, text, k.section, k.key, k.key+" = "+value)); err == nil {
				values = append(values, value)
			}
		}
		accepted[k.path()] = strings.Join(values, " ")
	}
	compareGolden(t, name+"-accepts.txt", printed(accepted))
}

// probes are values that each key is tried with.
var probes = []string{"-1", "0", "0.5", "1", "1.5", "2.5", "4", "5", "9", "10", "49", "50", "60", "61", "100", "101", "500", "501", "1000", "1001",
	"3600", "3601", "86400", "86401", "100000", "1e6", "1e7", "1e9", "1e10", "0%", "0.5%", "100%", "101%", "yes", "no", "none", "true", "on", "10.9.0.1:8081", "a,b", "A", "NaN"}

func iniValues[T any](keys []iniKey[T], read T) map[string]string {
	values := map[string]string{}
	for _, k := range keys {
		values[k.path()] = fmt.Sprintf("%v", k.read(read))
	}
	return values
}

// replaceINI replaces the line of a key in a section.
func replaceINI(t *testing.T, text, section, key, line string) string {
	t.Helper()
	lines := strings.Split(text, "\n")
	n := lineOf(text, section, key)
	if n == 0 {
		t.Fatalf("the example has no %s in [%s]", key, section)
	}
	lines[n-1] = line
	return strings.Join(lines, "\n")
}
