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
	Allow  Command = "allow" // lets a job lose its progress
	Skip   Command = "skip"  // leaves a machine out
)

// ErrInvalidCommand means that a plan cannot carry out a command.
var ErrInvalidCommand = errors.New("the plan does not take that")

// Reasons in the record of a plan.
const (
	pausedByOperator = "paused by an operator"
	endedByOperator  = "aborted by an operator"
)

// Apply applies a command to the record. The command takes effect once the record is durable. The
// argument names the job of an allow or the machine of a skip.
func (c *Controller) Apply(command Command, argument string, wallMS int64) error {
	if c.record.Phase.Ended() {
		return fmt.Errorf("%w: it is %s", ErrInvalidCommand, c.record.Phase)
	}
	c.waitReasons = nil // the next step determines them again
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

// addName adds a job or machine to one of the lists of the record.
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
