// Command drainreport makes an HTML report of drained machines from controllers' logs. It is
// a program of its own: what draws the plots takes more memory and time to start than a
// controller has.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"leadproxy/internal/rolloutreport"
)

type commandLine struct {
	Logs []string `arg:"" name:"log" help:"Logs of all controllers."`
	HTML string   `required:"" name:"html" placeholder:"FILE" help:"The page to write."`
}

func main() {
	var cl commandLine
	kong.Parse(&cl, kong.Name("drainreport"), kong.Description("Makes a report of how machines were drained and which jobs that disrupted."))
	if err := run(cl); err != nil {
		fmt.Fprintln(os.Stderr, "drainreport:", err)
		os.Exit(1)
	}
}

func run(cl commandLine) error {
	timeline, err := rolloutreport.ReadLogs(cl.Logs...)
	if err != nil {
		return err
	}
	if len(timeline.Phases) == 0 {
		return errors.New("the logs tell of no plan")
	}
	var page bytes.Buffer
	if err := rolloutreport.WritePage(&page, timeline); err != nil {
		return err
	}
	return os.WriteFile(cl.HTML, page.Bytes(), 0o666)
}
