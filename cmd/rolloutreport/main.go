// Command rolloutreport makes an HTML report of rollouts, the plans that drain and replace
// machines, from the logs of the controllers. It is a separate program because the library that
// draws the plots takes more memory and start-up time than a controller may use.
package main

import (
	"errors"
	"io"

	"leadproxy/internal/reportcmd"
	"leadproxy/internal/rolloutreport"
)

// errNoPlan means that no plan has changed its phase in the logs.
var errNoPlan = errors.New("the logs have no phase of a plan")

func main() {
	reportcmd.Main(reportcmd.Report{
		Name:        "rolloutreport",
		Description: "Makes a report of the machines that plans have drained and the jobs that were disrupted.",
		Write:       write,
	})
}

func write(page io.Writer, logs []string) error {
	timeline, err := rolloutreport.ReadLogs(logs...)
	if err != nil {
		return err
	}
	if len(timeline.Phases) == 0 {
		return errNoPlan
	}
	return rolloutreport.WritePage(page, timeline)
}
