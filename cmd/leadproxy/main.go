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

// commandLine is the commands of the program. The default is to run a controller.
type commandLine struct {
	Run            runCommand            `cmd:"" default:"withargs" help:"Run a controller (the default)."`
	Transfers      transfersCommand      `cmd:"" help:"List the jobs that are delegated to other cells, and those of other cells here."`
	Trace          traceCommand          `cmd:"" help:"Show the steps of delegated jobs, from trace files."`
	Standby        standbyCommand        `cmd:"" help:"Show the state of the controllers' standbys."`
	LeaderTransfer leaderTransferCommand `cmd:"" name:"handover" help:"Transfer the leadership to a standby whose copy is complete."`
	Plans          planCommands          `cmd:"" name:"drain" help:"Drain and replace machines in steps, within disruption budgets."`
	Version        kong.VersionFlag      `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	command := kong.Parse(&cl,
		kong.Name("leadproxy"),
		kong.Description("A controller of a cluster scheduler: it accepts users' jobs, rents machines and runs the jobs' tasks on them."),
		kong.Vars{"version": version + revision()})
	if err := command.Run(command.Selected().Name); err != nil {
		fmt.Fprintln(os.Stderr, "leadproxy:", err)
		os.Exit(1)
	}
}

// logLevels are the values of LOG_LEVEL, in any case.
var logLevels = map[string]slog.Level{"": slog.LevelInfo, "error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug}

// newLogger returns the program's logger; name is the value of LOG_LEVEL.
func newLogger(name string) (*slog.Logger, error) {
	level, ok := logLevels[strings.ToLower(name)]
	if !ok {
		return nil, fmt.Errorf("LOG_LEVEL = %q: must be error, info or debug", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// revision is the abbreviated commit that the program was built from, if that is known.
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
