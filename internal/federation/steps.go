package federation

// TransferStep is a step of a transfer for logs, counters and traces.
type TransferStep struct {
	// Origin is the job's origin if that is another cell; Cell is the neighbour.
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
