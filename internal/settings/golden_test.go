package settings

import (
	"flag"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var updateSettings = flag.Bool("update-settings", false, "rewrite the golden files of the settings")

// compareGolden compares lines with a file in testdata/golden byte for byte. With -update-settings
// it writes the file first.
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
		t.Errorf("differs from %s; got:\n%s", path, got)
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

// formatValues returns a line for each value, sorted by key.
func formatValues(values map[string]string) []string {
	var lines []string
	for _, key := range slices.Sorted(maps.Keys(values)) {
		lines = append(lines, key+" = "+values[key])
	}
	return lines
}

// changedKeys returns the sorted keys whose values differ, or which only one of the maps has.
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
