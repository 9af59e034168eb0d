// Command rolloutreport makes an HTML report of drained machines from controllers' logs. It is
// a program of its own: what draws the plots takes more memory and time to start than a
// controller has.
package main

import (
	"errors"
	"io"

	"leadproxy/internal/reportcmd"
	"leadproxy/internal/rolloutreport"
)

func main() {
	reportcmd.Main(reportcmd.Report{
		Name:        "rolloutreport",
		Description: "Makes a report of how machines were drained and which jobs that disrupted.",
		Write:       write,
	})
}

func write(page io.Writer, logs []string) error {
	timeline, err := rolloutreport.ReadLogs(logs...)
	if err != nil {
		return err
	}
	if len(timeline.Phases) == 0 {
		return errors.New("the logs tell of no plan")
	}
	return rolloutreport.WritePage(page, timeline)
}
