package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Command is an operator's command to a plan.
type Command string

// The commands.
const (
	Pause  Command = "pause"
	Resume Command = "resume"
	Abort  Command = "abort"
	Allow  Command = "allow" // a job may lose its progress
	Skip   Command = "skip"  // a machine is left out
)

// ErrInvalidCommand means that a plan can't carry out a command.
var ErrInvalidCommand = errors.New("the plan does not take that")

// pausedByOperator and endedByOperator are reasons in a plan's record.
const (
	pausedByOperator = "paused by an operator"
	endedByOperator  = "aborted by an operator"
)

// Apply carries out a command. It takes effect once the record is durable.
func (c *Controller) Apply(command Command, argument string, wallMS int64) error {
	if c.record.Phase.Ended() {
		return fmt.Errorf("%w: it is %s", ErrInvalidCommand, c.record.Phase)
	}
	c.waitReasons = nil // the next step finds them again
	switch command {
	case Pause:
		c.record.Paused, c.record.Reason = true, pausedByOperator
		c.recordChanged()
	case Resume:
		c.record.Paused, c.record.Reason = false, ""
		c.recordChanged()
	case Abort:
		c.end(PhaseAborted, endedByOperator, wallMS)
	case Allow:
		return c.addName(&c.record.Allowed, command, argument)
	case Skip:
		return c.addName(&c.record.Skipped, command, argument)
	default:
		return fmt.Errorf("%w: %q", ErrInvalidCommand, command)
	}
	return nil
}

// addName adds the job or machine that a command names to a list of the record.
func (c *Controller) addName(list *[]string, command Command, name string) error {
	if name == "" {
		return fmt.Errorf("%w: %s of what?", ErrInvalidCommand, command)
	}
	if len(*list) >= maxOverrides {
		return fmt.Errorf("%w: %d are named already", ErrInvalidCommand, len(*list))
	}
	if !slices.Contains(*list, name) {
		*list = append(slices.Clone(*list), name)
		c.recordChanged()
	}
	return nil
}
