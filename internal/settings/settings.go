// Package settings reads the two files a controller is started with: the
// platform's TOML file, whose unknown fields are ignored, and the operators'
// own INI file, whose unknown keys are refused with their line.
package settings

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/BurntSushi/toml"
)

// Platform is the file that the platform hands over.
type Platform struct {
	Node     string   `toml:"host_name"`
	Zone     string   `toml:"site"`
	Listen   string   `toml:"public_addr"`
	Back     string   `toml:"back"`
	Peers    []Peer   `toml:"others"`
	Services Services `toml:"services"`
	Facts    Facts    `toml:"facts"`
}

// Peer is one of the other controllers.
type Peer struct {
	Node string `toml:"host_name"`
	Zone string `toml:"site"`
	Addr string `toml:"endpoint"`
}

// Controllers are all controllers of the deployment, this one first.
func (p *Platform) Controllers() []Peer {
	return append([]Peer{{Node: p.Node, Zone: p.Zone, Addr: p.Back}}, p.Peers...)
}

// Services holds the addresses of the regional services.
type Services struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Facts is what the platform tells about the deployment.
type Facts struct {
	Nodes        int         `toml:"nodes"`
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        StateLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team carries a team's guarantee and its limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one aim on starting ("wait") or finishing ("deadline").
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	Share   float64 `toml:"share"`
	Times   float64 `toml:"times"`
	WithinS float64 `toml:"within_s"`
}

// Workers holds the times that bind workers and controllers.
type Workers struct {
	ReportS float64 `toml:"report_s"`
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// StateLimits are the state service's limits.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
	// Next holds the limits that the service will have from some moment on,
	// without notice; nil: none are announced.
	Next *StateLimits `toml:"next"`
}

// LeastValueBytes is how many bytes a value may have both now and when the limits
// have fallen.
func (l StateLimits) LeastValueBytes() int {
	kb := l.ValueKB
	if l.Next != nil {
		kb = min(kb, l.Next.ValueKB)
	}
	return int(kb * 1024)
}

// CloudLimits are the cloud's limits.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`
	ListLagS float64 `toml:"list_lag_s"`
}

// Resources is what one controller may use.
type Resources struct {
	CPUShare float64 `toml:"cpu_share"`
	RAMMB    float64 `toml:"ram_mb"`
	Sockets  int     `toml:"sockets"`
}

// Drift is how far apart two steady clocks can run, by the protocol.
const Drift = 0.0005

// Seconds turns a number of seconds into a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Stretch lengthens d so that no clock within the drift bound, counting d from
// the same moment, ends later.
func Stretch(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*2*Drift)
}

// FieldError names a field that can't be used as it stands.
type FieldError struct {
	File  string
	Line  int // 0 when not known
	Key   string
	Value string
	Want  string
}

func (e *FieldError) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	return fmt.Sprintf("%s: %s = %s: must be %s", at, e.Key, e.Value, e.Want)
}

// LoadPlatform reads and validates the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return ParsePlatform(path, string(text))
}

// ParsePlatform validates the text of a platform file; path is for messages.
func ParsePlatform(path, text string) (*Platform, error) {
	// Starting values for what an older platform may not send yet.
	p := &Platform{Facts: Facts{
		Workers:   Workers{ReportS: 3, LeaseS: 30, CancelS: 60},
		State:     StateLimits{RPS: 100, WriteRPS: 40, ValueKB: 16, TxnOps: 16},
		Cloud:     CloudLimits{RPS: 1, ListLagS: 10},
		Resources: Resources{CPUShare: 1, RAMMB: 256, Sockets: 1000},
	}}
	if _, err := toml.Decode(text, p); err != nil {
		var pe toml.ParseError
		if errors.As(err, &pe) {
			return nil, fmt.Errorf("%s:%d: %s: %s", path, pe.Position.Line, pe.LastKey, pe.Message)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return p, p.validate(path)
}
