package settings

import (
	"fmt"
	"maps"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestGoldenPlatformFile compares what is read of a platform's file that has every key, and of
// one that has only those without a starting value.
func TestGoldenPlatformFile(t *testing.T) {
	for _, name := range []string{"platform", "platform-least"} {
		t.Run(name, func(t *testing.T) {
			text := readFile(t, filepath.Join("testdata", "golden", name+".toml"))
			compareGolden(t, name+".txt", formatValues(platformValues(t, text)))
		})
	}
}

// TestGoldenPlatformKeys compares the list of a platform file's keys. Each must be in the
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
		seen[listIndex.ReplaceAllString(path, "")] = true
		set(differentValue(t, value))
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

// listIndex is the place of an item of a list in a key's path.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// walkTOML visits every value of a file with its path and a function that sets it.
func walkTOML(tree any, path string, visit func(path string, value any, set func(any))) {
	switch tree := tree.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(tree)) {
			below := strings.TrimPrefix(path+"."+key, ".")
			if isTable(tree[key]) {
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

func isTable(value any) bool {
	switch value.(type) {
	case map[string]any, []map[string]any:
		return true
	}
	return false
}

// differentValue gives a value of the same kind that is as valid.
func differentValue(t *testing.T, value any) any {
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
