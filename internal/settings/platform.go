package settings

import (
	"errors"
	"fmt"
	"os"

	"github.com/BurntSushi/toml"
)

// Platform is the content of the platform's file: who this controller is, where its peers and
// the regional services are, and facts about the deployment.
type Platform struct {
	Name       string   `toml:"host_name"`
	Zone       string   `toml:"site"`
	PublicAddr string   `toml:"public_addr"`
	PeerAddr   string   `toml:"back"`
	Peers      []Peer   `toml:"others"`
	Services   Services `toml:"services"`
	Facts      Facts    `toml:"facts"`
}

// Peer is one of the other controllers.
type Peer struct {
	Name string `toml:"host_name"`
	Zone string `toml:"site"`
	Addr string `toml:"endpoint"`
}

// Controllers lists all controllers of the deployment, this one first.
func (p *Platform) Controllers() []Peer {
	return append([]Peer{{Name: p.Name, Zone: p.Zone, Addr: p.PeerAddr}}, p.Peers...)
}

// Services holds the addresses of the regional services.
type Services struct {
	Cloud string `toml:"cloud"`
	Store string `toml:"state"`
}

// Facts describes the deployment.
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

// Team is a team's quota: what it is guaranteed and what it is limited to; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective on starting ("wait") or finishing ("deadline").
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// AgentTiming holds the times that agents and controllers have to keep.
type AgentTiming struct {
	HeartbeatS float64 `toml:"report_s"`
	LeaseS     float64 `toml:"lease_s"`
	CancelS    float64 `toml:"cancel_s"`
}

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds limits that are announced: the store applies them from some moment on, without
	// further notice. It is nil if none are announced.
	Next *StoreLimits `toml:"next"`
}

// MaxValueBytes is the largest size of a value, in bytes, that is allowed both by the present
// limits and by the announced ones.
func (l StoreLimits) MaxValueBytes() int {
	kb := l.ValueKB
	if l.Next != nil {
		kb = min(kb, l.Next.ValueKB)
	}
	return int(kb * 1024)
}

// CloudLimits are the limits of the cloud's API.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources limits what one controller may use.
type Resources struct {
	CPUShare float64 `toml:"cpu_share"`
	RAMMB    float64 `toml:"ram_mb"`
	Sockets  int     `toml:"sockets"`
}

// LoadPlatform reads and validates the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read the platform's settings: %w", err)
	}
	return ParsePlatform(path, string(text))
}

// ParsePlatform reads and validates the text of a platform file; path is named in errors.
func ParsePlatform(path, text string) (*Platform, error) {
	// Older platforms leave out the fields that have a default here.
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
