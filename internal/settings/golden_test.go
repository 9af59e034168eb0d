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

var updateSettings = flag.Bool("update-settings", false, "write the golden files of the settings anew")

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

// formatValues lists values by key, sorted.
func formatValues(values map[string]string) []string {
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
