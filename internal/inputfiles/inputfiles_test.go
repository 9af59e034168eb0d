package inputfiles

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestReadAll checks that the records of all files are returned in the order of the files, and that
// an error names its file.
func TestReadAll(t *testing.T) {
	errInvalid := errors.New("invalid")
	words := func(in io.Reader) ([]string, error) {
		text, err := io.ReadAll(in)
		if strings.Contains(string(text), "invalid") {
			return nil, errInvalid
		}
		return strings.Fields(string(text)), err
	}
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	first, second, invalid := write("first", "c d"), write("second", "a"), write("wrong", "invalid")
	if got, err := ReadAll([]string{first, second}, words); err != nil || !slices.Equal(got, []string{"c", "d", "a"}) {
		t.Errorf("read %v, error %v, want [c d a]", got, err)
	}
	if _, err := ReadAll([]string{first, invalid}, words); !errors.Is(err, errInvalid) || !strings.Contains(err.Error(), invalid) {
		t.Errorf("error %v, want one that names %s", err, invalid)
	}
	if _, err := ReadAll([]string{filepath.Join(dir, "none")}, words); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v for a missing file, want fs.ErrNotExist", err)
	}
}
