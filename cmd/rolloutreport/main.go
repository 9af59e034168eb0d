// Command rolloutreport writes an HTML report of rollouts, the plans that drain and replace
// machines, from the logs of the controllers. It is a separate program because the library that
// draws the plots takes more memory and start-up time than a controller may use.
package main

import (
	"errors"
	"io"

	"leadproxy/internal/reportcmd"
	"leadproxy/internal/rolloutreport"
)

// errNoPlan means that the logs contain no phase change of a plan.
var errNoPlan = errors.New("the logs have no phase of a plan")

func main() {
	reportcmd.Main(reportcmd.Report{
		Name:        "rolloutreport",
		Description: "Makes a report of the machines that plans have drained and the jobs that were disrupted.",
		Write:       write,
	})
}

// write reads the timeline of the rollouts from the logs and writes the report to page.
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
