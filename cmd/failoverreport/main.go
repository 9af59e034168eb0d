// Command failoverreport makes an HTML report of takeovers from controllers' logs. It is a
// program of its own: what draws the plots takes more memory and time to start than a
// controller has.
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
		Description: "Makes a report of how leadership was taken over, with and without a standby's view.",
		Write:       write,
	})
}

func write(page io.Writer, logs []string) error {
	all, err := failoverreport.ReadLogs(logs...)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return errors.New("the logs tell of no takeover")
	}
	return failoverreport.WritePage(page, all)
}
