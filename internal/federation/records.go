package federation

// DelegatedState is the state of a transfer in the origin's record.
type DelegatedState string

// The states of a transfer in the origin's record.
const (
	// Offered: the neighbour may have accepted the job, or may yet accept it.
	Offered DelegatedState = "offered"
	// Accepted: the neighbour has accepted the job and alone decides what runs.
	Accepted DelegatedState = "accepted"
	// Returned: the epoch is closed, and the origin may run the job.
	Returned DelegatedState = "returned"
)

// DelegatedRecord is the origin's record of a job's latest transfer. It is durable before the
// offer is sent, and is kept until the job is over and the neighbour has released it.
type DelegatedRecord struct {
	// Cell is the neighbour.
	Cell string `json:"to"`
	// Epoch numbers the transfers of one job from 1. Messages of another epoch than the
	// record's have no effect.
	Epoch uint64         `json:"epoch"`
	State DelegatedState `json:"state"`
	// SinceMS is the time of day at which the transfer began.
	SinceMS int64 `json:"since_ms"`
	// Repeatable is the declaration of the job's class when the transfer began.
	Repeatable bool `json:"repeatable,omitempty"`
	// Cleanup is set while the neighbour may still run a job that was reclaimed.
	Cleanup bool `json:"cleanup,omitempty"`
}

// ForeignState is the state of a transfer in the neighbour's record.
type ForeignState string

// The states of a transfer in the neighbour's record. All but ForeignAccepted close
// the epoch without a further run.
const (
	ForeignAccepted ForeignState = "accepted"
	ForeignRefused  ForeignState = "refused"
	ForeignRevoked  ForeignState = "revoked"
	// ForeignReleased: the origin has the result and sends no further message.
	ForeignReleased ForeignState = "released"
)

// ForeignRecord is the neighbour's record of a job's latest transfer from one origin. The first
// write of an epoch decides it: an acceptance and a revocation are compare-and-swaps of the same
// key at the same version, so that exactly one of them succeeds. It is never deleted: otherwise a
// late copy of the offer could be accepted again.
type ForeignRecord struct {
	Epoch   uint64       `json:"epoch"`
	State   ForeignState `json:"state"`
	SinceMS int64        `json:"since_ms"`
	// Repeatable is the origin's declaration in the offer.
	Repeatable bool `json:"repeatable,omitempty"`
	// Reason is why the offer was refused. Temporary is set for want of capacity: a later
	// offer may be accepted.
	Reason    string `json:"reason,omitempty"`
	Temporary bool   `json:"temporary,omitempty"`
}
