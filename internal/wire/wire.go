// Package wire holds the messages of the protocols as they travel, and the
// checks on what comes in. The protocol's JSON names live in the tags here and
// nowhere else.
package wire

import "github.com/segmentio/encoding/json"

// JobStatus is the answer about a job.
type JobStatus struct {
	ID      string `json:"ref"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// JobResponse is the answer to a submission or a cancellation.
type JobResponse struct {
	ID     string `json:"ref"`
	Status string `json:"status"`
}

// The states of a job.
const (
	JobQueued    = "queued"
	JobRunning   = "running"
	JobDone      = "done"
	JobCancelled = "aborted"
)

// ErrorResponse is the body of every error.
type ErrorResponse struct {
	Error string `json:"error"`
}

// CapacityPool is what the cloud rents machines from: one machine type in one zone, spot or
// on demand.
type CapacityPool struct {
	Type string `json:"flavor"`
	Zone string `json:"room"`
	Spot bool   `json:"loaners"`
}

// Heartbeat is what a worker tells of itself.
type Heartbeat struct {
	Machine string `json:"host"`
	Address string `json:"address"`
	CapacityPool
	AgentEpoch         uint64       `json:"tenure"`
	Sequence           uint64       `json:"tick"`
	FencingToken       uint64       `json:"baton"`
	TerminationNoticeS *float64     `json:"warning_s"`
	Tasks              []TaskStatus `json:"pieces"`
}

// TaskStatus is one task in a report.
type TaskStatus struct {
	Task            string `json:"piece"`
	Attempt         uint64 `json:"try"`
	Status          string `json:"status"`
	ExitReason      string `json:"cause"`
	CheckpointSaved bool   `json:"stored"`
}

// The states of a task on a machine.
const (
	TaskFetching      = "fetching"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskEnded         = "ended"
)

// Why a task ended.
const (
	ExitDone       = "done"
	ExitStopped    = "stopped"
	ExitError      = "error"
	ExitNoRoom     = "no_room"
	ExitInUse      = "in_use"
	ExitNoSuchTask = "no_such"
)

// Command is one command to a worker.
type Command struct {
	Verb         string   `json:"verb"`
	Task         string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"wind_down_s,omitempty"`
}

// The verbs of orders.
const (
	VerbStart  = "start"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// HeartbeatResponse is the answer to a report.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another node.
type Redirect struct {
	Leader string `json:"boss,omitempty"`
}

// CommandRequest is a direct command to a worker.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}

// MachineTypes is the cloud's list of machine types.
type MachineTypes struct {
	Types []MachineType `json:"flavors"`
}

// MachineType is one type of machine that the cloud rents.
type MachineType struct {
	Name        string   `json:"name"`
	CPUs        float64  `json:"vcpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"mem_gb"`
	CacheGB     float64  `json:"cache_gb"`
	FetchGBPerS float64  `json:"fetch_gb_per_s"`
	Price       float64  `json:"rate"`
	SpotPrice   float64  `json:"market_price"`
	BootS       float64  `json:"startup_s"`
	Zones       []string `json:"rooms"`
}

// ScaleOutRequest asks the cloud for machines.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	CapacityPool
	Count int `json:"number"`
}

// MachineNames names machines, in a hire's answer and in a deletion.
type MachineNames struct {
	Names []string `json:"hosts"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"has_next"`
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name    string `json:"ref"`
	Address string `json:"address"`
	CapacityPool
	Status string  `json:"status"`
	AgeS   float64 `json:"held_s"`
}

// The states of a machine in the list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Entry is a key of the state service with its value.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"hold"`
}

// EntryPage is one page of keys.
type EntryPage struct {
	Entries  []Entry `json:"entries"`
	More     bool    `json:"has_next"`
	Revision uint64  `json:"epoch"`
}

// Condition requires a key to have a version; 0: not to exist.
type Condition struct {
	Key     string `json:"path"`
	Version uint64 `json:"stamp"`
}

// Change sets or deletes a key.
type Change struct {
	Set    string          `json:"set,omitempty"`
	Value  json.RawMessage `json:"data,omitempty"`
	Lease  uint64          `json:"hold,omitempty"`
	Delete string          `json:"delete,omitempty"`
}

// CompareAndSwap is an atomic change of several keys.
type CompareAndSwap struct {
	Conditions []Condition `json:"when"`
	Changes    []Change    `json:"apply"`
}

// CompareAndSwapResponse is the answer to a transaction.
type CompareAndSwapResponse struct {
	Revision   uint64   `json:"epoch"`
	FailedKeys []string `json:"failed"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `json:"life_ms"`
}

// LeaseResponse names a lease.
type LeaseResponse struct {
	Lease uint64 `json:"hold"`
}

// WatchResponse is the answer to a watch.
type WatchResponse struct {
	Revision uint64       `json:"epoch"`
	Events   []WatchEvent `json:"news"`
}

// WatchEvent is one change in a watch's answer.
type WatchEvent struct {
	Set     string          `json:"set"`
	Value   json.RawMessage `json:"data"`
	Delete  string          `json:"delete"`
	Version uint64          `json:"stamp"`
}
