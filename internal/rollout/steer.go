package rollout

import (
	"errors"
	"fmt"
	"slices"
)

// Command is what an operator tells a plan.
type Command string

// The commands.
const (
	Pause  Command = "pause"
	Resume Command = "resume"
	Abort  Command = "abort"
	Allow  Command = "allow" // a job may lose its progress
	Skip   Command = "skip"  // a machine is left out
)

// ErrCommand means that a command does not fit the plan.
var ErrCommand = errors.New("the plan does not take that")

// Steer carries a command out. It counts once the record is durable.
func (r *Rollout) Steer(c Command, argument string, wallMS int64) error {
	if r.record.Phase.Over() {
		return fmt.Errorf("%w: it is %s", ErrCommand, r.record.Phase)
	}
	r.waits = nil // they are told anew by the next step
	switch c {
	case Pause:
		r.record.Paused, r.record.Why = true, "paused by an operator"
		r.changed()
	case Resume:
		r.record.Paused, r.record.Why = false, ""
		r.changed()
	case Abort:
		r.end(Aborted, "aborted by an operator", wallMS)
	case Allow, Skip:
		if argument == "" {
			return fmt.Errorf("%w: %s of what?", ErrCommand, c)
		}
		to := &r.record.Allowed
		if c == Skip {
			to = &r.record.Skipped
		}
		if len(*to) >= maxNamed {
			return fmt.Errorf("%w: %d are named already", ErrCommand, len(*to))
		}
		if !slices.Contains(*to, argument) {
			*to = append(slices.Clone(*to), argument)
			r.changed()
		}
	default:
		return fmt.Errorf("%w: %q", ErrCommand, c)
	}
	return nil
}
