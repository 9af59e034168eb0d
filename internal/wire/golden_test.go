package wire

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenMessages compares the encoding of every message with its golden file.
func TestGoldenMessages(t *testing.T) {
	messages := map[string]any{
		"submission":          &Job{},
		"submission_state":    &JobStatus{},
		"submission_answer":   &JobResponse{},
		"error":               &ErrorResponse{},
		"heartbeat":           &Heartbeat{},
		"heartbeat_piece":     &TaskStatus{},
		"heartbeat_answer":    &HeartbeatResponse{},
		"command":             &Command{},
		"command_request":     &CommandRequest{},
		"redirect":            &Redirect{},
		"cloud_flavors":       &MachineTypes{},
		"cloud_flavor":        &MachineType{},
		"cloud_hire":          &ScaleOutRequest{},
		"cloud_hosts":         &MachineNames{},
		"cloud_host_page":     &MachineList{},
		"cloud_listed_host":   &ListedMachine{},
		"store_entry":         &Entry{},
		"store_entry_page":    &EntryPage{},
		"store_condition":     &Condition{},
		"store_change":        &Change{},
		"store_txn":           &CompareAndSwap{},
		"store_txn_answer":    &CompareAndSwapResponse{},
		"store_lease_request": &LeaseRequest{},
		"store_lease_answer":  &LeaseResponse{},
		"store_watch_answer":  &WatchResponse{},
		"store_watch_event":   &WatchEvent{},
	}
	for name, sample := range messages {
		t.Run(name, func(t *testing.T) { property.CheckGolden(t, name, sample) })
	}
}

// TestGoldenConstants compares the constants of the protocols, and the bounds that are visible to
// their users, with their golden file.
func TestGoldenConstants(t *testing.T) {
	property.CheckGoldenValues(t, "constants", map[string]any{
		"job queued":              JobQueued,
		"job running":             JobRunning,
		"job done":                JobDone,
		"job aborted":             JobCancelled,
		"task fetching":           TaskFetching,
		"task running":            TaskRunning,
		"task flushing":           TaskCheckpointing,
		"task ended":              TaskEnded,
		"cause done":              ExitDone,
		"cause stopped":           ExitStopped,
		"cause error":             ExitError,
		"cause no room":           ExitNoCapacity,
		"cause in use":            ExitInUse,
		"cause no such":           ExitNoSuchTask,
		"verb start":              VerbStart,
		"verb stop":               VerbStop,
		"verb forget":             VerbForget,
		"host booting":            MachineBooting,
		"host running":            MachineRunning,
		"host failed":             MachineFailed,
		"priorities":              priorities,
		"name of task 7 of job-3": TaskName{JobID: "job-3", Index: 7}.String(),
		"largest body":            MaxBodyBytes,
		"most tasks":              MaxTasks,
	})
}
