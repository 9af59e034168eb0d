package main

import (
	"context"
	"fmt"
	"os"

	"leadproxy/internal/leadertransfer"
	"leadproxy/internal/settings"
	"leadproxy/internal/transport"
)

// standbyCommand shows the state of a deployment's standbys.
type standbyCommand struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller."`
}

// Run prints the status of the standby of each controller.
func (c *standbyCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	return leadertransfer.WriteStatus(context.Background(), os.Stdout, transport.TCP{}, platform)
}

// leaderTransferCommand makes the leader resign in favour of a standby.
type leaderTransferCommand struct {
	Config string `required:"" placeholder:"FILE" help:"The platform's settings file of any controller."`
	To     string `placeholder:"CONTROLLER" help:"The controller that is to lead. By default the one whose copy is the newest."`
}

// Run requests the transfer from the leader and prints the resigned term and the successor.
func (c *leaderTransferCommand) Run() error {
	platform, err := settings.LoadPlatform(c.Config)
	if err != nil {
		return err
	}
	reply, err := leadertransfer.RequestTransfer(context.Background(), transport.TCP{}, platform, c.To)
	if err != nil {
		return err
	}
	fmt.Printf("term %d is given up, %s stands first\n", reply.Term, reply.To)
	return nil
}
