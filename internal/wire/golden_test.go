package wire

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenMessages compares every message with how it has to travel.
func TestGoldenMessages(t *testing.T) {
	messages := map[string]any{
		"submission":          &Job{},
		"submission_state":    &JobStatus{},
		"submission_answer":   &Accepted{},
		"error":               &Problem{},
		"heartbeat":           &Report{},
		"heartbeat_piece":     &TaskReport{},
		"heartbeat_answer":    &ReportAnswer{},
		"command":             &Order{},
		"command_request":     &Commands{},
		"redirect":            &Elsewhere{},
		"cloud_flavors":       &Flavors{},
		"cloud_flavor":        &MachineType{},
		"cloud_hire":          &Hire{},
		"cloud_hosts":         &Machines{},
		"cloud_host_page":     &MachineList{},
		"cloud_listed_host":   &ListedMachine{},
		"store_entry":         &Entry{},
		"store_entry_page":    &Entries{},
		"store_condition":     &Condition{},
		"store_change":        &Change{},
		"store_txn":           &Txn{},
		"store_txn_answer":    &TxnAnswer{},
		"store_lease_request": &LeaseTerms{},
		"store_lease_answer":  &LeaseAnswer{},
		"store_watch_answer":  &News{},
		"store_watch_event":   &Event{},
	}
	for name, sample := range messages {
		t.Run(name, func(t *testing.T) { property.CheckGolden(t, name, sample) })
	}
}

// TestGoldenConstants compares the words of the protocols, and the bounds that its users
// meet.
func TestGoldenConstants(t *testing.T) {
	property.CheckGoldenValues(t, "constants", map[string]any{
		"job queued":              Queued,
		"job running":             Running,
		"job done":                Done,
		"job aborted":             Aborted,
		"task fetching":           TaskFetching,
		"task running":            TaskRunning,
		"task flushing":           TaskSaving,
		"task ended":              TaskEnded,
		"cause done":              WhyDone,
		"cause stopped":           WhyStopped,
		"cause error":             WhyError,
		"cause no room":           WhyNoRoom,
		"cause in use":            WhyInUse,
		"cause no such":           WhyNoSuch,
		"verb start":              Start,
		"verb stop":               Stop,
		"verb forget":             Forget,
		"host booting":            Booting,
		"host running":            MachineUp,
		"host failed":             MachineFailed,
		"priorities":              priorities,
		"name of task 7 of job-3": TaskName("job-3", 7),
		"largest body":            MaxBody,
		"most tasks":              MaxTasks,
	})
}
