// Command leadproxy is one controller of a cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"leadproxy/internal/node"
	"leadproxy/internal/outbound"
	"leadproxy/internal/settings"
)

// version is set at release builds.
var version = "0.1.0-dev"

type commandLine struct {
	Config   string           `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Settings string           `placeholder:"FILE" help:"The operators' own settings (INI). Optional."`
	Check    bool             `help:"Validate the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	kong.Parse(&cl,
		kong.Name("leadproxy"),
		kong.Description("A controller of a cluster scheduler: it takes users' jobs, hires machines and runs the jobs' tasks on them."),
		kong.Vars{"version": version + revision()})
	if err := run(cl); err != nil {
		fmt.Fprintln(os.Stderr, "leadproxy:", err)
		os.Exit(1)
	}
}

func run(cl commandLine) error {
	log, err := newLog(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	platform, err := settings.LoadPlatform(cl.Config)
	if err != nil {
		return err
	}
	operator, err := settings.LoadOperator(cl.Settings)
	if err != nil {
		return err
	}
	if err := settings.CheckCells(platform, operator); err != nil {
		return err
	}
	if cl.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	return node.Run(context.Background(), outbound.TCP{}, platform, operator, log)
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
