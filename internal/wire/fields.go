package wire

// Names of the fields that are validated individually, as encoded and as named in errors. They
// equal the names in the struct tags.
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

// InvalidFieldError reports a field of a message that violates the protocol.
type InvalidFieldError struct {
	// Field is the encoded name of the field.
	Field string
	// Requirement completes the sentence "the field must ...".
	Requirement string
}

func (e *InvalidFieldError) Error() string { return e.Field + " must " + e.Requirement }
