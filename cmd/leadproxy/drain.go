package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"leadproxy/internal/rollout"
	"leadproxy/internal/rolloutservice"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// drainCommand groups the commands about plans that drain machines.
type drainCommand struct {
	Check  drainCheckCommand  `cmd:"" help:"Read a plan and say what is wrong with it."`
	Start  drainStartCommand  `cmd:"" help:"Begin a plan."`
	Status drainStatusCommand `cmd:"" help:"Show all plans, what they wait for, and which jobs count as disrupted."`
	Pause  drainSteerCommand  `cmd:"" help:"Have a plan move nothing more for now."`
	Resume drainSteerCommand  `cmd:"" help:"Have a plan go on."`
	Abort  drainSteerCommand  `cmd:"" help:"End a plan: what it has not returned is put back."`
	Allow  drainNamedCommand  `cmd:"" help:"Let a job that can't save its progress be moved all the same."`
	Skip   drainNamedCommand  `cmd:"" help:"Leave a machine out of a plan."`
}

// platformOf reads the settings that tell where the controllers are.
type platformOf struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller."`
}

// drainCheckCommand reads a plan.
type drainCheckCommand struct {
	Plan string `arg:"" help:"The plan (INI)."`
}

// Run runs the command.
func (c *drainCheckCommand) Run() error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	if _, err := rollout.ParseSpec(string(text)); err != nil {
		return err
	}
	fmt.Println("the plan is valid; which machines it selects shows when it begins")
	return nil
}

// drainStartCommand begins a plan.
type drainStartCommand struct {
	platformOf
	Plan string `arg:"" help:"The plan (INI)."`
}

// Run runs the command.
func (c *drainStartCommand) Run() error {
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	name, err := rolloutservice.Create(context.Background(), transport.TCP{}, platform, string(text))
	if err != nil {
		return err
	}
	fmt.Printf("plan %s has begun\n", name)
	return nil
}

// drainStatusCommand shows all plans.
type drainStatusCommand struct{ platformOf }

// Run runs the command.
func (c *drainStatusCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	list, err := rolloutservice.List(context.Background(), transport.TCP{}, platform)
	if err != nil {
		return err
	}
	return rolloutservice.Write(os.Stdout, list, time.Now())
}

// drainSteerCommand tells a plan something.
type drainSteerCommand struct {
	platformOf
	Plan string `arg:"" help:"The plan's name."`
}

// drainNamedCommand tells a plan something about a job or a machine.
type drainNamedCommand struct {
	drainSteerCommand
	Name string `arg:"" help:"The job, or the machine."`
}

// Run runs the command: it is named like what the plan is told.
func (c *drainSteerCommand) Run(command string) error { return c.steer(command, "") }

// Run runs the command.
func (c *drainNamedCommand) Run(command string) error { return c.steer(command, c.Name) }

func (c *drainSteerCommand) steer(command, argument string) error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	if err := rolloutservice.Steer(context.Background(), transport.TCP{}, platform, c.Plan, rollout.Command(command), argument); err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(fmt.Sprintf("plan %s: %s %s", c.Plan, command, argument)) + " is recorded")
	return nil
}
