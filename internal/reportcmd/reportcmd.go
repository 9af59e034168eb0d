// Package reportcmd implements the command line of the programs that make an HTML report from
// controllers' logs.
package reportcmd

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Report describes a program that makes a report.
type Report struct {
	Name        string // of the program
	Description string
	// Write writes the page for the log files with the given names. If it returns an error, what it
	// has written is discarded.
	Write func(page io.Writer, logs []string) error
}

// commandLine defines the arguments and flags of a report program.
type commandLine struct {
	Logs []string `arg:"" name:"log" help:"Logs of the controllers, all of them."`
	HTML string   `required:"" name:"html" placeholder:"FILE" help:"The page to write."`
}

// Main is the main function of a report program: it parses the command line and writes the report.
// On an error it exits with status 1.
func Main(report Report) {
	var cl commandLine
	kong.Parse(&cl, kong.Name(report.Name), kong.Description(report.Description))
	if err := cl.run(report); err != nil {
		fmt.Fprintln(os.Stderr, report.Name+":", err)
		os.Exit(1)
	}
}

// run writes the report. It writes the file only once the page is complete, so that an error leaves
// an existing file unchanged.
func (cl commandLine) run(report Report) error {
	var page bytes.Buffer
	if err := report.Write(&page, cl.Logs); err != nil {
		return err
	}
	return os.WriteFile(cl.HTML, page.Bytes(), 0o666)
}
