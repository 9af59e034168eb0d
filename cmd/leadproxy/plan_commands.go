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

// planCommands groups the commands for plans that drain and replace machines. The names of pause,
// resume, abort, allow and skip must equal the values of rollout.Command, because they are sent to
// the plan as they are.
type planCommands struct {
	Check  checkPlanCommand    `cmd:"" help:"Validate a plan."`
	Start  startPlanCommand    `cmd:"" help:"Start a plan."`
	Status planStatusCommand   `cmd:"" help:"Show all plans, what they wait for, and which jobs count as disrupted."`
	Pause  planCommand         `cmd:"" help:"Pause a plan: it evicts no more tasks."`
	Resume planCommand         `cmd:"" help:"Resume a plan."`
	Abort  planCommand         `cmd:"" help:"End a plan: machines that it has not returned are uncordoned."`
	Allow  planArgumentCommand `cmd:"" help:"Allow a plan to evict a job that loses its progress by that."`
	Skip   planArgumentCommand `cmd:"" help:"Leave a machine out of a plan."`
}

// platformFlag is the flag for the settings file, which has the addresses of the controllers.
type platformFlag struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller."`
}

// checkPlanCommand validates the file of a plan without contacting a controller.
type checkPlanCommand struct {
	Plan string `arg:"" help:"The plan (INI)."`
}

// Run validates the plan.
func (c *checkPlanCommand) Run() error {
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

// startPlanCommand creates a plan from a file; the leader starts it.
type startPlanCommand struct {
	platformFlag
	Plan string `arg:"" help:"The plan (INI)."`
}

// Run sends the plan to the leader and returns once the plan is durable.
func (c *startPlanCommand) Run() error {
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

// planStatusCommand shows all plans and the jobs that count as disrupted.
type planStatusCommand struct{ platformFlag }

// Run prints the status tables.
func (c *planStatusCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	list, err := rolloutservice.List(context.Background(), transport.TCP{}, platform)
	if err != nil {
		return err
	}
	return rolloutservice.WriteStatusTables(os.Stdout, list, time.Now())
}

// planCommand sends a plan a command that has no argument.
type planCommand struct {
	platformFlag
	Plan string `arg:"" help:"The plan's name."`
}

// planArgumentCommand sends a plan a command that has a job or a machine as its argument.
type planArgumentCommand struct {
	planCommand
	Name string `arg:"" help:"The job, or the machine."`
}

// Run sends the command. kong passes the name of the subcommand, which is the command.
func (c *planCommand) Run(name string) error { return c.send(rollout.Command(name), "") }

// Run sends the command. kong passes the name of the subcommand, which is the command.
func (c *planArgumentCommand) Run(name string) error { return c.send(rollout.Command(name), c.Name) }

// send sends a command to the plan and returns once the command is durable.
func (c *planCommand) send(command rollout.Command, argument string) error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	if err := rolloutservice.Steer(context.Background(), transport.TCP{}, platform, c.Plan, command, argument); err != nil {
		return err
	}
	fmt.Println(strings.TrimSpace(fmt.Sprintf("plan %s: %s %s", c.Plan, command, argument)) + " is recorded")
	return nil
}
