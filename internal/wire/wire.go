// Package wire holds the messages of the protocols as they travel, and the
// checks on what comes in. The protocol's JSON names live in the tags here and
// nowhere else.
package wire

import "github.com/segmentio/encoding/json"

// JobStatus is the answer about a job.
type JobStatus struct {
	Ref     string `json:"ref"`
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Accepted is the answer to a submission or a cancellation.
type Accepted struct {
	Ref    string `json:"ref"`
	Status string `json:"status"`
}

// The states of a job.
const (
	Queued  = "queued"
	Running = "running"
	Done    = "done"
	Aborted = "aborted"
)

// Problem is the body of every error.
type Problem struct {
	Error string `json:"error"`
}

// Report is what a worker tells of itself.
type Report struct {
	Machine string       `json:"host"`
	Address string       `json:"address"`
	Type    string       `json:"flavor"`
	Zone    string       `json:"room"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"tenure"`
	Seq     uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	NoticeS *float64     `json:"warning_s"`
	Tasks   []TaskReport `json:"pieces"`
}

// TaskReport is one task in a report.
type TaskReport struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Status  string `json:"status"`
	Why     string `json:"cause"`
	Saved   bool   `json:"stored"`
}

// The states of a task on a machine.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "flushing"
	TaskEnded    = "ended"
)

// Why a task ended.
const (
	WhyDone    = "done"
	WhyStopped = "stopped"
	WhyError   = "error"
	WhyNoRoom  = "no_room"
	WhyInUse   = "in_use"
	WhyNoSuch  = "no_such"
)

// Order is one command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// The verbs of orders.
const (
	Start  = "start"
	Stop   = "stop"
	Forget = "forget"
)

// ReportAnswer is the answer to a report.
type ReportAnswer struct {
	Token  uint64  `json:"baton"`
	Orders []Order `json:"orders"`
}

// Elsewhere sends a worker to another node.
type Elsewhere struct {
	Leader string `json:"boss,omitempty"`
}

// Commands is a direct command to a worker.
type Commands struct {
	Token   uint64  `json:"baton"`
	Session uint64  `json:"tenure"`
	Orders  []Order `json:"orders"`
}

// Flavors is the cloud's list of machine types.
type Flavors struct {
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

// Hire asks the cloud for machines.
type Hire struct {
	Request string `json:"hire"`
	Type    string `json:"flavor"`
	Zone    string `json:"room"`
	Spot    bool   `json:"loaners"`
	Count   int    `json:"number"`
}

// Machines names machines, in a hire's answer and in a deletion.
type Machines struct {
	Machines []string `json:"hosts"`
}

// MachineList is one page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"hosts"`
	More     bool            `json:"has_next"`
}

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	Name    string  `json:"ref"`
	Address string  `json:"address"`
	Type    string  `json:"flavor"`
	Zone    string  `json:"room"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"held_s"`
}

// The states of a machine in the list.
const (
	Booting       = "booting"
	MachineUp     = "running"
	MachineFailed = "failed"
)

// Entry is a key of the state service with its value.
type Entry struct {
	Key     string          `json:"path"`
	Value   json.RawMessage `json:"data"`
	Version uint64          `json:"stamp"`
	Lease   uint64          `json:"hold"`
}

// Entries is one page of keys.
type Entries struct {
	Items    []Entry `json:"entries"`
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

// Txn is an atomic change of several keys.
type Txn struct {
	If   []Condition `json:"when"`
	Then []Change    `json:"apply"`
}

// TxnAnswer is the answer to a transaction.
type TxnAnswer struct {
	Revision uint64   `json:"epoch"`
	Failed   []string `json:"failed"`
}

// LeaseTerms asks for a lease.
type LeaseTerms struct {
	TTLMS int64 `json:"life_ms"`
}

// LeaseAnswer names a lease.
type LeaseAnswer struct {
	Lease uint64 `json:"hold"`
}

// News is the answer to a watch.
type News struct {
	Revision uint64  `json:"epoch"`
	Events   []Event `json:"news"`
}

// Event is one change in a watch's answer.
type Event struct {
	Set     string          `json:"set"`
	Value   json.RawMessage `json:"data"`
	Delete  string          `json:"delete"`
	Version uint64          `json:"stamp"`
}
