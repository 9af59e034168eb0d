package federation

// DelegatedState is the state of a transfer as the origin stores it.
type DelegatedState string

// The states of a transfer in the origin's record.
const (
	// Offered means that the neighbour may have accepted the job or may still accept it.
	Offered DelegatedState = "offered"
	// Accepted means that the neighbour has accepted the job and alone decides whether it runs.
	Accepted DelegatedState = "accepted"
	// Returned means that the epoch is closed and the origin may run the job.
	Returned DelegatedState = "returned"
)

// DelegatedRecord is the origin's durable record of a job's latest transfer. It is written before
// the offer is sent and kept until the job has ended and the neighbour has released it.
type DelegatedRecord struct {
	// Cell is the name of the neighbour.
	Cell string `json:"to"`
	// Epoch numbers the transfers of one job, starting at 1. Answers of any other epoch are
	// ignored.
	Epoch uint64         `json:"epoch"`
	State DelegatedState `json:"state"`
	// SinceMS is the wall-clock time at which the transfer began, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Repeatable is set if the settings declared the job's class repeatable when the transfer
	// began. Only repeatable jobs are reclaimed, since that may run them twice.
	Repeatable bool `json:"repeatable,omitempty"`
	// Cleanup is set while the neighbour may still run the job after the origin reclaimed it.
	Cleanup bool `json:"cleanup,omitempty"`
}

// ForeignState is the state of a transfer as the neighbour stores it.
type ForeignState string

// The states of a transfer in the neighbour's record. All but ForeignAccepted close the epoch: the
// neighbour does not run the job in it any more.
const (
	ForeignAccepted ForeignState = "accepted"
	ForeignRefused  ForeignState = "refused"
	ForeignRevoked  ForeignState = "revoked"
	// ForeignReleased means that the origin has recorded the result and needs nothing more from
	// the neighbour.
	ForeignReleased ForeignState = "released"
)

// ForeignRecord is the neighbour's durable record of a job's latest transfer from one origin. The
// first write of an epoch decides its outcome: acceptance and revocation are compare-and-swaps of
// the same key at the same version, so exactly one of them succeeds. The record is never deleted,
// because otherwise a delayed copy of the offer could be accepted again.
type ForeignRecord struct {
	Epoch uint64       `json:"epoch"`
	State ForeignState `json:"state"`
	// SinceMS is the wall-clock time at which State was decided, in Unix milliseconds.
	SinceMS int64 `json:"since_ms"`
	// Repeatable is copied from the offer.
	Repeatable bool `json:"repeatable,omitempty"`
	// Reason says why the offer was refused. Temporary is set if a lack of capacity was the
	// reason, so that a later offer may be accepted.
	Reason    string `json:"reason,omitempty"`
	Temporary bool   `json:"temporary,omitempty"`
}
