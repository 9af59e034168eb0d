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

// TestGoldenPlatformFile compares the values that are read from a platform file with every key, and
// from one with only the keys that have no default, with the golden files.
func TestGoldenPlatformFile(t *testing.T) {
	for _, name := range []string{"platform", "platform-least"} {
		t.Run(name, func(t *testing.T) {
			text := readFile(t, filepath.Join("testdata", "golden", name+".toml"))
			compareGolden(t, name+".txt", formatValues(platformValues(t, text)))
		})
	}
}

// TestGoldenPlatformKeys compares the list of the platform file's keys with the golden file. Each
// key must be in the complete example, and a change of its value there must change the value that
// is read for this key and for no other.
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
			t.Errorf("after a change of %s in the file, the values of %v differ, want only its own", path, keys)
		}
	})
	if exampleKeys := slices.Sorted(maps.Keys(seen)); !slices.Equal(exampleKeys, known) {
		t.Errorf("the example has the keys\n%v\nwant all known keys\n%v", exampleKeys, known)
	}
}

// listIndex matches the index of a list item in the path of a key.
var listIndex = regexp.MustCompile(`\[\d+\]`)

// walkTOML calls visit for every value below tree, with its path and a function that sets it.
// Tables and lists of tables are not values.
func walkTOML(tree any, path string, visit func(path string, value any, set func(any))) {
	switch tree := tree.(type) {
	case map[string]any:
		for _, key := range slices.Sorted(maps.Keys(tree)) {
			childPath := strings.TrimPrefix(path+"."+key, ".")
			if isTable(tree[key]) {
				walkTOML(tree[key], childPath, visit)
				continue
			}
			visit(childPath, tree[key], func(value any) { tree[key] = value })
		}
	case []map[string]any:
		for i := range tree {
			walkTOML(tree[i], fmt.Sprintf("%s[%d]", path, i), visit)
		}
	}
}

// isTable reports whether a value is a table or a list of tables.
func isTable(value any) bool {
	switch value.(type) {
	case map[string]any, []map[string]any:
		return true
	}
	return false
}

// differentValue returns another value of the same type. It is valid if the given one is.
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
	t.Fatalf("value of an unexpected type: %v", value)
	return nil
}

// platformValues parses a platform file and returns its values by the paths of their keys.
func platformValues(t *testing.T, text string) map[string]string {
	t.Helper()
	platform, err := ParsePlatform("platform.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]string{}
	addValues(values, reflect.ValueOf(*platform), "")
	return values
}

// addValues adds the values below v to values. path is the path of v itself.
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

// tomlKeys returns the paths of all keys below a type, from its tags. It omits the announced limits
// of announced limits (StoreLimits.Next of Next), which would recurse forever.
func tomlKeys(t *testing.T, keyType reflect.Type, path string) []string {
	t.Helper()
	for keyType.Kind() == reflect.Pointer || keyType.Kind() == reflect.Slice && keyType.Elem().Kind() == reflect.Struct {
		keyType = keyType.Elem()
	}
	if keyType.Kind() != reflect.Struct {
		return []string{path}
	}
	var keys []string
	for i := range keyType.NumField() {
		field := keyType.Field(i)
		tag := field.Tag.Get("toml")
		if tag == "" {
			t.Errorf("a field below %q has no toml tag", path)
		}
		if field.Type == reflect.PointerTo(keyType) && strings.HasSuffix(path, "."+tag) {
			continue
		}
		keys = append(keys, tomlKeys(t, field.Type, strings.TrimPrefix(path+"."+tag, "."))...)
	}
	return keys
}
