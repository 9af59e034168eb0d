package federation

import (
	"testing"

	"leadproxy/internal/property"
)

// TestGoldenRecords compares the stored form of the transfer records with the golden files.
func TestGoldenRecords(t *testing.T) {
	property.CheckGolden(t, "away", &DelegatedRecord{})
	property.CheckGolden(t, "guest", &ForeignRecord{})
}

// TestGoldenConstants compares the stored states, the numbers sent between cells and the names shown
// to operators with the golden files.
func TestGoldenConstants(t *testing.T) {
	property.CheckGoldenValues(t, "constants", map[string]any{
		"away offered":       Offered,
		"away accepted":      Accepted,
		"away returned":      Returned,
		"guest accepted":     ForeignAccepted,
		"guest refused":      ForeignRefused,
		"guest revoked":      ForeignRevoked,
		"guest released":     ForeignReleased,
		"step planned":       StepPlanned,
		"step accepted":      StepAccepted,
		"step refused":       StepRefused,
		"step revoking":      StepRevoking,
		"step revoked":       StepRevoked,
		"step cancelling":    StepCancelling,
		"step ended":         StepEnded,
		"step taken back":    StepReclaimed,
		"step returned":      StepReturned,
		"step cleaned":       StepCleaned,
		"step released":      StepReleased,
		"step contradiction": StepContradiction,
	})
	property.CheckGoldenValues(t, "numbers", map[string]any{
		"kind offer":        Offer,
		"kind revoke":       Revoke,
		"kind cancel":       Cancel,
		"kind status":       Status,
		"kind release":      Release,
		"outcome pending":   OutcomePending,
		"outcome absent":    OutcomeAbsent,
		"outcome accepted":  OutcomeAccepted,
		"outcome done":      OutcomeDone,
		"outcome aborted":   OutcomeCancelled,
		"outcome refused":   OutcomeRefused,
		"outcome revoked":   OutcomeRevoked,
		"outcome released":  OutcomeReleased,
		"outcome stale":     OutcomeStale,
		"names of kinds":    kindNames,
		"names of outcomes": outcomeNames,
	})
}
