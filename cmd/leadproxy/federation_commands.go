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

// transfersCommand lists the jobs that a cell has delegated to other cells, and its foreign jobs.
type transfersCommand struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller of the cell."`
}

// Run prints the transfers of the cell that the settings file belongs to.
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

// traceCommand shows the steps of delegated jobs from trace files.
type traceCommand struct {
	Files []string `arg:"" name:"file" help:"Trace files of any controllers of any cells."`
	Job   string   `placeholder:"ID" help:"This job alone."`
	HTML  string   `name:"html" placeholder:"FILE" help:"Write a page instead of text."`
}

// Run prints the traces as text, or writes them to an HTML file. It fails if the files have no step
// of the requested job, or no step at all.
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
