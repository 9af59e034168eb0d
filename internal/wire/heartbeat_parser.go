package wire

import (
	"fmt"
	"math"
	"strings"

	"github.com/segmentio/encoding/json"
)

// ParseHeartbeat reads a worker's heartbeat. What it returns shares the body's memory:
// the body must not change afterwards, and what is kept for long is to be cloned.
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

// checkMachine checks what a heartbeat says of its machine.
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

// check checks one task of a heartbeat. A state that this version doesn't know still occupies
// its machine, so it is taken as it is; refusing the heartbeat would cost the worker its lease.
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

// internOrClone returns a text without the memory of the body that it was read from: one of the
// constants if it equals one, or else a copy.
func internOrClone(text string, constants ...string) string {
	for _, constant := range constants {
		if text == constant {
			return constant
		}
	}
	return strings.Clone(text)
}
