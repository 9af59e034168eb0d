package main

import (
	"context"
	"fmt"
	"os"

	"leadproxy/internal/controller"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// runCommand runs a controller.
type runCommand struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Settings string `placeholder:"FILE" help:"The operators' own settings (INI). Optional."`
	Check    bool   `help:"Validate the settings and exit."`
}

// Run loads and validates the settings and runs the controller until it fails. With --check it
// returns after the validation.
func (c *runCommand) Run() error {
	log, err := newLogger(os.Getenv("LOG_LEVEL"))
	if err != nil {
		return err
	}
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	operator, err := settings.LoadOperator(c.Settings)
	if err != nil {
		return err
	}
	if err := settings.CheckNeighbours(platform, operator); err != nil {
		return err
	}
	if err := settings.CheckBudgets(platform, operator); err != nil {
		return err
	}
	if err := settings.CheckMetrics(platform, operator); err != nil {
		return err
	}
	if c.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	return controller.Run(context.Background(), transport.TCP{}, platform, operator, log)
}
