// Command leadproxy is one controller of a cluster scheduler.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
)

// version is set at release builds.
var version = "0.1.0-dev"

// commandLine is the program's commands. Without a name it runs a controller.
type commandLine struct {
	Run       runCommand       `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Transfers transfersCommand `cmd:"" help:"List the jobs that are away in other cells, and those of other cells here."`
	Trace     traceCommand     `cmd:"" help:"Show the steps of jobs that left their cell, from trace files."`
	Standby   standbyCommand   `cmd:"" help:"Show how the controllers' standbys stand."`
	HandOver  handOverCommand  `cmd:"" name:"handover" help:"Have the leader hand over to a standby that is complete."`
	Drain     drainCommand     `cmd:"" help:"Drain and replace machines in steps, within disruption budgets."`
	Version   kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	command := kong.Parse(&cl,
		kong.Name("leadproxy"),
		kong.Description("A controller of a cluster scheduler: it takes users' jobs, hires machines and runs the jobs' tasks on them."),
		kong.Vars{"version": version + revision()})
	if err := command.Run(command.Selected().Name); err != nil {
		fmt.Fprintln(os.Stderr, "leadproxy:", err)
		os.Exit(1)
	}
}

func newLog(level string) (*slog.Logger, error) {
	levels := map[string]slog.Level{"": slog.LevelInfo, "error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug}
	l, ok := levels[strings.ToLower(level)]
	if !ok {
		return nil, fmt.Errorf("LOG_LEVEL = %q: must be error, info or debug", level)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: l})), nil
}

func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" && len(s.Value) >= 12 {
			return " (" + s.Value[:12] + ")"
		}
	}
	return ""
}
