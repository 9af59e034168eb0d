// Command leadproxy runs a controller of the cluster scheduler. Its subcommands inspect and control
// a running deployment.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"
)

// version is the version of the program. Release builds set it.
var version = "0.1.0-dev"

// commandLine defines the commands of the program. The default command runs a controller.
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

// logLevels maps the values of LOG_LEVEL, in lower case, to log levels. An unset variable means
// info.
var logLevels = map[string]slog.Level{"": slog.LevelInfo, "error": slog.LevelError, "info": slog.LevelInfo, "debug": slog.LevelDebug}

// newLogger returns a logger that writes to standard error. name is the value of LOG_LEVEL, in any
// case; an unknown one is an error.
func newLogger(name string) (*slog.Logger, error) {
	level, ok := logLevels[strings.ToLower(name)]
	if !ok {
		return nil, fmt.Errorf("LOG_LEVEL = %q: must be error, info or debug", name)
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// revision returns the abbreviated commit that the program was built from, in parentheses after a
// space, or "" if the commit is unknown.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" && len(setting.Value) >= 12 {
			return " (" + setting.Value[:12] + ")"
		}
	}
	return ""
}
