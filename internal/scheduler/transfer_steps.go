package scheduler

import "leadproxy/internal/federation"

// TransferCounter identifies a counter of transfer steps.
type TransferCounter struct {
	Cell string // the other cell
	// Outbound is true for jobs of this cell and false for foreign jobs.
	Outbound bool
	Step     string
}

// transferSteps counts, logs and traces the steps of transfers. It owns the counts.
type transferSteps struct {
	effects *effects

	counts map[TransferCounter]int
}

func newTransferSteps(c *Core) transferSteps {
	return transferSteps{effects: &c.effects, counts: map[TransferCounter]int{}}
}

// trace counts a step and emits the effect that logs and traces it.
func (s *transferSteps) trace(step federation.TransferStep) {
	counter := TransferCounter{Cell: step.Cell, Outbound: true, Step: step.Step}
	if step.Origin != "" {
		counter = TransferCounter{Cell: step.Origin, Step: step.Step}
	}
	s.counts[counter]++
	s.effects.emit(TraceTransfer{step})
}
