package wire

// Heartbeat is a worker's periodic report of its machine, its tasks and the highest fencing
// token that it has seen.
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

// TaskStatus is the state of one task in a heartbeat.
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

// The reasons why a task ended.
const (
	ExitDone       = "done"
	ExitStopped    = "stopped"
	ExitError      = "error"
	ExitNoCapacity = "no_room"
	ExitInUse      = "in_use"
	ExitNoSuchTask = "no_such"
)

// HeartbeatResponse renews a worker's lease and carries commands.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect sends a worker to another controller.
type Redirect struct {
	Leader string `json:"boss,omitempty"`
}
