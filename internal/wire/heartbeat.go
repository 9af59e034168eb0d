package wire

// Heartbeat is an agent's periodic report on its machine, its tasks and the highest fencing token
// that it has seen.
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

// Values of TaskStatus.Status.
const (
	TaskFetching      = "fetching"
	TaskRunning       = "running"
	TaskCheckpointing = "flushing"
	TaskEnded         = "ended"
)

// Values of TaskStatus.ExitReason, the reason why a task has ended.
const (
	ExitDone       = "done"
	ExitStopped    = "stopped"
	ExitError      = "error"
	ExitNoCapacity = "no_room"
	ExitInUse      = "in_use"
	ExitNoSuchTask = "no_such"
)

// HeartbeatResponse renews an agent's lease and contains commands for it.
type HeartbeatResponse struct {
	FencingToken uint64    `json:"baton"`
	Commands     []Command `json:"orders"`
}

// Redirect tells an agent to send its heartbeats to another controller: Leader, or any other
// controller if Leader is empty.
type Redirect struct {
	Leader string `json:"boss,omitempty"`
}
