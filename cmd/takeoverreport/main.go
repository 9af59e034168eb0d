// Command takeoverreport makes an HTML report of takeovers from controllers' logs. It is a
// program of its own: what draws the plots takes more memory and time to start than a
// controller has.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"leadproxy/internal/takeovers"
)

type commandLine struct {
	Logs []string `arg:"" name:"log" help:"Logs of any controllers."`
	HTML string   `required:"" name:"html" placeholder:"FILE" help:"The page to write."`
}

func main() {
	var cl commandLine
	kong.Parse(&cl, kong.Name("takeoverreport"), kong.Description("Makes a report of how leadership was taken over, with and without a standby's view."))
	if err := run(cl); err != nil {
		fmt.Fprintln(os.Stderr, "takeoverreport:", err)
		os.Exit(1)
	}
}

func run(cl commandLine) error {
	all, err := takeovers.ReadLogs(cl.Logs...)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return errors.New("the logs tell of no takeover")
	}
	var page bytes.Buffer
	if err := takeovers.WritePage(&page, all); err != nil {
		return err
	}
	return os.WriteFile(cl.HTML, page.Bytes(), 0o666)
}
