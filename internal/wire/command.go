package wire

// Command instructs an agent to start, stop or forget a task.
type Command struct {
	Verb         string   `json:"verb"`
	Task         string   `json:"piece"`
	Attempt      uint64   `json:"try"`
	GracePeriodS *float64 `json:"wind_down_s,omitempty"`
}

// Values of Command.Verb.
const (
	VerbStart  = "start"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// CommandRequest sends commands to an agent outside of its heartbeats. The agent responds with a
// heartbeat.
type CommandRequest struct {
	FencingToken uint64    `json:"baton"`
	AgentEpoch   uint64    `json:"tenure"`
	Commands     []Command `json:"orders"`
}
