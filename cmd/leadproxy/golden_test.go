package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

var updateGolden = flag.Bool("update-help", false, "rewrite the golden files")

// TestGoldenCommandLine guards against accidental changes of the command line: it compares the
// commands, flags and arguments with the golden file. Help texts may change and are not compared.
func TestGoldenCommandLine(t *testing.T) {
	var cl commandLine
	parser, err := kong.New(&cl, kong.Name("leadproxy"), kong.Vars{"version": "VERSION"})
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "help.txt", describeNode(parser.Model.Node))
}

// TestGoldenLogLevel guards against accidental changes of LOG_LEVEL: it compares the accepted
// values and the levels that each enables with the golden file.
func TestGoldenLogLevel(t *testing.T) {
	var lines []string
	for _, value := range []string{"", "error", "info", "debug", "ERROR", "Info", "warn", "warning", "trace", "0", " info"} {
		log, err := newLogger(value)
		if err != nil {
			lines = append(lines, fmt.Sprintf("LOG_LEVEL=%q refused", value))
			continue
		}
		var levels []string
		for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
			if log.Enabled(context.Background(), level) {
				levels = append(levels, level.String())
			}
		}
		lines = append(lines, fmt.Sprintf("LOG_LEVEL=%q logs %s", value, strings.Join(levels, " ")))
	}
	compareGolden(t, "log-level.txt", lines)
}

// describeNode returns a line for a command and for each of its flags, arguments and, recursively,
// subcommands.
func describeNode(node *kong.Node) []string {
	path := node.FullPath()
	line := "command " + path
	if len(node.Aliases) > 0 {
		line += fmt.Sprintf(" aliases %v", node.Aliases)
	}
	if node.Parent != nil && node.Parent.DefaultCmd == node {
		line += " default"
	}
	lines := []string{line + hiddenSuffix(node.Hidden)}
	for _, flag := range node.Flags {
		line := fmt.Sprintf("flag %s --%s", path, flag.Name)
		if flag.Short != 0 {
			line += " -" + string(flag.Short)
		}
		if len(flag.Aliases) > 0 || len(flag.Envs) > 0 {
			line += fmt.Sprintf(" aliases %v environment %v", flag.Aliases, flag.Envs)
		}
		lines = append(lines, line+describeValue(flag.Value)+hiddenSuffix(flag.Hidden))
	}
	for _, argument := range node.Positional {
		lines = append(lines, fmt.Sprintf("argument %s %d <%s>%s", path, argument.Position, argument.Name, describeValue(argument)))
	}
	for _, child := range node.Children {
		lines = append(lines, describeNode(child)...)
	}
	return lines
}

// describeValue returns the type and the constraints of a flag or argument, with a leading space.
func describeValue(value *kong.Value) string {
	text := " " + value.Target.Kind().String()
	if value.Required {
		text += " required"
	}
	if value.HasDefault {
		text += fmt.Sprintf(" default %q", value.Default)
	}
	if value.Enum != "" {
		text += fmt.Sprintf(" one of %q", value.Enum)
	}
	return text
}

func hiddenSuffix(isHidden bool) string {
	if isHidden {
		return " hidden"
	}
	return ""
}

// compareGolden sorts the lines and compares them with a file in testdata/golden byte for byte.
// With -update-help it writes the file first.
func compareGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	slices.Sort(lines)
	got := strings.Join(lines, "\n") + "\n"
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o666); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("differs from %s; now:\n%s", path, got)
	}
}
