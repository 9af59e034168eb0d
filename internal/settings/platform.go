package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Platform is the content of the platform's file: the identity and addresses of this controller,
// the addresses of its peers and of the regional services, and facts about the deployment.
type Platform struct {
	Name string `toml:"host_name"`
	Zone string `toml:"site"`
	// PublicAddr serves users and agents.
	PublicAddr string `toml:"public_addr"`
	// PeerAddr serves the other controllers, other cells and the operators' commands.
	PeerAddr string   `toml:"back"`
	Peers    []Peer   `toml:"others"`
	Services Services `toml:"services"`
	Facts    Facts    `toml:"facts"`
}

// Peer is another controller of the deployment. Addr is the address that it serves to its peers.
type Peer struct {
	Name string `toml:"host_name"`
	Zone string `toml:"site"`
	Addr string `toml:"endpoint"`
}

// Controllers returns all controllers of the deployment, this one first.
func (p *Platform) Controllers() []Peer {
	return append([]Peer{{Name: p.Name, Zone: p.Zone, Addr: p.PeerAddr}}, p.Peers...)
}

// Services holds the addresses of the cloud's API and of the key-value store.
type Services struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Facts describes the deployment: its size, its teams and objectives, and the limits and times that
// controllers and agents have to meet. ClockErrorMS is the maximum error of a controller's wall
// clock in milliseconds.
type Facts struct {
	ControllerCount int         `toml:"nodes"`
	Zones           []string    `toml:"zones"`
	ClockErrorMS    float64     `toml:"clock_error_ms"`
	Teams           []Team      `toml:"teams"`
	Objectives      []Objective `toml:"objectives"`
	AgentTiming     AgentTiming `toml:"workers"`
	Store           StoreLimits `toml:"state"`
	Cloud           CloudLimits `toml:"cloud"`
	Resources       Resources   `toml:"resources"`
}

// Team is the quota of a team: its guaranteed CPUs and GPUs and, in CPUsMax and GPUsMax, its
// limits. 0 means no guarantee or no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a job class. Kind is "wait" for objectives on the start
// of tasks and "deadline" for objectives on the end of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// AgentTiming holds the times, in seconds, that agents and controllers have to meet: the interval
// between the heartbeats of an agent, the lease after which an agent without contact ends its
// tasks, and the time within which the tasks of a cancelled job must have ended.
type AgentTiming struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// StoreLimits holds the limits of the key-value store: all requests and writes per second, the size
// of a value, and the operations in a transaction.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds announced limits: the store will apply them at an unknown time, without further
	// notice. It is nil if no limits are announced.
	Next *StoreLimits `toml:"next"`
}

// MaxValueBytes returns the largest size of a value, in bytes, that both the present and the
// announced limits allow.
func (l StoreLimits) MaxValueBytes() int {
	kb := l.ValueKB
	if l.Next != nil {
		kb = min(kb, l.Next.ValueKB)
	}
	return int(kb * 1024)
}

// CloudLimits holds the limits of the cloud's API: requests per second, and how many seconds its
// list of machines may be out of date.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources holds the resources that one controller may use: a share of CPU, memory in MiB, and
// sockets.
type Resources struct {
	CPUShare float64 `toml:"cpu_share"`
	RAMMB    float64 `toml:"ram_mb"`
	Sockets  int     `toml:"sockets"`
}

// LoadPlatform reads and validates a platform file.
func LoadPlatform(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the platform's settings: %w", err)
	}
	return ParsePlatform(path, string(text))
}

// ParsePlatform parses and validates the text of a platform file. path is only used in errors.
func ParsePlatform(path, text string) (*Platform, error) {
	// These fields have defaults because the files of older platforms do not have them.
	platform := &Platform{Facts: Facts{
		AgentTiming: AgentTiming{HeartbeatS: 3, LeaseS: 30, CancelS: 60},
		Store:       StoreLimits{RPS: 100, WriteRPS: 40, ValueKB: 16, TxnOps: 16},
		Cloud:       CloudLimits{RPS: 1, ListLagS: 10},
		Resources:   Resources{CPUShare: 1, RAMMB: 256, Sockets: 1000},
	}}
	if _, err := toml.Decode(text, platform); err != nil {
		var parseError toml.ParseError
		if errors.As(err, &parseError) {
			return nil, fmt.Errorf("%s:%d: %s: %s", path, parseError.Position.Line, parseError.LastKey, parseError.Message)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return platform, platform.validate(path)
}
