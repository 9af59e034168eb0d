package wire

// Command tells a worker to start, stop or forget a task.
type Command struct {
	Verb         string   `json:"verb"`
	Task         string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"wind_down_s,omitempty"`
}

// The verbs of commands.
const (
	VerbStart  = "start"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// CommandRequest carries commands to a worker outside of its heartbeats. The worker responds
// with a heartbeat.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}
