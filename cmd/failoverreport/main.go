// Command failoverreport writes an HTML report of failovers from the logs of the controllers. It is
// a separate program because the library that draws the plots takes more memory and start-up time
// than a controller may use.
package main

import (
	"errors"
	"io"

	"leadproxy/internal/failoverreport"
	"leadproxy/internal/reportcmd"
)

func main() {
	reportcmd.Main(reportcmd.Report{
		Name:        "failoverreport",
		Description: "Makes a report of the failovers of a deployment, with and without standbys.",
		Write:       write,
	})
}

// write reads the failovers from the logs and writes the report to page.
func write(page io.Writer, logs []string) error {
	all, err := failoverreport.ReadLogs(logs...)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return errors.New("the logs contain no failover")
	}
	return failoverreport.WritePage(page, all)
}
