package scheduler

import "leadproxy/internal/federation"

// TransferCounter names a counter of transfers' steps.
type TransferCounter struct {
	Cell string // the other one
	// Outbound is set for jobs of this cell.
	Outbound bool
	Step     string
}

// transferSteps counts the steps of transfers and has them traced. It owns the counts.
type transferSteps struct {
	effects *effects

	counts map[TransferCounter]int
}

func newTransferSteps(c *Core) transferSteps {
	return transferSteps{effects: &c.effects, counts: map[TransferCounter]int{}}
}

// trace counts a step and has it logged and traced.
func (s *transferSteps) trace(n federation.TransferStep) {
	count := TransferCounter{Cell: n.Cell, Outbound: true, Step: n.Step}
	if n.Origin != "" {
		count = TransferCounter{Cell: n.Origin, Step: n.Step}
	}
	s.counts[count]++
	s.effects.emit(TraceTransfer{n})
}
