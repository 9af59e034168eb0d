// Package reportcmd is the command line of the programs that make an HTML report from
// controllers' logs.
package reportcmd

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Report is one kind of report.
type Report struct {
	Name        string // of the program
	Description string
	// Write writes the page for the logs of those files. With an error, no page is kept.
	Write func(page io.Writer, logs []string) error
}

// commandLine is the arguments and flags of a report's program.
type commandLine struct {
	Logs []string `arg:"" name:"log" help:"Logs of the controllers, all of them."`
	HTML string   `required:"" name:"html" placeholder:"FILE" help:"The page to write."`
}

// Main writes the report that the command line requests. It exits with status 1 on an error.
func Main(report Report) {
	var cl commandLine
	kong.Parse(&cl, kong.Name(report.Name), kong.Description(report.Description))
	if err := cl.run(report); err != nil {
		fmt.Fprintln(os.Stderr, report.Name+":", err)
		os.Exit(1)
	}
}

// run writes the file only once the page is complete, so that an earlier one is kept on an error.
func (cl commandLine) run(report Report) error {
	var page bytes.Buffer
	if err := report.Write(&page, cl.Logs); err != nil {
		return err
	}
	return os.WriteFile(cl.HTML, page.Bytes(), 0o666)
}
