package wire

import (
	"fmt"
	"math"
	"strings"

	"github.com/segmentio/encoding/json"
)

// ParseHeartbeat parses and validates an agent's heartbeat. Strings in the result share the memory
// of body: body must not be modified afterwards, and strings that are kept for long should be
// cloned. The error is an *InvalidFieldError, an *InvalidTaskNameError, or one that says why the
// body is not a JSON object of the right form.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var heartbeat Heartbeat
	if err := parseObject(body, &heartbeat, json.ZeroCopy); err != nil {
		return nil, err
	}
	if err := heartbeat.checkMachine(); err != nil {
		return nil, err
	}
	for i := range heartbeat.Tasks {
		if err := heartbeat.Tasks[i].check(); err != nil {
			return nil, err
		}
	}
	return &heartbeat, nil
}

// checkMachine validates the fields that concern the machine and its agent.
func (h *Heartbeat) checkMachine() error {
	switch {
	case h.Machine == "" || len(h.Machine) > maxNameLength:
		return &InvalidFieldError{fieldMachine, "name the machine"}
	case h.Type == "":
		return &InvalidFieldError{fieldType, "be given"}
	case h.Zone == "":
		return &InvalidFieldError{fieldZone, "be given"}
	case h.AgentEpoch == 0:
		return &InvalidFieldError{fieldAgentEpoch, "be 1 or more"}
	case h.TerminationNoticeS != nil && (*h.TerminationNoticeS < 0 || math.IsNaN(*h.TerminationNoticeS)):
		return &InvalidFieldError{fieldTerminationNoticeS, "be null, or 0 or more"}
	}
	return nil
}

// check validates one task of a heartbeat. It accepts a status that this version doesn't know, since
// such a task still occupies resources of its machine, and rejecting the heartbeat would cost the
// agent its lease.
func (t *TaskStatus) check() error {
	if _, err := ParseTaskName(t.Task); err != nil {
		return err
	}
	if t.Status == "" {
		return &InvalidFieldError{fmt.Sprintf("%s of %s %q", fieldTaskStatus, fieldTask, t.Task), "be given"}
	}
	t.Status = internOrClone(t.Status, TaskRunning, TaskEnded, TaskFetching, TaskCheckpointing)
	return nil
}

// internOrClone returns a string equal to text that doesn't share its memory, so that the body that
// text was parsed from can be freed: one of the constants if one is equal, otherwise a copy.
func internOrClone(text string, constants ...string) string {
	for _, constant := range constants {
		if text == constant {
			return constant
		}
	}
	return strings.Clone(text)
}
