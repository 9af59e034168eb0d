package wire

// The names on the wire of the fields that are checked one by one, and named in errors.
// They are the same as in the tags.
const (
	fieldJobID               = "ref"
	fieldClass               = "lane"
	fieldTeam                = "owner"
	fieldKind                = "shape"
	fieldPriority            = "urgency"
	fieldTasks               = "pieces"
	fieldCPUs                = "vcpus"
	fieldGPUs                = "gpus"
	fieldMemGB               = "mem_gb"
	fieldImage               = "bundle"
	fieldImageGB             = "size_gb"
	fieldTypes               = "flavors"
	fieldZone                = "room"
	fieldGang                = "together"
	fieldSpread              = "spread"
	fieldSpot                = "loaners"
	fieldEstimatedRunS       = "guess_s"
	fieldCheckpointIntervalS = "snapshot_s"
	fieldCheckpointDurationS = "flush_s"
	fieldDeadlineS           = "due_s"
	fieldDependsOn           = "waits_on"

	fieldMachine            = "host"
	fieldType               = "flavor"
	fieldAgentEpoch         = "tenure"
	fieldTerminationNoticeS = "warning_s"
	fieldTask               = "piece"
	fieldTaskStatus         = "status"
)

// InvalidFieldError says which field of a message breaks the protocol, and what was wanted.
type InvalidFieldError struct {
	// Field is the field's name on the wire.
	Field string
	// Requirement completes "the field must ...".
	Requirement string
}

func (e *InvalidFieldError) Error() string { return e.Field + " must " + e.Requirement }
