package federation

// TransferStep is a step of a transfer, reported for logs, counters and traces.
type TransferStep struct {
	// Origin is the job's origin in a step at the neighbour, and empty in a step at the
	// origin. Cell is the neighbour in a step at the origin, and empty otherwise.
	Origin, Cell string
	JobID        string
	Epoch        uint64
	Step         string
	Reason       string
}

// The steps of a transfer.
const (
	StepPlanned       = "planned"
	StepAccepted      = "accepted"
	StepRefused       = "refused"
	StepRevoking      = "revoking"
	StepRevoked       = "revoked"
	StepCancelling    = "cancelling"
	StepEnded         = "ended"
	StepReclaimed     = "taken back"
	StepReturned      = "returned"
	StepCleaned       = "cleaned"
	StepReleased      = "released"
	StepContradiction = "contradiction"
)
