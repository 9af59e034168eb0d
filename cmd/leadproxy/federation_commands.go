package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"leadproxy/internal/cells"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

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
	list, err := cells.FetchTransferList(context.Background(), transport.TCP{}, platform)
	if err != nil {
		return err
	}
	return cells.WriteTransferList(os.Stdout, list, time.Now())
}

// traceCommand shows the traces of jobs that were delegated to other cells.
type traceCommand struct {
	Files []string `arg:"" name:"file" help:"Trace files of any controllers of any cells."`
	Job   string   `placeholder:"ID" help:"This job alone."`
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
		return fmt.Errorf("the files have no step of job %q", c.Job)
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
