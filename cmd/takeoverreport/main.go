// Command takeoverreport makes an HTML report of takeovers from controllers' logs. It is a
// program of its own: what draws the plots takes more memory and time to start than a
// controller has.
package main

import (
	"bufio"
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
	f, err := os.Create(cl.HTML)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	if err := takeovers.WritePage(out, all); err != nil {
		return err
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return f.Close()
}
