package wire

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskName names one task of a job.
type TaskName struct {
	JobID string
	// Index is the task's place in its job, from 0.
	Index int
}

// taskNameSeparator stands between the job's id and the task's index.
const taskNameSeparator = "/"

// String is the name as it travels.
func (t TaskName) String() string { return t.JobID + taskNameSeparator + strconv.Itoa(t.Index) }

// InvalidTaskNameError is the error of a text that names no task.
type InvalidTaskNameError struct{ Name string }

func (e *InvalidTaskNameError) Error() string {
	return fmt.Sprintf("%s %q is not a task's name", fieldTask, e.Name)
}

// newInvalidTaskName copies the text, which may share the memory of a whole body.
func newInvalidTaskName(name string) error { return &InvalidTaskNameError{strings.Clone(name)} }

// ParseTaskName reads a task's name. The error is an *InvalidTaskNameError.
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

// JobIDOfTask is the id of the job that a task belongs to, or empty if the text names no
// task.
func JobIDOfTask(name string) string {
	parsed, err := ParseTaskName(name)
	if err != nil {
		return ""
	}
	return parsed.JobID
}

// isTaskIndex reports whether a text is the one way to write an index: decimal digits
// without a leading zero.
func isTaskIndex(digits string) bool {
	return isDigits(digits) && (digits == "0" || digits[0] != '0')
}

// isDigits reports whether a text is one or more decimal digits.
func isDigits(text string) bool {
	for _, r := range text {
		if r < '0' || r > '9' {
			return false
		}
	}
	return text != ""
}
