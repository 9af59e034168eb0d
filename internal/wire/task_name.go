package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName identifies one task of a job.
type TaskName struct {
	JobID string
	// Index is the index of the task in its job, counted from 0.
	Index int
}

// taskNameSeparator separates the job id from the task index.
const taskNameSeparator = "/"

// String returns the name in its encoded form, such as job-000412/3.
func (t TaskName) String() string { return t.JobID + taskNameSeparator + strconv.Itoa(t.Index) }

// InvalidTaskNameError reports a string that is not a valid task name.
type InvalidTaskNameError struct{ Name string }

func (e *InvalidTaskNameError) Error() string {
	return fmt.Sprintf("%s %q is not a task's name", fieldTask, e.Name)
}

// newInvalidTaskName returns an *InvalidTaskNameError. It copies the name, which may share the
// memory of a whole request body.
func newInvalidTaskName(name string) error { return &InvalidTaskNameError{strings.Clone(name)} }

// ParseTaskName parses a task name. JobID in the result shares the memory of name. The error is an
// *InvalidTaskNameError.
func ParseTaskName(name string) (TaskName, error) {
	jobID, digits, found := strings.Cut(name, taskNameSeparator)
	if !found || !ValidJobID(jobID) || !isTaskIndex(digits) {
		return TaskName{}, newInvalidTaskName(name)
	}
	index, err := strconv.Atoi(digits)
	if err != nil || index >= MaxTasks {
		return TaskName{}, newInvalidTaskName(name)
	}
	return TaskName{JobID: jobID, Index: index}, nil
}

// JobIDOfTask returns the id of the job that a task belongs to, or "" if name is not a valid task
// name.
func JobIDOfTask(name string) string {
	parsed, err := ParseTaskName(name)
	if err != nil {
		return ""
	}
	return parsed.JobID
}

// isTaskIndex reports whether digits is the canonical form of an index: decimal digits without a
// leading zero.
func isTaskIndex(digits string) bool {
	return isDigits(digits) && (digits == "0" || digits[0] != '0')
}

// isDigits reports whether text consists of one or more decimal digits.
func isDigits(text string) bool {
	for _, r := range text {
		if r < '0' || r > '9' {
			return false
		}
	}
	return text != ""
}
