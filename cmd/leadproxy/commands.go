package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"leadproxy/internal/cells"
	"leadproxy/internal/controller"
	"leadproxy/internal/leadertransfer"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// runCommand runs a controller.
type runCommand struct {
	Config   string `required:"" placeholder:"FILE" help:"The platform's settings file (TOML)."`
	Settings string `placeholder:"FILE" help:"The operators' own settings (INI). Optional."`
	Check    bool   `help:"Validate the settings and exit."`
}

// Run runs the command.
func (c *runCommand) Run() error {
	log, err := newLog(os.Getenv("LOG_LEVEL"))
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
	if c.Check {
		fmt.Println("the settings are valid")
		return nil
	}
	return controller.Run(context.Background(), transport.TCP{}, platform, operator, log)
}

// transfersCommand lists a cell's transfers.
type transfersCommand struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller of the cell."`
}

// Run runs the command.
func (c *transfersCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	list, err := cells.FetchList(context.Background(), transport.TCP{}, platform)
	if err != nil {
		return err
	}
	return cells.WriteList(os.Stdout, list, time.Now())
}

// traceCommand shows what was traced of jobs that left their cell.
type traceCommand struct {
	Files []string `arg:"" name:"file" help:"Trace files of any controllers of any cells."`
	Job   string   `placeholder:"REF" help:"This job alone."`
	HTML  string   `name:"html" placeholder:"FILE" help:"Write a page instead of text."`
}

// Run runs the command.
func (c *traceCommand) Run() error {
	steps, err := cells.ReadSteps(c.Files...)
	if err != nil {
		return err
	}
	var jobs []*cells.JobTrace
	for _, job := range cells.GroupByJob(steps) {
		if c.Job == "" || job.JobID == c.Job {
			jobs = append(jobs, job)
		}
	}
	if len(jobs) == 0 {
		return fmt.Errorf("the files hold nothing of job %q", c.Job)
	}
	if c.HTML == "" {
		return cells.WriteText(os.Stdout, jobs)
	}
	var page bytes.Buffer
	if err := cells.WritePage(&page, jobs); err != nil {
		return err
	}
	return os.WriteFile(c.HTML, page.Bytes(), 0o666)
}

// standbyCommand shows how a deployment's standbys stand.
type standbyCommand struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller."`
}

// Run runs the command.
func (c *standbyCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	return leadertransfer.WriteStatus(context.Background(), os.Stdout, transport.TCP{}, platform)
}

// handOverCommand moves the leadership.
type handOverCommand struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller."`
	To     string `placeholder:"NODE" help:"The controller that is to lead. By default the one whose copy is the newest."`
}

// Run runs the command.
func (c *handOverCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	reply, err := leadertransfer.RequestTransfer(context.Background(), transport.TCP{}, platform, c.To)
	if err != nil {
		return err
	}
	fmt.Printf("term %d is given up, %s stands first\n", reply.Term, reply.To)
	return nil
}
